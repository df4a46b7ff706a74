/**
 * Freshness of the operator's rows. Elapsed time is measured on both clocks, so that neither a suspended process nor a
 * jump of the wall clock makes data look newer than it is.
 */
import type { Instant } from './types'

/** Returns the milliseconds from `earlier` to `later`: the larger of the differences on the two clocks. */
export function elapsed (earlier: Instant, later: Instant): number {
  return Math.max(later.steady - earlier.steady, later.wall - earlier.wall)
}

/** Returns the instant that lies the given milliseconds before another one. */
export function instantBefore ({ steady, wall }: Instant, milliseconds: number): Instant {
  return { steady: steady - milliseconds, wall: wall - milliseconds }
}

/** Fraction of the revocation bound reserved for a request's way from this instance to the upstream. */
const TRANSIT_FRACTION = 0.1

export interface Freshness {
  /** Records that a read sent at `sentAt` returned the current state of the operator's rows. */
  recordConfirmation: (sentAt: Instant) => void
  /** Returns the milliseconds since the newest confirmation, or Infinity if there is none. */
  age: (now: Instant) => number
  /** Whether requests with an API key may be forwarded. */
  permitsKeys: (now: Instant) => boolean
}

/**
 * @param bound time in milliseconds within which a removed key must stop working on all instances; Infinity if no such
 * bound is configured
 */
export function createFreshness (bound: number): Freshness {
  let newest: Instant | undefined
  function age (now: Instant): number {
    return newest === undefined ? Infinity : elapsed(newest, now)
  }
  return {
    recordConfirmation (sentAt) {
      if (newest === undefined || sentAt.steady >= newest.steady) newest = sentAt
    },
    age,
    permitsKeys: (now) => age(now) <= bound * (1 - TRANSIT_FRACTION)
  }
}
