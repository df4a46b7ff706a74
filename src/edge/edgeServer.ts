/** HTTP servers of an edge daemon for callers, readiness checks and metrics. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { MAX_TIMER_MS } from '../constants'
import { trackCallerConnections } from '../http/callerConnections'
import type { MemoryAccount } from '../http/memoryAccount/account'
import type { Endpoint } from '../types'
import { EdgeEvent, type EdgeLog } from './events'
import { openListener, type Listener } from './listener'
import type { CallerLimits } from './types'

/** Interval in milliseconds between checks for slow headers and bodies. */
const CONNECTION_CHECK_MS = 500
/** Timeout in milliseconds for receiving a complete request; the timeouts of callers are shorter. */
const REQUEST_TIMEOUT_MS = 60_000
/** Added to the configured idle timeout, so that callers stop using a connection before it is closed. */
const KEEP_ALIVE_MARGIN_MS = 1000
/** Time in milliseconds for which a connection is kept longer than announced; covers the way of a request. */
const CLOSE_MARGIN_MS = 1000
/** Maximum length of the queue of pending connections; all callers of a zone may connect at once. */
const LISTEN_BACKLOG = 1024
/** Header limit of the HTTP parser in bytes. The limit of the configuration is checked per request. */
const MAX_HEADER_BYTES = 65_536

export interface EdgeServerOptions {
  caller: Endpoint
  readiness: Endpoint
  metrics: Endpoint
  onRequest: (request: IncomingMessage, response: ServerResponse) => void
  /** Returns the identifier of a request, if it has one. */
  identify: (request: IncomingMessage) => string | undefined
  isReady: () => boolean
  /** Renders the metrics page. */
  renderMetrics: () => Promise<string>
  metricsContentType: string
  onFault: (error: unknown) => void
  log: EdgeLog
  /** Account of the bytes held for callers. */
  account: MemoryAccount
  /** Maximum number of connections of callers; further ones are closed at once. */
  maxConnections: number
}

export interface EdgeServer {
  /**
   * Resolves once the daemon listens for callers and readiness checks; waits for addresses that are taken. Metrics are
   * served as soon as their address is free.
   */
  listen: () => Promise<void>
  setLimits: (limits: CallerLimits) => void
  /**
   * Closes idle connections, or none while a response waits to be sent. Running exchanges continue, and new connections
   * are still accepted.
   */
  closeIdle: () => void
  /** From now on the last response on each connection announces its end. */
  announceClose: () => void
  /** Whether responses to callers wait in the process, because the callers read slowly. */
  hasUnsentBytes: () => boolean
  close: () => void
}

/** A socket with a negative timeout throws. */
function clampTimer (milliseconds: number): number {
  return Math.min(MAX_TIMER_MS, Math.max(0, milliseconds))
}

export function createEdgeServer (options: EdgeServerOptions): EdgeServer {
  const callers = createServer({
    connectionsCheckingInterval: CONNECTION_CHECK_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    // Node.js would close the connection behind its own refusal. Requests without a host are refused at admission.
    requireHostHeader: false,
    noDelay: true
  })
  const readiness = createServer()
  trackCallerConnections(readiness, {
    onRequest (request, response) {
      request.resume()
      response.writeHead(options.isReady() ? 200 : 503, { 'Content-Length': '0' }).end()
    }
  })
  const metrics = createServer()
  trackCallerConnections(metrics, {
    onRequest (request, response) {
      request.resume()
      options.renderMetrics().then((text) => {
        response.writeHead(200, { 'Content-Type': options.metricsContentType }).end(text)
      }, (error: unknown) => {
        options.onFault(error)
        response.writeHead(500, { 'Content-Length': '0' }).end()
      })
    }
  })
  /**
   * Keeps the connection for as long as its response announced. Node.js announces the timeout in force when the request
   * began, but starts the timer with the one in force when the response has been sent.
   */
  function keepAsAnnounced ({ socket }: IncomingMessage, response: ServerResponse, announced: number): void {
    response.on('finish', () => {
      // Without a timer, the connection is about to close, or another response is being sent on it.
      const isIdle = (socket.timeout ?? 0) > 0
      if (isIdle) socket.setTimeout(clampTimer(Math.max(announced, callers.keepAliveTimeout) + CLOSE_MARGIN_MS))
    })
  }

  callers.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket
    // After the process was busy, timers come before the bytes that have arrived meanwhile; these are read first.
    setImmediate(() => { if (socket.bytesRead === bytesRead) socket.destroy() })
  })
  callers.maxConnections = options.maxConnections
  callers.on('drop', () => { options.log(EdgeEvent.callerConnectionsRefused, { limit: options.maxConnections }) })
  const listeners: Listener[] = []
  const connections = trackCallerConnections(callers, {
    onRequest (request, response) {
      response.sendDate = false
      keepAsAnnounced(request, response, callers.keepAliveTimeout)
      options.onRequest(request, response)
    },
    onClosing: (reason, responsesInProgress) => {
      options.log(EdgeEvent.callerConnectionClosing, { reason, responsesInProgress })
    },
    account: options.account,
    onShed: (heldBytes) => { options.log(EdgeEvent.callerConnectionShed, { heldBytes }) },
    onDiscarded (request) {
      options.log(EdgeEvent.requestDiscarded, { requestIdentifier: options.identify(request) })
    }
  })

  async function open (server: Server, endpoint: Endpoint): Promise<void> {
    const listener = openListener(server, { endpoint, backlog: LISTEN_BACKLOG, log: options.log })
    listeners.push(listener)
    await listener.opened
  }

  return {
    async listen () {
      open(metrics, options.metrics).catch(options.onFault)
      // Callers come last, so that no request is accepted before the daemon has started.
      await open(readiness, options.readiness)
      await open(callers, options.caller)
    },
    setLimits ({ headerTimeout, idleTimeout }) {
      callers.headersTimeout = clampTimer(headerTimeout)
      callers.keepAliveTimeout = clampTimer(idleTimeout + KEEP_ALIVE_MARGIN_MS)
    },
    closeIdle: connections.closeIdle,
    announceClose: connections.announceClose,
    hasUnsentBytes: connections.hasUnsentBytes,
    close () {
      for (const listener of listeners) listener.close()
      for (const server of [callers, readiness, metrics]) server.closeAllConnections()
    }
  }
}
