/**
 * Connections of callers to an HTTP server, and the responses in progress on each. What happens to one request does not
 * end the others on its connection:
 *
 * - Bytes that are no request are refused in their order, behind the responses in progress, and then the connection is
 *   closed.
 * - A request that takes too long to arrive is refused only when no response is in progress.
 * - Only a response without another one behind it announces the end of the connection.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryAccount } from './memoryAccount/account'
import { heldFor, trackConnectionMemory, type ConnectionMemory } from './memoryAccount/connectionMemory'

/**
 * Time in milliseconds for which the bytes of the caller are read and discarded after the last response. A connection
 * that is closed with unread bytes is reset, and the caller might lose the response.
 */
const LINGER_MS = 1000
/** Bytes of a body that are read and discarded after its response. For more than these, the connection is closed. */
const MAX_DISCARDED_BODY_BYTES = 4 * 1024 * 1024

/** Interval in milliseconds between checks for callers that make no progress. */
const PROGRESS_CHECK_MS = 250

/** Why bytes on a connection cannot be read as a request. */
export const UnreadableRequest = {
  malformed: 'malformed',
  headerTooLarge: 'header_too_large',
  extensionsTooLarge: 'extensions_too_large',
  timedOut: 'timed_out',
  /** The process has no memory to read them. */
  overloaded: 'overloaded'
} as const
export type UnreadableRequest = typeof UnreadableRequest[keyof typeof UnreadableRequest]

const STATUS_LINES: Record<UnreadableRequest, string> = {
  malformed: 'HTTP/1.1 400 Bad Request',
  header_too_large: 'HTTP/1.1 431 Request Header Fields Too Large',
  extensions_too_large: 'HTTP/1.1 413 Payload Too Large',
  timed_out: 'HTTP/1.1 408 Request Timeout',
  overloaded: 'HTTP/1.1 503 Service Unavailable'
}

/** Header fields of the refusals besides those of their bodies. */
const REFUSAL_FIELDS: Readonly<Partial<Record<UnreadableRequest, readonly string[]>>> = {
  overloaded: ['retry-after: 1']
}

/** Codes of the errors that Node.js reports; all others mean that the bytes are malformed. */
const REASONS: Readonly<Record<string, UnreadableRequest>> = {
  HPE_HEADER_OVERFLOW: UnreadableRequest.headerTooLarge,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: UnreadableRequest.extensionsTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: UnreadableRequest.timedOut
}

export interface CallerConnectionsOptions {
  /** Called for each request, unless its connection is to be closed after the responses before it. */
  onRequest: (request: IncomingMessage, response: ServerResponse) => void
  /** Body of the refusal of bytes that are no whole request. @default no body */
  renderRefusal?: (reason: UnreadableRequest) => { contentType: string, body: string }
  /**
   * Called once for each connection that is to be closed after the responses in progress and a refusal, because bytes that
   * are no request came after their requests.
   */
  onClosing?: (reason: UnreadableRequest, responsesInProgress: number) => void
  /** Called for each request that is not handled, because it came behind the announced end of its connection. */
  onDiscarded?: (request: IncomingMessage) => void
  /** Account of the bytes held for the callers. @default none is kept, and only the requests in progress are bounded */
  account?: MemoryAccount
  /** Called for each connection that gives up what it holds, because it makes no progress while much is held. */
  onShed?: (heldBytes: number) => void
}

export interface CallerConnections {
  /** Whether responses wait in the process, because their callers read slowly. */
  hasUnsentBytes: () => boolean
  /** Closes idle connections, or none while a response waits to be sent. */
  closeIdle: () => void
  /** From now on the last response on each connection announces its end. */
  announceClose: () => void
}

interface Connection {
  socket: Socket
  memory: ConnectionMemory
  /** In the order of their requests. */
  responses: Set<ServerResponse>
  /** The response whose request has come last. */
  latest: ServerResponse | undefined
  /** Number of requests whose heads have been read. */
  headsRead: number
  /** Response to the request whose body is being read. */
  receiving: ServerResponse | undefined
  /** The request that takes too long to arrive. */
  overdue: OverdueRequest | undefined
  /** Response that is to announce the end of the connection, because the server is closing. */
  announcing: ServerResponse | undefined
  /** No further bytes are read as requests; the connection is closed after the responses in progress. */
  isClosing: boolean
}

