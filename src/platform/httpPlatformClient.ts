/** Platform client over HTTP. The wire format is in `docs/protocol.md`. */
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
  /** Milliseconds within which the request must have been sent on an open connection. @default 1000 */
  connectTimeout?: number
  /** Milliseconds for the whole exchange. @default 5000 */
  wholeTimeout?: number
  /** Largest answer in bytes. @default 67108864 */
  maximumAnswerBytes?: number
  /** Exchanges at the same time; more are refused at once, so that a slow platform does not use up memory. @default 256 */
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
  /** True when the request may change something. */
  writes: boolean
}

interface PlatformResponse {
  status: number
  body: Uint8Array
}

/** Creates a client; connections open on first use. */
export function createHttpPlatformClient (options: HttpPlatformClientOptions): PlatformClient {
  const {
    endpoint, connectTimeout = 1000, wholeTimeout = 5000, maximumAnswerBytes = 67_108_864, maximumConcurrent = 256
  } = options
  const connections = createHttpConnections()
  let concurrent = 0

  async function send (request: PlatformRequest): Promise<PlatformResponse> {
    if (concurrent >= maximumConcurrent) throw failure(request, true, `${concurrent} exchanges are running`)
    concurrent++
    const aborter = new AbortController()
    // After a pause of this process an answer may be waiting: it is read before the limit applies.
    const connectTimer = setTimeout(() => setImmediate(() => { if (!trace.sent) aborter.abort() }), connectTimeout)
    const wholeTimer = setTimeout(() => setImmediate(() => aborter.abort()), wholeTimeout)
    const trace: ExchangeTrace = { sent: false, onSent: () => clearTimeout(connectTimer) }
    try {
      const response = await connections.exchange({ endpoint, ...request, signal: aborter.signal, trace })
      const body = await readWholeBody(response.body, maximumAnswerBytes)
      if (body === undefined) {
        response.body.destroy()
        throw failure(request, false, `answer exceeds ${maximumAnswerBytes} bytes`)
      }
      if (response.statusCode >= 500) {
        throw failure(request, response.headers[EXECUTION_HEADER] === 'not_run', `status ${response.statusCode}`)
      }
      return { status: response.statusCode, body }
    } catch (error) {
      if (error instanceof RouterError) throw error
      // A pooled connection that went silent would fail the next requests as well.
      if (trace.sent && aborter.signal.aborted) connections.abandon(endpoint)
      throw failure(request, !trace.sent, aborter.signal.aborted ? 'time limit passed' : 'connection failed', error)
    } finally {
      concurrent--
      clearTimeout(connectTimer)
      clearTimeout(wholeTimer)
    }
  }

  function failure (request: PlatformRequest, notRun: boolean, detail: string, cause?: unknown): RouterError {
    const message = `platform ${request.method} ${request.path.split('?')[0] ?? ''}: ${detail}`
    return request.writes && !notRun
      ? new OutcomeUnknownError(message, { execution: 'unknown', cause })
      : new PlatformUnavailableError(message, { execution: 'not_run', cause })
  }

  /** Sends a request and reads the JSON of a 200 answer; undefined after 404. */
  async function sendJson<Value> (request: PlatformRequest, schema: z.ZodType<Value>): Promise<Value | undefined> {
    const { status, body } = await send(request)
    if (status === 404) return undefined
    if (status === 409) throw new TransactionConflictError(`platform ${request.path}: ${messageOf(body)}`)
    if (status !== 200) throw unexpected(request.path, status)
    const result = schema.safeParse(parseJson(body))
    // What an answer that cannot be read says about a write is not known.
    if (!result.success) throw failure(request, false, 'malformed answer', result.error)
    return result.data
  }

  /** As `sendJson`, for requests that 404 is no answer to. */
  async function requireJson<Value> (request: PlatformRequest, schema: z.ZodType<Value>): Promise<Value> {
    const value = await sendJson(request, schema)
    if (value === undefined) throw unexpected(request.path, 404)
    return value
  }

  return {
    async readRow<Value> (table: string, key: string, read: ReadOptions = {}) {
      const path = `${tablePath(table)}/rows/${encodeURIComponent(key)}${query({ consistency: read.consistency })}`
      return await sendJson({ method: 'GET', path, writes: false }, rowSchema) as TableRow<Value> | undefined
    },
    async readTable<Value> (table: string, read: ReadTableOptions = {}) {
      const parameters = { afterVersion: read.afterVersion, prefix: read.prefix, consistency: read.consistency }
      const path = `${tablePath(table)}${query(parameters)}`
      const { rows } = await requireJson({ method: 'GET', path, writes: false }, tableSchema)
      return rows as Array<TableRow<Value>>
    },
    async commit (transaction) {
      return await requireJson({
        method: 'POST',
        path: '/transactions',
        headers: { 'content-type': 'application/json' },
        // JSON has no undefined; an absent `value` deletes the row.
        body: JSON.stringify(transaction),
        writes: true
      }, commitSchema)
    },
    async readObject (name) {
      const path = `/objects/${encodeURIComponent(name)}`
      const { status, body } = await send({ method: 'GET', path, writes: false })
      if (status !== 200 && status !== 404) throw unexpected(path, status)
      return status === 404 ? undefined : body
    },
    async writeObject (name, content) {
      const path = `/objects/${encodeURIComponent(name)}`
      const headers = { 'content-type': 'application/octet-stream' }
      const { status } = await send({ method: 'PUT', path, headers, body: content, writes: true })
      if (status !== 204) throw unexpected(path, status)
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

function messageOf (body: Uint8Array): string {
  const result = errorSchema.safeParse(parseJson(body))
  return result.success ? result.data.message : 'conflict'
}

/** The platform refused a request as malformed: a fault of this client. */
function unexpected (path: string, status: number): InternalError {
  return new InternalError(`platform answered ${path} with status ${status}`)
}
