/** Composes what instances know and exchange about the load, the room and the speeds of engines, and where requests go. */
import { createCrossing, FREE_CROSSING, type Crossing } from '../dataCentres/crossing'
import type { EdgeLog } from '../events'
import { CrossZone } from '../settings'
import type { RandomSource } from '../../types'
import { createEngineSpeeds, type EngineSpeeds } from '../engineSpeed/engineSpeeds'
import { createEngineRoom, type EngineRoom } from './engineRoom'
import { createLoadExchange, type LoadExchange, type LoadExchangeOptions } from '../loadExchange'
import type { Upstream, UpstreamDirectory } from '../upstreamDirectory'

export type EngineOptions = Omit<LoadExchangeOptions, 'speeds' | 'directory'> & {
  directory: Pick<UpstreamDirectory, 'all' | 'listed' | 'usable'>
  loadingEngines: () => ReadonlySet<Upstream>
  crossZone: CrossZone
  log: EdgeLog
  random: RandomSource
}

export interface Engines {
  engineLoads: LoadExchange
  engineSpeeds: EngineSpeeds
  engineRoom: EngineRoom
  crossing: Crossing
}

export function composeEngines (options: EngineOptions): Engines {
  const engineSpeeds = createEngineSpeeds(options)
  const engineRoom = createEngineRoom({
    directory: options.directory,
    millisecondsPer1000Tokens: (upstream, now) => engineSpeeds.ofService(upstream.entry.service, now)?.of(upstream),
    loadingEngines: options.loadingEngines
  })
  const crossing = options.crossZone === CrossZone.free
    ? FREE_CROSSING
    : createCrossing({
      ...options,
      upstreams: options.directory.all,
      memoryTokensOf: (upstream) => engineRoom.capacityOf(upstream).memoryTokens
    })
  return { engineSpeeds, engineRoom, crossing, engineLoads: createLoadExchange({ ...options, speeds: engineSpeeds }) }
}
