/** Identity of a request's content, equal on every instance and for every repeat by the caller. */
import { createHash } from 'node:crypto'

/** Hexadecimal digits kept of the SHA-256. */
const FINGERPRINT_DIGITS = 32

/** Hash over customer, route and body; each part is prefixed with its length so that parts cannot run together. */
export function fingerprintOf (customer: string, route: string, body: string | Uint8Array): string {
  const hash = createHash('sha256')
  for (const part of [customer, route]) hash.update(`${Buffer.byteLength(part)}:${part}`)
  return hash.update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)
}
