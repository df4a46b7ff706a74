/**
 * Token bucket whose rate and capacity change when grants and loans start, expire or are returned.
 *
 * The level and the refundable pool together never exceed the capacity. Each open charge owns its own portion of the
 * refundable pool: if an older charge could be refunded from the portion of a newer one, a window that begins between
 * the two could admit more than rate * window + burst.
 */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'

/** Pool factor below which the refundable pool is treated as empty, so that repeated reductions do not underflow. */
const MINIMUM_POOL_FACTOR = 1e-9

/** Rate and capacity at an instant, valid until the next known change. */
export interface Allowance {
  /** Tokens per second. */
  rate: number
  /** Tokens. */
  capacity: number
  /** Time of the next change of rate or capacity; Infinity when none is known. */
  until: MonotonicMilliseconds
}

/** Computes the allowance at `time`. Grants and loans that end at `time` are no longer included. */
export type AllowanceAt = (time: MonotonicMilliseconds) => Allowance

export interface Bucket {
  /** Tokens that can be spent now. */
  level: number
  /** Refundable pool: tokens of open charges that can still be refunded. */
  refundable: number
  /** Product of all factors by which the refundable pool has been reduced since it was last empty. */
  factor: number
  /** Portion of each open charge in the refundable pool, divided by the value of `factor` at the time of the charge. */
  charges: Map<string, number>
  /** Time up to which the bucket has been advanced. */
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
 * Advances the bucket to `now`, step by step through all allowance changes in between. An earlier `now` has no effect.
 * Refill is slowed by the drift bound, because a fast clock would otherwise refill faster than the rate allows.
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

/** Applies a change of grants, loans or limits at the current time of the bucket. */
export function refreshAllowance (bucket: Bucket, allowanceAt: AllowanceAt): void {
  bucket.allowance = allowanceAt(bucket.time)
  limitToCapacity(bucket)
}

/** Charges tokens. The caller must have checked that the level covers them and that `identifier` is not in use. */
export function chargeBucket (bucket: Bucket, identifier: string, tokens: number): void {
  if (tokens <= 0) return
  bucket.level -= tokens
  bucket.refundable += tokens
  bucket.charges.set(identifier, tokens / bucket.factor)
}

/** Settles a charge and refunds unused tokens, as far as its portion of the refundable pool still covers them. */
export function settleBucket (bucket: Bucket, identifier: string, unused: number): number {
  const scaledPart = bucket.charges.get(identifier)
  if (scaledPart === undefined) return 0
  bucket.charges.delete(identifier)
  const refundablePart = Math.min(scaledPart * bucket.factor, bucket.refundable)
  const returned = Math.min(refundablePart, Math.max(0, unused))
  bucket.refundable -= refundablePart
  bucket.level += returned
  if (bucket.charges.size === 0) resetRefundablePool(bucket)
  return returned
}

/** Truncates the level and the refundable pool to the capacity; the level takes precedence. */
function limitToCapacity (bucket: Bucket): void {
  const { capacity } = bucket.allowance
  if (bucket.level > capacity) bucket.level = capacity
  const room = capacity - bucket.level
  if (bucket.refundable <= room) return
  const factor = bucket.factor * room / bucket.refundable
  if (factor < MINIMUM_POOL_FACTOR) {
    resetRefundablePool(bucket)
  } else {
    bucket.factor = factor
    bucket.refundable = room
  }
}

function resetRefundablePool (bucket: Bucket): void {
  bucket.refundable = 0
  bucket.factor = 1
  bucket.charges.clear()
}
