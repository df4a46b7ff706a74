/** Prepares the next attempt of a request: checks that it may be sent, selects the upstream and gets the permits. */
import { findKeyObstacle } from './admission'
import { Obstacle } from './attemptDecision'
import type { Backlog } from './backlog'
import type { CrashGuard } from './crashGuard'
import { EdgeEvent } from './events'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { createFaultContainment } from './faultContainment'
import { decideShedding } from './loadShedding'
import type { PacerDecision } from './requestPacer'
import type { Target, TargetSelection } from './targetSelection'
import type { MonotonicMilliseconds } from '../types'
import { RepeatRule, type Instant } from './types'
import { isUsable, type Upstream } from './upstreamDirectory'
import type { RefusedVerdict } from '../upstream/crashAttribution'
import { createRequestOrder } from './admissionOrder/requestOrder'
import type { OrderRefusal } from './admissionOrder/types'

/** Share of the time to the latency target for which a request waits while another one is tried; about one response. */
const TRIAL_WAIT_SHARE = 0.5
/** Interval in milliseconds between looks for an upstream. */
const WAIT_POLL_MS = 50

/** Reasons in the log for a request that may not be sent to any listed upstream. */
const UNPERMITTED_REASONS: Readonly<Partial<Record<Obstacle, string>>> = {
  [Obstacle.homes]: 'no upstream is in an allowed region',
  [Obstacle.evacuated]: 'the data centres of the upstreams are evacuated'
}
/** Reason in the log for a request whose customer may no longer be served. */
const KEY_NOT_VALID = 'the key could not be revalidated'
/** Reason in the log for a request that was not repeated. */
const NO_RETRY_LEFT = 'no retry is left in the allowance'
/** Reason in the log for a request that was not sent to an upstream before the instance stops. */
const STOPPING = 'the instance is stopping'

/** One of them is called once for each preparation that is not cancelled, except for `onFault`. */
export interface PreparationCallbacks {
  onReady: (upstream: Upstream, now: Instant) => void
  /** No upstream may get the request now. */
  onUnavailable: (reason: string, obstacle: Obstacle) => void
  /** Upstreams crash when they answer such requests. */
  onConvicted: (verdict: RefusedVerdict) => void
  /** Upstreams may crash when they answer such requests, and the outcome of another one did not come in time. */
  onSuspected: (trait: string) => void
  /** The engines are overloaded. */
  onShed: (expectedWait: number, retryAfter: number) => void
  /** The admission order refuses the request. */
  onRefusedInOrder: (refusal: OrderRefusal) => void
  onFault: (error: unknown) => void
}

export interface PreparationOptions {
  admittedRequest: AdmittedRequest
  targets: TargetSelection
  crashGuard: CrashGuard
  backlog: Backlog
  /** Returns the remaining time of the request in milliseconds. */
  timeLeft: () => number
  /** Whether an upstream may have run the request. */
  hasRun: () => boolean
  /** Whether the retry allowance permits another attempt. */
  canSend: (now: MonotonicMilliseconds) => boolean
  /** Returns the obstacle that ends the request; undefined if it waits until the given one has passed. */
  findEnd: (obstacle: Obstacle, now: MonotonicMilliseconds) => Obstacle | undefined
}

export interface AttemptPreparation {
  start: () => void
  /** Whether a preparation waits for a permit or an upstream. */
  isInProgress: () => boolean
  /** Ends a preparation in progress; no callback is called for it any more. */
  cancel: () => void
}

