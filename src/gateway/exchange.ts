/** An HTTP request of a caller and its response, as passed to the handlers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { InvalidRequestError, RequestTooLargeError } from '../errors'
import { ExecutionStatus } from '../types'

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
 * for further requests.
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
  request.resume()
  response.end(exchange.method === 'HEAD' ? undefined : content)
}

function tooLarge (limit: number): RequestTooLargeError {
  return new RequestTooLargeError(`body exceeds ${limit} bytes`, { execution: ExecutionStatus.notRun })
}

function incompleteBody (cause: unknown): InvalidRequestError {
  return new InvalidRequestError('the request body is incomplete', { execution: ExecutionStatus.notRun, cause })
}
