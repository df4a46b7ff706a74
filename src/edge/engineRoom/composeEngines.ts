/** Composes what instances know and exchange about the load and the speeds of engines. */
import { createEngineSpeeds, type EngineSpeeds } from '../engineSpeed/engineSpeeds'
import { createLoadExchange, type LoadExchange, type LoadExchangeOptions } from '../loadExchange'
import type { UpstreamDirectory } from '../upstreamDirectory'

export type EngineOptions = Omit<LoadExchangeOptions, 'speeds' | 'directory'> & {
  directory: Pick<UpstreamDirectory, 'all' | 'listed' | 'usable'>
}

export interface Engines {
  engineLoads: LoadExchange
  engineSpeeds: EngineSpeeds
}

export function composeEngines (options: EngineOptions): Engines {
  const engineSpeeds = createEngineSpeeds(options)
  return { engineSpeeds, engineLoads: createLoadExchange({ ...options, speeds: engineSpeeds }) }
}
