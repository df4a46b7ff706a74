/** Helpers to read and validate upstream responses. */
import type { z } from 'zod'
import { ATTEMPT_HEADER, EXECUTION_HEADER, LEAVING_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { UpstreamFailedError } from '../errors'
import { connectionError, integrityError, markAttempt } from './attempt'
import type { UpstreamExchange } from './exchange'
import type { ServiceCall } from './types'

/** Maximum number of bytes read from the body of an error response. */
export const ERROR_RESPONSE_LIMIT = 65_536

/** Maximum number of bytes of a response body that are buffered without a reservation. */
export const UNRESERVED_BYTES = 65_536

/** Number of times that a body is held while its chunks are joined. */
const COPIES = 2

/**
 * Reads the complete response body.
 *
 * @param reserve called before a long body is buffered further, which needs twice its length
 * @throws `UpstreamFailedError` when the body is longer than `limit` bytes.
 */
export async function readBody (
  exchange: UpstreamExchange, limit: number, reserve?: ServiceCall['reserve']
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = []
  let length = 0
  let reserved = UNRESERVED_BYTES
  for (let chunk = await exchange.read(); chunk !== undefined; chunk = await exchange.read()) {
    chunks.push(chunk)
    length += chunk.length
    if (length > limit) throw connectionError(`response body exceeds ${limit} bytes`, 'started')
    if (length <= reserved || reserve === undefined) continue
    const expected = Math.max(length, Math.min(limit, announcedLength(exchange) ?? reserved * 2))
    await reserve((expected - reserved) * COPIES, exchange.signal).catch((error: unknown) => {
      // The next read rejects with the reason.
      if (!exchange.signal.aborted) throw error
    })
    reserved = expected
  }
  return Buffer.concat(chunks)
}

function announcedLength ({ response: { headers } }: UpstreamExchange): number | undefined {
  const length = Number(headers['content-length'] ?? NaN)
  return Number.isFinite(length) ? length : undefined
}

/** Throws `UpstreamFailedError` when the response headers state that the upstream did not run the request. */
export async function throwIfRejected (exchange: UpstreamExchange): Promise<void> {
  const { statusCode, headers } = exchange.response
  if (headers[EXECUTION_HEADER] !== 'not_run') return
  // Reading the remaining body allows the connection to be reused. A failure here does not affect the rejection.
  await readBody(exchange, ERROR_RESPONSE_LIMIT).catch(() => undefined)
  const retryAfter = Number(headers['retry-after'] ?? NaN)
  throw markAttempt(new UpstreamFailedError(`upstream rejected the request with status ${statusCode}`, {
    execution: 'not_run',
    ...(Number.isFinite(retryAfter) ? { retryAfterSeconds: retryAfter } : {})
  }), 'notSent', headers[LEAVING_HEADER] === 'true')
}

/**
 * Checks the request identifier and attempt number echoed in the response headers. Plain services need not send them,
 * so missing headers are an error only when `required` is set.
 *
 * @throws `StreamIntegrityError` when the response belongs to another request or attempt.
 */
export function checkEcho (
  exchange: UpstreamExchange, requestIdentifier: string, attempt: number, required: boolean
): void {
  const { headers } = exchange.response
  const echoes = [
    [headers[REQUEST_IDENTIFIER_HEADER], requestIdentifier],
    [headers[ATTEMPT_HEADER], String(attempt)]
  ] as const
  for (const [echo, expected] of echoes) {
    if (echo === expected || (echo === undefined && !required)) continue
    throw integrityError(`response echoed ${String(echo)}, expected ${requestIdentifier}/${attempt}`)
  }
}

/** Parses JSON; returns undefined when the content is invalid. */
export function parseJson (content: Uint8Array | string): unknown {
  try {
    return JSON.parse(typeof content === 'string' ? content : Buffer.from(content).toString('utf8'))
  } catch {
    return undefined
  }
}

/**
 * Validates a response value against its schema.
 *
 * @throws `StreamIntegrityError` when the value does not match.
 */
export function validateResponse<Value> (schema: z.ZodType<Value>, value: unknown, path: string): Value {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  throw integrityError(`malformed response from ${path}`)
}

/** Returns the error code from a parsed response body. */
export function errorCodeOf (value: unknown): string {
  return typeof value === 'object' && value !== null && 'code' in value ? String(value.code) : 'no code'
}
