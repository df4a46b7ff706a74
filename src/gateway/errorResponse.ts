/** Renders errors for callers as an HTTP status with a JSON error object, or as an SSE event within a stream. */
import { InternalError, RouterError } from '../errors'
import { ExecutionStatus } from '../types'
import { sendResponse } from './exchange'
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

/** Converts any thrown value to a `RouterError`. Messages of unexpected errors are not exposed to callers. */
export function asRouterError (error: unknown): RouterError {
  return error instanceof RouterError ? error : new InternalError('internal error', { cause: error })
}

/** Errors without an execution status are reported as `unknown`, because `not_run` must be certain. */
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

/** Sends the error as a complete response. Has no effect if the response has already started. */
export function sendError (
  exchange: Exchange, thrown: unknown, headers: Readonly<Record<string, string>> = {}
): void {
  const error = asRouterError(thrown)
  const retryAfter = error.retryAfterSeconds
  sendResponse(exchange, error.httpStatus, {
    'content-type': 'application/json',
    ...(retryAfter === undefined ? {} : { 'retry-after': String(roundRetryAfter(retryAfter)) }),
    ...headers
  }, JSON.stringify(errorBodyOf(error)))
}

/** Renders the SSE event that ends an incomplete stream. */
export function errorEventOf (thrown: unknown): string {
  return `event: error\ndata: ${JSON.stringify(errorBodyOf(asRouterError(thrown)))}\n\n`
}

/** The `Retry-After` header only allows integer seconds. */
function roundRetryAfter (seconds: number): number {
  return Math.max(1, Math.ceil(seconds))
}
