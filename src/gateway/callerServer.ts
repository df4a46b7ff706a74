/** HTTP server for callers: limits, request identifiers, routing to handlers and handling of uncaught errors. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TcpServer, type Socket } from 'node:net'
import {
  ExpectationFailedError, HeaderTooLargeError, InternalError, InvalidRequestError, OverloadedError, RouterError
} from '../errors'
import { trackCallerConnections, UnreadableRequest, type CallerConnectionsOptions } from '../http/callerConnections'
import { countHeaderBytes } from '../http/headSize'
import { isKnownExpectation } from '../http/headText'
import { EndReason } from '../request/endReason'
import { ExecutionStatus } from '../types'
import type { Endpoint } from '../types'
import { errorBodyOf, sendError } from './errorResponse'
import type { Exchange, ExchangeHandler } from './exchange'
import { joinRejected } from './requestShare'

/** Minimum header limit of the HTTP parser in bytes. A head beyond it cannot be read, and closes its connection. */
const MINIMUM_PARSED_HEADER_BYTES = 65_536

export interface CallerServerOptions {
  createIdentifier: () => string
  /** Returns the handler of a request. */
  route: (method: string, path: string) => ExchangeHandler
  /** Called for internal errors, that is, errors caused by bugs in the router. */
  reportFault: (error: unknown, identifier: string) => void
  /** Maximum total size of the request headers in bytes. @default 16384 */
  maximumHeaderBytes?: number
  /** Timeout in milliseconds for receiving the headers of a request. @default 10000 */
  headerTimeout?: number
  /** Timeout in milliseconds for receiving a complete request including its body. @default 60000 */
  requestTimeout?: number
  /** Interval in milliseconds between checks for slow headers and bodies. @default 30000 */
  connectionCheckInterval?: number
  /** Keep-alive timeout between requests in milliseconds. @default 75000 */
  idleTimeout?: number
  /** Maximum number of open connections. Further connections are closed immediately. @default 4096 */
  maximumConnections?: number
  /** See `CallerConnectionsOptions`. */
  onConnectionClosing?: CallerConnectionsOptions['onClosing']
  /** See `CallerConnectionsOptions`. */
  account?: CallerConnectionsOptions['account']
  /** See `CallerConnectionsOptions`. */
  onConnectionShed?: CallerConnectionsOptions['onShed']
  /** See `CallerConnectionsOptions`. */
  onRequestDiscarded?: CallerConnectionsOptions['onDiscarded']
  /** Called for a request that is refused, before it is handled, for what it would use of the process. */
  onOverloaded?: (error: OverloadedError, identifier: string) => void
}

export interface CallerServer {
  listen: (endpoint: Endpoint) => Promise<Endpoint>
  /** Makes each further response close its connection, so that callers reconnect to another instance. */
  closeConnections: () => void
  /** Returns the number of requests without a complete response. */
  openRequests: () => number
  /** Stops listening and closes idle connections. Resolves when the last connection is closed. */
  close: () => Promise<void>
}

