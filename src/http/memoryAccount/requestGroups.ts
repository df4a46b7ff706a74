/** Groups of requests that share the heap and the connections to upstreams, and when a refused request may come again. */
import type { ShareDecision } from './requestShares'

/** Bounds in milliseconds of the retry-after of a request beyond its share. */
const MIN_RETRY_MS = 50
const MAX_RETRY_MS = 1000

/** Prefix of the groups of customers, so that none has the name of another group. */
const CUSTOMER_GROUP = 'customer/'
/** Requests of routes that ask for no key. */
const ANONYMOUS_GROUP = 'anonymous'
/** Requests that are refused, and whose bodies are still being read. */
export const REJECTED_GROUP = 'rejected'

export type RefusedShare = Extract<ShareDecision, { admitted: false }>

/** @param customer name of the customer; undefined for a caller without a key */
export function requestGroup (customer: string | undefined): string {
  return customer === undefined ? ANONYMOUS_GROUP : `${CUSTOMER_GROUP}${customer}`
}

/** Returns the milliseconds after which a request that was refused for its share may come again. */
export function shareRetryAfter ({ retryAfter }: RefusedShare): number {
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryAfter))
}