interface OverdueRequest {
  /** Response to the request, if its head has been read. */
  receiving: ServerResponse | undefined
  /** Number of heads that had been read when its time had passed. */
  headsRead: number
}

/** Responses that are to announce the end of their connections, because the server is closing. */
const announcing = new WeakSet<ServerResponse>()

/**
 * Lets a response with a long body not announce the end of its connection: requests that the caller sends before it has read
 * the announcement would be dropped, although the connection stays open for as long as the body takes.
 */
export function keepOpenForBody (response: ServerResponse): void {
  if (announcing.has(response) && !response.headersSent) response.shouldKeepAlive = true
}

/** Whether the caller is to get this response: its request was read whole, or the response has begun. */
function isOwed (response: ServerResponse): boolean {
  return response.req.complete || response.headersSent
}

function hasOwed ({ responses }: Connection): boolean {
  for (const response of responses) if (isOwed(response)) return true
  return false
}

function isIncomplete (response: ServerResponse | undefined): response is ServerResponse {
  return response !== undefined && !response.req.complete
}

/** Drops the reference to a request that has been read whole, so that an idle connection does not hold its body. */
function forgetReceived (connection: Connection): void {
  if (connection.receiving?.req.complete === true) connection.receiving = undefined
}

/** Whether the caller reads nothing behind the response, so that a request behind it is not handled. */
function endsConnection (response: ServerResponse | undefined): boolean {
  if (response === undefined) return false
  const isAnnounced = response.headersSent || response.req.httpVersion === '1.0'
  return response.destroyed || (isAnnounced && !response.shouldKeepAlive)
}

/** Whether the request that took too long has still not arrived. */
function isStillOverdue ({ overdue, headsRead }: Connection): boolean {
  if (overdue === undefined) return false
  return overdue.receiving === undefined ? overdue.headsRead === headsRead : isIncomplete(overdue.receiving)
}

/** Reads and discards all further bytes, so that the end of the connection is still noticed. */
function discardInput (socket: Socket): void {
  const readers = socket.listeners('data') as Array<(bytes: Buffer) => void>
  // A listener takes the connection from the HTTP parser, which otherwise reads it without such events.
  socket.on('data', () => {})
  for (const reader of readers) socket.off('data', reader)
  socket.resume()
}

/** Closes the connection after everything written to it, once the caller has closed it or has had the time to read. */
function closeGently (socket: Socket): void {
  if (socket.destroyed || socket.writableEnded) return
  socket.end()
  const timer = setTimeout(() => { socket.destroy() }, LINGER_MS)
  socket.once('close', () => { clearTimeout(timer) })
}

/**
 * Records that the caller has sent its body without waiting for the interim response. Node.js closes the connection after a
 * final response without one, as it cannot tell whether a body follows, and has no public interface for this.
 */
function waiveContinue (response: ServerResponse): void {
  Object.assign(response, { _expect_continue: false })
}

/** Asks for the body once the response is the next one on its connection, unless the body has begun to arrive by then. */
function continueInOrder (request: IncomingMessage, response: ServerResponse): void {
  request.once('end', () => { waiveContinue(response) })
  response.once('socket', () => {
    if (response.headersSent) return
    const hasArrived = request.complete || request.readableDidRead || request.readableLength > 0
    if (hasArrived) waiveContinue(response)
    else response.writeContinue()
  })
}

/** Reports the end of the connection to a response that waits for the one before it. */
function endWaiting (response: ServerResponse): void {
  response.destroy()
  response.emit('close')
}

