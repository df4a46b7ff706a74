/**
 * Chooses the upstream for a request.
 *
 * Load patterns behind these decisions:
 * - Long shared prompts, more of them than fit into the engines' caches: engines are ranked by rendezvous hashing of
 *   the last shared prompt segment, so that all instances choose the same engine without coordination.
 * - One hot prefix: its observed request rate determines how many of the top-ranked engines serve it, and a random draw
 *   spreads its requests over them. Each instance observes waits separately and with a delay, so balancing by waits
 *   alone would make all instances switch engines at the same time.
 * - A slow or crowded engine: requests move on to the next engine in rank once the wait exceeds the cost of fetching
 *   the segments there.
 * - A fleet of many instances: each instance sends an engine a request only every few seconds and cannot see its queue.
 *   The tokens pending prefill of all instances, fetched right before the choice, make the queue visible.
 * - A weights rollout: at first only a few engines have the new weights, and their caches are empty. Once most engines
 *   have the new weights, they are preferred by the full value of new weights. Before that the preference is smaller
 *   and applies only while the load of the fleet is known, so that requests do not crowd onto a few engines while the
 *   others are idle.
 * - Many upstreams lost or cut off at once: in a large fleet an instance reaches each of them for the first time only
 *   seconds later, and each such request waits for a connection without success. The notification of the first instance
 *   that fails steers the others away.
 * - Short calls to plain services: the least busy upstream, with a preference for the local data centre.
 */
import { rendezvousWeight } from '../rendezvous'
import type { MonotonicMilliseconds } from '../types'
import { currentWait, expectedPendingTokens, isFleetLoadKnown, type Upstream } from './upstreamDirectory'

/** Cost in milliseconds of an upstream in another data centre: one round trip between data centres. */
const REMOTE_DATA_CENTRE_PENALTY_MS = 5
/**
 * Cost in milliseconds of a request in flight at a plain service: the usual duration of a call, divided by its slots.
 */
const IN_FLIGHT_CALL_MS = 20
/**
 * Milliseconds to fetch or recompute 1,000 shared tokens, from the engines' prefill rate and the links to the store.
 */
const PREFIX_MISS_MS_PER_1000_TOKENS = 12
/**
 * Milliseconds by which the next engine in rank must be better, so that a prefix does not move with every load peak.
 */
const SWITCH_MARGIN_MS = 40
/** Growth of the cost of a lower-ranked engine with each rank, so that a hot prefix spreads to few engines first. */
const RANK_PENALTY_GROWTH = 0.3
/** Milliseconds to prefill 1,000 prompt tokens; the deployed engines prefill 80 to 160 tokens per millisecond. */
const PREFILL_MS_PER_1000_TOKENS = 8
/** Cost in milliseconds of an engine under a command to load weights; about the duration of a load. */
const LOADING_PENALTY_MS = 1000
/** Cost in milliseconds of an upstream that another instance cannot reach: a connection attempt without success. */
const SUSPECTED_PENALTY_MS = 400
/** Cost in milliseconds of outdated weights; a response computed on old weights loses a fifth of its value. */
const OUTDATED_WEIGHTS_PENALTY_MS = 250
/** The same cost while few engines have the new weights; the first requests would form a queue there. */
const EARLY_OUTDATED_WEIGHTS_PENALTY_MS = 150
/**
 * Fraction of engines with newer weights from which these are preferred; they then have room for a third more requests.
 */
const MAJORITY_FRACTION = 0.75

export interface PlacementRequest {
  /** Cache scope and last shared prompt segment of the request; undefined when it shares no segment. */
  prefixKey: string | undefined
  sharedTokens: number
  dataCentre: string
  /** Scheduling rank at the upstream; 0 is the most urgent. */
  urgency: number
  /** Number of engines that should cache the prefix, at least 1. */
  replicas: number
  /** Uniform in [0, 1). */
  draw: number
  /** Engines that reject requests because they load weights now or next. */
  loadingEngines: ReadonlySet<Upstream>
  /** Whether weights newer than the upstream's have been in force for a while. */
  hasOutdatedWeights: (upstream: Upstream) => boolean
  /** Returns the calls of all instances in flight at a plain upstream; undefined if only this instance's are counted. */
  inFlight?: ((upstream: Upstream) => number) | undefined
}

