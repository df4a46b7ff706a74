/** `/healthz`: the process answers. `/readyz`: it can serve requests and is not stopping. */
import { NotReadyError } from '../errors'
import { ExecutionStatus } from '../types'
import { sendWhole } from './exchange'
import type { ExchangeHandler } from './exchange'

/** Seconds after which a caller that met a starting instance may try again. */
const STARTING_RETRY_SECONDS = 1

export const handleHealth: ExchangeHandler = async (exchange) => {
  sendWhole(exchange, 200, { 'content-type': 'application/json' }, '{"status":"ok"}')
}

/** `reasonNotReady` returns undefined when requests can be served. */
export function createReadinessHandler (reasonNotReady: () => string | undefined): ExchangeHandler {
  return async (exchange) => {
    const reason = reasonNotReady()
    if (reason !== undefined) throw notReady(reason)
    sendWhole(exchange, 200, { 'content-type': 'application/json' }, '{"status":"ready"}')
  }
}

export function notReady (reason: string): NotReadyError {
  return new NotReadyError(reason, { execution: ExecutionStatus.notRun, retryAfterSeconds: STARTING_RETRY_SECONDS })
}
