/** Tracks the request rate of each prefix and derives how many engines should cache it. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant in milliseconds of the decaying request count. */
const RATE_TIME_CONSTANT_MS = 2000
/** Fraction of one engine's time that a prefix may use before another engine caches it too. */
const MAX_ENGINE_SHARE = 0.4
/** Number of prefixes tracked; the least recently requested one is evicted first. */
const MAX_PREFIXES = 5000

export interface PrefixDemand {
  /** Records a request and returns the number of engines that should cache its prefix. */
  replicasFor: (request: PrefixRequest, now: MonotonicMilliseconds) => number
}

export interface PrefixRequest {
  /** Identifies the prefix and who may share it. */
  subject: string
  /** Prompt tokens that are not shared. */
  ownTokens: number
  /** Number of instances of the fleet. */
  instances: number
  /** Engine time for 1,000 of the own tokens. */
  millisecondsPer1000Tokens: number
}

interface DecayedCount {
  /** Number of requests, exponentially decayed by age. */
  weight: number
  at: MonotonicMilliseconds
}

export function createPrefixDemand (): PrefixDemand {
  const counts = new Map<string, DecayedCount>()
  return {
    replicasFor ({ subject, ownTokens, instances, millisecondsPer1000Tokens }, now) {
      const previous = counts.get(subject)
      const weight = previous === undefined
        ? 1
        : previous.weight * Math.exp(-(now - previous.at) / RATE_TIME_CONSTANT_MS) + 1
      counts.delete(subject)
      counts.set(subject, { weight, at: now })
      const oldest = counts.keys().next().value
      if (counts.size > MAX_PREFIXES && oldest !== undefined) counts.delete(oldest)
      // A single request does not show a rate, so the first one of a prefix counts as none.
      const perMillisecond = (weight - 1) / RATE_TIME_CONSTANT_MS * instances
      return Math.max(1, Math.ceil(perMillisecond * ownTokens / 1000 * millisecondsPer1000Tokens / MAX_ENGINE_SHARE))
    }
  }
}
