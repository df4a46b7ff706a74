/** An HTTP request of a caller and its response, as passed to the handlers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { InvalidRequestError, OverloadedError, RequestTooLargeError, type RouterError } from '../errors'
import { HeldKind } from '../http/memoryAccount/account'
import { readBoundedBody } from '../http/memoryAccount/bodyReader'
import { heldFor } from '../http/memoryAccount/connectionMemory'
import { EndReason } from '../request/endReason'
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

/** Retry-after in seconds of a request that is refused for memory, which is free once the largest holders have ended. */
const MEMORY_RETRY_SECONDS = 1

/**
 * Reads the complete body.
 * @throws RequestTooLargeError if it exceeds `limit` bytes, OverloadedError if there is no memory left for it,
 * InvalidRequestError if the caller disconnects.
 */
export async function readBody (exchange: Exchange, limit: number): Promise<Buffer> {
  const { request, response } = exchange
  // The listeners stay with the request. Those of a settled promise would keep its value, the body.
  let pending: { resolve: (body: Buffer) => void, reject: (error: RouterError) => void } | undefined
  const result = new Promise<Buffer>((resolve, reject) => { pending = { resolve, reject } })

  function fail (error: RouterError): void {
    pending?.reject(error)
    pending = undefined
  }

  readBoundedBody(request, limit, heldFor(request), {
    onBody (body) {
      pending?.resolve(body)
      pending = undefined
    },
    onTooLong () { fail(tooLarge(limit)) },
    onNoMemory () {
      // The rest of the body would be read before the next request.
      if (!response.headersSent) response.shouldKeepAlive = false
      fail(new OverloadedError('no memory is left for the body', {
        execution: ExecutionStatus.notRun, retryAfterSeconds: MEMORY_RETRY_SECONDS, reason: EndReason.memory
      }))
    }
  })
  request.on('error', (cause) => { fail(incompleteBody(cause)) })
  request.on('close', () => { fail(incompleteBody(undefined)) })
  return await result
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
  heldFor(request)?.add(HeldKind.answer, content.byteLength, performance.now())
  if (response.socket !== null) request.resume()
  // Behind other responses, the rest of a body is not read until this one is sent. Unless some of it has been read by then,
  // Node.js discards all of it by itself, however long it is.
  else request.read(0)
  response.end(exchange.method === 'HEAD' ? undefined : content)
}

function tooLarge (limit: number): RequestTooLargeError {
  return new RequestTooLargeError(`body exceeds ${limit} bytes`, { execution: ExecutionStatus.notRun })
}

function incompleteBody (cause: unknown): InvalidRequestError {
  return new InvalidRequestError('the request body is incomplete', { execution: ExecutionStatus.notRun, cause })
}
