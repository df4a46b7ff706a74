/** HTTP client of the platform. The wire format is described in `docs/protocol.md`. */
import { z } from 'zod'
import { createHttpConnections } from '../http/connections'
import type { ExchangeTrace } from '../http/connections'
import { readWholeBody } from '../http/responseBody'
import {
  InternalError, OutcomeUnknownError, PlatformUnavailableError, RouterError, TransactionConflictError
} from '../errors'
import { EXECUTION_HEADER } from '../constants'
import type { Endpoint } from '../types'
import type { PlatformClient, ReadOptions, ReadTableOptions, TableRow } from './types'

export interface HttpPlatformClientOptions {
  endpoint: Endpoint
  /** Timeout in milliseconds for connecting and sending the request. @default 1000 */
  connectTimeout?: number
  /** Timeout in milliseconds for the complete exchange. @default 5000 */
  totalTimeout?: number
  /** Maximum size of a response body in bytes. @default 67108864 */
  maximumResponseBytes?: number
  /**
   * Maximum number of concurrent requests. Further requests are rejected immediately, so that a slow platform does not
   * exhaust memory.
   * @default 256
   */
  maximumConcurrent?: number
}

const rowSchema = z.object({ key: z.string(), value: z.unknown(), version: z.number() })
const tableSchema = z.object({ rows: z.array(rowSchema) })
const commitSchema = z.object({ version: z.number() })
const errorSchema = z.object({ message: z.string() })
const endpointSchema = z.object({ host: z.string(), port: z.number() })
const listSchema = z.object({
  instances: z.array(z.object({
    name: z.string(),
    kind: z.enum(['router', 'engine', 'service']),
    dataCentre: z.string(),
    endpoint: endpointSchema,
    peerEndpoint: endpointSchema.optional(),
    state: z.enum(['live', 'leaving']),
    service: z.string().optional()
  })),
  asOf: z.number()
})

interface PlatformRequest {
  method: 'GET' | 'PUT' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string | Uint8Array
  /** True if the request may change state on the platform. */
  writes: boolean
}

interface PlatformResponse {
  status: number
  body: Uint8Array
}

