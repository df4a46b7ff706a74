/**
 * Bounded waiting for cold prefixes: while one request of this instance computes a prefix that no upstream has cached,
 * others with the same prefix wait for it instead of computing it again. Waiting ends with the first token of the
 * computing request, with its failure, or at the limit; after that the request is routed as usual.
 */
import type { MonotonicMilliseconds } from '../types'

export interface ColdPrefixOptions {
  /** Longest wait in milliseconds. @default 1500 */
  maximumWaitMilliseconds?: number
  /** Requests that may wait for one computing request; further ones are routed at once. @default 64 */
  maximumWaiters?: number
  /** Blocks that two requests must have in common, not cached anywhere, for one to wait. @default 1 */
  minimumSharedBlocks?: number
}

export type ColdPrefixAnswer =
  | { wait: false }
  /** `computing` is the request waited for; `until` is when to go on without it. */
  | { wait: true, computing: string, until: MonotonicMilliseconds }

export interface ColdPrefixGate {
  /**
   * Announces a request. `cachedBlocks` is the number of its leading blocks that some upstream has, as told by
   * `mostCachedBlocks`. A request that does not wait counts as the one that computes its remaining blocks until
   * `settle` is called for it.
   */
  arrive: (
    identifier: string, blockKeys: readonly string[], cachedBlocks: number, now: MonotonicMilliseconds
  ) => ColdPrefixAnswer
  /**
   * The request got its first token, failed or went away. Returns the waiting requests to be announced again, in order
   * of arrival: after a success they find the prefix cached, after a failure the first of them computes it.
   */
  settle: (identifier: string) => readonly string[]
  /** Removes and returns the requests that have waited for the longest permitted time. They are routed at once. */
  expire: (now: MonotonicMilliseconds) => readonly string[]
  /** Requests that wait now. */
  waiting: () => number
}

interface Computation {
  blockKeys: readonly string[]
  waiters: Set<string>
}

interface Waiter {
  computing: string
  until: MonotonicMilliseconds
}

export function createColdPrefixGate (options: ColdPrefixOptions = {}): ColdPrefixGate {
  const maximumWait = options.maximumWaitMilliseconds ?? 1500
  const maximumWaiters = options.maximumWaiters ?? 64
  const minimumShared = options.minimumSharedBlocks ?? 1
  const computations = new Map<string, Computation>()
  /** Which request computes a block. */
  const computingByBlock = new Map<string, string>()
  const waiters = new Map<string, Waiter>()
  /** Ends of waits survive a new announcement, so that a request cannot wait for one computation after another. */
  const waitEnds = new Map<string, MonotonicMilliseconds>()

  /**
   * Blocks under computation are looked up whatever the index says: it counts routed blocks as cached before they are
   * computed. The last of the shared blocks decides, since its computation ends no earlier than that of its parents.
   */
  function findComputing (blockKeys: readonly string[]): string | undefined {
    let shared = 0
    let computing: string | undefined
    for (const key of blockKeys) {
      const found = computingByBlock.get(key)
      if (found === undefined && shared > 0) break
      if (found === undefined) continue
      shared++
      computing = found
    }
    return shared >= minimumShared ? computing : undefined
  }

  function beginComputing (identifier: string, blockKeys: readonly string[], cachedBlocks: number): void {
    const missing = blockKeys.slice(cachedBlocks)
    if (missing.length === 0) return
    computations.set(identifier, { blockKeys: missing, waiters: new Set() })
    for (const key of missing) {
      if (!computingByBlock.has(key)) computingByBlock.set(key, identifier)
    }
  }

  function stopWaiting (identifier: string): void {
    const waiter = waiters.get(identifier)
    if (waiter === undefined) return
    waiters.delete(identifier)
    computations.get(waiter.computing)?.waiters.delete(identifier)
  }

  return {
    arrive (identifier, blockKeys, cachedBlocks, now) {
      const cached = Math.floor(cachedBlocks)
      const computing = findComputing(blockKeys)
      const computation = computing === undefined ? undefined : computations.get(computing)
      const until = waitEnds.get(identifier) ?? now + maximumWait
      if (
        computing === undefined || computation === undefined || computing === identifier ||
        computation.waiters.size >= maximumWaiters || until <= now
      ) {
        beginComputing(identifier, blockKeys, cached)
        return { wait: false }
      }
      computation.waiters.add(identifier)
      waiters.set(identifier, { computing, until })
      waitEnds.set(identifier, until)
      return { wait: true, computing, until }
    },
    settle (identifier) {
      stopWaiting(identifier)
      waitEnds.delete(identifier)
      const computation = computations.get(identifier)
      if (computation === undefined) return []
      computations.delete(identifier)
      for (const key of computation.blockKeys) {
        if (computingByBlock.get(key) === identifier) computingByBlock.delete(key)
      }
      for (const waiter of computation.waiters) waiters.delete(waiter)
      return [...computation.waiters]
    },
    expire (now) {
      const expired: string[] = []
      for (const [identifier, waiter] of waiters) {
        if (waiter.until <= now) expired.push(identifier)
      }
      for (const identifier of expired) stopWaiting(identifier)
      return expired
    },
    waiting: () => waiters.size
  }
}
