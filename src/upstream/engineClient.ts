/** Client for model engines and plain services over HTTP. The wire format is in `docs/protocol.md`. */
import { z } from 'zod'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { StaleFencingTokenError, StreamIntegrityError } from '../errors'
import { createHttpConnections } from '../http/connections'
import type { Endpoint } from '../types'
import { checkEcho, codeOf, parseJson, readWhole, throwIfRefused, validateAnswer } from './answer'
import { executionError } from './attempt'
import { streamCompletion } from './completionStream'
import { startExchange } from './exchange'
import type { AttemptTimeouts, ServiceAnswer, ServiceCall, UpstreamClient } from './types'

export { progressOf, reportsLeaving } from './attempt'

export interface HttpUpstreamClientOptions {
  /** Milliseconds for reports, probes, cancellations and cache events. @default 2000 */
  controlTimeout?: number
  /** Milliseconds for loads, exports and imports. @default 120000 */
  orderTimeout?: number
  /** Largest answer of a plain service in bytes. @default 16777216 */
  maximumAnswerBytes?: number
}

const probeAnswer = z.object({ incarnation: z.number() })
const reportAnswer = z.object({
  incarnation: z.number(),
  leaving: z.boolean(),
  loaded: z.array(z.string()),
  running: z.number(),
  waiting: z.number(),
  waitingTokens: z.number(),
  prefillTokensPerSecond: z.number()
})
const cacheEventsAnswer = z.object({
  incarnation: z.number(),
  newestSequence: z.number(),
  events: z.array(z.object({
    sequence: z.number(), kind: z.enum(['stored', 'evicted']), blockKeys: z.array(z.string())
  }))
})
const importAnswer = z.object({ imported: z.number() })

/** Creates a client; connections open on first use. */
export function createHttpUpstreamClient (options: HttpUpstreamClientOptions = {}): UpstreamClient {
  const { controlTimeout = 2000, orderTimeout = 120_000, maximumAnswerBytes = 16_777_216 } = options
  const connections = createHttpConnections()

  function limits (milliseconds: number): AttemptTimeouts {
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
    }, limits(milliseconds))
    try {
      const content = await readWhole(exchange, maximumAnswerBytes)
      return { status: exchange.response.statusCode, value: parseJson(content) }
    } finally {
      exchange.finish()
    }
  }

  async function ask<Value> (
    endpoint: Endpoint, path: string, schema: z.ZodType<Value>
  ): Promise<Value> {
    const { status, value } = await exchangeJson(endpoint, 'GET', path, undefined, controlTimeout)
    if (status !== 200) throw executionError(`${path} answered status ${status}`)
    return validateAnswer(schema, value, path)
  }

  async function call (
    endpoint: Endpoint, call: ServiceCall, timeouts: AttemptTimeouts, signal: AbortSignal
  ): Promise<ServiceAnswer> {
    const exchange = await startExchange(connections, {
      endpoint,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
      ...(call.body.length === 0 ? {} : { body: call.body })
    }, timeouts, signal)
    try {
      checkEcho(exchange, call.requestIdentifier, call.attempt, false)
      await throwIfRefused(exchange)
      exchange.markStarted()
      const body = await readWhole(exchange, maximumAnswerBytes)
      return { status: exchange.response.statusCode, headers: exchange.response.headers as ServiceAnswer['headers'], body }
    } catch (error) {
      if (error instanceof StreamIntegrityError) exchange.distrust()
      throw error
    } finally {
      exchange.finish()
    }
  }

  return {
    complete: (endpoint, order, timeouts, signal) => streamCompletion(connections, endpoint, order, timeouts, signal),
    call,
    async cancel (endpoint, requestIdentifier, attempt) {
      const path = `/completions/${encodeURIComponent(requestIdentifier)}/${attempt}`
      await exchangeJson(endpoint, 'DELETE', path, undefined, controlTimeout)
    },
    report: async (endpoint) => await ask(endpoint, '/report', reportAnswer),
    cacheEvents: async (endpoint, afterSequence) =>
      await ask(endpoint, `/cache-events?after=${afterSequence}`, cacheEventsAnswer),
    async order (endpoint, order) {
      const { status, value } = await exchangeJson(endpoint, 'POST', '/orders', order, orderTimeout)
      if (status === 200) return
      const code = codeOf(value)
      if (status === 409 && code === 'stale_fencing_token') {
        throw new StaleFencingTokenError(
          `engine refused fencing token ${order.fencingToken} for ${order.model}@${order.version}`)
      }
      throw executionError(`order ${order.kind} ${order.model}@${order.version} failed: ${code}`)
    },
    async exportBlocks (endpoint, blockKeys) {
      const { status, value } = await exchangeJson(endpoint, 'POST', '/blocks/export', { blockKeys }, orderTimeout)
      if (status !== 200) throw executionError(`export failed: ${codeOf(value)}`)
    },
    async importBlocks (endpoint, incarnation, blockKeys) {
      const body = { incarnation, blockKeys }
      const { status, value } = await exchangeJson(endpoint, 'POST', '/blocks/import', body, orderTimeout)
      // The engine restarted since the hint was made: nothing was imported.
      if (status === 412) return 0
      if (status !== 200) throw executionError(`import failed: ${codeOf(value)}`)
      return validateAnswer(importAnswer, value, '/blocks/import').imported
    },
    async probe (endpoint) {
      // A pool of its own makes sure that the probe opens a new connection.
      const fresh = createHttpConnections()
      try {
        const request = { endpoint, method: 'GET', path: '/probe' }
        const exchange = await startExchange(fresh, request, limits(controlTimeout))
        const content = await readWhole(exchange, maximumAnswerBytes)
        exchange.finish()
        return validateAnswer(probeAnswer, parseJson(content), '/probe').incarnation
      } finally {
        await fresh.close()
      }
    },
    close: connections.close
  }
}

/** Headers that concern one connection only; undici sets them itself. */
const CONNECTION_HEADERS = new Set([
  'connection', 'content-length', 'expect', 'host', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

function headersOf (call: ServiceCall): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(call.headers)) {
    if (CONNECTION_HEADERS.has(name.toLowerCase())) continue
    headers[name.toLowerCase()] = typeof value === 'string' ? value : [...value]
  }
  headers[REQUEST_IDENTIFIER_HEADER] = call.requestIdentifier
  headers[ATTEMPT_HEADER] = String(call.attempt)
  return headers
}