/** Creates a client. Connections are opened on first use. */
export function createHttpPlatformClient (options: HttpPlatformClientOptions): PlatformClient {
  const {
    endpoint, connectTimeout = 1000, totalTimeout = 5000, maximumResponseBytes = 67_108_864, maximumConcurrent = 256
  } = options
  const connections = createHttpConnections()
  let activeRequests = 0

  async function send (request: PlatformRequest): Promise<PlatformResponse> {
    if (activeRequests >= maximumConcurrent) throw requestError(request, true, `${activeRequests} requests are running`)
    activeRequests++
    const abortController = new AbortController()
    // If this process was suspended, a response may already be waiting; read it before applying the timeout.
    const connectTimer = setTimeout(
      () => setImmediate(() => { if (!trace.sent) abortController.abort() }), connectTimeout
    )
    const totalTimer = setTimeout(() => setImmediate(() => abortController.abort()), totalTimeout)
    const trace: ExchangeTrace = { sent: false, onSent: () => clearTimeout(connectTimer) }
    try {
      const response = await connections.exchange({ endpoint, ...request, signal: abortController.signal, trace })
      const body = await readWholeBody(response.body, maximumResponseBytes)
      if (body === undefined) {
        response.body.destroy()
        throw requestError(request, false, `response exceeds ${maximumResponseBytes} bytes`)
      }
      if (response.statusCode >= 500) {
        throw requestError(request, response.headers[EXECUTION_HEADER] === 'not_run', `status ${response.statusCode}`)
      }
      return { status: response.statusCode, body }
    } catch (error) {
      if (error instanceof RouterError) throw error
      // Further requests on a pooled connection that stopped responding would fail as well.
      if (trace.sent && abortController.signal.aborted) connections.abandon(endpoint)
      throw requestError(
        request, !trace.sent, abortController.signal.aborted ? 'timed out' : 'connection failed', error
      )
    } finally {
      activeRequests--
      clearTimeout(connectTimer)
      clearTimeout(totalTimer)
    }
  }

  function requestError (request: PlatformRequest, notRun: boolean, detail: string, cause?: unknown): RouterError {
    const message = `platform ${request.method} ${request.path.split('?')[0] ?? ''}: ${detail}`
    return request.writes && !notRun
      ? new OutcomeUnknownError(message, { execution: 'unknown', cause })
      : new PlatformUnavailableError(message, { execution: 'not_run', cause })
  }

  /** Sends a request and returns the parsed JSON of a 200 response, or undefined for a 404 response. */
  async function sendJson<Value> (request: PlatformRequest, schema: z.ZodType<Value>): Promise<Value | undefined> {
    const { status, body } = await send(request)
    if (status === 404) return undefined
    if (status === 409) throw new TransactionConflictError(`platform ${request.path}: ${parseErrorMessage(body)}`)
    if (status !== 200) throw unexpectedStatusError(request.path, status)
    const result = schema.safeParse(parseJson(body))
    // A response that cannot be parsed leaves the outcome of a write unknown.
    if (!result.success) throw requestError(request, false, 'malformed response', result.error)
    return result.data
  }

  /** Same as `sendJson`, but treats a 404 response as an error. */
  async function requireJson<Value> (request: PlatformRequest, schema: z.ZodType<Value>): Promise<Value> {
    const value = await sendJson(request, schema)
    if (value === undefined) throw unexpectedStatusError(request.path, 404)
    return value
  }

  return {
    async readRow<Value> (table: string, key: string, readOptions: ReadOptions = {}) {
      const path =
        `${tablePath(table)}/rows/${encodeURIComponent(key)}${query({ consistency: readOptions.consistency })}`
      return await sendJson({ method: 'GET', path, writes: false }, rowSchema) as TableRow<Value> | undefined
    },
    async readTable<Value> (table: string, readOptions: ReadTableOptions = {}) {
      const parameters = {
        afterVersion: readOptions.afterVersion, prefix: readOptions.prefix, consistency: readOptions.consistency
      }
      const path = `${tablePath(table)}${query(parameters)}`
      const { rows } = await requireJson({ method: 'GET', path, writes: false }, tableSchema)
      return rows as Array<TableRow<Value>>
    },
    async commit (transaction) {
      return await requireJson({
        method: 'POST',
        path: '/transactions',
        headers: { 'content-type': 'application/json' },
        // JSON omits undefined properties; a write without `value` deletes the row.
        body: JSON.stringify(transaction),
        writes: true
      }, commitSchema)
    },
    async readObject (name) {
      const path = `/objects/${encodeURIComponent(name)}`
      const { status, body } = await send({ method: 'GET', path, writes: false })
      if (status !== 200 && status !== 404) throw unexpectedStatusError(path, status)
      return status === 404 ? undefined : body
    },
    async writeObject (name, content) {
      const path = `/objects/${encodeURIComponent(name)}`
      const headers = { 'content-type': 'application/octet-stream' }
      const { status } = await send({ method: 'PUT', path, headers, body: content, writes: true })
      if (status !== 204) throw unexpectedStatusError(path, status)
    },
    listInstances: async () => await requireJson({ method: 'GET', path: '/instances', writes: false }, listSchema),
    close: connections.close
  }
}

function tablePath (table: string): string {
  return `/tables/${encodeURIComponent(table)}`
}

function query (parameters: Readonly<Record<string, string | number | undefined>>): string {
  const search = new URLSearchParams()
  for (const [name, value] of Object.entries(parameters)) {
    if (value !== undefined) search.set(name, String(value))
  }
  return search.size === 0 ? '' : `?${search.toString()}`
}

function parseJson (body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

function parseErrorMessage (body: Uint8Array): string {
  const result = errorSchema.safeParse(parseJson(body))
  return result.success ? result.data.message : 'conflict'
}

/** Creates the error for an unexpected status, which points to a bug in this client. */
function unexpectedStatusError (path: string, status: number): InternalError {
  return new InternalError(`platform responded to ${path} with unexpected status ${status}`)
}
