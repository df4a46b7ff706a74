/** Decides the next step after a failed attempt: another attempt, a resumed stream, or the final error. */
import type { ExecutionStatus, MonotonicMilliseconds } from '../types'
import { executionOf } from './execution'
import type { AttemptFailure } from './execution'

/** Maximum number of attempts for one request, including the first. */
export const MAXIMUM_ATTEMPTS = 4

/** Reason why no further attempt is made. */
export const AbortReason = {
  notRepeatable: 'not_repeatable',
  attemptsUsed: 'attempts_used',
  deadline: 'deadline',
  retryBudget: 'retry_budget',
  crashing: 'crashing',
  callerDisconnected: 'caller_gone'
} as const
export type AbortReason = typeof AbortReason[keyof typeof AbortReason]

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
  | { kind: 'giveUp', reason: AbortReason, execution: ExecutionStatus }
  /** Restart the request on any version, since the caller has received nothing yet. */
  | { kind: 'restart', exclude: readonly string[] }
  /** Resume after the last delivered chunk on the same version. */
  | { kind: 'resume', exclude: readonly string[] }

/**
 * Decides the next step. `takeRetryToken` is called at most once, and only when everything else permits another
 * attempt. A started stream is resumed even without a token, because the caller already received a part of the response
 * and the number of attempts limits the additional load.
 */
export function decideNextStep (
  progress: RequestProgress, takeRetryToken: () => boolean, now: MonotonicMilliseconds
): NextStep {
  const execution = executionOf(progress.failures)
  const reason = abortReason(progress, now)
  if (reason !== undefined) return { kind: 'giveUp', reason, execution }
  const hasToken = takeRetryToken()
  const exclude = [...new Set(progress.failures.map((failure) => failure.upstream))]
  if (progress.deliveredChunks > 0) return { kind: 'resume', exclude }
  return hasToken ? { kind: 'restart', exclude } : { kind: 'giveUp', reason: AbortReason.retryBudget, execution }
}

function abortReason (progress: RequestProgress, now: MonotonicMilliseconds): AbortReason | undefined {
  if (progress.callerDisconnected) return AbortReason.callerDisconnected
  if (progress.crashing) return AbortReason.crashing
  const mayHaveRun = progress.failures.some((failure) => failure.progress !== 'notSent')
  if (!progress.idempotent && mayHaveRun) return AbortReason.notRepeatable
  if (progress.failures.length >= MAXIMUM_ATTEMPTS) return AbortReason.attemptsUsed
  if (now >= progress.deadline) return AbortReason.deadline
  return undefined
}
