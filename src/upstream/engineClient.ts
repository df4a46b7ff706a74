/** HTTP client for model engines and plain services. `docs/protocol.md` describes the wire format. */
import { z } from 'zod'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { StaleFencingTokenError, StreamIntegrityError } from '../errors'
import { createHttpConnections } from '../http/connections'
import type { Endpoint } from '../types'
import { executionError } from './attempt'
import { streamCompletion } from './completionStream'
import { startExchange } from './exchange'
import { checkEcho, errorCodeOf, parseJson, readBody, throwIfRejected, validateResponse } from './response'
import type { AttemptTimeouts, ServiceResponse, ServiceCall, SilenceHandler, UpstreamClient } from './types'

export { progressOf, reportsLeaving } from './attempt'

export interface HttpUpstreamClientOptions {
  /** Timeout for reports, probes, cancellations and cache events, in milliseconds. @default 2000 */
  controlTimeout?: number
  /** Timeout for load and unload commands, exports and imports, in milliseconds. @default 120000 */
  orderTimeout?: number
  /** Maximum size of a response body in bytes, except for completion streams. @default 16777216 */
  maximumAnswerBytes?: number
}

const probeResponse = z.object({ incarnation: z.number() })
const reportResponse = z.object({
  incarnation: z.number(),
  leaving: z.boolean(),
  loaded: z.array(z.string()),
  running: z.number(),
  waiting: z.number(),
  waitingTokens: z.number(),
  prefillTokensPerSecond: z.number()
})
const cacheEventsResponse = z.object({
  incarnation: z.number(),
  newestSequence: z.number(),
  events: z.array(z.object({
    sequence: z.number(), kind: z.enum(['stored', 'evicted']), blockKeys: z.array(z.string())
  }))
})
const importResponse = z.object({ imported: z.number() })

/** Creates a client that opens its connections on first use. */
export function createHttpUpstreamClient (options: HttpUpstreamClientOptions = {}): UpstreamClient {
  const { controlTimeout = 2000, orderTimeout = 120_000, maximumAnswerBytes = 16_777_216 } = options
  const connections = createHttpConnections()

  function timeoutsOf (milliseconds: number): AttemptTimeouts {
    return {
      connect: Math.min(milliseconds, controlTimeout),
      firstByte: milliseconds,
      betweenChunks: milliseconds,
      whole: milliseconds
    }
  }

  async function exchangeJson (
    endpoint: Endpoint, method: string, path: string, body: unknown, milliseconds: number
  ): Promise<{ status: number, value: unknown }> {
    const exchange = await startExchange(connections, {
      endpoint,
      method,
      path,
      ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    }, timeoutsOf(milliseconds))
    try {
      const content = await readBody(exchange, maximumAnswerBytes)
      return { status: exchange.response.statusCode, value: parseJson(content) }
    } finally {
      exchange.finish()
    }
  }

  async function getJson<Value> (
    endpoint: Endpoint, path: string, schema: z.ZodType<Value>
  ): Promise<Value> {
    const { status, value } = await exchangeJson(endpoint, 'GET', path, undefined, controlTimeout)
    if (status !== 200) throw executionError(`${path} returned status ${status}`)
    return validateResponse(schema, value, path)
  }

  async function call (
    endpoint: Endpoint, call: ServiceCall, timeouts: AttemptTimeouts, signal: AbortSignal, onSilence?: SilenceHandler
  ): Promise<ServiceResponse> {
    const exchange = await startExchange(connections, {
      endpoint,
      method: call.method,
      path: call.path,
      headers: forwardedHeaders(call),
      ...(call.body.length === 0 ? {} : { body: call.body })
    }, timeouts, signal, onSilence)
    try {
      checkEcho(exchange, call.requestIdentifier, call.attempt, false)
      await throwIfRejected(exchange)
      exchange.markStarted()
      const body = await readBody(exchange, maximumAnswerBytes, call.reserve)
      const { statusCode: status, headers } = exchange.response
      return { status, headers: headers as ServiceResponse['headers'], body }
    } catch (error) {
      if (error instanceof StreamIntegrityError) exchange.abandonConnections()
      throw error
    } finally {
      exchange.finish()
    }
  }

  return {
    complete: (endpoint, order, timeouts, signal, onSilence) =>
      streamCompletion(connections, endpoint, order, timeouts, signal, onSilence),
    call,
    async cancel (endpoint, requestIdentifier, attempt) {
      const path = `/completions/${encodeURIComponent(requestIdentifier)}/${attempt}`
      await exchangeJson(endpoint, 'DELETE', path, undefined, controlTimeout)
    },
    report: async (endpoint) => await getJson(endpoint, '/report', reportResponse),
    cacheEvents: async (endpoint, afterSequence) =>
      await getJson(endpoint, `/cache-events?after=${afterSequence}`, cacheEventsResponse),
    async order (endpoint, order) {
      const { status, value } = await exchangeJson(endpoint, 'POST', '/orders', order, orderTimeout)
      if (status === 200) return
      const code = errorCodeOf(value)
      if (status === 409 && code === 'stale_fencing_token') {
        throw new StaleFencingTokenError(
          `engine rejected fencing token ${order.fencingToken} for ${order.model}@${order.version}`)
      }
      throw executionError(`command ${order.kind} ${order.model}@${order.version} failed: ${code}`)
    },
    async exportBlocks (endpoint, blockKeys) {
      const { status, value } = await exchangeJson(endpoint, 'POST', '/blocks/export', { blockKeys }, orderTimeout)
      if (status !== 200) throw executionError(`export failed: ${errorCodeOf(value)}`)
    },
    async importBlocks (endpoint, incarnation, blockKeys) {
      const body = { incarnation, blockKeys }
      const { status, value } = await exchangeJson(endpoint, 'POST', '/blocks/import', body, orderTimeout)
      // 412: the engine has restarted since `incarnation`, so nothing was imported.
      if (status === 412) return 0
      if (status !== 200) throw executionError(`import failed: ${errorCodeOf(value)}`)
      return validateResponse(importResponse, value, '/blocks/import').imported
    },
    async probe (endpoint) {
      // A separate pool ensures that the probe opens a new connection.
      const probeConnections = createHttpConnections()
      try {
        const request = { endpoint, method: 'GET', path: '/probe' }
        const exchange = await startExchange(probeConnections, request, timeoutsOf(controlTimeout))
        const content = await readBody(exchange, maximumAnswerBytes)
        exchange.finish()
        return validateResponse(probeResponse, parseJson(content), '/probe').incarnation
      } finally {
        await probeConnections.close()
      }
    },
    close: connections.close
  }
}

/** Connection-specific headers, which undici sets itself. */
const CONNECTION_HEADERS = new Set([
  'connection', 'content-length', 'expect', 'host', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

function forwardedHeaders (call: ServiceCall): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(call.headers)) {
    if (CONNECTION_HEADERS.has(name.toLowerCase())) continue
    headers[name.toLowerCase()] = typeof value === 'string' ? value : [...value]
  }
  headers[REQUEST_IDENTIFIER_HEADER] = call.requestIdentifier
  headers[ATTEMPT_HEADER] = String(call.attempt)
  return headers
}
