/** An HTTP request of a caller and its response, as passed to the handlers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { InvalidRequestError, RequestTooLargeError } from '../errors'
import { ExecutionStatus } from '../types'

/** Time in milliseconds for which the rest of a rejected body is read, so that the caller can read the response. */
const LINGER_MS = 1000

export interface Exchange {
  /** Request identifier that the router has assigned. Unique within the fleet. */
  identifier: string
  request: IncomingMessage
  response: ServerResponse
  method: string
  /** Path without the query, as received. */
  path: string
  /** Query including the question mark, or an empty string. */
  query: string
  /** Aborted if the caller disconnects before the response is complete. */
  signal: AbortSignal
}

export type ExchangeHandler = (exchange: Exchange) => Promise<void>

/**
 * Reads the complete body.
 * @throws RequestTooLargeError if it exceeds `limit` bytes, InvalidRequestError if the caller disconnects.
 */
export async function readBody (exchange: Exchange, limit: number): Promise<Buffer> {
  const { request } = exchange
  if (Number(request.headers['content-length'] ?? 0) > limit) throw tooLarge(limit)
  const parts: Buffer[] = []
  let size = 0
  return await new Promise((resolve, reject) => {
    request.on('data', (part: Buffer) => {
      size += part.length
      if (size <= limit) parts.push(part)
      else reject(tooLarge(limit))
    })
    request.on('end', () => { resolve(Buffer.concat(parts)) })
    request.on('error', (cause) => { reject(incompleteBody(cause)) })
    request.on('close', () => { reject(incompleteBody(undefined)) })
  })
}

/**
 * Sends a complete response. If the request body has not been read to its end, the connection is closed only after a
 * short period in which the body is drained. Closing it immediately would reset the connection before the caller has read
 * the response.
 */
export function sendResponse (
  exchange: Exchange, status: number, headers: Readonly<Record<string, string | readonly string[]>>,
  body: string | Uint8Array
): void {
  const { request, response } = exchange
  if (response.headersSent || response.destroyed) return
  const content = typeof body === 'string' ? Buffer.from(body) : body
  response.statusCode = status
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, typeof value === 'string' ? value : [...value])
  }
  response.setHeader('content-length', content.byteLength)
  response.setHeader('x-request-id', exchange.identifier)
  const withContent = exchange.method === 'HEAD' ? undefined : content
  if (request.complete || request.headers['content-length'] === '0' || hasNoBody(request)) {
    response.end(withContent)
    return
  }
  response.shouldKeepAlive = false
  response.write(withContent ?? '')
  const finish = (): void => {
    clearTimeout(timer)
    response.end()
  }
  const timer = setTimeout(finish, LINGER_MS)
  request.removeAllListeners('data')
  request.once('end', finish)
  request.once('close', finish)
  request.resume()
}

function hasNoBody (request: IncomingMessage): boolean {
  return request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined
}

function tooLarge (limit: number): RequestTooLargeError {
  return new RequestTooLargeError(`body exceeds ${limit} bytes`, { execution: ExecutionStatus.notRun })
}

function incompleteBody (cause: unknown): InvalidRequestError {
  return new InvalidRequestError('the request body is incomplete', { execution: ExecutionStatus.notRun, cause })
}
