/** The caller's side of one exchange: writes exactly one response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { keepOpenForBody } from '../http/callerConnections'
import { HeldKind, type HeldRequest } from '../http/memoryAccount/account'
import type { MonotonicMilliseconds } from '../types'
import type { Dialect } from './types'

export interface Rejection {
  status: number
  code: string
  message: string
  /** Time in milliseconds after which the caller may retry; undefined if a retry would not help. */
  retryAfter?: number
}

export interface CallerResponse {
  /** Responds with an error of the router, unless a response has already been started. */
  reject: (rejection: Rejection) => void
  /**
   * Starts forwarding an upstream's response. A stream gets no content length, because another upstream may resume it.
   */
  writeHead: (status: number, message: string | undefined, rawHeaders: readonly string[], isStream?: boolean) => void
  /** Writes a chunk; returns false if the caller reads too slowly. */
  write: (bytes: Buffer) => boolean
  end: (bytes?: Buffer) => void
  /**
   * Ends an incomplete response: closes the connection, so that the caller can tell, or responds with an error if the caller
   * has got nothing of the response yet, because those before it on the connection are still being sent.
   */
  abort: () => void
  hasStarted: () => boolean
  hasEnded: () => boolean
  /** Calls the listener when the caller has read enough for more to be written. */
  onDrain: (listener: () => void) => void
}

const INCOMPLETE: Rejection = {
  status: 502, code: 'upstream_failed', message: 'the request was sent on and its outcome is not known'
}
/**
 * Bytes of a response that its caller has not read; beyond these, its upstream is read no further. An upstream cuts off a
 * response that stays unread for some seconds, so most responses are read ahead to their end.
 */
const READ_AHEAD_BYTES = 524_288
/** Bytes that are read ahead while little memory is left. */
const TIGHT_READ_AHEAD_BYTES = 65_536
/** Least size in bytes for which a write counts; small writes take as much memory for their objects. */
const MIN_WRITE_BYTES = 256

export interface CallerResponseOptions {
  response: ServerResponse
  dialect: Dialect
  identifier: string | undefined
  /** Account of the request. @default none is kept */
  held?: HeldRequest | undefined
  /** Whether little memory is left. */
  isMemoryTight?: (() => boolean) | undefined
  now: () => MonotonicMilliseconds
}

function withoutLength (raw: readonly string[]): string[] {
  return raw.filter((_text, index) => raw[index - index % 2]!.toLowerCase() !== 'content-length')
}

export function createCallerResponse (
  { response, dialect, identifier, held, isMemoryTight = () => false, now }: CallerResponseOptions
): CallerResponse {
  let started = false
  let ended = false
  /** Writes that wait until the responses before this one on the connection are sent. */
  const deferred: Array<() => void> = []
  /** Bytes of writes that the operating system has not taken. */
  let unreadBytes = 0
  let isFull = false

  function readAhead (): number {
    return isMemoryTight() ? TIGHT_READ_AHEAD_BYTES : READ_AHEAD_BYTES
  }

  /** Writes bytes that count until the operating system has taken them. */
  function writeCounted (bytes: Buffer, size: number): void {
    response.write(bytes, () => {
      unreadBytes -= size
      held?.add(HeldKind.answer, -size, now())
      if (!isFull || unreadBytes > readAhead() / 2) return
      isFull = false
      response.emit('drain')
    })
  }

  function writeInOrder (action: () => void): void {
    if (response.socket === null) deferred.push(action)
    else action()
  }

  response.once('socket', () => {
    for (const action of deferred.splice(0)) action()
  })

  function writeHead (
    status: number, message: string | undefined, rawHeaders: readonly string[], isStreaming: boolean = false
  ): void {
    started = true
    const headers = dialect.callerHeaders(isStreaming ? withoutLength(rawHeaders) : rawHeaders)
    writeInOrder(() => {
      if (isStreaming) keepOpenForBody(response)
      response.writeHead(status, message, headers)
    })
  }

  function writeRejection ({ status, code, message, retryAfter }: Rejection): void {
    started = true
    ended = true
    const body = Buffer.from(JSON.stringify({ error: { code, message } }))
    const headers = dialect.localResponseHeaders(identifier, retryAfter === undefined ? undefined : retryAfter / 1000)
    headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length))
    writeInOrder(() => {
      response.writeHead(status, headers)
      response.end(body)
    })
  }

  return {
    reject (rejection) {
      if (!started && !ended) writeRejection(rejection)
    },
    writeHead,
    write (bytes) {
      const size = Math.max(MIN_WRITE_BYTES, bytes.length)
      unreadBytes += size
      held?.add(HeldKind.answer, size, now())
      writeInOrder(() => { writeCounted(bytes, size) })
      isFull = unreadBytes > readAhead()
      return !isFull
    },
    end (bytes) {
      ended = true
      if (bytes !== undefined) held?.add(HeldKind.answer, bytes.length, now())
      writeInOrder(() => { response.end(bytes) })
    },
    abort () {
      ended = true
      if (response.socket !== null || response.destroyed) {
        response.destroy()
        return
      }
      deferred.length = 0
      writeRejection(INCOMPLETE)
    },
    hasStarted: () => started,
    hasEnded: () => ended,
    onDrain: (listener) => { response.on('drain', listener) }
  }
}

/** Whether the request has a body. */
export function hasBody (request: IncomingMessage): boolean {
  const length = request.headers['content-length']
  return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
}
