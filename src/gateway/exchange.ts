/** One HTTP request of a caller and its response, as the handlers see it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { InvalidRequestError, RequestTooLargeError } from '../errors'
import { ExecutionStatus } from '../types'

/** Milliseconds for which the rest of a refused body is read, so that the caller gets to read the refusal. */
const LINGER_MS = 1000

export interface Exchange {
  /** Identifier that the router gave the request; unique over the fleet. */
  identifier: string
  request: IncomingMessage
  response: ServerResponse
  method: string
  /** Path without query, decoded as far as `URL` does. */
  path: string
  /** Query with its question mark, or an empty text. */
  query: string
  /** Aborted when the caller has gone before the response was complete. */
  signal: AbortSignal
}

export type ExchangeHandler = (exchange: Exchange) => Promise<void>

/**
 * Reads the whole body.
 * @throws RequestTooLargeError when it exceeds `limit` bytes, InvalidRequestError when the caller breaks off.
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
    request.on('error', (cause) => { reject(brokenOff(cause)) })
    request.on('close', () => { reject(brokenOff(undefined)) })
  })
}

/**
 * Sends a whole response. When the request's body was not read to its end, the connection is closed after a short while
 * of reading on, because closing at once would reset the connection before the caller has read the response.
 */
export function sendWhole (
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
  response.setHeader('connection', 'close')
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

function brokenOff (cause: unknown): InvalidRequestError {
  return new InvalidRequestError('the body ended early', { execution: ExecutionStatus.notRun, cause })
}
