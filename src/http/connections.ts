/** HTTP/1.1 connection pools by endpoint, used by the platform and upstream clients. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Endpoint } from '../types'
import { formatEndpoint } from './endpoint'
import { createResponseBody } from './responseBody'
import type { ResponseBody, ResponseBodySink } from './responseBody'

/**
 * Idle timeout of a connection in milliseconds. Shorter than the 5 s after which Node servers close idle connections.
 */
const KEEP_ALIVE_MS = 4000

/** Records whether a request was sent, to distinguish failures without any effect from those that may have had one. */
export interface ExchangeTrace {
  /** True once the first byte of the request may have been sent. */
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
  /** Discards the connection pool of an endpoint. Exchanges in progress complete; new ones open new connections. */
  abandon: (endpoint: Endpoint) => void
  /** Closes all connections; exchanges in progress fail. */
  close: () => Promise<void>
}

/** Sends a request through a pool; resolves once the response headers have arrived. */
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
      onRequestStart (dispatchController) {
        controller = dispatchController
        // The signal was aborted while the connection was opening: cancel the request before anything is sent.
        if (signal.aborted) return dispatchController.abort(new Error('exchange aborted'))
        trace.sent = true
        trace.onSent?.()
      },
      onResponseStart (dispatchController, statusCode, headers) {
        if (statusCode < 200) return
        sink = createResponseBody({
          pause: () => dispatchController.pause(),
          resume: () => dispatchController.resume(),
          abort: () => dispatchController.abort(new Error('response body discarded'))
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

/** Creates connection pools, which open connections on first use. */
export function createHttpConnections (): HttpConnections {
  const pools = new Map<string, Pool>()
  const retired = new Set<Pool>()

  function poolFor (endpoint: Endpoint): Pool {
    const origin = `http://${formatEndpoint(endpoint)}`
    let pool = pools.get(origin)
    if (pool === undefined) {
      // Callers enforce time limits with their own timers, so undici's are disabled.
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
      const openPools = [...pools.values(), ...retired]
      pools.clear()
      retired.clear()
      await Promise.all(openPools.map((pool) => pool.destroy()))
    }
  }
}
