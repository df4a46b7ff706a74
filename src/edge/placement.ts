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
 * - Long prompts: they fill the memory of engines that still have slots. An engine without room for a request is passed
 *   over while another one has room.
 * - Engines of different speed: once their speeds are learned, the wait is expected from the uncached tokens at each engine
 *   and its speed, and prefixes are distributed in proportion to the speeds.
 * - Short calls to plain services: the least busy upstream, with a preference for the local data centre.
 */
import { rendezvousWeight } from '../rendezvous'
import type { MonotonicMilliseconds } from '../types'
import { expectedUse } from './engineRoom/engineUse'
import type { EngineCapacity } from './types'
import { DEFAULT_MILLISECONDS_PER_1000_TOKENS, type ServiceSpeeds } from './engineSpeed/engineSpeeds'
import { currentWait, expectedPendingTokens, isFleetLoadKnown, type Upstream } from './upstreamDirectory'

/** Cost in milliseconds of an upstream in another data centre: one round trip between data centres. */
const REMOTE_DATA_CENTRE_PENALTY_MS = 5
/**
 * Cost in milliseconds of a request in flight at a plain service: the usual duration of a call, divided by its slots.
 */
const IN_FLIGHT_CALL_MS = 20
/**
 * Cost of fetching or recomputing shared tokens relative to their prefill, from the engines' prefill rate and the links
 * to the store.
 */
const PREFIX_MISS_RATIO = 1.5
/**
 * Milliseconds by which the next engine in rank must be better, so that a prefix does not move with every load peak.
 */
const SWITCH_MARGIN_MS = 40
/** Growth of the cost of a lower-ranked engine with each rank, so that a hot prefix spreads to few engines first. */
const RANK_PENALTY_GROWTH = 0.3
/** Cost in milliseconds of an engine under a command to load weights; about the duration of a load. */
const LOADING_PENALTY_MS = 1000
/** Cost in milliseconds of an upstream that another instance cannot reach: a connection attempt without success. */
const SUSPECTED_PENALTY_MS = 400
/**
 * Cost in milliseconds of an engine without room for the request, which waits there until others end or is turned away.
 */
const NO_ROOM_PENALTY_MS = 1000
/** Cost in milliseconds of outdated weights; a response computed on old weights loses a fifth of its value. */
const OUTDATED_WEIGHTS_PENALTY_MS = 250
/** The same cost while few engines have the new weights; the first requests would form a queue there. */
const EARLY_OUTDATED_WEIGHTS_PENALTY_MS = 150
/**
 * Fraction of engines with newer weights from which these are preferred; they then have room for a third more requests.
 */
const MAJORITY_FRACTION = 0.75
/** Upper bound of rendezvous weights, exclusive of 0 when added to 1. */
const MAX_RENDEZVOUS_WEIGHT = 2 ** 32 + 1