export function trackCallerConnections (
  server: Server, { onRequest, renderRefusal, onClosing, onDiscarded, account, onShed }: CallerConnectionsOptions
): CallerConnections {
  const connections = new Map<Socket, Connection>()
  let isAnnouncingClose = false
  const progressTimer = setInterval(checkProgress, PROGRESS_CHECK_MS).unref()
  server.on('close', () => { clearInterval(progressTimer) })
  server.on('connection', (socket: Socket) => {
    const responses = new Set<ServerResponse>()
    const memory = trackConnectionMemory(socket, {
      account,
      responses,
      receiving: () => connection.receiving,
      onShed: (heldBytes) => { onShed?.(heldBytes) },
      refuseInput: () => { refuseInput(connection) },
      now: performance.now()
    })
    const connection: Connection = {
      socket,
      memory,
      responses,
      latest: undefined,
      headsRead: 0,
      receiving: undefined,
      overdue: undefined,
      announcing: undefined,
      isClosing: false
    }
    connections.set(socket, connection)
    // Node.js calls this after a response that announces the end of its connection.
    socket.destroySoon = () => {
      endReading(connection)
      closeGently(socket)
    }
    socket.on('close', () => {
      connections.delete(socket)
      memory.close()
      // Node.js reports the end of the connection only to the response that is being sent.
      for (const response of responses) if (response.socket !== socket) endWaiting(response)
    })
  })
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    const connection = connections.get(socket)
    if (connection === undefined) return
    const { responses } = connection
    if (endsConnection(connection.latest)) endReading(connection)
    if (connection.isClosing) {
      onDiscarded?.(request)
      // Its body would keep the rest of the connection from being read.
      request.resume()
      return
    }
    // Node.js closes such a connection after a response without a length, without announcing it before.
    if (request.httpVersion === '1.0') response.shouldKeepAlive = false
    connection.headsRead += 1
    connection.receiving = response
    if (connection.overdue !== undefined) limitBody(connection, request)
    responses.add(response)
    connection.latest = response
    for (const event of ['finish', 'close']) {
      response.on(event, () => {
        responses.delete(response)
        if (connection.latest === response) connection.latest = [...responses].at(-1)
      })
    }
    connection.memory.open(request, response, performance.now())
    response.on('finish', () => {
      forgetReceived(connection)
      announceEnd(connection)
      if (connection.overdue !== undefined) setImmediate(() => { judgeOverdue(connection) })
      if (!request.complete) discardBody(connection, request)
    })
    if (isAnnouncingClose) {
      withdrawAnnouncement(connection)
      // The requests that have arrived with this one are known then. A response that is sent before announces nothing.
      setImmediate(announceEnd, connection)
    }
    request.once('end', () => {
      forgetReceived(connection)
      setImmediate(announceEnd, connection)
    })
    onRequest(request, response)
  })
  // Node.js would answer these by itself, without a request event.
  server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
    server.emit('request', request, response)
  })
  // Node.js would write the interim response at once, and the head of a response that waits for another one before it.
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    if (response.socket === null) continueInOrder(request, response)
    else response.writeContinue()
    server.emit('request', request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    const connection = connections.get(socket)
    const reason = REASONS[error.code ?? ''] ?? UnreadableRequest.malformed
    if (connection === undefined || !socket.writable) socket.destroy()
    else if (reason === UnreadableRequest.timedOut) recordOverdue(connection)
    else rejectBytes(connection, reason)
  })
  // Without a listener, Node.js closes the connection on which a tunnel is requested.
  server.on('connect', ({ socket }: IncomingMessage) => {
    const connection = connections.get(socket)
    if (connection === undefined) return
    // Node.js has removed its listeners.
    socket.on('error', () => {})
    socket.on('end', () => { socket.end() })
    socket.on('drain', () => {
      for (const response of connection.responses) if (response.socket === socket) response.emit('drain')
    })
    rejectBytes(connection, UnreadableRequest.malformed)
  })

  function recordOverdue (connection: Connection): void {
    const { headsRead } = connection
    forgetReceived(connection)
    connection.overdue = { headsRead, receiving: connection.receiving }
    // In a process that was busy, timers come before the bytes that have arrived in time; these are read first.
    setImmediate(() => { judgeOverdue(connection) })
  }

  /**
   * Refuses a request that takes too long to arrive. While responses are in progress, its connection is needed anyway, and
   * the whole requests that may come behind it would be lost.
   */
  function judgeOverdue (connection: Connection): void {
    if (!isStillOverdue(connection)) connection.overdue = undefined
    else if (!hasOwed(connection)) rejectBytes(connection, UnreadableRequest.timedOut)
  }

  /** Node.js does not limit the time of a request any more that it has reported once. */
  function limitBody (connection: Connection, request: IncomingMessage): void {
    const timer = setTimeout(() => { recordOverdue(connection) }, server.requestTimeout)
    for (const event of ['end', 'close']) request.once(event, () => { clearTimeout(timer) })
  }

  /** Refuses bytes that are no whole request, in their order behind the responses in progress. */
  function rejectBytes (connection: Connection, reason: UnreadableRequest): void {
    const { socket } = connection
    const owed = [...connection.responses].filter(isOwed)
    // A caller that closes its side has left, even if it does so within a request.
    if (socket.readableEnded && owed.length > 0) {
      socket.destroy()
      return
    }
    if (connection.isClosing) return
    withdrawAnnouncement(connection)
    endReading(connection)
    const conclude = (): void => {
      const { receiving } = connection
      // A request may have been refused before its body was read.
      if (isIncomplete(receiving) && receiving.headersSent) closeGently(socket)
      else refuse(socket, reason)
    }
    const last = owed.at(-1)
    if (last === undefined) return conclude()
    onClosing?.(reason, owed.length)
    last.on('finish', conclude)
  }

  /** Gives up bytes that are held for a connection, without the time in which its caller might read a refusal. */
  function refuseInput (connection: Connection): void {
    const { socket, receiving } = connection
    if (!hasOwed(connection)) {
      socket.destroy()
      return
    }
    if (isIncomplete(receiving)) heldFor(receiving.req)?.refuse()
    rejectBytes(connection, UnreadableRequest.overloaded)
  }

  /** Reads no further requests. */
  function endReading (connection: Connection): void {
    connection.isClosing = true
    connection.memory.gate.open()
    discardInput(connection.socket)
  }

  function checkProgress (): void {
    const now = performance.now()
    for (const { memory } of connections.values()) memory.sample(now)
    account?.sweep(now)
  }

  /** Reads the rest of a body that nobody needs, so that the next request on the connection can be read. */
  function discardBody (connection: Connection, request: IncomingMessage): void {
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= MAX_DISCARDED_BODY_BYTES || connection.isClosing) return
      endReading(connection)
      closeGently(connection.socket)
    })
    request.once('end', () => { setTimeout(closeAfterBody, LINGER_MS, connection) })
    // The body may have been paused while its refusal waited for the responses before it.
    request.resume()
  }

  /**
   * Closes a connection whose last response could not announce the end, as more requests might have followed its body and have
   * not come since.
   */
  function closeAfterBody (connection: Connection): void {
    if (!isAnnouncingClose || connection.socket.destroyed) return
    if (connection.isClosing || connection.responses.size > 0) return
    endReading(connection)
    closeGently(connection.socket)
  }

  function refuse (socket: Socket, reason: UnreadableRequest): void {
    // The response before it may have announced the end of the connection.
    if (!socket.writable) return
    const refusal = renderRefusal?.(reason)
    const headers = refusal === undefined
      ? ['content-length: 0']
      : [`content-type: ${refusal.contentType}`, `content-length: ${Buffer.byteLength(refusal.body)}`]
    const fields = [...REFUSAL_FIELDS[reason] ?? [], ...headers]
    socket.write([STATUS_LINES[reason], ...fields, 'connection: close', '', refusal?.body ?? ''].join('\r\n'))
    closeGently(socket)
  }

  /**
   * Lets the response that is sent next announce the end of the connection, unless other requests follow, or may follow
   * its body: a caller reads nothing after it.
   */
  function announceEnd (connection: Connection): void {
    if (!isAnnouncingClose) return
    withdrawAnnouncement(connection)
    const [current] = connection.responses
    const isFollowed = connection.responses.size > 1 || connection.memory.gate.hasWaiting()
    if (current === undefined || isFollowed || !current.req.complete) return
    if (current.headersSent || !current.shouldKeepAlive) return
    current.shouldKeepAlive = false
    connection.announcing = current
    announcing.add(current)
  }

  function withdrawAnnouncement (connection: Connection): void {
    if (connection.announcing?.headersSent === false) connection.announcing.shouldKeepAlive = true
    connection.announcing = undefined
  }

  function hasUnsentBytes (): boolean {
    return [...connections.keys()].some(({ writableLength }) => writableLength > 0)
  }

  return {
    hasUnsentBytes,
    closeIdle () {
      // Node.js counts connections as idle although their last response has not been sent, and would cut it off.
      if (!hasUnsentBytes()) server.closeIdleConnections()
    },
    announceClose () {
      isAnnouncingClose = true
      for (const connection of connections.values()) announceEnd(connection)
    }
  }
}
