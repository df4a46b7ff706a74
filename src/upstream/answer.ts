/** Reading and checking of answers that every operation on an upstream shares. */
import type { z } from 'zod'
import { ATTEMPT_HEADER, EXECUTION_HEADER, LEAVING_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { UpstreamFailedError } from '../errors'
import { connectionError, integrityError, markAttempt } from './attempt'
import type { UpstreamExchange } from './exchange'

/** Bytes of an error answer that are read. */
export const ERROR_ANSWER_LIMIT = 65_536

/** Reads a body up to the limit. */
export async function readWhole (exchange: UpstreamExchange, limit: number): Promise<Uint8Array> {
  const parts: Uint8Array[] = []
  let length = 0
  for (let part = await exchange.read(); part !== undefined; part = await exchange.read()) {
    parts.push(part)
    length += part.length
    if (length > limit) throw connectionError(`answer exceeds ${limit} bytes`, 'started')
  }
  return Buffer.concat(parts)
}

/** Raises the refusal of an upstream that states that it did not run the request. */
export async function throwIfRefused (exchange: UpstreamExchange): Promise<void> {
  const { statusCode, headers } = exchange.response
  if (headers[EXECUTION_HEADER] !== 'not_run') return
  // Reading the rest lets the connection be used again; the refusal is valid without it.
  await readWhole(exchange, ERROR_ANSWER_LIMIT).catch(() => undefined)
  const retryAfter = Number(headers['retry-after'] ?? NaN)
  throw markAttempt(new UpstreamFailedError(`upstream refused the request with status ${statusCode}`, {
    execution: 'not_run',
    ...(Number.isFinite(retryAfter) ? { retryAfterSeconds: retryAfter } : {})
  }), 'notSent', headers[LEAVING_HEADER] === 'true')
}

/**
 * Raises `StreamIntegrityError` when the answer's headers name another request or attempt.
 * Plain services need not echo; a missing echo is an error only when `required`.
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
    throw integrityError(`answer with echo ${String(echo)} came for ${requestIdentifier}/${attempt}`)
  }
}

export function parseJson (content: Uint8Array | string): unknown {
  try {
    return JSON.parse(typeof content === 'string' ? content : Buffer.from(content).toString('utf8'))
  } catch {
    return undefined
  }
}

/** Raises `StreamIntegrityError` when an answer does not have its agreed form. */
export function validateAnswer<Value> (schema: z.ZodType<Value>, value: unknown, path: string): Value {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  throw integrityError(`malformed answer of ${path}`)
}

/** Error code in an answer's body. */
export function codeOf (value: unknown): string {
  return typeof value === 'object' && value !== null && 'code' in value ? String(value.code) : 'no code'
}
