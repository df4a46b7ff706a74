/**
 * Rollouts of services to a new software version: selects the upstreams that a request may use, and decides when the
 * lease holder sends more traffic to the new version, completes the rollout or rolls it back.
 *
 * Load patterns:
 * - A version that fails or is slow from the start, on one route, or under load: the share grows in steps while the
 *   responses of both versions are compared, so that the fault is detected before much traffic is affected.
 * - A version that fails only under all traffic: the old version keeps running until the new one has been observed
 *   under all traffic for a while.
 * - The lease holder is lost: without updates all traffic returns to the old version, which is still running. The next
 *   holder observes the share that it finds for as long as if it had set the share itself.
 * - The old upstreams stop when the rollout completes: their running requests finish first.
 */
import type { MonotonicMilliseconds } from '../types'
import { parseEra } from './storeEra/storeEra'
import type { Upstream } from './upstreamDirectory'
import { ServiceRolloutState, type ServiceRolloutRequest, type ServiceRolloutStatus } from './types'

/** Shares of the traffic on the new version, in ascending order. */
const SHARES: readonly number[] = [0.08, 0.25, 0.5, 1]
/** Fraction of the rollout's duration spent at the first share, at which most faults show. */
const FIRST_SHARE_FRACTION = 0.2
/** Fraction of the rollout's duration spent at each later share. */
const LATER_SHARE_FRACTION = 0.08
/** Minimum time in milliseconds at a share; samples of all instances arrive about once per second. */
const MIN_STEP_MS = 1500
/**
 * Fraction of the rollout's duration to wait for the last requests on the old version; the instances that forward them
 * may be unreachable.
 */
const DRAIN_FRACTION = 0.25
/** Number of upstreams with the new version, as a fraction of those with the old one, required for the first share. */
const MIN_UPSTREAMS_FIRST_SHARE = 0.3
/** The same fraction required for all traffic; shares in between require a proportional part. */
const MIN_UPSTREAMS_FULL_SHARE = 0.75
/** Time in milliseconds for which an update of the lease holder is valid. It sends several in that time. */
const UPDATE_VALIDITY_MS = 2000

/** Number of earlier requests per service that are remembered, so that a restored row is not taken for a new request. */
const MAX_EARLIER_REQUESTS = 8

/** Update on a rollout that the lease holder publishes to the other instances. */
export interface RolloutUpdate {
  service: string
  toVersion: string
  state: ServiceRolloutState
  share: number
  /** The final state has been written to the store. */
  reported: boolean
}

/** Observations on which the lease holder bases its next step. */
export interface RolloutObservations {
  /** Description for the log of a fault detected in the new version; undefined if there is none. */
  fault: string | undefined
  /** There is no evidence that leans towards a fault. */
  isHealthy: boolean
  /** Number of requests in flight on the old version at all instances; undefined if any instance has not responded. */
  oldInFlight: number | undefined
  oldUpstreams: number
  newUpstreams: number
}

export type RolloutStep = { kind: 'share', share: number } | { kind: 'complete' } | { kind: 'takeBack', reason: string }

interface Rollout {
  request: ServiceRolloutRequest
  /** Position, over all eras of the store, of the row that requested the rollout. */
  rowVersion: number
  /** The store has begun another era, and the request has not been seen in it yet. */
  isKept: boolean
  /** Requests for the service before this one, newest last. */
  earlier: readonly ServiceRolloutRequest[]
  /** Undefined while it is unknown whether the rollout has started or ended. */
  state: ServiceRolloutState | undefined
  reported: boolean
  share: number
  confirmedAt: MonotonicMilliseconds
  /** When the lease holder set the current share. */
  shareSince: MonotonicMilliseconds
}

