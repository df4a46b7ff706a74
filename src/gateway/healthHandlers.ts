/** Handlers of `/healthz` (the process responds) and `/readyz` (it can serve requests and is not shutting down). */
import { NotReadyError } from '../errors'
import { ExecutionStatus } from '../types'
import { sendResponse } from './exchange'
import type { ExchangeHandler } from './exchange'

/** Retry-After in seconds for requests to an instance that is still starting. */
const STARTING_RETRY_SECONDS = 1

export const handleHealth: ExchangeHandler = async (exchange) => {
  sendResponse(exchange, 200, { 'content-type': 'application/json' }, '{"status":"ok"}')
}

/** Creates the readiness handler. `reasonNotReady` returns undefined if requests can be served. */
export function createReadinessHandler (reasonNotReady: () => string | undefined): ExchangeHandler {
  return async (exchange) => {
    const reason = reasonNotReady()
    if (reason !== undefined) throw notReady(reason)
    sendResponse(exchange, 200, { 'content-type': 'application/json' }, '{"status":"ready"}')
  }
}

export function notReady (reason: string): NotReadyError {
  return new NotReadyError(reason, { execution: ExecutionStatus.notRun, retryAfterSeconds: STARTING_RETRY_SECONDS })
}
