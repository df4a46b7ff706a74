/** Decides the next step after a failed attempt: another attempt, a resumed stream, or the final error. */
import type { ExecutionStatus, MonotonicMilliseconds } from '../types'
import { EndReason } from './endReason'
import { executionOf } from './execution'
import type { AttemptFailure } from './execution'

/**
 * Maximum number of attempts for one request, including the first. Once a part of the response was delivered, attempts
 * that were certainly not sent do not count: an upstream that is full would otherwise end a stream with time left. Nor do
 * attempts that were cancelled because another one answered; `mayRunBeside` bounds their number.
 */
export const MAXIMUM_ATTEMPTS = 4

/** Length of a silence, in multiples of the limit for pauses, after which the upstream of a begun stream is probably lost. */
export const LOST_AFTER_PAUSES = 3

/** Added to the pause before a started stream is sent again, for each refusal in a row, and the maximum pause. */
const REFUSAL_PAUSE_MS = 100
const MAXIMUM_REFUSAL_PAUSE_MS = 1000

/** Number of refusals in a row after which a started stream may return to an upstream that has failed it. */
const REFUSALS_BEFORE_RETURN = 2

export interface RequestProgress {
  /** Whether repeating the request has no additional effect on the upstream. Completions are idempotent. */
  idempotent: boolean
  failures: readonly AttemptFailure[]
  /** Number of chunks already forwarded to the caller. */
  deliveredChunks: number
  deadline: MonotonicMilliseconds
  callerDisconnected: boolean
  /** Whether this request has crashed the maximum number of upstreams permitted for one request. */
  crashing: boolean
}

export type NextStep =
  | { kind: 'giveUp', reason: EndReason, execution: ExecutionStatus }
  /** Restart the request on any version, since the caller has received nothing yet. */
  | { kind: 'restart', exclude: readonly string[] }
  /**
   * Resume after the last delivered chunk on the same version, after `pauseMilliseconds`. Upstreams in `excludeStrictly`
   * are used only if no other is usable; those in `exclude`, only if no other than these is.
   */
  | { kind: 'resume', exclude: readonly string[], excludeStrictly: readonly string[], pauseMilliseconds: number }

/**
 * Decides the next step. `takeRetryToken` is called at most once, and only when everything else permits another
 * attempt. A started stream is resumed even without a token, because the caller already received a part of the response
 * and the number of attempts limits the additional load.
 */
export function decideNextStep (
  progress: RequestProgress, takeRetryToken: () => boolean, now: MonotonicMilliseconds
): NextStep {
  const execution = executionOf(progress.failures)
  const reason = endReason(progress, now)
  if (reason !== undefined) return { kind: 'giveUp', reason, execution }
  const hasToken = takeRetryToken()
  const exclude = upstreamsOf(progress.failures)
  if (progress.deliveredChunks > 0) return resumeStep(progress.failures, exclude)
  return hasToken ? { kind: 'restart', exclude } : { kind: 'giveUp', reason: EndReason.retryBudget, execution }
}

/** Attempts of a request that run without an answer. */
export interface SilentAttempts {
  running: number
  /** Length of the silence of the leading one, in multiples of the limit for pauses. */
  pauses: number
}

/**
 * Returns whether another attempt may run beside silent ones. The last attempt is kept for the case that all of them
 * fail, since it would otherwise be missing then because of silences after which the upstreams went on.
 *
 * Attempts that were cancelled because another one answered count until the upstream is probably lost. Beyond them, each
 * one doubles the silence that is needed, so that their number is bounded by the logarithm of the time limit, and a
 * stream is not held at a lost upstream because of earlier pauses.
 */
export function mayRunBeside (
  { failures, deadline, crashing }: Pick<RequestProgress, 'failures' | 'deadline' | 'crashing'>,
  { running, pauses }: SilentAttempts, now: MonotonicMilliseconds
): boolean {
  if (crashing || now >= deadline || failedAttempts(failures).length + running >= MAXIMUM_ATTEMPTS - 1) return false
  const sent = sentAttempts(failures).length
  if (sent + running < MAXIMUM_ATTEMPTS - 1) return true
  return pauses > LOST_AFTER_PAUSES * 2 ** Math.max(0, sent - (MAXIMUM_ATTEMPTS - 2))
}

/** Returns the pause in milliseconds after the refusals since the last attempt that was sent. */
export function refusalPause (failures: readonly AttemptFailure[]): number {
  return Math.min(MAXIMUM_REFUSAL_PAUSE_MS, refusalsInRow(failures) * REFUSAL_PAUSE_MS)
}

function refusalsInRow (failures: readonly AttemptFailure[]): number {
  return failures.length - 1 - failures.findLastIndex(({ progress }) => progress !== 'notSent')
}

export function upstreamsOf (failures: readonly AttemptFailure[]): readonly string[] {
  return [...new Set(failures.map(({ upstream }) => upstream))]
}

/** Returns the attempts that may have reached an upstream. */
function sentAttempts (failures: readonly AttemptFailure[]): readonly AttemptFailure[] {
  return failures.filter(({ progress }) => progress !== 'notSent')
}

/** Returns the attempts that may have reached an upstream and were not cancelled. */
function failedAttempts (failures: readonly AttemptFailure[]): readonly AttemptFailure[] {
  return sentAttempts(failures).filter(({ cancelled }) => cancelled !== true)
}

/**
 * Returns the resumption of a started stream. Its last attempt is kept for an upstream that has not failed it, because
 * an upstream that resets each attempt would otherwise use up all of them while others are full.
 */
function resumeStep (failures: readonly AttemptFailure[], exclude: readonly string[]): NextStep {
  const sent = sentAttempts(failures)
  const isLast = failedAttempts(failures).length >= MAXIMUM_ATTEMPTS - 1
  const mayReturn = refusalsInRow(failures) >= REFUSALS_BEFORE_RETURN && !isLast
  return {
    kind: 'resume',
    exclude,
    excludeStrictly: mayReturn ? [] : upstreamsOf(sent),
    pauseMilliseconds: refusalPause(failures)
  }
}

function endReason (progress: RequestProgress, now: MonotonicMilliseconds): EndReason | undefined {
  if (progress.callerDisconnected) return EndReason.callerDisconnected
  if (progress.crashing) return EndReason.crashing
  const sent = sentAttempts(progress.failures)
  if (!progress.idempotent && sent.length > 0) return EndReason.notRepeatable
  const counted = progress.deliveredChunks > 0 ? failedAttempts(progress.failures) : progress.failures
  if (counted.length >= MAXIMUM_ATTEMPTS) return EndReason.attemptsUsed
  if (now >= progress.deadline) return EndReason.deadline
  return undefined
}
