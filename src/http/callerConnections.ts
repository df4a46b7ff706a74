/**
 * Connections of callers to an HTTP server, and the responses in progress on each. Bytes that are no request do not end
 * the requests before them: their answers are sent whole, and then the connection is closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Time in milliseconds for which the bytes of the caller are read and discarded after the last response. A connection
 * that is closed with unread bytes is reset, and the caller might lose the response.
 */
const LINGER_MS = 1000
/** Bytes of a body that are read and discarded after its response. For more than these, the connection is closed. */
const MAX_DISCARDED_BODY_BYTES = 4 * 1024 * 1024

/** Why bytes on a connection cannot be read as a request. */
export const UnreadableRequest = {
  malformed: 'malformed',
  headerTooLarge: 'header_too_large',
  extensionsTooLarge: 'extensions_too_large',
  timedOut: 'timed_out'
} as const
export type UnreadableRequest = typeof UnreadableRequest[keyof typeof UnreadableRequest]

const STATUS_LINES: Record<UnreadableRequest, string> = {
  malformed: 'HTTP/1.1 400 Bad Request',
  header_too_large: 'HTTP/1.1 431 Request Header Fields Too Large',
  extensions_too_large: 'HTTP/1.1 413 Payload Too Large',
  timed_out: 'HTTP/1.1 408 Request Timeout'
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
   * Called once for each connection that is to be closed after the responses in progress, because bytes that are no
   * request came after their requests.
   */
  onClosing?: (reason: UnreadableRequest, responsesInProgress: number) => void
  /** Called for each request that is not handled, because it came behind the announced end of its connection. */
  onDiscarded?: (request: IncomingMessage) => void
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
  /** In the order of their requests. */
  responses: Set<ServerResponse>
  /** No further bytes are read as requests; the connection is closed after the responses in progress. */
  isClosing: boolean
}

/** Whether the caller is to get this response: its request was read whole, or the response has begun. */
function isOwed (response: ServerResponse): boolean {
  return response.req.complete || response.headersSent
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

/** Reports the end of the connection to a response that waits for the one before it. */
function endWaiting (response: ServerResponse): void {
  response.destroy()
  response.emit('close')
}

export function trackCallerConnections (
  server: Server, { onRequest, renderRefusal, onClosing, onDiscarded }: CallerConnectionsOptions
): CallerConnections {
  const connections = new Map<Socket, Connection>()
  let isAnnouncingClose = false
  server.on('connection', (socket: Socket) => {
    const responses = new Set<ServerResponse>()
    connections.set(socket, { socket, responses, isClosing: false })
    socket.on('close', () => {
      connections.delete(socket)
      // Node.js reports the end of the connection only to the response that is being sent.
      for (const response of responses) if (response.socket !== socket) endWaiting(response)
    })
  })
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    const connection = connections.get(socket)
    if (connection === undefined) return
    const { responses } = connection
    const previous = [...responses].at(-1)
    if (previous?.headersSent === true && !previous.shouldKeepAlive) endReading(connection, previous)
    if (connection.isClosing) {
      onDiscarded?.(request)
      // Its body would keep the rest of the connection from being read.
      request.resume()
      return
    }
    if (isAnnouncingClose) {
      // A caller reads nothing after the response that announces the end of the connection.
      if (previous !== undefined) previous.shouldKeepAlive = true
      response.shouldKeepAlive = false
    }
    responses.add(response)
    for (const event of ['finish', 'close']) response.on(event, () => { responses.delete(response) })
    response.on('finish', () => { if (!request.complete) discardBody(connection, request) })
    onRequest(request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    rejectBytes(stream as Socket, REASONS[error.code ?? ''] ?? UnreadableRequest.malformed)
  })
  // Without a listener, Node.js closes the connection on which a tunnel is requested.
  server.on('connect', ({ socket }: IncomingMessage) => {
    // Node.js has removed its listeners.
    socket.on('error', () => {})
    socket.on('end', () => { socket.end() })
    socket.on('drain', () => {
      for (const response of connections.get(socket)?.responses ?? []) if (response.socket === socket) response.emit('drain')
    })
    rejectBytes(socket, UnreadableRequest.malformed)
  })

  /** Refuses bytes that are no whole request, or closes their connection after the responses in progress before them. */
  function rejectBytes (socket: Socket, reason: UnreadableRequest): void {
    const connection = connections.get(socket)
    if (connection === undefined || !socket.writable) {
      socket.destroy()
      return
    }
    const owed = [...connection.responses].filter(isOwed)
    // A caller that closes its side has left, even if it does so within a request.
    if (socket.readableEnded && owed.length > 0) {
      socket.destroy()
      return
    }
    if (connection.isClosing) return
    const last = owed.at(-1)
    endReading(connection, last)
    if (last === undefined) return refuse(socket, reason)
    onClosing?.(reason, owed.length)
  }

  /** Reads no further requests, and closes the connection after the response. */
  function endReading (connection: Connection, last: ServerResponse | undefined): void {
    connection.isClosing = true
    discardInput(connection.socket)
    if (last !== undefined) closeAfter(connection.socket, last)
  }

  /** Reads the rest of a body that nobody needs, so that the next request on the connection can be read. */
  function discardBody (connection: Connection, request: IncomingMessage): void {
    let bytes = 0
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= MAX_DISCARDED_BODY_BYTES || connection.isClosing) return
      endReading(connection, undefined)
      closeGently(connection.socket)
    })
  }

  function refuse (socket: Socket, reason: UnreadableRequest): void {
    const refusal = renderRefusal?.(reason)
    const headers = refusal === undefined
      ? []
      : [`content-type: ${refusal.contentType}`, `content-length: ${Buffer.byteLength(refusal.body)}`]
    socket.write([STATUS_LINES[reason], ...headers, 'connection: close', '', refusal?.body ?? ''].join('\r\n'))
    closeGently(socket)
  }

  function closeAfter (socket: Socket, response: ServerResponse): void {
    // Node.js calls this after a response that announces the end of its connection.
    socket.destroySoon = () => { closeGently(socket) }
    if (!response.headersSent) response.shouldKeepAlive = false
    response.on('finish', () => { closeGently(socket) })
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
      for (const { responses } of connections.values()) {
        const last = [...responses].at(-1)
        if (last?.headersSent === false) last.shouldKeepAlive = false
      }
    }
  }
}