/** Returns the candidates in the order in which they should be tried. */
export function rankUpstreams (
  request: PlacementRequest, candidates: readonly Upstream[], now: MonotonicMilliseconds
): Upstream[] {
  return request.prefixKey === undefined
    ? rankByLoad(request, candidates, now)
    : rankByPrefix(request, request.prefixKey, candidates, now)
}

function sortByCost (
  candidates: readonly Upstream[], cost: (upstream: Upstream) => number, now: MonotonicMilliseconds
): Upstream[] {
  return candidates
    .map((upstream) => (
      { upstream, cost: cost(upstream) + (now < upstream.suspectedUntil ? SUSPECTED_PENALTY_MS : 0) }
    ))
    .sort((one, other) => one.cost - other.cost)
    .map(({ upstream }) => upstream)
}

function rankByLoad (
  request: PlacementRequest, candidates: readonly Upstream[], now: MonotonicMilliseconds
): Upstream[] {
  const { inFlight = (upstream: Upstream) => upstream.inFlight } = request
  // Instances with the same counts spread their calls over upstreams of equal cost.
  const first = request.inFlight === undefined ? 0 : Math.floor(request.draw * candidates.length)
  return sortByCost([...candidates.slice(first), ...candidates.slice(0, first)], (upstream) => (
    currentWait(upstream, request.urgency, now) +
    inFlight(upstream) * IN_FLIGHT_CALL_MS / upstream.entry.slots +
    (upstream.entry.dataCentre === request.dataCentre ? 0 : REMOTE_DATA_CENTRE_PENALTY_MS)
  ), now)
}

function rankByPrefix (
  request: PlacementRequest, prefixKey: string, candidates: readonly Upstream[], now: MonotonicMilliseconds
): Upstream[] {
  const ranks = new Map(candidates
    .map((upstream) => ({ upstream, weight: rendezvousWeight(prefixKey, upstream.entry.identifier) }))
    .sort((one, other) => other.weight - one.weight)
    .map(({ upstream }, rank) => [upstream, rank]))
  const preferredRank = Math.floor(request.draw * Math.min(request.replicas, candidates.length))
  const missCost = SWITCH_MARGIN_MS + request.sharedTokens / 1000 * PREFIX_MISS_MS_PER_1000_TOKENS
  const outdated = new Set(candidates.filter((upstream) => request.hasOutdatedWeights(upstream)))
  const isFleetLoadAvailable = candidates.some((upstream) => isFleetLoadKnown(upstream, now))
  const earlyPenalty = isFleetLoadAvailable ? EARLY_OUTDATED_WEIGHTS_PENALTY_MS : 0
  const outdatedPenalty = outdated.size <= candidates.length * (1 - MAJORITY_FRACTION)
    ? OUTDATED_WEIGHTS_PENALTY_MS
    : earlyPenalty
  return sortByCost(candidates, (upstream) => {
    const rank = ranks.get(upstream)!
    return currentWait(upstream, request.urgency, now) +
      expectedPendingTokens(upstream, now) / 1000 * PREFILL_MS_PER_1000_TOKENS +
      rankPenalty(rank, preferredRank, request.replicas, missCost) +
      (outdated.has(upstream) ? outdatedPenalty : 0) +
      (request.loadingEngines.has(upstream) ? LOADING_PENALTY_MS : 0)
  }, now)
}

function rankPenalty (rank: number, preferredRank: number, replicas: number, missCost: number): number {
  if (rank === preferredRank) return 0
  return rank < replicas ? SWITCH_MARGIN_MS : missCost * (1 + RANK_PENALTY_GROWTH * rank)
}
