/** HTTP server for callers: limits, request identifiers, routing to handlers, and errors that no handler caught. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { InternalError, InvalidRequestError, RouterError } from '../errors'
import { ExecutionStatus } from '../types'
import type { Endpoint } from '../types'
import { errorBodyOf, sendError } from './errorResponse'
import type { Exchange, ExchangeHandler } from './exchange'

export interface CallerServerOptions {
  createIdentifier: () => string
  /** Chooses the handler of a request. */
  route: (method: string, path: string) => ExchangeHandler
  /** Called for errors that are faults of the program. */
  reportFault: (error: unknown, identifier: string) => void
  /** Bytes of all header lines together. @default 16384 */
  maximumHeaderBytes?: number
  /** Milliseconds for the header lines of one request. @default 10000 */
  headerTimeout?: number
  /** Milliseconds for a whole request including its body. @default 60000 */
  requestTimeout?: number
  /** Milliseconds that a connection may stay open between requests. @default 75000 */
  idleTimeout?: number
  /** Connections open at the same time; further ones are closed at once. @default 4096 */
  maximumConnections?: number
}

export interface CallerServer {
  listen: (endpoint: Endpoint) => Promise<Endpoint>
  /** From now on, each response closes its connection, so that callers connect elsewhere. */
  closeConnections: () => void
  /** Number of requests that have not been answered in full. */
  openRequests: () => number
  /** Stops listening and closes idle connections; resolves when the last connection has closed. */
  close: () => Promise<void>
}

export function createCallerServer (options: CallerServerOptions): CallerServer {
  let openRequests = 0
  let closing = false

  function handle (request: IncomingMessage, response: ServerResponse): void {
    const exchange = openExchange(request, response, options.createIdentifier())
    openRequests += 1
    response.once('close', () => {
      openRequests -= 1
      // A response that began before the closing promised to keep its connection, which is idle only after this event.
      if (closing) setImmediate(() => { server.closeIdleConnections() })
    })
    if (closing) response.setHeader('connection', 'close')
    // Errors of the connection show as an aborted signal; without a listener they would end the process.
    request.on('error', () => {})
    response.on('error', () => {})
    run(exchange).catch((error) => { options.reportFault(error, exchange.identifier) })
  }

  async function run (exchange: Exchange): Promise<void> {
    try {
      await options.route(exchange.method, exchange.path)(exchange)
    } catch (error) {
      if (exchange.signal.aborted) return
      sendError(exchange, error)
      if (!(error instanceof RouterError) || error instanceof InternalError) throw error
    }
  }

  const server: Server = createServer({
    maxHeaderSize: options.maximumHeaderBytes ?? 16_384,
    headersTimeout: options.headerTimeout ?? 10_000,
    requestTimeout: options.requestTimeout ?? 60_000,
    keepAliveTimeout: options.idleTimeout ?? 75_000,
    noDelay: true
  }, handle)
  server.maxConnections = options.maximumConnections ?? 4096
  server.on('clientError', (error, socket) => { refuseMalformed(error, socket as Socket) })

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
      server.closeIdleConnections()
    },
    openRequests: () => openRequests,
    async close () {
      closing = true
      await new Promise<void>((resolve) => {
        server.close(() => { resolve() })
        server.closeIdleConnections()
      })
    }
  }
}

function openExchange (request: IncomingMessage, response: ServerResponse, identifier: string): Exchange {
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
    signal: abort.signal
  }
}

/** Answers bytes that are no HTTP request, for example an overlong header, and closes the connection. */
function refuseMalformed (error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable || socket.destroyed) {
    socket.destroy()
    return
  }
  const tooLarge = error.code === 'HPE_HEADER_OVERFLOW'
  const timedOut = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
  const status = tooLarge ? '431 Request Header Fields Too Large' : timedOut ? '408 Request Timeout' : '400 Bad Request'
  const message = tooLarge ? 'header exceeds its limit' : timedOut ? 'request took too long' : 'malformed HTTP request'
  const body = JSON.stringify(errorBodyOf(new InvalidRequestError(message, { execution: ExecutionStatus.notRun })))
  socket.end(`HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n` +
    `connection: close\r\n\r\n${body}`)
}
