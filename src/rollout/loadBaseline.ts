/** Load levels of the reporting batches, and the exceedance rate of the old version at each level. */
import { rateOf, type Counts } from './judgedMetrics'

/** Ratio between the request counts of adjacent load levels. */
const LOAD_LEVEL_FACTOR = 1.25
/** Difference in load levels that corresponds to about 1.5 times the traffic. */
const DISTANT_LEVELS = 2
/**
 * Number of batches whose mean traffic is a lower limit for the traffic of the latest batch, so that random variation
 * does not make the load seem low.
 */
const TRAFFIC_MEAN_BATCHES = 3
/** Rate at which the old version exceeds its own reference, which is its 95th percentile. */
const REFERENCE_RATE = 0.05
/** Minimum number of requests of the old version at a load level for its rate to serve as a baseline. */
const MINIMUM_BASELINE_REQUESTS = 100
/** Rate of slow responses of the old version above which a relative risk cannot be detected. */
export const MAXIMUM_BASELINE_RATE = 0.25

/** Assigns a load level to each batch. */
export interface LoadLevels {
  /** Returns the level of the next batch, which has this number of requests. */
  nextLevel: (traffic: number) => number
}

export function createLoadLevels (): LoadLevels {
  const recentTraffic: number[] = []
  return {
    nextLevel (traffic) {
      recentTraffic.push(traffic)
      if (recentTraffic.length > TRAFFIC_MEAN_BATCHES) recentTraffic.shift()
      const mean = recentTraffic.reduce((sum, other) => sum + other, 0) / recentTraffic.length
      return Math.ceil(Math.log(Math.max(1, traffic, mean)) / Math.log(LOAD_LEVEL_FACTOR))
    }
  }
}

/** Returns the old version's rate at the lowest known level not below `level`, or undefined when there is none. */
export function baselineAt (baselines: ReadonlyMap<number, Counts>, level: number): number | undefined {
  const levels = [...baselines.entries()].filter(
    ([known, counts]) => known >= level && counts.trials >= MINIMUM_BASELINE_REQUESTS
  )
  const nearest = levels.sort(([left], [right]) => left - right)[0]
  if (nearest === undefined) return undefined
  const rate = rateOf([nearest[1]])
  // The reference is the old version's 95th percentile before the rollout. If it was exceeded often at a much higher
  // load, it was measured at a lower load.
  return rate > MAXIMUM_BASELINE_RATE && nearest[0] - level >= DISTANT_LEVELS ? REFERENCE_RATE : rate
}
