/** How often each prefix is asked for, and how many engines should hold it for that. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant in milliseconds over which requests are counted. */
const MEMORY_MS = 2000
/** Part of one engine's time that one prefix may take before another engine holds it too. */
const ENGINE_SHARE = 0.4
/** Milliseconds of an engine for 1,000 tokens of a prompt that are not shared. */
const READ_MS_PER_1000_TOKENS = 8
/** Prefixes remembered; the least recently asked for goes first. */
const MAXIMUM_PREFIXES = 5000

export interface PrefixDemand {
  /** Counts a request and returns the number of engines that should hold its prefix. */
  holders: (subject: string, ownTokens: number, instances: number, now: MonotonicMilliseconds) => number
}

interface Count {
  /** Requests, weighed down with their age. */
  weight: number
  at: MonotonicMilliseconds
}

export function createPrefixDemand (): PrefixDemand {
  const counts = new Map<string, Count>()
  return {
    holders (subject, ownTokens, instances, now) {
      const before = counts.get(subject)
      const weight = before === undefined ? 1 : before.weight * Math.exp(-(now - before.at) / MEMORY_MS) + 1
      counts.delete(subject)
      counts.set(subject, { weight, at: now })
      const oldest = counts.keys().next().value
      if (counts.size > MAXIMUM_PREFIXES && oldest !== undefined) counts.delete(oldest)
      // One request says nothing of a rate; the first one of a prefix counts as none.
      const perMillisecond = (weight - 1) / MEMORY_MS * instances
      return Math.max(1, Math.ceil(perMillisecond * ownTokens / 1000 * READ_MS_PER_1000_TOKENS / ENGINE_SHARE))
    }
  }
}
