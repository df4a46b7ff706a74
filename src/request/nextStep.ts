/** Decides what follows a failed attempt: another attempt, a resumed stream, or the final error. */
import type { ExecutionStatus, MonotonicMilliseconds } from '../types'
import { executionOf } from './execution'
import type { AttemptFailure } from './execution'

/** Attempts that one request may use, the first included. */
export const MAXIMUM_ATTEMPTS = 4

/** Why no further attempt is made. */
export const GiveUpReason = {
  notRepeatable: 'not_repeatable',
  attemptsUsed: 'attempts_used',
  deadline: 'deadline',
  retryBudget: 'retry_budget',
  crashing: 'crashing',
  callerGone: 'caller_gone'
} as const
export type GiveUpReason = typeof GiveUpReason[keyof typeof GiveUpReason]

export interface RequestProgress {
  /** True when repeating the request has no further effect on the upstream's side. Completions are idempotent. */
  idempotent: boolean
  failures: readonly AttemptFailure[]
  /** Chunks already passed on to the caller. */
  deliveredChunks: number
  deadline: MonotonicMilliseconds
  callerGone: boolean
  /** True when this request has brought down as many upstreams as one request may. */
  crashing: boolean
}

export type NextStep =
  | { kind: 'giveUp', reason: GiveUpReason, execution: ExecutionStatus }
  /** Start over; any version may be chosen, since the caller has seen nothing. */
  | { kind: 'restart', exclude: readonly string[] }
  /** Continue after the last delivered chunk on the same version. */
  | { kind: 'resume', exclude: readonly string[] }

/**
 * Decides the next step. `takeRetryToken` is called at most once, and only when everything else permits another attempt.
 * A stream that has begun is resumed even without a token, because the caller was promised the whole answer and the
 * number of attempts bounds the extra load.
 */
export function decideNextStep (
  progress: RequestProgress, takeRetryToken: () => boolean, now: MonotonicMilliseconds
): NextStep {
  const execution = executionOf(progress.failures)
  const reason = giveUpReason(progress, now)
  if (reason !== undefined) return { kind: 'giveUp', reason, execution }
  const hasToken = takeRetryToken()
  const exclude = [...new Set(progress.failures.map((failure) => failure.upstream))]
  if (progress.deliveredChunks > 0) return { kind: 'resume', exclude }
  return hasToken ? { kind: 'restart', exclude } : { kind: 'giveUp', reason: GiveUpReason.retryBudget, execution }
}

function giveUpReason (progress: RequestProgress, now: MonotonicMilliseconds): GiveUpReason | undefined {
  if (progress.callerGone) return GiveUpReason.callerGone
  if (progress.crashing) return GiveUpReason.crashing
  const mayHaveRun = progress.failures.some((failure) => failure.progress !== 'notSent')
  if (!progress.idempotent && mayHaveRun) return GiveUpReason.notRepeatable
  if (progress.failures.length >= MAXIMUM_ATTEMPTS) return GiveUpReason.attemptsUsed
  if (now >= progress.deadline) return GiveUpReason.deadline
  return undefined
}
