/** Determines the traits of a request to which crashes of upstreams may be attributed. */
import { fingerprintOf } from '../request/fingerprint'
import { MAX_IDENTIFIER_LENGTH, storedIdentifier } from './storedIdentifier'
import type { CallerRequest } from './types'

export interface RequestTraits {
  /** The shared segments of the prompt. The last segment is private, and never the cause for other requests. */
  parts: readonly string[]
  /** The shared segments in prompt order, then the whole content; each is more specific than those before it. */
  all: () => readonly string[]
}

export interface TraitSource {
  callerRequest: Pick<CallerRequest, 'model' | 'promptSegments'>
  customer: string | undefined
  method: string
  path: string
  body: Buffer | undefined
}

export function traitsOf ({ callerRequest, customer = '', method, path, body }: TraitSource): RequestTraits {
  const { model = '', promptSegments } = callerRequest
  const parts = promptSegments.slice(0, -1).map(({ identifier }) => (
    Math.max(identifier.length, model.length) > MAX_IDENTIFIER_LENGTH
      ? `part/${fingerprintOf('', model, identifier)}`
      : `part/${model}/${storedIdentifier(identifier)}`
  ))
  let all: readonly string[] | undefined
  return {
    parts,
    all () {
      all ??= [...parts, `content/${fingerprintOf(customer, `${method} ${path}`, body ?? '')}`]
      return all
    }
  }
}
