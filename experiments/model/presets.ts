/** The two deployments of design 2.5, as far as the model needs them. */

export interface Preset {
  name: string
  dataCentres: number
  engines: number
  routers: number
  /** Arrivals over all customers in `steady`. */
  requestsPerSecond: number
  /** Shares of the customers in the arrivals: a few of them large. */
  customerShares: readonly number[]
  prefillTokensPerSecond: number
  cacheBlocks: number
  batchSize: number
  /** Engines that load new weights at once without slowing each other down. */
  parallelLoads: number
  /** Extra milliseconds to reach another data centre. */
  remoteMilliseconds: number
}

/**
 * Engine speed and cache size are assumptions: a prompt of 7 blocks takes 0.36 s to compute, and at the steady rate a
 * cache turns over within some seconds. The steady rate loads the engines to about 60% when half of the blocks hit.
 */
export const PRESETS: Readonly<Record<string, Preset>> = {
  fornada: {
    name: 'fornada',
    dataCentres: 3,
    engines: 6,
    routers: 8,
    requestsPerSecond: 24,
    customerShares: [0.4, 0.3, 0.1, 0.1, 0.1],
    prefillTokensPerSecond: 20_000,
    cacheBlocks: 256,
    batchSize: 48,
    parallelLoads: 2,
    remoteMilliseconds: 1
  },
  splitwell: {
    name: 'splitwell',
    dataCentres: 3,
    engines: 13,
    routers: 9,
    requestsPerSecond: 52,
    customerShares: [0.35, 0.35, 0.1, 0.1, 0.1],
    prefillTokensPerSecond: 20_000,
    cacheBlocks: 256,
    batchSize: 48,
    parallelLoads: 3,
    remoteMilliseconds: 1.5
  }
}
