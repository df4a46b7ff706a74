/** Pools of HTTP/1.1 connections to many endpoints, shared by the platform and upstream adapters. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Endpoint } from '../types'
import { formatEndpoint } from './endpoint'
import { createResponseBody } from './responseBody'
import type { ResponseBody, ResponseBodySink } from './responseBody'

/** Milliseconds for which an idle connection stays open. Shorter than the 5 s after which Node servers close theirs. */
const KEEP_ALIVE_MS = 4000

/** Records how far a request got, so that a failure can be told apart from one that may have had an effect. */
export interface ExchangeTrace {
  /** True as soon as the first byte of the request may have left. */
  sent: boolean
  /** Called when `sent` becomes true. */
  onSent?: () => void
}

export interface ExchangeRequest {
  endpoint: Endpoint
  method: string
  path: string
  headers?: Record<string, string | string[]>
  body?: string | Uint8Array
  signal: AbortSignal
  trace: ExchangeTrace
  /** Bytes of the response buffered ahead of the consumer. @default 65536 */
  highWaterMark?: number
}

export interface ExchangeResponse {
  statusCode: number
  headers: Readonly<Record<string, string | string[] | undefined>>
  body: ResponseBody
}

export interface HttpConnections {
  exchange: (request: ExchangeRequest) => Promise<ExchangeResponse>
  /** Stops using the pooled connections to an endpoint; running exchanges finish on theirs, new ones connect anew. */
  abandon: (endpoint: Endpoint) => void
  /** Closes all connections; running exchanges fail. */
  close: () => Promise<void>
}

/** Sends one request over a pool and resolves with the head of its response. */
async function dispatchExchange (pool: Pool, request: ExchangeRequest): Promise<ExchangeResponse> {
  const { signal, trace } = request
  return await new Promise((resolve, reject) => {
    let controller: Dispatcher.DispatchController | undefined
    let sink: ResponseBodySink | undefined

    function fail (error: unknown): void {
      signal.removeEventListener('abort', onAbort)
      if (sink === undefined) reject(error)
      else sink.fail(error)
    }
    function onAbort (): void {
      const error = new Error('exchange aborted')
      fail(error)
      controller?.abort(error)
    }
    signal.addEventListener('abort', onAbort, { once: true })
    pool.dispatch({
      method: request.method,
      path: request.path,
      headers: request.headers ?? null,
      body: request.body ?? null
    }, {
      onRequestStart (started) {
        controller = started
        // Aborted while the connection was opening: the request is taken back before a byte is written.
        if (signal.aborted) return started.abort(new Error('exchange aborted'))
        trace.sent = true
        trace.onSent?.()
      },
      onResponseStart (started, statusCode, headers) {
        if (statusCode < 200) return
        sink = createResponseBody({
          pause: () => started.pause(),
          resume: () => started.resume(),
          abort: () => started.abort(new Error('response no longer wanted'))
        }, request.highWaterMark ?? 65_536)
        resolve({ statusCode, headers, body: sink.body })
      },
      onResponseData (_, bytes) { sink?.push(bytes) },
      onResponseEnd () {
        signal.removeEventListener('abort', onAbort)
        sink?.end()
      },
      onResponseError (_, error) { fail(error) }
    })
  })
}

/** Creates empty pools; connections open on first use. */
export function createHttpConnections (): HttpConnections {
  const pools = new Map<string, Pool>()
  const retired = new Set<Pool>()

  function poolFor (endpoint: Endpoint): Pool {
    const origin = `http://${formatEndpoint(endpoint)}`
    let pool = pools.get(origin)
    if (pool === undefined) {
      // The callers' own timers apply the time limits, so undici's are off.
      pool = new Pool(origin, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS
      })
      pools.set(origin, pool)
    }
    return pool
  }

  return {
    exchange: async (request) => await dispatchExchange(poolFor(request.endpoint), request),
    abandon (endpoint) {
      const origin = `http://${formatEndpoint(endpoint)}`
      const pool = pools.get(origin)
      if (pool === undefined) return
      pools.delete(origin)
      retired.add(pool)
      pool.close().catch(() => undefined).finally(() => retired.delete(pool))
    },
    async close () {
      const open = [...pools.values(), ...retired]
      pools.clear()
      retired.clear()
      await Promise.all(open.map((pool) => pool.destroy()))
    }
  }
}
