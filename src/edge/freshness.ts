/** Age of knowledge by both clocks, so that neither a freeze nor a jump of the wall clock makes it look newer than it is. */
import type { Instant } from './types'

/** Milliseconds from `earlier` to `later`; the larger of both clocks counts. */
export function elapsed (earlier: Instant, later: Instant): number {
  return Math.max(later.steady - earlier.steady, later.wall - earlier.wall)
}

/** The instant some milliseconds before another one. */
export function before ({ steady, wall }: Instant, milliseconds: number): Instant {
  return { steady: steady - milliseconds, wall: wall - milliseconds }
}

/** Part of the revocation bound that is left for a request to get from this instance to an upstream. */
const TRANSIT_SHARE = 0.1

export interface Freshness {
  /** Notes a read of the operator's rows that was sent at `sentAt` and answered as the newest state. */
  proved: (sentAt: Instant) => void
  /** Milliseconds since the newest proof; Infinity without one. */
  age: (now: Instant) => number
  /** Whether requests with a key may be sent on. */
  permitsKeys: (now: Instant) => boolean
}

/** @param bound Milliseconds within which a removed key must stop working everywhere; Infinity without such a rule. */
export function createFreshness (bound: number): Freshness {
  let newest: Instant | undefined
  function age (now: Instant): number {
    return newest === undefined ? Infinity : elapsed(newest, now)
  }
  return {
    proved (sentAt) {
      if (newest === undefined || sentAt.steady >= newest.steady) newest = sentAt
    },
    age,
    permitsKeys: (now) => age(now) <= bound * (1 - TRANSIT_SHARE)
  }
}
