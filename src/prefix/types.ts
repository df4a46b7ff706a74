/** Types of prefix routing. */
import type { Incarnation, MonotonicMilliseconds, RandomSource } from '../types'
import type { CacheEventBatch } from '../upstream/types'

/** What makes up the identity of a cached block besides its content. */
export interface BlockScope {
  customer: string
  model: string
  adapter: string
  version: string
}

/** Chained block keys of a prompt, one for each full block, as 16 hexadecimal digits. */
export type BlockKeyFunction = (scope: BlockScope, prompt: string) => readonly string[]

/** An upstream as a candidate for one request. */
export interface RoutingCandidate {
  upstream: string
  dataCentre: string
  incarnation: Incarnation
  /** Prompt tokens that wait there: last report plus work sent since by this instance and its peers. */
  queuedTokens: number
  /** Learned prefill speed in tokens per second. */
  prefillTokensPerSecond: number
  /** Extra milliseconds to reach it, for example across data centres. */
  distanceMilliseconds: number
  /** False when its concurrency limit is reached. */
  hasRoom: boolean
}

export interface RoutingRequest {
  blockKeys: readonly string[]
  promptTokens: number
}

export interface RoutingDecision {
  upstream: string
  incarnation: Incarnation
  /** Leading blocks believed to be cached there. */
  expectedBlocks: number
  /** Expected milliseconds to the first token. */
  expectedMilliseconds: number
  /** The order in which the other candidates would be tried. */
  alternatives: readonly string[]
}

/** Belief about which upstream holds which blocks, with bounded memory. */
export interface BlockIndex {
  /** Takes in one batch of an engine's event stream, including gaps and new incarnations. */
  applyEvents: (upstream: string, batch: CacheEventBatch, now: MonotonicMilliseconds) => void
  /** Records that a request with these blocks was sent, so that the next one with the same prefix follows it. */
  recordRouted: (
    upstream: string, incarnation: Incarnation, blockKeys: readonly string[], now: MonotonicMilliseconds
  ) => void
  /** Corrects the belief after an answer told how many tokens came from the cache. */
  recordOutcome: (
    upstream: string, blockKeys: readonly string[], cachedBlocks: number, now: MonotonicMilliseconds
  ) => void
  /** Drops everything about an upstream. */
  dropUpstream: (upstream: string) => void
  /** Number of leading blocks believed cached; uncertain entries count by their weight. */
  cachedBlocks: (
    upstream: string, incarnation: Incarnation, blockKeys: readonly string[], now: MonotonicMilliseconds
  ) => number
  /** Sequence number of the newest event taken in, for the next poll. */
  newestSequence: (upstream: string) => number
  entryCount: () => number
}

/** Chooses an upstream for a request; undefined when no candidate has room. */
export type RoutingPolicy = (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex,
  now: MonotonicMilliseconds, random: RandomSource
) => RoutingDecision | undefined
