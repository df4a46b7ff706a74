/**
 * Selects the upstream for a request by the lowest expected time to first token, which consists of the queue and the
 * part of the prompt that the upstream would have to recompute. Recomputation has a higher weight because it delays
 * other requests.
 */
import { BLOCK_BYTES, BYTES_PER_TOKEN } from '../constants'
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { rendezvousWeight } from '../rendezvous'
import type { BlockIndex, RoutingCandidate, RoutingDecision, RoutingPolicy, RoutingRequest } from './types'

/** Number of prompt tokens in one full block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN

/** Prefill speed in tokens per second that is assumed for a candidate without a measured one. */
const FALLBACK_PREFILL_RATE = 8000
/**
 * Weight of recomputation in the score. Computing a block also delays the requests that arrive later in the same busy
 * period, by about 1 / (1 - utilization) times its duration; 4 corresponds to a utilization of 75%. With a weight of 1,
 * every upstream would recompute every hot prefix under load, which increases the load further.
 */
const RECOMPUTE_WEIGHT = 4
/** Scores closer than this count as equal, in milliseconds. Reports and heartbeats are older than that. */
const TIE_MILLISECONDS = 10

/** A candidate with its estimates for one request. */
interface Estimate {
  candidate: RoutingCandidate
  /** Number of leading blocks expected to be cached; uncertain ones count by their weight. */
  blocks: number
  /** Expected time to first token in milliseconds: queue, recomputation and distance. */
  expectedMilliseconds: number
  /** Expected time with weighted recomputation; the lowest score is the best. */
  score: number
  /** Rendezvous weight for the request's affinity key. */
  weight: number
}

/**
 * Chooses an upstream by score. For a request without a cached prefix, the candidates are the first two upstreams in
 * rendezvous order; for a request with one, they are the best holder of the prefix and one upstream without it. This
 * prevents instances that see the same idle upstream from all choosing it.
 */
export const chooseUpstream: RoutingPolicy = (request, candidates, index, now, random) => {
  const estimates = estimateCandidates(request, candidates, index, now, random)
  if (estimates.length === 0) return undefined
  const holders = estimates.filter(({ blocks }) => blocks > 0).sort(byScore)
  const others = estimates.filter(({ blocks }) => blocks === 0).sort(byWeight)
  const chosen = holders.length === 0 ? chooseWithoutHolder(others) : chooseWithHolder(holders[0]!, others)
  return decisionFor(chosen, estimates)
}

/** Returns the largest number of leading blocks that any one candidate is expected to have cached. */
export function mostCachedBlocks (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex, now: MonotonicMilliseconds
): number {
  let most = 0
  for (const { upstream, incarnation } of candidates) {
    most = Math.max(most, index.cachedBlocks(upstream, incarnation, request.blockKeys, now))
  }
  return most
}

function estimateCandidates (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex, now: MonotonicMilliseconds,
  random: RandomSource
): Estimate[] {
  const estimates: Estimate[] = []
  let mostBlocks = 0
  for (const candidate of candidates) {
    if (!candidate.hasCapacity) continue
    const blocks = index.cachedBlocks(candidate.upstream, candidate.incarnation, request.blockKeys, now)
    const millisecondsPerToken = 1000 / (candidate.prefillTokensPerSecond || FALLBACK_PREFILL_RATE)
    const recomputeMilliseconds = Math.max(0, request.promptTokens - blocks * BLOCK_TOKENS) * millisecondsPerToken
    const expectedMilliseconds = candidate.queuedTokens * millisecondsPerToken + recomputeMilliseconds +
      candidate.distanceMilliseconds
    const score = expectedMilliseconds + (RECOMPUTE_WEIGHT - 1) * recomputeMilliseconds
    estimates.push({ candidate, blocks, expectedMilliseconds, score, weight: 0 })
    mostBlocks = Math.max(mostBlocks, blocks)
  }
  const key = affinityKey(request.blockKeys, mostBlocks) ?? random().toString(16)
  for (const found of estimates) found.weight = rendezvousWeight(key, found.candidate.upstream)
  return estimates
}

/**
 * Returns the key for the rendezvous order: the first block that no upstream has cached, or else the last block. With
 * the first block of the prompt as the key, all prompts that extend a customer's common prefix would go to the same
 * upstreams. Returns undefined when there is no full block; a random key then distributes such prompts evenly.
 */
function affinityKey (blockKeys: readonly string[], mostBlocks: number): string | undefined {
  return blockKeys[Math.min(Math.floor(mostBlocks), blockKeys.length - 1)]
}

/** Chooses the better of the first two upstreams in rendezvous order. */
function chooseWithoutHolder (ranked: readonly Estimate[]): Estimate {
  const first = ranked[0]!
  const second = ranked[1]
  return second !== undefined && second.score + TIE_MILLISECONDS < first.score ? second : first
}

/**
 * Chooses the best holder, unless recomputing at the first non-holder in rendezvous order costs less than its queue.
 */
function chooseWithHolder (holder: Estimate, ranked: readonly Estimate[]): Estimate {
  const other = ranked[0]
  return other !== undefined && other.score + TIE_MILLISECONDS < holder.score ? other : holder
}

function decisionFor (chosen: Estimate, estimates: readonly Estimate[]): RoutingDecision {
  return {
    upstream: chosen.candidate.upstream,
    incarnation: chosen.candidate.incarnation,
    expectedBlocks: chosen.blocks,
    expectedMilliseconds: chosen.expectedMilliseconds,
    alternatives: estimates
      .filter(other => other !== chosen)
      .sort(byScore)
      .map(({ candidate }) => candidate.upstream)
  }
}

/**
 * Compares by score; near ties are resolved by rendezvous weight, so that all instances agree without communication.
 */
function byScore (left: Estimate, right: Estimate): number {
  const leftStep = Math.floor(left.score / TIE_MILLISECONDS)
  const rightStep = Math.floor(right.score / TIE_MILLISECONDS)
  return leftStep - rightStep || byWeight(left, right)
}

function byWeight (left: Estimate, right: Estimate): number {
  return right.weight - left.weight || (left.candidate.upstream < right.candidate.upstream ? -1 : 1)
}