export interface ServiceRollouts {
  /**
   * Adds a request of the operator; returns false if it is already known.
   * @param rowVersion position of its row over all eras of the store
   * @param isRestored whether the row may be an older one, from the copy with which an era of the store began
   */
  addRequest: (
    request: ServiceRolloutRequest, rowVersion: number, now: MonotonicMilliseconds, isRestored?: boolean
  ) => boolean
  /** Keeps the rollouts over a change of the store's era; their stored states may be lost and are reported again. */
  startNewEra: () => void
  /** Applies the stored status of a service; undefined if there is none. */
  applyStoredStatus: (service: string, status: ServiceRolloutStatus | undefined, rowVersion: number) => void
  /** Applies an update published by the lease holder. */
  applyUpdate: (updates: RolloutUpdate, now: MonotonicMilliseconds) => void
  /**
   * Returns the services whose rollout has not ended, or whose final state is not stored yet, as far as this instance
   * knows.
   */
  pending: () => string[]
  /** Whether a rollout of the service has been requested and has not ended. */
  isRollingOut: (service: string) => boolean
  requestOf: (service: string) => ServiceRolloutRequest | undefined
  hasTargetVersion: (upstream: Upstream) => boolean
  /**
   * Returns the upstreams that a request may use.
   * @param draw random number in [0, 1), the same for all attempts of a request
   */
  eligible: (
    service: string, upstreams: readonly Upstream[], draw: number, now: MonotonicMilliseconds
  ) => readonly Upstream[]
  /**
   * Starts leading the rollout. This instance has not observed the current share yet. If no update has confirmed the
   * share recently, all instances have returned to the old version.
   */
  takeOver: (service: string, now: MonotonicMilliseconds) => void
  /** Confirms the current shares as the lease holder; called whenever updates are published. */
  renewShares: (now: MonotonicMilliseconds) => void
  /** Returns the next step of the lease holder; undefined while it waits. */
  nextStep: (service: string, observed: RolloutObservations, now: MonotonicMilliseconds) => RolloutStep | undefined
  /** Sets the share as the lease holder. */
  setShare: (service: string, share: number, now: MonotonicMilliseconds) => void
  /** Ends the rollout for the requests of this instance. */
  end: (service: string, state: ServiceRolloutState) => void
  /** Returns the state in which the rollout ended; undefined while it is running. */
  finalState: (service: string) => ServiceRolloutState | undefined
  /** Records that the final state is stored. */
  markReported: (service: string) => void
  /** Returns the updates that the lease holder publishes. */
  updates: () => RolloutUpdate[]
  /** Resets the shares when this instance loses the lease. */
  reset: () => void
}

/**
 * Returns undefined if the content is not a valid update. What a holder reported in an earlier era of the store does not
 * count as reported, since it may be lost.
 * @param era current era; holders of releases without eras name none
 */
export function parseRolloutUpdate (
  content: Readonly<Record<string, unknown>>, era: number
): RolloutUpdate | undefined {
  const { service, toVersion, state, share, reported } = content
  const known = Object.values(ServiceRolloutState).find((one) => one === state)
  if (typeof service !== 'string' || typeof toVersion !== 'string' || known === undefined) return undefined
  if (typeof share !== 'number' || share < 0 || share > 1 || typeof reported !== 'boolean') return undefined
  const isOutdated = (parseEra(content.era) ?? era) < era
  return { service, toVersion, state: known, share, reported: reported && !isOutdated }
}

function isSameRequest (one: ServiceRolloutRequest, other: ServiceRolloutRequest): boolean {
  return one.service === other.service && one.toVersion === other.toVersion && one.duration === other.duration
}

function hasEnded (rollout: Rollout): boolean {
  return rollout.state === ServiceRolloutState.completed || rollout.state === ServiceRolloutState.rolledBack
}

