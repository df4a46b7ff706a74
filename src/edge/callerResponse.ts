/** The caller's side of one exchange: reads the request body and writes exactly one response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { keepOpenForBody } from '../http/callerConnections'
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
  onDrain: (listener: () => void) => void
}

const INCOMPLETE: Rejection = {
  status: 502, code: 'upstream_failed', message: 'the request was sent on and its outcome is not known'
}
/** Bytes of a response that wait for the responses before it; beyond these, its upstream is read no further. */
const MAX_DEFERRED_BYTES = 65_536

export interface CallerResponseOptions {
  response: ServerResponse
  dialect: Dialect
  identifier: string | undefined
}

function withoutLength (raw: readonly string[]): string[] {
  return raw.filter((_text, index) => raw[index - index % 2]!.toLowerCase() !== 'content-length')
}

export function createCallerResponse (
  { response, dialect, identifier }: CallerResponseOptions
): CallerResponse {
  let started = false
  let ended = false
  /** Writes that wait until the responses before this one on the connection are sent. */
  const deferred: Array<() => void> = []
  let deferredBytes = 0

  function writeInOrder (action: () => void): void {
    if (response.socket === null) deferred.push(action)
    else action()
  }

  response.once('socket', () => {
    const wasFull = deferredBytes > MAX_DEFERRED_BYTES
    for (const action of deferred.splice(0)) action()
    deferredBytes = 0
    if (wasFull && !response.writableNeedDrain) response.emit('drain')
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
      if (response.socket !== null) return response.write(bytes)
      deferredBytes += bytes.length
      deferred.push(() => { response.write(bytes) })
      return deferredBytes <= MAX_DEFERRED_BYTES
    },
    end (bytes) {
      ended = true
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

/**
 * Reads the complete body. Calls `onTooLong` once if it exceeds the limit. Neither callback is called if the caller
 * disconnects.
 */
export function readBody (
  request: IncomingMessage, limit: number, onBody: (body: Buffer) => void, onTooLong: () => void
): void {
  const chunks: Buffer[] = []
  let bytes = 0
  let tooLong = false
  request.on('data', (chunk: Buffer) => {
    if (tooLong) return
    bytes += chunk.length
    if (bytes > limit) {
      tooLong = true
      chunks.length = 0
      onTooLong()
      return
    }
    chunks.push(chunk)
  })
  request.on('end', () => {
    if (!tooLong) onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
  })
}
