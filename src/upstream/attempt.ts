/** Failures of attempts at an upstream, with how far each attempt got. */
import {
  RouterError, StreamIntegrityError, UpstreamFailedError, UpstreamTimeoutError
} from '../errors'
import type { ExecutionStatus } from '../types'
import type { AttemptProgress } from './types'

interface AttemptDetail {
  progress: AttemptProgress
  leaving: boolean
}

const details = new WeakMap<object, AttemptDetail>()

/** Records how far the attempt got that ended with this error. */
export function markAttempt<Failure extends RouterError> (
  error: Failure, progress: AttemptProgress, leaving: boolean = false
): Failure {
  details.set(error, { progress, leaving })
  return error
}

/** How far the attempt got; `maybeStarted` for errors that no attempt produced, which is the careful answer. */
export function progressOf (error: unknown): AttemptProgress {
  return detailOf(error)?.progress ?? 'maybeStarted'
}

/** Whether the upstream refused the request because it takes no new work. */
export function reportsLeaving (error: unknown): boolean {
  return detailOf(error)?.leaving ?? false
}

function detailOf (error: unknown): AttemptDetail | undefined {
  return typeof error === 'object' && error !== null ? details.get(error) : undefined
}

function executionFor (progress: AttemptProgress): ExecutionStatus {
  return progress === 'notSent' ? 'not_run' : 'unknown'
}

export function timeoutError (limit: string, progress: AttemptProgress): UpstreamTimeoutError {
  return markAttempt(new UpstreamTimeoutError(`upstream: ${limit} time limit passed`, {
    execution: executionFor(progress)
  }), progress)
}

export function connectionError (detail: string, progress: AttemptProgress, cause?: unknown): UpstreamFailedError {
  return markAttempt(new UpstreamFailedError(`upstream: ${detail}`, {
    execution: executionFor(progress), cause
  }), progress)
}

/** The upstream reported that the request ran and failed. */
export function executionError (detail: string): UpstreamFailedError {
  return markAttempt(new UpstreamFailedError(`upstream: ${detail}`, { execution: 'failed' }), 'started')
}

export function integrityError (detail: string): StreamIntegrityError {
  return markAttempt(new StreamIntegrityError(`upstream: ${detail}`, { execution: 'unknown' }), 'started')
}

/** The caller gave up. Keeps the caller's own error when the signal carries one. */
export function abortedError (signal: AbortSignal, progress: AttemptProgress): RouterError {
  const reason: unknown = signal.reason
  // An error shared by several attempts cannot carry the progress of each of them.
  const shared = reason instanceof RouterError && details.has(reason)
  if (reason instanceof RouterError && !shared) return markAttempt(reason, progress)
  return connectionError('cancelled by the caller', progress, reason)
}
