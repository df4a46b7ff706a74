/** Selects the upstream for each attempt of a request. */
import type { RequestTokens } from './attempt'
import { heldTokensOf } from './engineRoom/engineUse'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { preferWarm } from './coldStart/warmPreference'
import { placeRequest, waitCost, type PlacementRequest } from './placement'
import { urgencyOf } from './promptPlan'
import { runKey } from './requestLimits'
import { rankByRendezvous } from '../rendezvous'
import type { MonotonicMilliseconds } from '../types'
import type { Instant } from './types'
import { isQuiet, type Upstream } from './upstreamDirectory'

/** Grace period in milliseconds after a new weights version was announced; until then older weights rank equally. */
const OUTDATED_WEIGHTS_GRACE_MS = 1200
/** Share of the outdated weights limit after which an engine is not used; the rest is reserved for its queue. */
const OUTDATED_WEIGHTS_SHARE = 0.85
/**
 * Share of the time to the latency target for which a request may wait for a permit while all upstreams have named
 * request limits; the rest is left for the upstream. Less urgent requests wait for a fraction of it, so that the most
 * urgent ones get the permits when there are too few.
 */
const PERMIT_WAIT_SHARE = 0.5
/** Permits that may be denied before no more are asked for; each denial costs a round trip between instances. */
const MAX_PERMIT_DENIALS = 3
/**
 * Milliseconds after which an upstream that turned a request away may get it again; doubles with each time. Slots of an
 * engine become free within a few hundred milliseconds.
 */
const TURNED_AWAY_PAUSE_MS = 250
/** Longest such pause. */
const MAX_TURNED_AWAY_PAUSE_MS = 1000
/** Fraction of a prompt up to which it does not matter for the learned speed whether it is cached. */
const MAX_UNKNOWN_SHARE = 0.05
/** Longest time in milliseconds that a denial is relied on; the limit or the instance that denied it may change. */
const MAX_DENIAL_MS = 1000

export interface Target {
  upstream: Upstream
  /** Longest time in milliseconds that the request waits for a permit of the upstream. */
  maximumPermitWait: number
}

export interface TargetSelection {
  /** Records the demand for the shared prefix; called once, before the first selection. */
  start: (now: MonotonicMilliseconds) => void
  /**
   * Returns undefined if no upstream may get the request now.
   * @param suspectTrait trait of the request that may crash upstreams; all instances send such requests to the same
   * upstream, so that one crash at a time results
   */
  select: (now: Instant, suspectTrait?: string) => Target | undefined
  /** Permits only upstreams that may have run the request, and runs that replaced them, or all others too. */
  restrictToFormer: (isRestricted: boolean) => void
  /**
   * Whether the request, which waits at an upstream that makes no progress, could go on at another one now. One that is
   * quiet as well may have the same trouble.
   */
  canMove: (now: Instant) => boolean
  /** Excludes this run of the upstream from further selections, as one that may run the request. */
  markTried: (upstream: Upstream) => void
  /** Records that the request was not sent to the upstream after all. */
  markUnsent: (upstream: Upstream) => void
  /**
   * Permits this run of the upstream again after a pause, because it turned the request away.
   * @param rejections number of times that the request has been turned away
   */
  markTurnedAway: (upstream: Upstream, rejections: number, now: MonotonicMilliseconds) => void
  /**
   * Permits all upstreams again that may have run the request or denied it a permit; it goes on where it can.
   * @param current upstream of the attempt in progress, which is not permitted
   */
  permitAgain: (current?: Upstream) => void
  /** Records that the upstream has no permit within the permitted wait; its next one is free in `wait` milliseconds. */
  recordDenial: (upstream: Upstream, wait: number, now: MonotonicMilliseconds) => void
  /** Returns why no upstream was selected, for the log. */
  failureReason: () => string
  /** Returns the number of engines that should hold the shared prefix. */
  replicas: () => number
  /** Returns the tokens that the request uses at the upstream selected last. */
  tokens: () => RequestTokens
  /** Returns the prompt tokens that this upstream has not cached; undefined if that is not known. */
  knownUncachedTokens: () => number | undefined
}

