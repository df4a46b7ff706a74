/** HTTP/1.1 connection pools by endpoint, used by the platform and upstream clients. */
import { Socket } from 'node:net'
import { buildConnector, Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Endpoint } from '../types'
import { formatEndpoint } from './endpoint'
import { createResponseBody } from './responseBody'
import type { ResponseBody, ResponseBodySink } from './responseBody'

/**
 * Idle timeout of a connection in milliseconds. Shorter than the 5 s after which Node servers close idle connections.
 */
const KEEP_ALIVE_MS = 4000
/** Largest status code of HTTP; a response with a larger one is no answer. */
const MAX_STATUS = 599

/**
 * Written to a connection at its end: a reset that arrives together with the last bytes is reported as a regular end by
 * the event loop, but makes the next write fail. Servers ignore an empty line.
 */
const PROBE_BYTES = '\r\n'

/** Connections to one endpoint. */
interface EndpointPool {
  pool: Pool
  /** Returns the error of the connection whose failure is being handled; undefined at any other time. */
  failure: () => Error | undefined
}

/**
 * Creates a pool that shows when a connection fails. Undici ends a response without a length regularly when its
 * connection is reset, so that the response cannot be told from a complete one.
 */
function createPool (origin: string): EndpointPool {
  let failure: Error | undefined
  const connect = buildConnector({})

  /** Notes the failure until the listeners of the event have run. */
  function note (error: Error): void {
    failure = error
    process.nextTick(() => { failure = undefined })
  }

  /** Its listeners come before those by which undici ends the response. */
  function watch (socket: Socket): void {
    socket.allowHalfOpen = true
    socket.on('error', note)
    socket.on('end', () => {
      // While the request is being written a probe would wait behind it, and undici closes the connection before the
      // outcome is known. A response without a length that ends then cannot be shown to be complete.
      if (socket.writableLength > 0) return note(new Error('the connection ended while the request was being written'))
      socket.write(PROBE_BYTES)
      if (socket.errored !== null) note(socket.errored)
    })
  }

  const pool = new Pool(origin, {
    pipelining: 1,
    // Callers enforce time limits with their own timers, so undici's are disabled.
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connect (options, callback) {
      connect(options, (...result) => {
        const [, socket] = result
        // A failed attempt passes an error alone.
        if (socket instanceof Socket) watch(socket)
        callback(...result)
      })
    }
  })
  return { pool, failure: () => failure }
}

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
async function dispatchExchange ({ pool, failure }: EndpointPool, request: ExchangeRequest): Promise<ExchangeResponse> {
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
        if (statusCode > MAX_STATUS) return dispatchController.abort(new Error(`invalid status ${statusCode}`))
        sink = createResponseBody({
          pause: () => dispatchController.pause(),
          resume: () => dispatchController.resume(),
          abort: () => dispatchController.abort(new Error('response body discarded'))
        }, request.highWaterMark ?? 65_536)
        resolve({ statusCode, headers, body: sink.body })
      },
      onResponseData (_, bytes) { sink?.push(bytes) },
      onResponseEnd () {
        const error = failure()
        if (error !== undefined) return fail(error)
        signal.removeEventListener('abort', onAbort)
        sink?.end()
      },
      onResponseError (_, error) { fail(error) }
    })
  })
}

/** Creates connection pools, which open connections on first use. */
export function createHttpConnections (): HttpConnections {
  const pools = new Map<string, EndpointPool>()
  const retired = new Set<Pool>()

  function poolFor (endpoint: Endpoint): EndpointPool {
    const origin = `http://${formatEndpoint(endpoint)}`
    let pool = pools.get(origin)
    if (pool === undefined) {
      pool = createPool(origin)
      pools.set(origin, pool)
    }
    return pool
  }

  return {
    exchange: async (request) => await dispatchExchange(poolFor(request.endpoint), request),
    abandon (endpoint) {
      const origin = `http://${formatEndpoint(endpoint)}`
      const pool = pools.get(origin)?.pool
      if (pool === undefined) return
      pools.delete(origin)
      retired.add(pool)
      pool.close().catch(() => undefined).finally(() => retired.delete(pool))
    },
    async close () {
      const openPools = [...[...pools.values()].map(({ pool }) => pool), ...retired]
      pools.clear()
      retired.clear()
      await Promise.all(openPools.map((pool) => pool.destroy()))
    }
  }
}
