/** Load levels of the reporting batches, and what the old version did at each level. */
import { rateOf, type Counts } from './judgedMetrics'

/** Requests in one batch are grouped into load levels, each higher than the one before it by this factor. */
const LOAD_LEVEL_FACTOR = 1.25
/** Load levels that make about one and a half times the traffic. */
const MUCH_HIGHER_LEVELS = 2
/** Batches whose mean traffic is the least that a batch counts as, so that chance does not make the load seem low. */
const TRAFFIC_BATCHES = 3
/** Rate at which the old version exceeds its own reference, the 95th percentile. */
const REFERENCE_RATE = 0.05
/** Requests of the old version at a load level below which it is no baseline. */
const MINIMUM_BASELINE = 100
/** Rate of slow answers of the old version above which a relative risk cannot be seen. */
export const LARGEST_BASELINE_RATE = 0.25

/** Assigns a load level to each batch. */
export interface LoadLevels {
  /** Level of the next batch with this number of requests. */
  next: (traffic: number) => number
}

export function createLoadLevels (): LoadLevels {
  const recentTraffic: number[] = []
  return {
    next (traffic) {
      recentTraffic.push(traffic)
      if (recentTraffic.length > TRAFFIC_BATCHES) recentTraffic.shift()
      const mean = recentTraffic.reduce((sum, other) => sum + other, 0) / recentTraffic.length
      return Math.ceil(Math.log(Math.max(1, traffic, mean)) / Math.log(LOAD_LEVEL_FACTOR))
    }
  }
}

/** Rate of the old version at the lowest known level that is not below `level`; undefined when there is none. */
export function baselineAt (baselines: ReadonlyMap<number, Counts>, level: number): number | undefined {
  const levels = [...baselines.entries()].filter(
    ([known, counts]) => known >= level && counts.trials >= MINIMUM_BASELINE
  )
  const nearest = levels.sort(([left], [right]) => left - right)[0]
  if (nearest === undefined) return undefined
  const rate = rateOf([nearest[1]])
  // The reference is the old version's 95th percentile before the rollout. If it was exceeded often under a much higher
  // load, it comes from a lower load.
  return rate > LARGEST_BASELINE_RATE && nearest[0] - level >= MUCH_HIGHER_LEVELS ? REFERENCE_RATE : rate
}
