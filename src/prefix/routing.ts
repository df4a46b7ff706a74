/**
 * Choice of the upstream for a request: the lowest expected time to first token, made from the queue and from the part
 * of the prompt that the upstream would have to recompute, which counts more than once because it delays others.
 */
import { BLOCK_BYTES, BYTES_PER_TOKEN } from '../constants'
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { rendezvousWeight } from '../rendezvous'
import type { BlockIndex, RoutingCandidate, RoutingDecision, RoutingPolicy, RoutingRequest } from './types'

/** Prompt tokens of one full block. */
export const BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN

/** Used when a candidate comes without a learned prefill speed, in tokens per second. */
const FALLBACK_PREFILL_RATE = 8000
/**
 * Weight of recomputation in the score. Computing a block also delays the requests that come later in the same busy
 * period, by about 1 / (1 - utilization) times its duration; 4 stands for 75%. With weight 1 every upstream recomputes
 * every hot prefix under load, which is more load.
 */
const RECOMPUTE_WEIGHT = 4
/** Scores closer than this count as equal: reports and heartbeats are older than that. */
const TIE_MILLISECONDS = 10

/** A candidate with its expected time for one request. */
interface Estimate {
  candidate: RoutingCandidate
  /** Leading blocks believed cached, uncertain ones by their weight. */
  blocks: number
  /** Milliseconds to the first token: queue, recomputation and distance. */
  expected: number
  /** The same with the recomputation at its weight; the lowest is the best. */
  score: number
  /** Rendezvous weight for the request's affinity key. */
  weight: number
}

/**
 * Chooses by score. Requests without a cached prefix choose between the two first upstreams in
 * rendezvous order, and requests with one between the best holder and one non-holder, so that instances that see the
 * same idle upstream do not all choose it.
 */
export const chooseUpstream: RoutingPolicy = (request, candidates, index, now, random) => {
  const estimates = estimate(request, candidates, index, now, random)
  if (estimates.length === 0) return undefined
  const holders = estimates.filter(({ blocks }) => blocks > 0).sort(byScore)
  const others = estimates.filter(({ blocks }) => blocks === 0).sort(byWeight)
  const chosen = holders.length === 0 ? chooseCold(others) : chooseWarm(holders[0]!, others)
  return decisionFor(chosen, estimates)
}

/** The largest number of leading blocks that one of the candidates is believed to have cached. */
export function mostCachedBlocks (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex, now: MonotonicMilliseconds
): number {
  let most = 0
  for (const { upstream, incarnation } of candidates) {
    most = Math.max(most, index.cachedBlocks(upstream, incarnation, request.blockKeys, now))
  }
  return most
}

function estimate (
  request: RoutingRequest, candidates: readonly RoutingCandidate[], index: BlockIndex, now: MonotonicMilliseconds,
  random: RandomSource
): Estimate[] {
  const estimates: Estimate[] = []
  let mostBlocks = 0
  for (const candidate of candidates) {
    if (!candidate.hasRoom) continue
    const blocks = index.cachedBlocks(candidate.upstream, candidate.incarnation, request.blockKeys, now)
    const perToken = 1000 / (candidate.prefillTokensPerSecond || FALLBACK_PREFILL_RATE)
    const recompute = Math.max(0, request.promptTokens - blocks * BLOCK_TOKENS) * perToken
    const expected = candidate.queuedTokens * perToken + recompute + candidate.distanceMilliseconds
    const score = expected + (RECOMPUTE_WEIGHT - 1) * recompute
    estimates.push({ candidate, blocks, expected, score, weight: 0 })
    mostBlocks = Math.max(mostBlocks, blocks)
  }
  const key = affinityKey(request.blockKeys, mostBlocks) ?? random().toString(16)
  for (const found of estimates) found.weight = rendezvousWeight(key, found.candidate.upstream)
  return estimates
}

/**
 * Key for the rendezvous order: the first block that nobody has, or the last one. The first block of the prompt would
 * send whatever a customer adds to its common prefix to the same upstreams. Undefined when there is no full block; a
 * random key then spreads such prompts evenly.
 */
function affinityKey (blockKeys: readonly string[], mostBlocks: number): string | undefined {
  return blockKeys[Math.min(Math.floor(mostBlocks), blockKeys.length - 1)]
}

/** The better of the two first in rendezvous order. */
function chooseCold (ranked: readonly Estimate[]): Estimate {
  const first = ranked[0]!
  const second = ranked[1]
  return second !== undefined && second.score + TIE_MILLISECONDS < first.score ? second : first
}

/** The best holder, unless its queue costs more than recomputing at the first non-holder in rendezvous order. */
function chooseWarm (holder: Estimate, ranked: readonly Estimate[]): Estimate {
  const other = ranked[0]
  return other !== undefined && other.score + TIE_MILLISECONDS < holder.score ? other : holder
}

function decisionFor (chosen: Estimate, estimates: readonly Estimate[]): RoutingDecision {
  return {
    upstream: chosen.candidate.upstream,
    incarnation: chosen.candidate.incarnation,
    expectedBlocks: chosen.blocks,
    expectedMilliseconds: chosen.expected,
    alternatives: estimates
      .filter(other => other !== chosen)
      .sort(byScore)
      .map(({ candidate }) => candidate.upstream)
  }
}

/** Near ties go to the higher rendezvous weight, so that all instances agree without communicating. */
function byScore (left: Estimate, right: Estimate): number {
  const leftStep = Math.floor(left.score / TIE_MILLISECONDS)
  const rightStep = Math.floor(right.score / TIE_MILLISECONDS)
  return leftStep - rightStep || byWeight(left, right)
}

function byWeight (left: Estimate, right: Estimate): number {
  return right.weight - left.weight || (left.candidate.upstream < right.candidate.upstream ? -1 : 1)
}
