/** Fingerprint of a request's content, which is equal on every instance and for every repetition by the caller. */
import { createHash } from 'node:crypto'

/** Number of hexadecimal digits of the SHA-256 hash that are kept. */
const FINGERPRINT_DIGITS = 32

/**
 * Returns a hash over customer, route and body. Customer and route are prefixed with their lengths, so that different
 * values cannot result in the same input.
 */
export function fingerprintOf (customer: string, route: string, body: string | Uint8Array): string {
  const hash = createHash('sha256')
  for (const part of [customer, route]) hash.update(`${Buffer.byteLength(part)}:${part}`)
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)
}
