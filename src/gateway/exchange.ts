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
  /** Whether the caller has sent further requests on the connection, whose responses come after this one. */
  hasFollowers: () => boolean
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
 * Sends a complete response. The rest of a body that has not been read is discarded, so that the connection can be used
 * for further requests. If it is to be closed, that happens at the end of the body or after a short period: closing it
 * with unread bytes would reset it before the caller has read the response.
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
  request.resume()
  if (request.complete || response.shouldKeepAlive || hasNoBody(request)) response.end(withContent)
  else endAfterBody(exchange, withContent)
}

function endAfterBody ({ request, response }: Exchange, content: Uint8Array | undefined): void {
  response.flushHeaders()
  if (content !== undefined) response.write(content)
  let timer: NodeJS.Timeout | undefined
  const finish = (): void => {
    clearTimeout(timer)
    response.end()
  }
  const startTimer = (): void => { timer = setTimeout(finish, LINGER_MS) }
  // A response that waits for the one before it has no socket yet.
  if (response.socket === null) response.once('socket', startTimer)
  else startTimer()
  request.once('end', finish)
  request.once('close', finish)
}

function hasNoBody ({ headers }: IncomingMessage): boolean {
  return (headers['content-length'] ?? '0') === '0' && headers['transfer-encoding'] === undefined
}

function tooLarge (limit: number): RequestTooLargeError {
  return new RequestTooLargeError(`body exceeds ${limit} bytes`, { execution: ExecutionStatus.notRun })
}

function incompleteBody (cause: unknown): InvalidRequestError {
  return new InvalidRequestError('the request body is incomplete', { execution: ExecutionStatus.notRun, cause })
}
