/** Platform client over HTTP. The wire format is in `docs/protocol.md`. */
import { createHttpConnections } from '../http/connections'
import type { ExchangeTrace } from '../http/connections'
import { readWholeBody } from '../http/responseBody'
import {
  InternalError, OutcomeUnknownError, PlatformUnavailableError, RouterError, TransactionConflictError
} from '../errors'
import { EXECUTION_HEADER } from '../constants'
import type { Endpoint } from '../types'
import type { CommitResult, InstanceList, PlatformClient, ReadOptions, ReadTableOptions, TableRow } from './types'

export interface HttpPlatformClientOptions {
  endpoint: Endpoint
  /** Milliseconds within which the request must have been sent on an open connection. @default 1000 */
  connectTimeout?: number
  /** Milliseconds for the whole exchange. @default 5000 */
  wholeTimeout?: number
  /** Largest answer in bytes. @default 67108864 */
  maximumAnswerBytes?: number
}

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
  const { endpoint, connectTimeout = 1000, wholeTimeout = 5000, maximumAnswerBytes = 67_108_864 } = options
  const connections = createHttpConnections()

  async function send (request: PlatformRequest): Promise<PlatformResponse> {
    const aborter = new AbortController()
    const connectTimer = setTimeout(() => aborter.abort(), connectTimeout)
    const wholeTimer = setTimeout(() => aborter.abort(), wholeTimeout)
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

  async function get (path: string): Promise<PlatformResponse> {
    const response = await send({ method: 'GET', path, writes: false })
    if (response.status !== 200 && response.status !== 404) throw unexpected(path, response.status)
    return response
  }

  return {
    async readRow<Value> (table: string, key: string, read: ReadOptions = {}) {
      const response = await get(`/tables/${encodeURIComponent(table)}/rows/${encodeURIComponent(key)}${query({ consistency: read.consistency })}`)
      return response.status === 404 ? undefined : parse<TableRow<Value>>(response.body)
    },
    async readTable<Value> (table: string, read: ReadTableOptions = {}) {
      const parameters = { afterVersion: read.afterVersion, prefix: read.prefix, consistency: read.consistency }
      const response = await get(`/tables/${encodeURIComponent(table)}${query(parameters)}`)
      return parse<{ rows: Array<TableRow<Value>> }>(response.body).rows
    },
    async commit (transaction) {
      // JSON has no undefined; an absent `value` deletes the row.
      const response = await send({
        method: 'POST', path: '/transactions', headers: { 'content-type': 'application/json' }, body: JSON.stringify(transaction), writes: true
      })
      if (response.status === 409) throw new TransactionConflictError(parse<{ message: string }>(response.body).message)
      if (response.status !== 200) throw unexpected('/transactions', response.status)
      return parse<CommitResult>(response.body)
    },
    async readObject (name) {
      const response = await get(`/objects/${encodeURIComponent(name)}`)
      return response.status === 404 ? undefined : response.body
    },
    async writeObject (name, content) {
      const path = `/objects/${encodeURIComponent(name)}`
      const response = await send({
        method: 'PUT', path, headers: { 'content-type': 'application/octet-stream' }, body: content, writes: true
      })
      if (response.status !== 204) throw unexpected(path, response.status)
    },
    async listInstances () {
      return parse<InstanceList>((await get('/instances')).body)
    },
    close: connections.close
  }
}

function query (parameters: Readonly<Record<string, string | number | undefined>>): string {
  const search = new URLSearchParams()
  for (const [name, value] of Object.entries(parameters)) {
    if (value !== undefined) search.set(name, String(value))
  }
  return search.size === 0 ? '' : `?${search.toString()}`
}

function parse<Value> (body: Uint8Array): Value {
  return JSON.parse(Buffer.from(body).toString('utf8')) as Value
}

/** The platform refused a request as malformed: a fault of this client. */
function unexpected (path: string, status: number): InternalError {
  return new InternalError(`platform answered ${path} with status ${status}`)
}
