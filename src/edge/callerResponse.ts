/** The caller's side of one exchange: reads the request body and writes exactly one response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
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
  /** Closes the connection, so that the caller can tell that the response is incomplete. */
  abort: () => void
  hasStarted: () => boolean
  hasEnded: () => boolean
  onDrain: (listener: () => void) => void
}

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

  function writeHead (
    status: number, message: string | undefined, rawHeaders: readonly string[], isStreaming: boolean = false
  ): void {
    started = true
    const headers = dialect.callerHeaders(isStreaming ? withoutLength(rawHeaders) : rawHeaders)
    response.writeHead(status, message, headers)
  }

  return {
    reject ({ status, code, message, retryAfter }) {
      if (started || ended) return
      started = true
      ended = true
      const body = Buffer.from(JSON.stringify({ error: { code, message } }))
      const headers = dialect.localResponseHeaders(identifier, retryAfter === undefined ? undefined : retryAfter / 1000)
      headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length))
      response.writeHead(status, headers)
      response.end(body)
    },
    writeHead,
    write: (bytes) => response.write(bytes),
    end (bytes) {
      ended = true
      response.end(bytes)
    },
    abort () {
      ended = true
      response.destroy()
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
