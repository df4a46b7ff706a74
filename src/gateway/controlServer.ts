/** HTTP server for operators: `GET /control/status` and `POST /control/keys`. Accessible only from the operator's network. */
import { z } from 'zod'
import { InvalidRequestError, MethodNotAllowedError, NotFoundError } from '../errors'
import { ExecutionStatus } from '../types'
import type { KeyRecord } from '../types'
import { createCallerServer } from './callerServer'
import type { CallerServer } from './callerServer'
import { readBody, sendResponse } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'
import { handleHealth } from './healthHandlers'

/** Maximum size of a list of keys in bytes. 10,000 records take about 2 MB. */
const MAXIMUM_KEYS_BYTES = 4 * 1024 * 1024

const keyRecords = z.array(z.object({
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  customer: z.string().min(1),
  state: z.enum(['granted', 'withdrawn']),
  version: z.int().min(0)
}))

export interface ControlServerOptions {
  createIdentifier: () => string
  /** Returns the current state of the instance as JSON data. */
  status: () => object
  /** Applies keys and forwards them to peers. Returns the response for the operator. */
  acceptKeys: (records: readonly KeyRecord[]) => object
  reportFault: (error: unknown, identifier: string) => void
}

export function createControlServer (options: ControlServerOptions): CallerServer {
  const handlers: Readonly<Record<string, { method: string, handle: ExchangeHandler }>> = {
    '/control/status': { method: 'GET', handle: async (exchange) => { sendJson(exchange, options.status()) } },
    '/control/keys': {
      method: 'POST',
      handle: async (exchange) => { sendJson(exchange, options.acceptKeys(await readKeys(exchange))) }
    },
    '/healthz': { method: 'GET', handle: handleHealth }
  }
  return createCallerServer({
    createIdentifier: options.createIdentifier,
    reportFault: options.reportFault,
    route (method, path) {
      const entry = handlers[path]
      if (entry === undefined) throw new NotFoundError(`no control path ${path}`, { execution: ExecutionStatus.notRun })
      if (entry.method !== method) {
        throw new MethodNotAllowedError(`${path} permits ${entry.method}`, { execution: ExecutionStatus.notRun })
      }
      return entry.handle
    }
  })
}

async function readKeys (exchange: Exchange): Promise<readonly KeyRecord[]> {
  const body = await readBody(exchange, MAXIMUM_KEYS_BYTES)
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch (cause) {
    throw new InvalidRequestError('the body is not valid JSON', { execution: ExecutionStatus.notRun, cause })
  }
  const result = keyRecords.safeParse(value)
  if (result.success) return result.data
  throw new InvalidRequestError(result.error.issues[0]?.message ?? 'malformed keys', { execution: ExecutionStatus.notRun })
}

function sendJson (exchange: Exchange, value: object): void {
  sendResponse(exchange, 200, { 'content-type': 'application/json' }, JSON.stringify(value))
}
