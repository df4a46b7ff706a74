/** Derives the execution status of a request from the progress of its attempts. */
import { ExecutionStatus } from '../types'
import type { AttemptProgress } from '../upstream/types'

/** An attempt that ended without a response. */
export interface AttemptFailure {
  upstream: string
  progress: AttemptProgress
  /** Whether the upstream reported that it executed the request and failed. */
  reportedFailure: boolean
  /** Whether the attempt was ended because another one of the request has answered. @default false */
  cancelled?: boolean
}

/**
 * Returns the combined status of all attempts. `not_run` requires that every attempt ended before it was sent; `failed`
 * requires that every attempt that was sent was reported as failed by its upstream.
 */
export function executionOf (failures: readonly AttemptFailure[]): ExecutionStatus {
  const sent = failures.filter((failure) => failure.progress !== 'notSent')
  if (sent.length === 0) return ExecutionStatus.notRun
  return sent.every((failure) => failure.reportedFailure) ? ExecutionStatus.failed : ExecutionStatus.unknown
}
