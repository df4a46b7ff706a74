/** Renders errors for callers: an HTTP status with a JSON error object, or an SSE event in mid-stream. */
import { InternalError, RouterError } from '../errors'
import { ExecutionStatus } from '../types'
import { sendWhole } from './exchange'
import type { Exchange } from './exchange'

/** Body of an error response and data of an SSE `error` event. */
export interface ErrorBody {
  error: {
    message: string
    type: string
    code: string
    execution: ExecutionStatus
    retry_after_seconds?: number
  }
}

/** Turns anything thrown into a `RouterError`; the message of an unforeseen error is not shown to callers. */
export function asRouterError (error: unknown): RouterError {
  return error instanceof RouterError ? error : new InternalError('internal error', { cause: error })
}

/** An error without an execution status reports `unknown`, since `not_run` must be certain. */
export function errorBodyOf (error: RouterError): ErrorBody {
  const retryAfter = error.retryAfterSeconds
  return {
    error: {
      message: error.message,
      type: error.name,
      code: error.code,
      execution: error.execution ?? ExecutionStatus.unknown,
      ...(retryAfter === undefined ? {} : { retry_after_seconds: roundRetryAfter(retryAfter) })
    }
  }
}

/** Sends the error as a whole response; has no effect when the response has begun. */
export function sendError (
  exchange: Exchange, thrown: unknown, headers: Readonly<Record<string, string>> = {}
): void {
  const error = asRouterError(thrown)
  const retryAfter = error.retryAfterSeconds
  sendWhole(exchange, error.httpStatus, {
    'content-type': 'application/json',
    ...(retryAfter === undefined ? {} : { 'retry-after': String(roundRetryAfter(retryAfter)) }),
    ...headers
  }, JSON.stringify(errorBodyOf(error)))
}

/** Text of the SSE event that ends a stream which cannot be completed. */
export function errorEventOf (thrown: unknown): string {
  return `event: error\ndata: ${JSON.stringify(errorBodyOf(asRouterError(thrown)))}\n\n`
}

/** Retry-After takes whole seconds. */
function roundRetryAfter (seconds: number): number {
  return Math.max(1, Math.ceil(seconds))
}
