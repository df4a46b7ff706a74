/** Composes what instances know and exchange about the load, the room and the speeds of engines. */
import { createEngineSpeeds, type EngineSpeeds } from '../engineSpeed/engineSpeeds'
import { createEngineRoom, type EngineRoom } from './engineRoom'
import { createLoadExchange, type LoadExchange, type LoadExchangeOptions } from '../loadExchange'
import type { Upstream, UpstreamDirectory } from '../upstreamDirectory'

export type EngineOptions = Omit<LoadExchangeOptions, 'speeds' | 'directory'> & {
  directory: Pick<UpstreamDirectory, 'all' | 'listed' | 'usable'>
  loadingEngines: () => ReadonlySet<Upstream>
}

export interface Engines {
  engineLoads: LoadExchange
  engineSpeeds: EngineSpeeds
  engineRoom: EngineRoom
}

export function composeEngines (options: EngineOptions): Engines {
  const engineSpeeds = createEngineSpeeds(options)
  const engineRoom = createEngineRoom({
    directory: options.directory,
    millisecondsPer1000Tokens: (upstream, now) => engineSpeeds.ofService(upstream.entry.service, now)?.of(upstream),
    loadingEngines: options.loadingEngines
  })
  return { engineSpeeds, engineRoom, engineLoads: createLoadExchange({ ...options, speeds: engineSpeeds }) }
}