export function createAttemptPreparation (
  context: ExchangeContext, options: PreparationOptions,
  callbacks: PreparationCallbacks
): AttemptPreparation {
  const { admittedRequest, targets, crashGuard, backlog, timeLeft, hasRun } = options
  const { route, service, callerRequest } = admittedRequest
  /** Drawn once, so that further selections do not make it more likely that the request is rejected. */
  const sheddingDraw = context.random()
  const order = createRequestOrder(context, admittedRequest, timeLeft, () => { endHold(holds) })
  const contain = createFaultContainment(callbacks.onFault)
  let isCancelled = false
  let isInProgress = false
  /** Number of the newest hold; an earlier one has ended. */
  let holds = 0
  let timer: NodeJS.Timeout | undefined

  /** Whether the first attempt would start after the instance has ceased to accept requests. */
  function isTooLate (): boolean {
    return context.isRejecting() && !hasRun()
  }

  function conclude (report: () => void): void {
    isInProgress = false
    report()
  }

  function reportUnavailable (reason: string, obstacle: Obstacle): void {
    conclude(() => { callbacks.onUnavailable(reason, obstacle) })
  }

  /** After the process was busy, timers come before what has arrived meanwhile, which is read first. */
  function runLater (action: () => void, milliseconds: number): void {
    const act = contain(() => { if (!isCancelled) action() })
    timer = setTimeout(() => { setImmediate(act) }, milliseconds)
  }

  /** Looks for an upstream again later, if the request may wait. */
  function waitOrReport (reason: string, obstacle: Obstacle, now: MonotonicMilliseconds): void {
    const end = options.findEnd(obstacle, now)
    if (end !== undefined) return reportUnavailable(reason, end)
    targets.permitAgain()
    runLater(start, WAIT_POLL_MS)
  }

  function start (): void {
    const now = context.now()
    isInProgress = true
    const keyObstacle = findKeyObstacle(context, admittedRequest, now)
    if (keyObstacle !== undefined) return waitOrReport(KEY_NOT_VALID, keyObstacle, now.steady)
    if (isTooLate()) return reportUnavailable(STOPPING, Obstacle.stopping)
    const conviction = crashGuard.findConviction(hasRun(), now.steady)
    if (conviction !== undefined) return conclude(() => { callbacks.onConvicted(conviction) })
    const suspect = crashGuard.missingPermit(now.steady)
    if (suspect !== undefined) return waitForTrial(suspect)
    if (!options.canSend(now.steady)) return waitOrReport(NO_RETRY_LEFT, Obstacle.retryAllowance, now.steady)
    // Before an upstream is chosen: those that are full turn calls away for a moment and can then not be chosen.
    if (order.isOrdered && !hasRun()) {
      const decision = order.decide(now.steady)
      if (!decision.admitted && decision.holdFor > 0) return hold(decision.holdFor)
      if (!decision.admitted) return conclude(() => { callbacks.onRefusedInOrder(decision) })
    }
    const target = targets.select(now, crashGuard.suspectTrait(now.steady))
    if (target === undefined) {
      const listed = context.directory.listed(service).map(({ entry }) => entry.dataCentre)
      const obstacle = context.destinations.findObstacle(listed, admittedRequest) ??
        (listed.length > 0 ? Obstacle.noneUsable : Obstacle.noneListed)
      return waitOrReport(UNPERMITTED_REASONS[obstacle] ?? targets.failureReason(), obstacle, now.steady)
    }
    if (!order.isInForce && route.repeat === RepeatRule.stream && !hasRun()) {
      const expectedWait = backlog.expectedWait(now.steady)
      const shedding = decideShedding(expectedWait, route.latencyTarget, sheddingDraw)
      if (shedding.shed) return conclude(() => { callbacks.onShed(expectedWait, shedding.retryAfter) })
    }
    const { upstream } = target
    if (!context.sendPermits.isNeeded(upstream.entry)) return conclude(() => { callbacks.onReady(upstream, now) })
    context.sendPermits.acquire(upstream.entry, target.maximumPermitWait)
      .then((decision) => { handlePermit(target, decision) })
      .catch(callbacks.onFault)
  }

  /** Decides again by the newest load after `milliseconds`, or earlier if the request gets a place. */
  function hold (milliseconds: number): void {
    holds += 1
    const number = holds
    runLater(() => {
      context.engineLoads.refresh().catch(context.reportFault)
        .then(() => { endHold(number) }).catch(callbacks.onFault)
    }, milliseconds)
  }

  function endHold (number: number): void {
    if (number !== holds || isCancelled) return
    holds += 1
    clearTimeout(timer)
    runLater(start, 0)
  }

  /** Waits until no other request with a suspect trait is in flight. */
  function waitForTrial (trait: string): void {
    crashGuard.waitForPermit(trait, Math.min(timeLeft(), route.latencyTarget) * TRIAL_WAIT_SHARE)
      .then((isPermitted) => {
        if (isCancelled) return
        if (isPermitted) start()
        else conclude(() => { callbacks.onSuspected(trait) })
      })
      .catch(callbacks.onFault)
  }

  function handlePermit ({ upstream }: Target, { granted, wait }: PacerDecision): void {
    if (isCancelled) return
    if (granted) {
      const usableUntil = context.now().steady + wait + context.sendPermits.validity(upstream.entry)
      runLater(() => { sendWithPermit(upstream, usableUntil) }, wait)
      return
    }
    context.log(EdgeEvent.permitDenied, {
      requestIdentifier: callerRequest.identifier ?? '', upstream: upstream.entry.identifier, wait: Math.round(wait)
    })
    targets.recordDenial(upstream, wait, context.now().steady)
    start()
  }

  /** Continues unless the upstream has become unusable during the wait for the permit. */
  function sendWithPermit (upstream: Upstream, usableUntil: MonotonicMilliseconds): void {
    const now = context.now()
    const isCurrent = context.directory.listed(service).includes(upstream) && isUsable(upstream, now.steady) &&
      context.destinations.isPermitted(upstream.entry.dataCentre, admittedRequest)
    // Permits that were used late would come together with those of the following second.
    if (isCurrent && now.steady > usableUntil) targets.recordDenial(upstream, 0, now.steady)
    const isAuthorized = findKeyObstacle(context, admittedRequest, now) === undefined
    const isTimely = now.steady <= usableUntil
    const isBlocked = crashGuard.isBlocked(now.steady) || isTooLate()
    if (!isCurrent || !isTimely || isBlocked || !isAuthorized) return start()
    conclude(() => { callbacks.onReady(upstream, now) })
  }

  return {
    start,
    isInProgress: () => isInProgress,
    cancel () {
      isCancelled = true
      isInProgress = false
      clearTimeout(timer)
      order.leave()
    }
  }
}
