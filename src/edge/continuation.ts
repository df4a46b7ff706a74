/** Decides whether a request may go on at another upstream, and what ends it otherwise. */
import type { MonotonicMilliseconds } from '../types'
import { findKeyObstacle } from './admission'
import type { Attempt } from './attempt'
import {
  AttemptOutcome, endsRequest, findObstacle, isProbablyLost, isStalled, mayRunAgain, maySendAgain, Obstacle,
  type AttemptHistory
} from './attemptDecision'
import type { CallerResponse } from './callerResponse'
import type { CrashGuard } from './crashGuard'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { NO_RETRY, RetryPurpose, type GrantedRetry } from './retryAllowance'
import type { TargetSelection } from './targetSelection'
import type { Instant } from './types'
import { isSilent } from './upstreamDirectory'

export interface ContinuationOptions {
  admittedRequest: AdmittedRequest
  callerResponse: Pick<CallerResponse, 'hasStarted'>
  history: AttemptHistory
  targets: Pick<TargetSelection, 'canMove'>
  crashGuard: Pick<CrashGuard, 'mayCrashAgain'>
  /** Returns the remaining time of the request in milliseconds. */
  timeLeft: () => number
  /** Returns the attempt in progress. */
  attempt: () => Attempt | undefined
}

export interface Continuation {
  /** Records that an upstream has received the request, regardless of whether it ran it. Each later attempt is a retry. */
  recordArrival: () => void
  /** Whether the allowance of the instance permits another attempt. */
  canSend: (now: MonotonicMilliseconds) => boolean
  /** Takes another attempt from the allowance if it is a retry; returns undefined if the allowance does not permit it. */
  takeRetry: (now: MonotonicMilliseconds) => GrantedRetry | undefined
  /** Returns the obstacle that ends the request after an attempt; undefined if the request goes on or waits. */
  findEndAfter: (outcome: AttemptOutcome, now: MonotonicMilliseconds) => Obstacle | undefined
  /** Returns the obstacle that ends the request; undefined if it waits until the given one has passed. */
  findEnd: (obstacle: Obstacle, now: MonotonicMilliseconds) => Obstacle | undefined
  /**
   * Whether the request could be sent to another upstream now while its attempt makes no progress.
   * @param silenced the attempt, if its upstream is silent and may have crashed
   */
  canMove: (now: Instant, silenced?: Attempt) => boolean
  /** Whether the request may be sent to another upstream while its attempt makes no progress. */
  mayTakeOver: () => boolean
  isStalledAt: (attempt: Attempt, now: Instant) => boolean
  /** Whether the attempt in progress is not stalled, or no longer. */
  isProgressing: (now: Instant) => boolean
}

export function createContinuation (context: ExchangeContext, options: ContinuationOptions): Continuation {
  const { retryAllowance, share } = context
  const { admittedRequest, callerResponse, history, targets, crashGuard, timeLeft, attempt } = options
  const { service } = admittedRequest
  let hasArrived = false

  /** Whether the request goes on as long as it can: its stream has begun, or an attempt was cancelled. */
  function isOwed (): boolean {
    return callerResponse.hasStarted() || history.cancellations > 0
  }

  function retryPurpose (now: MonotonicMilliseconds): RetryPurpose {
    const current = attempt()
    if (current !== undefined && !isProbablyLost(now - current.lastProgressAt)) return RetryPurpose.takeover
    return current === undefined && isOwed() ? RetryPurpose.continuation : RetryPurpose.repetition
  }

  function canSend (now: MonotonicMilliseconds): boolean {
    return !hasArrived || retryAllowance.canRetry(service, retryPurpose(now), share(), now)
  }

  /** Returns the limit of time or retries that keeps the request from being sent once more; undefined if none does. */
  function findLimit (now: MonotonicMilliseconds): Obstacle | undefined {
    if (timeLeft() <= 0) return Obstacle.timeLimit
    return canSend(now) ? undefined : Obstacle.retryAllowance
  }

  function isStalledAt ({ upstream, lastProgressAt }: Attempt, now: Instant): boolean {
    return isStalled(history.repeat, now.steady - lastProgressAt, timeLeft(), isSilent(upstream, now.steady))
  }

  return {
    recordArrival () { hasArrived = true },
    canSend,
    takeRetry: (now) => (
      hasArrived ? retryAllowance.tryRetry(service, retryPurpose(now), share(), now) : NO_RETRY
    ),
    findEndAfter (outcome, now) {
      // The upstream may have crashed because of this request, and the next one might as well.
      if (outcome !== AttemptOutcome.notRun && crashGuard.mayCrashAgain(now)) return Obstacle.crashes
      const obstacle = findObstacle(outcome, history) ?? findLimit(now)
      return obstacle !== undefined && endsRequest(obstacle, isOwed()) ? obstacle : undefined
    },
    findEnd (obstacle, now) {
      if (attempt() !== undefined || endsRequest(obstacle, isOwed())) return obstacle
      return crashGuard.mayCrashAgain(now) ? Obstacle.crashes : undefined
    },
    canMove: (now, silenced) => (
      timeLeft() > 0 && findKeyObstacle(context, admittedRequest, now) === undefined &&
      !crashGuard.mayCrashAgain(now.steady, silenced) && canSend(now.steady) && targets.canMove(now)
    ),
    mayTakeOver: () => callerResponse.hasStarted() ? mayRunAgain(history) : maySendAgain(history),
    isStalledAt,
    isProgressing (now) {
      const current = attempt()
      return current !== undefined && !isStalledAt(current, now)
    }
  }
}
