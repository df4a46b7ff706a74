/** Identifiers of callers as tables keep them after their requests have ended. */
import { fingerprintOf } from '../request/fingerprint'

/** Longest identifier that is kept as it is; a longer one is hashed, to bound what is stored. */
export const MAX_IDENTIFIER_LENGTH = 64

/** Returns an identifier of bounded size that refers to no other memory. */
export function storedIdentifier (identifier: string): string {
  if (identifier.length > MAX_IDENTIFIER_LENGTH) return fingerprintOf('', '', identifier)
  // A part of a header field is a view of it, which would keep the whole field.
  return Buffer.from(identifier).toString()
}