/** Requests without an urgency share one rank. */
export function urgencyRank (urgency: number | undefined): number {
  return urgency ?? 0
}

/** @param timeLeft returns the remaining time of the request in milliseconds */
export function createTargetSelection (
  context: ExchangeContext, admittedRequest: AdmittedRequest, timeLeft: () => number
): TargetSelection {
  const { callerRequest, route, customer, service, plan, body } = admittedRequest
  const { model } = callerRequest
  const rank = urgencyRank(urgencyOf(route, customer))
  /** Runs that got the request, and until when they are excluded; the next run of an upstream may get it, too. */
  const tried = new Map<string, MonotonicMilliseconds>()
  /** Random number that keeps all attempts on the same version of a service during a service rollout. */
  const versionDraw = context.random()
  /** Number of attempts at each upstream that may have run the request, by its identifier. */
  const former = new Map<string, number>()
  let isRestricted = false
  let replicas = 1
  let denials = 0
  /** Whether the upstream selected last should have the shared prefix in its cache; undefined without a prefix. */
  let isHolder: boolean | undefined
  const ownTokens = Math.max(0, plan.promptTokens - plan.sharedTokens)
  const heldTokens = heldTokensOf(plan.promptTokens, callerRequest.tokens?.output ?? 0)

  /** Returns the longest time in milliseconds for which newer weights than the upstream's may have been announced. */
  function outdatedWeightsAge (upstream: Upstream, now: Instant): number {
    const loaded = model === undefined ? undefined : upstream.weights.get(model)
    return loaded === undefined ? 0 : context.weightsRollout.supersededFor(model!, loaded, now)
  }

  function isPermitted ({ entry }: Upstream, now: MonotonicMilliseconds): boolean {
    const isFormer = (former.get(entry.identifier) ?? 0) > 0
    return (!isRestricted || isFormer) && now >= (tried.get(runKey(entry)) ?? -Infinity)
  }

  function countFormer ({ entry: { identifier } }: Upstream, change: 1 | -1): void {
    former.set(identifier, (former.get(identifier) ?? 0) + change)
  }

  function needsPermit ({ entry }: Upstream): boolean {
    return context.sendPermits.isNeeded(entry)
  }

  function longestPermitWait (): number {
    return Math.min(timeLeft(), route.latencyTarget) * PERMIT_WAIT_SHARE / (1 + rank)
  }

  /** Returns the upstreams that may get the request, and the longest time in milliseconds that it waits for a permit. */
  function findCandidates (now: Instant): { candidates: readonly Upstream[], maximumPermitWait: number } {
    const maximumAge = context.outdatedWeightsLimit * OUTDATED_WEIGHTS_SHARE
    const usable = context.directory.usable(service, now.steady).filter((upstream) => (
      isPermitted(upstream, now.steady) && outdatedWeightsAge(upstream, now) < maximumAge &&
      context.destinations.isPermitted(upstream.entry.dataCentre, admittedRequest)
    ))
    // The version is chosen first: a request limit on one version must not move its traffic to the other one.
    const eligible = context.serviceRollouts.eligible(service, usable, versionDraw, now.steady)
    // A request does not wait for a permit while another upstream takes it at once.
    const maximumPermitWait = eligible.every(needsPermit) ? longestPermitWait() : 0
    const candidates = eligible.filter((upstream) => (
      !needsPermit(upstream) ||
      (denials < MAX_PERMIT_DENIALS && upstream.nextPermitAt - now.steady <= maximumPermitWait)
    ))
    return { candidates, maximumPermitWait }
  }

  return {
    start (now) {
      if (plan.prefixKey === undefined) return
      context.crossing.recordPrefix(service, plan.prefixKey)
      replicas = context.prefixDemand.replicasFor({
        subject: plan.prefixKey,
        ownTokens,
        instances: context.instanceCount(),
        millisecondsPer1000Tokens: context.engineSpeeds.medianOf(service, now)
      }, now)
    },
    select (now, suspectTrait) {
      const { candidates: all, maximumPermitWait } = findCandidates(now)
      const awake = tried.size === 0 ? all : all.filter((upstream) => !isQuiet(upstream, now.steady))
      const candidates = awake.length > 0 ? awake : all
      if (suspectTrait !== undefined) {
        const [first] = rankByRendezvous(suspectTrait, candidates.map(({ entry }) => entry.identifier))
        const upstream = candidates.find(({ entry }) => entry.identifier === first)
        isHolder = false
        return upstream === undefined ? undefined : { upstream, maximumPermitWait }
      }
      const request: PlacementRequest = {
        prefixKey: plan.prefixKey,
        sharedTokens: plan.sharedTokens,
        promptTokens: plan.promptTokens,
        heldTokens,
        capacityOf: context.engineRoom.capacityOf,
        crossingCost: undefined,
        isRankedPerDataCentre: false,
        speeds: plan.promptTokens > 0 ? context.engineSpeeds.ofService(service, now.steady) : undefined,
        dataCentre: context.dataCentre,
        urgency: rank,
        replicas,
        draw: context.random(),
        loadingEngines: context.loadingEngines(),
        hasOutdatedWeights: (candidate) => outdatedWeightsAge(candidate, now) > OUTDATED_WEIGHTS_GRACE_MS,
        inFlight: context.admissionOrder === undefined || plan.promptTokens > 0
          ? undefined
          : (candidate) => context.admissionOrder!.places.inFlight(candidate, now.steady)
      }
      const crossing = context.crossing.choose({
        service,
        prefixKey: plan.prefixKey,
        sharedTokens: plan.sharedTokens,
        missCost: plan.sharedTokens / 1000 * context.engineSpeeds.medianOf(service, now.steady),
        bytes: body?.length ?? 0,
        latencyTarget: route.latencyTarget,
        draw: context.random(),
        waitAt: (candidate) => waitCost(request, candidate, now.steady)
      }, candidates, now.steady)
      const placement = preferWarm(crossing.candidates, (among) => placeRequest({
        ...request,
        replicas: Math.ceil(replicas * crossing.holderShare),
        crossingCost: crossing.cost,
        isRankedPerDataCentre: crossing.isRankedPerDataCentre
      }, among, now.steady), {
        isCold: ({ entry }) => context.coldLimits.limitOf(entry, now.steady) !== undefined,
        urgency: rank,
        latencyTarget: route.latencyTarget
      }, now.steady)
      isHolder = placement?.isHolder
      return placement === undefined ? undefined : { upstream: placement.upstream, maximumPermitWait }
    },
    canMove: (now) => findCandidates(now).candidates.some((upstream) => !isQuiet(upstream, now.steady)),
    restrictToFormer (value) { isRestricted = value },
    markTried (upstream) {
      tried.set(runKey(upstream.entry), Infinity)
      countFormer(upstream, 1)
    },
    markUnsent (upstream) { countFormer(upstream, -1) },
    markTurnedAway (upstream, rejections, now) {
      const pause = Math.min(MAX_TURNED_AWAY_PAUSE_MS, TURNED_AWAY_PAUSE_MS * 2 ** (rejections - 1))
      tried.set(runKey(upstream.entry), now + pause)
    },
    permitAgain (current) {
      const kept = current === undefined ? undefined : runKey(current.entry)
      denials = 0
      for (const [run, excludedUntil] of tried) if (excludedUntil === Infinity && run !== kept) tried.delete(run)
    },
    recordDenial (upstream, wait, now) {
      denials += 1
      upstream.nextPermitAt = now + Math.min(MAX_DENIAL_MS, wait)
    },
    failureReason: () => (
      context.directory.listed(service).some(needsPermit)
        ? 'no upstream is usable within its request limit'
        : 'no upstream is usable'
    ),
    replicas: () => replicas,
    tokens: () => ({
      prompt: plan.promptTokens,
      uncached: isHolder === true ? ownTokens : plan.promptTokens,
      held: heldTokens
    }),
    knownUncachedTokens () {
      if (plan.sharedTokens <= plan.promptTokens * MAX_UNKNOWN_SHARE) return plan.promptTokens
      return isHolder === true ? ownTokens : undefined
    }
  }
}
