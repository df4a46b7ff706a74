/** Errors of failed upstream attempts, annotated with the progress of the attempt. */
import {
  RouterError, StreamIntegrityError, UpstreamFailedError, UpstreamTimeoutError
} from '../errors'
import type { ExecutionStatus } from '../types'
import type { AttemptProgress } from './types'

interface AttemptDetail {
  progress: AttemptProgress
  leaving: boolean
}

const attemptDetails = new WeakMap<object, AttemptDetail>()

/** Attaches the progress of the failed attempt to its error. */
export function markAttempt<Failure extends RouterError> (
  error: Failure, progress: AttemptProgress, leaving: boolean = false
): Failure {
  attemptDetails.set(error, { progress, leaving })
  return error
}

/**
 * Returns the progress attached to an error. Errors without it count as `maybeStarted`, the conservative choice: the
 * request may have been executed.
 */
export function progressOf (error: unknown): AttemptProgress {
  return detailOf(error)?.progress ?? 'maybeStarted'
}

/** Returns whether the upstream rejected the request because it is draining. */
export function reportsLeaving (error: unknown): boolean {
  return detailOf(error)?.leaving ?? false
}

function detailOf (error: unknown): AttemptDetail | undefined {
  return typeof error === 'object' && error !== null ? attemptDetails.get(error) : undefined
}

function executionFor (progress: AttemptProgress): ExecutionStatus {
  return progress === 'notSent' ? 'not_run' : 'unknown'
}

export function timeoutError (limit: string, progress: AttemptProgress): UpstreamTimeoutError {
  return markAttempt(new UpstreamTimeoutError(`upstream: ${limit} time limit exceeded`, {
    execution: executionFor(progress)
  }), progress)
}

export function connectionError (detail: string, progress: AttemptProgress, cause?: unknown): UpstreamFailedError {
  return markAttempt(new UpstreamFailedError(`upstream: ${detail}`, {
    execution: executionFor(progress), cause
  }), progress)
}

/** Creates the error for a request that the upstream executed and reported as failed. */
export function executionError (detail: string): UpstreamFailedError {
  return markAttempt(new UpstreamFailedError(`upstream: ${detail}`, { execution: 'failed' }), 'started')
}

export function integrityError (detail: string): StreamIntegrityError {
  return markAttempt(new StreamIntegrityError(`upstream: ${detail}`, { execution: 'unknown' }), 'started')
}

/** Creates the error for an attempt aborted by its caller. Reuses the signal's reason when it is a `RouterError`. */
export function abortedError (signal: AbortSignal, progress: AttemptProgress): RouterError {
  const reason: unknown = signal.reason
  // Several attempts can be aborted with the same error object, which can hold the progress of only one of them.
  const shared = reason instanceof RouterError && attemptDetails.has(reason)
  if (reason instanceof RouterError && !shared) return markAttempt(reason, progress)
  return connectionError('cancelled by the caller', progress, reason)
}