export function createServiceRollouts (): ServiceRollouts {
  const rollouts = new Map<string, Rollout>()

  function hasTargetVersion ({ entry }: Upstream): boolean {
    return entry.softwareVersion === rollouts.get(entry.service)?.request.toVersion
  }

  /** Returns the preferred upstreams, or all if none is preferred. */
  function prefer (upstreams: readonly Upstream[], isPreferred: (upstream: Upstream) => boolean): readonly Upstream[] {
    const preferred = upstreams.filter(isPreferred)
    return preferred.length > 0 ? preferred : upstreams
  }

  function dwellTime (rollout: Rollout): number {
    const fraction = rollout.share === SHARES[0] ? FIRST_SHARE_FRACTION : LATER_SHARE_FRACTION
    return Math.max(MIN_STEP_MS, rollout.request.duration * fraction)
  }

  /** Returns the share that applies at this instance. */
  function currentShare ({ share, confirmedAt }: Rollout, now: MonotonicMilliseconds): number {
    return now - confirmedAt < UPDATE_VALIDITY_MS ? share : 0
  }

  function stepAtFullShare (
    rollout: Rollout, { oldInFlight }: RolloutObservations, timeAtShare: number
  ): RolloutStep | undefined {
    const isDrained = oldInFlight === 0 || timeAtShare >= rollout.request.duration * DRAIN_FRACTION
    return isDrained && timeAtShare >= dwellTime(rollout) ? { kind: 'complete' } : undefined
  }

  return {
    addRequest (request, rowVersion, now, isRestored = false) {
      const present = rollouts.get(request.service)
      if (present !== undefined && present.rowVersion >= rowVersion) return false
      if (present?.isKept === true) {
        if (isSameRequest(present.request, request)) {
          Object.assign(present, { rowVersion, isKept: false, reported: false })
          return false
        }
        if (isRestored && present.earlier.some((one) => isSameRequest(one, request))) return false
      }
      const earlier = present === undefined ? [] : [...present.earlier, present.request].slice(-MAX_EARLIER_REQUESTS)
      const initialState = { state: undefined, reported: false, share: 0, confirmedAt: -Infinity, shareSince: now }
      rollouts.set(request.service, { request, rowVersion, isKept: false, earlier, ...initialState })
      return true
    },
    startNewEra () {
      for (const rollout of rollouts.values()) Object.assign(rollout, { isKept: true, reported: false })
    },
    applyStoredStatus (service, status, rowVersion) {
      const rollout = rollouts.get(service)
      if (rollout === undefined) return
      // A status older than the request belongs to an earlier rollout.
      const belongsToRequest = status?.toVersion === rollout.request.toVersion && rowVersion > rollout.rowVersion
      if (!hasEnded(rollout)) rollout.state = belongsToRequest ? status.state : ServiceRolloutState.running
      rollout.reported = belongsToRequest && hasEnded(rollout) && status.state === rollout.state
    },
    applyUpdate ({ service, toVersion, state, share, reported }, now) {
      const rollout = rollouts.get(service)
      if (rollout?.request.toVersion !== toVersion) return
      if (!hasEnded(rollout)) Object.assign(rollout, { state, share, confirmedAt: now })
      if (state === rollout.state) rollout.reported ||= reported
    },
    pending: () => [...rollouts.values()].filter((rollout) => !rollout.reported).map(({ request }) => request.service),
    isRollingOut (service) {
      const rollout = rollouts.get(service)
      return rollout !== undefined && !hasEnded(rollout)
    },
    requestOf: (service) => rollouts.get(service)?.request,
    hasTargetVersion,
    eligible (service, upstreams, draw, now) {
      const rollout = rollouts.get(service)
      if (rollout === undefined) return upstreams
      if (
        rollout.state === ServiceRolloutState.rolledBack
      ) return upstreams.filter((upstream) => !hasTargetVersion(upstream))
      const usesNewVersion = rollout.state === ServiceRolloutState.completed || draw < currentShare(rollout, now)
      return prefer(upstreams, (upstream) => hasTargetVersion(upstream) === usesNewVersion)
    },
    takeOver (service, now) {
      const rollout = rollouts.get(service)
      if (rollout !== undefined) Object.assign(rollout, { share: currentShare(rollout, now), shareSince: now })
    },
    renewShares (now) {
      for (const rollout of rollouts.values()) rollout.confirmedAt = now
    },
    nextStep (service, observed, now) {
      const rollout = rollouts.get(service)
      if (rollout === undefined || hasEnded(rollout)) return undefined
      if (observed.fault !== undefined) return { kind: 'takeBack', reason: observed.fault }
      const next = SHARES.find((share) => share > rollout.share)
      const timeAtShare = now - rollout.shareSince
      if (next === undefined) return observed.isHealthy ? stepAtFullShare(rollout, observed, timeAtShare) : undefined
      const requiredFraction = rollout.share === 0 ? MIN_UPSTREAMS_FIRST_SHARE : next * MIN_UPSTREAMS_FULL_SHARE
      if (observed.newUpstreams < Math.max(1, observed.oldUpstreams * requiredFraction)) return undefined
      if (rollout.share > 0 && (!observed.isHealthy || timeAtShare < dwellTime(rollout))) return undefined
      return { kind: 'share', share: next }
    },
    setShare (service, share, now) {
      const rollout = rollouts.get(service)
      if (rollout !== undefined) Object.assign(rollout, { share, shareSince: now, confirmedAt: now })
    },
    end (service, state) {
      const rollout = rollouts.get(service)
      if (rollout !== undefined) rollout.state = state
    },
    finalState (service) {
      const rollout = rollouts.get(service)
      return rollout !== undefined && hasEnded(rollout) ? rollout.state : undefined
    },
    markReported (service) {
      const rollout = rollouts.get(service)
      if (rollout !== undefined) rollout.reported = true
    },
    updates: () => [...rollouts.values()].flatMap(({ request: { service, toVersion }, state, share, reported }) => (
      state === undefined ? [] : [{ service, toVersion, state, share, reported }]
    )),
    reset () {
      for (const rollout of rollouts.values()) Object.assign(rollout, { share: 0, confirmedAt: -Infinity })
    }
  }
}
