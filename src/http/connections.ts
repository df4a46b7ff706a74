/** Pools of HTTP/1.1 connections to many endpoints, shared by the platform and upstream adapters. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Endpoint } from '../types'

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

export type ExchangeResponse = Dispatcher.ResponseData<unknown>

export interface HttpConnections {
  exchange: (request: ExchangeRequest) => Promise<ExchangeResponse>
  /** Stops using the pooled connections to an endpoint; running exchanges finish on theirs, new ones connect anew. */
  abandon: (endpoint: Endpoint) => void
  /** Closes all connections; running exchanges fail. */
  close: () => Promise<void>
}

/** Formats an endpoint as `host:port`, with brackets around IPv6 addresses. */
export function formatEndpoint (endpoint: Endpoint): string {
  return endpoint.host.includes(':') ? `[${endpoint.host}]:${endpoint.port}` : `${endpoint.host}:${endpoint.port}`
}

/** Marks the trace as soon as undici hands the request to a connected socket. */
function traceRequestStart (dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => {
    const trace = (options as { opaque?: ExchangeTrace }).opaque
    if (trace === undefined) return dispatch(options, handler)
    return dispatch(options, {
      ...forwardHandler(handler),
      onRequestStart (controller, context) {
        trace.sent = true
        trace.onSent?.()
        if (handler.onRequestStart !== undefined) handler.onRequestStart(controller, context)
        else handler.onConnect?.((reason) => controller.abort(reason ?? new Error('aborted')))
      }
    })
  }
}

function forwardHandler (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  return {
    onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
    onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
    onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
    onResponseError: (...parameters) => handler.onResponseError?.(...parameters)
  }
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
    exchange: async (request) => await poolFor(request.endpoint).compose(traceRequestStart).request({
      method: request.method,
      path: request.path,
      headers: request.headers ?? null,
      body: request.body ?? null,
      signal: request.signal,
      opaque: request.trace as unknown,
      ...(request.highWaterMark === undefined ? {} : { highWaterMark: request.highWaterMark })
    }),
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
