/**
 * Token bucket whose rate and capacity change when grants and loans begin, lapse or come back.
 *
 * The level and the refundable pool together never exceed the capacity. Each open charge owns its part of the
 * refundable pool: a refund of an older charge out of the part of a newer one would let a window that begins between
 * the two admit more than rate * window + burst.
 */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'

/** Below this factor the pool counts as empty, so that products of many factors do not underflow. */
const SMALLEST_FACTOR = 1e-9

/** Rate and capacity from one instant until the next change that is known in advance. */
export interface Allowance {
  /** Tokens per second. */
  rate: number
  /** Tokens. */
  capacity: number
  /** When rate or capacity change next; Infinity when no change is known. */
  until: MonotonicMilliseconds
}

/** Computes the allowance at an instant. Parts that end at `time` no longer count. */
export type AllowanceAt = (time: MonotonicMilliseconds) => Allowance

export interface Bucket {
  /** Tokens that can be spent now. */
  level: number
  /** Tokens of open charges that a refund may still return. */
  refundable: number
  /** Product of the factors by which the pool was reduced since it was last empty. */
  factor: number
  /** Part of each open charge, divided by `factor` at the time of the charge. */
  charges: Map<string, number>
  /** Instant for which the fields hold. */
  time: MonotonicMilliseconds
  allowance: Allowance
}

export function createBucket (now: MonotonicMilliseconds): Bucket {
  return {
    level: 0,
    refundable: 0,
    factor: 1,
    charges: new Map(),
    time: now,
    allowance: { rate: 0, capacity: 0, until: now }
  }
}

/**
 * Moves the bucket to `now`, piece by piece through the changes on the way. An earlier `now` has no effect.
 * Refill is slowed by the drift bound because a fast clock would otherwise refill faster than the rate allows.
 */
export function advanceBucket (
  bucket: Bucket, now: MonotonicMilliseconds, allowanceAt: AllowanceAt, driftBound: number = CLOCK_DRIFT_BOUND
): void {
  while (bucket.time < now) {
    if (bucket.allowance.until <= bucket.time) refreshAllowance(bucket, allowanceAt)
    const end = Math.min(now, bucket.allowance.until)
    bucket.level += bucket.allowance.rate * (end - bucket.time) / (1000 * (1 + driftBound))
    bucket.time = end
    limitToCapacity(bucket)
  }
  if (bucket.allowance.until <= bucket.time) refreshAllowance(bucket, allowanceAt)
}

/** Takes in a change of grants, loans or limits at the bucket's present time. */
export function refreshAllowance (bucket: Bucket, allowanceAt: AllowanceAt): void {
  bucket.allowance = allowanceAt(bucket.time)
  limitToCapacity(bucket)
}

/** Charges tokens that the caller has found to be there. A repeated identifier must be excluded by the caller. */
export function chargeBucket (bucket: Bucket, identifier: string, tokens: number): void {
  if (tokens <= 0) return
  bucket.level -= tokens
  bucket.refundable += tokens
  bucket.charges.set(identifier, tokens / bucket.factor)
}

/** Ends a charge and returns the unused tokens that its part of the refundable pool still covers. */
export function settleBucket (bucket: Bucket, identifier: string, unused: number): number {
  const stored = bucket.charges.get(identifier)
  if (stored === undefined) return 0
  bucket.charges.delete(identifier)
  const part = Math.min(stored * bucket.factor, bucket.refundable)
  const returned = Math.min(part, Math.max(0, unused))
  bucket.refundable -= part
  bucket.level += returned
  if (bucket.charges.size === 0) emptyPool(bucket)
  return returned
}

/** Cuts level and refundable pool to the capacity; the level takes precedence. */
function limitToCapacity (bucket: Bucket): void {
  const { capacity } = bucket.allowance
  if (bucket.level > capacity) bucket.level = capacity
  const room = capacity - bucket.level
  if (bucket.refundable <= room) return
  const factor = bucket.factor * room / bucket.refundable
  if (factor < SMALLEST_FACTOR) {
    emptyPool(bucket)
  } else {
    bucket.factor = factor
    bucket.refundable = room
  }
}

function emptyPool (bucket: Bucket): void {
  bucket.refundable = 0
  bucket.factor = 1
  bucket.charges.clear()
}
