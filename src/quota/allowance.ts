/** What one customer may use at one instance, and what of it can be lent: sums over grants and loans. */
import { QUOTA_UNITS } from '../constants'
import type { MonotonicMilliseconds } from '../types'
import type { Allowance, AllowanceAt, Bucket } from './bucket'
import { DEMAND_HEADROOM, demandRate, largestOffer } from './demand'
import type { Demand } from './demand'
import type { LoanBook } from './loans'
import type { CustomerLimit, GrantTier } from './types'

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

/** What an instance can lend of `units` without missing it, after what it has lent already. */
export function spareOf (
  account: Account, units: number, now: MonotonicMilliseconds
): { rate: number, capacity: number, tokens: number } {
  const { limit, bucket, demand, loans } = account
  const lent = sumLent(loans)
  const ownRate = limit.rate * units / QUOTA_UNITS
  const ownCapacity = limit.burst * units / QUOTA_UNITS
  const keptRate = Math.min(ownRate, DEMAND_HEADROOM * demandRate(demand, now))
  // The burst that belongs to the kept rate, and room for the largest recent request.
  const keptCapacity = Math.max(shareOf(keptRate, limit.rate) * limit.burst, largestOffer(demand, now))
  return {
    rate: Math.max(0, ownRate - lent.rateShare * limit.rate - keptRate),
    capacity: Math.max(0, ownCapacity - lent.capacityShare * limit.burst - keptCapacity),
    tokens: Math.max(0, bucket.level - keptCapacity)
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

export function shareOf (part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}

/** True for a number that can be an amount of tokens or units. */
export function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}
