/** Decides the next step after a failed attempt: another attempt, a resumed stream, or the final error. */
import type { ExecutionStatus, MonotonicMilliseconds } from '../types'
import { EndReason } from './endReason'
import { executionOf } from './execution'
import type { AttemptFailure } from './execution'

/**
 * Maximum number of attempts for one request, including the first. Once a part of the response was delivered, attempts
 * that were certainly not sent do not count: an upstream that is full would otherwise end a stream with time left.
 */
export const MAXIMUM_ATTEMPTS = 4

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

/**
 * Returns whether another attempt may run beside `running` silent ones. The last attempt is kept for the case that all of
 * them fail, since it would otherwise be missing then because of silences after which the upstreams went on.
 */
export function mayRunBeside (
  { failures, deadline, crashing }: Pick<RequestProgress, 'failures' | 'deadline' | 'crashing'>, running: number,
  now: MonotonicMilliseconds
): boolean {
  return !crashing && now < deadline && sentAttempts(failures).length + running < MAXIMUM_ATTEMPTS - 1
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

/**
 * Returns the resumption of a started stream. Its last attempt is kept for an upstream that has not failed it, because
 * an upstream that resets each attempt would otherwise use up all of them while others are full.
 */
function resumeStep (failures: readonly AttemptFailure[], exclude: readonly string[]): NextStep {
  const sent = sentAttempts(failures)
  const mayReturn = refusalsInRow(failures) >= REFUSALS_BEFORE_RETURN && sent.length < MAXIMUM_ATTEMPTS - 1
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
  const counted = progress.deliveredChunks > 0 ? sent : progress.failures
  if (counted.length >= MAXIMUM_ATTEMPTS) return EndReason.attemptsUsed
  if (now >= progress.deadline) return EndReason.deadline
  return undefined
}
