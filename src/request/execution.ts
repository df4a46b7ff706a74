/** Works out what may be said about the execution of a request from how far each of its attempts got. */
import { ExecutionStatus } from '../types'
import type { AttemptProgress } from '../upstream/types'

/** How one attempt ended without an answer. */
export interface AttemptFailure {
  upstream: string
  progress: AttemptProgress
  /** True when the upstream itself reported that it ran the request and failed. */
  reportedFailure: boolean
}

/**
 * Folds the attempts into one status. `not_run` needs every attempt to have ended before it was sent; `failed` needs
 * every attempt that was sent to have been reported as failed by its upstream.
 */
export function executionOf (failures: readonly AttemptFailure[]): ExecutionStatus {
  const sent = failures.filter((failure) => failure.progress !== 'notSent')
  if (sent.length === 0) return ExecutionStatus.notRun
  return sent.every((failure) => failure.reportedFailure) ? ExecutionStatus.failed : ExecutionStatus.unknown
}
