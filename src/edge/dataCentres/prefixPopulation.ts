/**
 * Estimates how many shared prefixes are in use, from how often an instance sees one again, to decide whether the caches
 * of one data centre can hold them.
 */

/** Number of recent prefixes of which repetitions are counted. */
const WINDOW = 256
/** Requests before the number is estimated. */
const MIN_REQUESTS = 40

export interface PrefixPopulation {
  record: (prefixKey: string) => void
  /** Returns the estimated number of prefixes; undefined with too few requests. */
  estimate: () => number | undefined
}

export function createPrefixPopulation (): PrefixPopulation {
  const recent: string[] = []
  const counts = new Map<string, number>()
  /** Pairs of equal prefixes in the window. */
  let pairs = 0
  return {
    record (prefixKey) {
      const count = counts.get(prefixKey) ?? 0
      pairs += count
      counts.set(prefixKey, count + 1)
      recent.push(prefixKey)
      if (recent.length <= WINDOW) return
      const oldest = recent.shift()!
      const remaining = counts.get(oldest)! - 1
      pairs -= remaining
      if (remaining === 0) counts.delete(oldest)
      else counts.set(oldest, remaining)
    },
    // Of n draws from N equally likely prefixes, n(n-1)/2N pairs are equal.
    estimate: () => recent.length < MIN_REQUESTS
      ? undefined
      : recent.length * (recent.length - 1) / 2 / Math.max(1, pairs)
  }
}
