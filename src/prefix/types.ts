/** Types of prefix routing. */
import type { Incarnation, MonotonicMilliseconds, RandomSource } from '../types'
import type { CacheEventBatch } from '../upstream/types'

/** Attributes that identify a cached block in addition to its content. */
export interface BlockScope {
  customer: string
  model: string
  adapter: string
  version: string
}

/** Returns the chained block keys of a prompt, one for each full block, as 16 hexadecimal digits each. */
export type BlockKeyFunction = (scope: BlockScope, prompt: string) => readonly string[]

/** An upstream as a candidate for one request. */
export interface RoutingCandidate {
  upstream: string
  dataCentre: string
  incarnation: Incarnation
  /** Prompt tokens pending prefill: the last report plus the requests sent since by this instance and its peers. */
  queuedTokens: number
  /** Measured prefill speed in tokens per second. */
  prefillTokensPerSecond: number
  /** Additional network latency in milliseconds, for example across data centres. */
  distanceMilliseconds: number
  /** False when the upstream's concurrency limit is reached. */
  hasCapacity: boolean
}

export interface RoutingRequest {
  blockKeys: readonly string[]
  promptTokens: number
}

export interface RoutingDecision {
  upstream: string
  incarnation: Incarnation
  /** Number of leading blocks expected to be cached on the upstream. */
  expectedBlocks: number
  /** Expected time to first token in milliseconds. */
  expectedMilliseconds: number
  /** Other candidates in the order in which they would be tried. */
  alternatives: readonly string[]
}

/** Approximate index of the blocks cached on each upstream, with bounded memory. */
export interface BlockIndex {
  /** Applies one batch of an engine's event stream. Handles gaps and new incarnations. */
  applyEvents: (upstream: string, batch: CacheEventBatch, now: MonotonicMilliseconds) => void
  /** Records that a request with these blocks was sent, so that the next request with the same prefix follows it. */
  recordRouted: (
    upstream: string, incarnation: Incarnation, blockKeys: readonly string[], now: MonotonicMilliseconds
  ) => void
  /** Corrects the entries after a response reported how many tokens came from the cache. */
  recordOutcome: (
    upstream: string, blockKeys: readonly string[], cachedBlocks: number, now: MonotonicMilliseconds
  ) => void
  /** Removes all entries of an upstream. */
  dropUpstream: (upstream: string) => void
  /** Returns the number of leading blocks expected to be cached; uncertain entries count by their weight. */
  cachedBlocks: (
    upstream: string, incarnation: Incarnation, blockKeys: readonly string[], now: MonotonicMilliseconds
  ) => number
  /** Returns the sequence number of the newest applied event, for the next poll. */
  newestSequence: (upstream: string) => number
  entryCount: () => number
}

/** Chooses an upstream for a request; undefined when no candidate has room. */
export type RoutingPolicy = (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex,
  now: MonotonicMilliseconds, random: RandomSource
) => RoutingDecision | undefined
