/** What one customer may use at one instance, and what of it can be lent: sums over grants and loans. */
import { QUOTA_UNITS } from '../constants'
import type { MonotonicMilliseconds } from '../types'
import type { Allowance, AllowanceAt, Bucket } from './bucket'
import { DEMAND_HEADROOM, demandRate } from './demand'
import type { Demand } from './demand'
import { emptyReply } from './loans'
import type { LentPart, LoanBook } from './loans'
import type { CustomerLimit, GrantTier, LoanReply, LoanRequest } from './types'

/** Smallest loan as a part of the customer's limits; less is not worth a message. */
const SMALLEST_LOAN_SHARE = 1e-6

/**
 * Milliseconds of recent demand for which a lender keeps tokens and capacity. A peer asks because a request waits there
 * now; the lender can borrow as well within a round trip. Keeping room for the largest recent request instead, and the
 * burst that belongs to the kept rate, refused 15% of requests inside the rate under evenly spread traffic.
 */
const KEPT_MS = 250

/** Milliseconds of refill that a borrowed rate can collect. */
const RATE_CAPACITY_MS = 2000

/** Factor that allows for rounding when a renewal is compared with the loan that it renews. */
const ROUNDING = 1 - 1e-9

export interface HeldGrant {
  units: number
  expiresAt: MonotonicMilliseconds
}

export type HeldGrants = Record<GrantTier, HeldGrant>

/** State of one customer at this instance. */
export interface Account {
  limit: CustomerLimit
  /** A customer that left the configuration is kept while parts of its quota are lent. */
  removed: boolean
  bucket: Bucket
  demand: Demand
  loans: LoanBook
  allowanceAt: AllowanceAt
}

/** Rate and capacity of one customer at an instant: valid grants, less the parts lent, plus the parts borrowed. */
export function allowanceOf (account: Account, grants: HeldGrants, time: MonotonicMilliseconds): Allowance {
  let units = 0
  let until = Infinity
  for (const grant of [grants.floor, grants.pool]) {
    if (grant.expiresAt <= time) continue
    units += grant.units
    until = Math.min(until, grant.expiresAt)
  }
  const { limit, loans } = account
  let rate = limit.rate * units / QUOTA_UNITS
  let capacity = limit.burst * units / QUOTA_UNITS
  for (const part of loans.lent.values()) {
    if (part.returnsAt <= time) continue
    rate -= Math.max(part.rate, part.rateShare * limit.rate)
    capacity -= Math.max(part.capacity, part.capacityShare * limit.burst)
    until = Math.min(until, part.returnsAt)
  }
  rate = Math.max(0, rate)
  capacity = Math.max(0, capacity)
  for (const part of loans.borrowed.values()) {
    if (part.expiresAt <= time) continue
    rate += Math.min(part.rate, part.rateShare * limit.rate)
    capacity += Math.min(part.capacity, part.capacityShare * limit.burst)
    until = Math.min(until, part.expiresAt)
  }
  return { rate, capacity, until }
}

/** Units of the grants that outlast a loan, and the duration for which they do. */
export function lendableGrants (
  grants: HeldGrants, wanted: number, now: MonotonicMilliseconds
): { units: number, duration: number } {
  const remaining = Math.max(grants.floor.expiresAt, grants.pool.expiresAt) - now
  const duration = Math.max(0, Math.min(wanted, remaining))
  let units = 0
  for (const grant of [grants.floor, grants.pool]) if (grant.expiresAt - now >= duration) units += grant.units
  return { units, duration }
}

/**
 * Reply to a request, from `units` that outlast `duration`. A renewal gives at least what the borrower has, or nothing;
 * tokens move only into capacity that the borrower does not have yet. Otherwise tokens on their way would come on top of
 * a borrower and a lender that are both full, and the burst would be exceeded.
 */
export function loanFrom (
  account: Account, request: LoanRequest, earlier: LentPart | undefined, units: number, duration: number,
  now: MonotonicMilliseconds
): LoanReply {
  const { limit } = account
  const spare = spareOf(account, units, now)
  if (request.surplusOnly === true) {
    const { level, allowance } = account.bucket
    spare.tokens = Math.min(spare.tokens, level - allowance.capacity / 2)
    spare.capacity = Math.min(spare.capacity, spare.tokens)
  }
  const earlierRate = (earlier?.rateShare ?? 0) * limit.rate
  const earlierCapacity = (earlier?.capacityShare ?? 0) * limit.burst
  // Without a rate, capacity beyond the tokens would be of no use to the borrower.
  if (request.rate === 0) spare.capacity = Math.min(spare.capacity, spare.tokens)
  const rate = Math.max(0, Math.min(request.rate, earlierRate + spare.rate))
  const capacity = Math.max(0, Math.min(request.capacity, earlierCapacity + spare.capacity))
  if (rate < earlierRate * ROUNDING || capacity < earlierCapacity * ROUNDING) return emptyReply(request)
  const share = Math.max(shareOf(rate, limit.rate), shareOf(capacity, limit.burst))
  if (share < SMALLEST_LOAN_SHARE) return emptyReply(request)
  // Tokens that do not fit into the lender's remaining capacity go along; they would be lost otherwise.
  const displaced = account.bucket.level - (account.bucket.allowance.capacity - (capacity - earlierCapacity))
  const wanted = Math.max(displaced, Math.min(request.tokens, spare.tokens))
  const tokens = Math.max(0, Math.min(wanted, account.bucket.level, capacity - earlierCapacity))
  return { ...emptyReply(request), rate, capacity, tokens, duration }
}

/** What an instance can lend of `units` after what it has lent already; negative when it should have some back. */
export function spareOf (
  account: Account, units: number, now: MonotonicMilliseconds
): { rate: number, capacity: number, tokens: number } {
  const { limit, bucket, demand, loans } = account
  const lent = sumLent(loans)
  const ownRate = limit.rate * units / QUOTA_UNITS
  const ownCapacity = limit.burst * units / QUOTA_UNITS
  const keptRate = Math.min(ownRate, DEMAND_HEADROOM * demandRate(demand, now))
  const keptCapacity = demandRate(demand, now) * KEPT_MS / 1000
  return {
    rate: ownRate - lent.rateShare * limit.rate - keptRate,
    capacity: ownCapacity - lent.capacityShare * limit.burst - keptCapacity,
    tokens: bucket.level - keptCapacity
  }
}

/** Lent parts as shares of the customer's limits. Ended loans must have been dropped. */
export function sumLent (loans: LoanBook): { rateShare: number, capacityShare: number } {
  let rateShare = 0
  let capacityShare = 0
  for (const part of loans.lent.values()) {
    rateShare += part.rateShare
    capacityShare += part.capacityShare
  }
  return { rateShare, capacityShare }
}

/** Capacity that is borrowed with a rate, in tokens; bursts beyond it are borrowed when a request needs them. */
export function capacityForRate (rate: number, limit: CustomerLimit): number {
  return Math.min(shareOf(rate, limit.rate) * limit.burst, rate * RATE_CAPACITY_MS / 1000)
}

export function shareOf (part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}

/** True for a number that can be an amount of tokens or units. */
export function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}
