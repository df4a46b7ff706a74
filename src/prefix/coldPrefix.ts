/**
 * Request coalescing for cold prefixes: while one request of this instance computes a prefix that no upstream has
 * cached, other requests with the same prefix wait for it instead of computing it again. The wait is bounded: it ends
 * with the first token of the computing request, with its failure, or at the time limit. After that the waiting request
 * is routed as usual.
 */
import type { MonotonicMilliseconds } from '../types'

export interface ColdPrefixOptions {
  /** Maximum wait in milliseconds. @default 1500 */
  maximumWaitMilliseconds?: number
  /** Maximum number of requests that wait for one computing request; others are routed at once. @default 64 */
  maximumWaiters?: number
  /** Minimum number of shared blocks, not cached anywhere, for a request to wait for another. @default 1 */
  minimumSharedBlocks?: number
}

export type ColdPrefixDecision =
  | { wait: false }
  /** `computing` is the request to wait for; `until` is the end of the wait. */
  | { wait: true, computing: string, until: MonotonicMilliseconds }

export interface ColdPrefixGate {
  /**
   * Registers a request. `cachedBlocks` is the largest number of its leading blocks that one upstream has cached, as
   * returned by `mostCachedBlocks`. A request that does not wait is considered to compute its remaining blocks until
   * `settle` is called for it.
   */
  register: (
    identifier: string, blockKeys: readonly string[], cachedBlocks: number, now: MonotonicMilliseconds
  ) => ColdPrefixDecision
  /**
   * Ends a request that has received its first token, failed or was cancelled. Returns the requests that waited for it,
   * in order of arrival, which must be registered again: after a success they find the prefix cached, after a failure
   * the first of them computes it.
   */
  settle: (identifier: string) => readonly string[]
  /** Removes and returns the requests that have waited for the maximum time, which must be routed at once. */
  expire: (now: MonotonicMilliseconds) => readonly string[]
  /** Returns the number of waiting requests. */
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
  /** Identifier of the request that computes a block, by block key. */
  const computingByBlock = new Map<string, string>()
  const waiters = new Map<string, Waiter>()
  /** Kept when a request is registered again, so that it cannot wait for several computations in turn. */
  const waitDeadlines = new Map<string, MonotonicMilliseconds>()

  /**
   * Returns the request that computes the last of the shared blocks, whose computation ends no earlier than that of its
   * parents. Blocks under computation are looked up regardless of the block index, which counts routed blocks as
   * cached before they are computed.
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
    register (identifier, blockKeys, cachedBlocks, now) {
      const cached = Math.floor(cachedBlocks)
      const computing = findComputing(blockKeys)
      const computation = computing === undefined ? undefined : computations.get(computing)
      const until = waitDeadlines.get(identifier) ?? now + maximumWait
      if (
        computing === undefined || computation === undefined || computing === identifier ||
        computation.waiters.size >= maximumWaiters || until <= now
      ) {
        beginComputing(identifier, blockKeys, cached)
        return { wait: false }
      }
      computation.waiters.add(identifier)
      waiters.set(identifier, { computing, until })
      waitDeadlines.set(identifier, until)
      return { wait: true, computing, until }
    },
    settle (identifier) {
      stopWaiting(identifier)
      waitDeadlines.delete(identifier)
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