export function createCallerServer (options: CallerServerOptions): CallerServer {
  let openRequests = 0
  let closing = false
  /** The last response on each connection. */
  const lastResponses = new WeakMap<Socket, ServerResponse>()
  const maximumHeaderBytes = options.maximumHeaderBytes ?? 16_384

  function handle (request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    lastResponses.set(socket, response)
    const hasFollowers = (): boolean => lastResponses.get(socket) !== response
    const exchange = openExchange(request, response, options.createIdentifier(), hasFollowers)
    openRequests += 1
    response.once('close', () => {
      openRequests -= 1
      // An idle connection would keep the request and its body.
      if (!hasFollowers()) lastResponses.delete(socket)
      // A response that started before closing announced keep-alive. Its connection becomes idle only after this event.
      if (closing) setImmediate(connections.closeIdle)
    })
    // Connection errors are handled through the aborted signal. Without a listener they would terminate the process.
    request.on('error', () => {})
    response.on('error', () => {})
    // A response that announces the end of its connection is the last one. While the server is closing, one that could be
    // sent at once waits until the requests that have arrived with its own are known.
    if (closing) setImmediate(start)
    else start()

    function start (): void {
      if (exchange.signal.aborted) return
      run(exchange).catch((error) => { options.reportFault(error, exchange.identifier) })
    }
  }

  /** @throws RouterError if the request lacks what HTTP requires, or exceeds the limits of heads. */
  function rejectUnservable ({ request }: Exchange): void {
    const details = { execution: ExecutionStatus.notRun }
    if (countHeaderBytes(request) > maximumHeaderBytes) {
      throw new HeaderTooLargeError(UNREADABLE_MESSAGES.header_too_large, details)
    }
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      throw new InvalidRequestError('the header field Host is missing', details)
    }
    if (!isKnownExpectation(request.headers.expect)) throw new ExpectationFailedError('the expectation cannot be met', details)
  }

  async function run (exchange: Exchange): Promise<void> {
    try {
      rejectUnservable(exchange)
      await options.route(exchange.method, exchange.path)(exchange)
    } catch (error) {
      joinRejected(exchange)
      if (error instanceof OverloadedError && isUseOfProcess(error)) options.onOverloaded?.(error, exchange.identifier)
      if (exchange.signal.aborted) return
      sendError(exchange, error)
      if (!(error instanceof RouterError) || error instanceof InternalError) throw error
    }
  }

  const server: Server = createServer({
    // The limit of the settings is checked for each request, whose connection can be kept.
    maxHeaderSize: Math.max(MINIMUM_PARSED_HEADER_BYTES, maximumHeaderBytes),
    headersTimeout: options.headerTimeout ?? 10_000,
    requestTimeout: options.requestTimeout ?? 60_000,
    connectionsCheckingInterval: options.connectionCheckInterval ?? 30_000,
    keepAliveTimeout: options.idleTimeout ?? 75_000,
    // Node.js would close the connection behind its own refusal.
    requireHostHeader: false,
    noDelay: true
  })
  const connections = trackCallerConnections(server, {
    onRequest: handle,
    renderRefusal,
    ...(options.onConnectionClosing === undefined ? {} : { onClosing: options.onConnectionClosing }),
    ...(options.account === undefined ? {} : { account: options.account }),
    ...(options.onConnectionShed === undefined ? {} : { onShed: options.onConnectionShed }),
    ...(options.onRequestDiscarded === undefined ? {} : { onDiscarded: options.onRequestDiscarded })
  })
  server.maxConnections = options.maximumConnections ?? 4096

  return {
    async listen (endpoint) {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject)
        server.listen(endpoint.port, endpoint.host, () => {
          server.off('error', reject)
          resolve()
        })
      })
      const address = server.address()
      return { host: endpoint.host, port: typeof address === 'object' && address !== null ? address.port : endpoint.port }
    },
    closeConnections () {
      closing = true
      connections.announceClose()
      connections.closeIdle()
    },
    openRequests: () => openRequests,
    async close () {
      closing = true
      connections.announceClose()
      await new Promise<void>((resolve) => {
        // The method of the HTTP server would close connections whose last response has not been sent.
        TcpServer.prototype.close.call(server, () => { resolve() })
        connections.closeIdle()
      })
    }
  }
}

function isUseOfProcess ({ reason }: OverloadedError): boolean {
  return reason === EndReason.share || reason === EndReason.memory
}

function openExchange (
  request: IncomingMessage, response: ServerResponse, identifier: string, hasFollowers: () => boolean
): Exchange {
  const abort = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) abort.abort()
  })
  const target = request.url ?? '/'
  const queryStart = target.indexOf('?')
  return {
    identifier,
    request,
    response,
    method: request.method ?? 'GET',
    path: queryStart === -1 ? target : target.slice(0, queryStart),
    query: queryStart === -1 ? '' : target.slice(queryStart),
    signal: abort.signal,
    hasFollowers
  }
}

const UNREADABLE_MESSAGES: Record<UnreadableRequest, string> = {
  malformed: 'malformed HTTP request',
  header_too_large: 'request header too large',
  extensions_too_large: 'chunk extensions too large',
  timed_out: 'request not received in time',
  overloaded: 'no memory is left to read the request'
}

function renderRefusal (reason: UnreadableRequest): { contentType: string, body: string } {
  const RefusalError = reason === UnreadableRequest.overloaded ? OverloadedError : InvalidRequestError
  const error = new RefusalError(UNREADABLE_MESSAGES[reason], { execution: ExecutionStatus.notRun })
  return { contentType: 'application/json', body: JSON.stringify(errorBodyOf(error)) }
}