export interface PlacementRequest {
  /** Cache scope and last shared prompt segment of the request; undefined when it shares no segment. */
  prefixKey: string | undefined
  sharedTokens: number
  /** All tokens of the prompt, shared ones included; 0 for a plain call. */
  promptTokens: number
  /** Prompt and expected output, as an engine holds them in its memory; 0 for a plain call. */
  heldTokens: number
  /** Returns what an engine can hold. */
  capacityOf: (upstream: Upstream) => Pick<EngineCapacity, 'memoryTokens' | 'slots'>
  /**
   * Returns the cost in milliseconds of the way to an upstream; undefined if only plain calls prefer the own data centre.
   */
  crossingCost: ((upstream: Upstream) => number) | undefined
  /** Whether each data centre has its own holders of a prefix. */
  isRankedPerDataCentre: boolean
  /** Learned speeds of the engines; undefined while the constant holds. */
  speeds: ServiceSpeeds | undefined
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

export interface Placement {
  upstream: Upstream
  /** Whether the upstream should have the shared prefix in its cache; undefined without a prefix. */
  isHolder: boolean | undefined
}

/** Returns the candidates from a random one on, so that instances with the same counts do not choose the same one. */
function inTurn ({ inFlight, draw }: PlacementRequest, candidates: readonly Upstream[]): readonly Upstream[] {
  const first = inFlight === undefined ? 0 : Math.floor(draw * candidates.length)
  return first === 0 ? candidates : [...candidates.slice(first), ...candidates.slice(0, first)]
}

type Cost = (upstream: Upstream) => number

/** Returns the upstream that should get the request; undefined without candidates. */
export function placeRequest (
  request: PlacementRequest, candidates: readonly Upstream[], now: MonotonicMilliseconds
): Placement | undefined {
  const ranks = request.prefixKey === undefined ? undefined : rankByKey(request, request.prefixKey, candidates)
  const cost = ranks === undefined ? loadCost(request, now) : prefixCost(request, ranks, candidates, now)
  let best: Upstream | undefined
  let lowestCost = Infinity
  for (const upstream of inTurn(request, candidates)) {
    const total = cost(upstream) + roomCost(request, upstream, now) +
      (now < upstream.suspectedUntil ? SUSPECTED_PENALTY_MS : 0)
    if (best !== undefined && total >= lowestCost) continue
    best = upstream
    lowestCost = total
  }
  if (best === undefined) return undefined
  const rank = ranks?.get(best)
  return { upstream: best, isHolder: rank === undefined ? undefined : rank < request.replicas }
}

/** Returns the cost of sending the request to an engine that has no memory or slot for it; it grows with the excess. */
function roomCost (
  { heldTokens, capacityOf }: PlacementRequest, upstream: Upstream, now: MonotonicMilliseconds
): number {
  if (heldTokens === 0) return 0
  const { memoryTokens, slots } = capacityOf(upstream)
  // Without a configured memory nothing is known of the engine.
  if (memoryTokens === Infinity) return 0
  const use = expectedUse(upstream, now)
  const ratio = Math.max((use.heldTokens + heldTokens) / memoryTokens, (use.requests + 1) / slots)
  return ratio <= 1 ? 0 : NO_ROOM_PENALTY_MS * ratio
}

function loadCost (request: PlacementRequest, now: MonotonicMilliseconds): Cost {
  const { inFlight = (upstream: Upstream) => upstream.inFlight } = request
  return (upstream) => (
    expectedWait(request, upstream, now) +
    (request.crossingCost === undefined
      ? inFlight(upstream) * IN_FLIGHT_CALL_MS / upstream.entry.slots +
        (upstream.entry.dataCentre === request.dataCentre ? 0 : REMOTE_DATA_CENTRE_PENALTY_MS)
      : callCost(upstream, now) + request.crossingCost(upstream))
  )
}

/** Returns the milliseconds that the calls in flight at a plain upstream take, of all instances if that is known. */
function callCost (upstream: Upstream, now: MonotonicMilliseconds): number {
  return expectedUse(upstream, now).requests * IN_FLIGHT_CALL_MS / upstream.entry.slots
}

/**
 * Returns the milliseconds that the request would wait at an upstream, apart from the way there. For a plain call these
 * follow from the calls in flight alone: the observed time to the first byte is mostly that of the call itself.
 */
export function waitCost (request: PlacementRequest, upstream: Upstream, now: MonotonicMilliseconds): number {
  if (request.promptTokens === 0) return callCost(upstream, now)
  return expectedWait(request, upstream, now) + roomCost(request, upstream, now) +
    (request.loadingEngines.has(upstream) ? LOADING_PENALTY_MS : 0)
}

/**
 * Returns the milliseconds until the upstream would have processed the own part of the prompt, or until it would begin
 * while speeds are not known.
 */
function expectedWait (
  { prefixKey, promptTokens, sharedTokens, speeds, urgency }: PlacementRequest, upstream: Upstream,
  now: MonotonicMilliseconds
): number {
  const observed = currentWait(upstream, urgency, now)
  if (speeds !== undefined) {
    const tokens = expectedUse(upstream, now).prefillTokens + Math.max(0, promptTokens - sharedTokens)
    return Math.max(observed, tokens / 1000 * speeds.of(upstream))
  }
  if (prefixKey === undefined) return observed
  return observed + expectedPendingTokens(upstream, now) / 1000 * DEFAULT_MILLISECONDS_PER_1000_TOKENS
}

/**
 * Ranks the engines for a prefix. The share of prefixes for which an engine ranks first is in proportion to its speed
 * (weighted rendezvous hashing), and a changed speed moves only the prefixes that make up the difference.
 */
function rankByKey (
  { speeds, isRankedPerDataCentre }: PlacementRequest, prefixKey: string, candidates: readonly Upstream[]
): ReadonlyMap<Upstream, number> {
  const nextRanks = new Map<string, number>()
  const score = (upstream: Upstream): number => {
    const weight = rendezvousWeight(prefixKey, upstream.entry.identifier)
    return speeds === undefined ? weight : Math.log((weight + 1) / MAX_RENDEZVOUS_WEIGHT) / speeds.relative(upstream)
  }
  return new Map(candidates
    .map((upstream) => ({ upstream, score: score(upstream) }))
    .sort((one, other) => other.score - one.score)
    .map(({ upstream }, rank) => {
      if (!isRankedPerDataCentre) return [upstream, rank]
      const { dataCentre } = upstream.entry
      const rankThere = nextRanks.get(dataCentre) ?? 0
      nextRanks.set(dataCentre, rankThere + 1)
      return [upstream, rankThere]
    }))
}

function prefixCost (
  request: PlacementRequest, ranks: ReadonlyMap<Upstream, number>, candidates: readonly Upstream[],
  now: MonotonicMilliseconds
): Cost {
  const preferredRank = Math.floor(request.draw * Math.min(request.replicas, candidates.length))
  const missCost = SWITCH_MARGIN_MS + request.sharedTokens / 1000 * PREFIX_MISS_RATIO *
    (request.speeds?.median ?? DEFAULT_MILLISECONDS_PER_1000_TOKENS)
  const outdated = new Set(candidates.filter((upstream) => request.hasOutdatedWeights(upstream)))
  const isFleetLoadAvailable = candidates.some((upstream) => isFleetLoadKnown(upstream, now))
  const earlyPenalty = isFleetLoadAvailable ? EARLY_OUTDATED_WEIGHTS_PENALTY_MS : 0
  const outdatedPenalty = outdated.size <= candidates.length * (1 - MAJORITY_FRACTION)
    ? OUTDATED_WEIGHTS_PENALTY_MS
    : earlyPenalty
  return (upstream) => {
    const rank = ranks.get(upstream)!
    return expectedWait(request, upstream, now) +
      (request.crossingCost?.(upstream) ?? 0) +
      rankPenalty(rank, preferredRank, request.replicas, missCost) +
      (outdated.has(upstream) ? outdatedPenalty : 0) +
      (request.loadingEngines.has(upstream) ? LOADING_PENALTY_MS : 0)
  }
}

function rankPenalty (rank: number, preferredRank: number, replicas: number, missCost: number): number {
  if (rank === preferredRank) return 0
  return rank < replicas ? SWITCH_MARGIN_MS : missCost * (1 + RANK_PENALTY_GROWTH * rank)
}
