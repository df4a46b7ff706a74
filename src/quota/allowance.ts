/** Computes the allowance of one customer at one instance from its grants and loans, and how much of it can be lent. */
import { QUOTA_UNITS } from '../constants'
import type { MonotonicMilliseconds } from '../types'
import type { Allowance, AllowanceAt, Bucket } from './bucket'
import { DEMAND_HEADROOM, demandRate } from './demand'
import type { Demand } from './demand'
import { emptyReply } from './loans'
import type { CustomerLoans, LentLoan } from './loans'
import type { CustomerLimit, GrantTier, LoanReply, LoanRequest } from './types'

/** Smallest loan as a fraction of the customer's limits; smaller loans are not worth a message. */
const MINIMUM_LOAN_SHARE = 1e-6

/**
 * Milliseconds of recent demand for which a lender reserves tokens and capacity. A peer requests a loan because one of
 * its requests is waiting; the lender itself can borrow within a round trip. Reserving capacity for the largest recent
 * request instead, and the burst in proportion to the reserved rate, rejected 15% of requests within the rate under
 * evenly spread traffic.
 */
const RESERVED_DEMAND_MS = 250

/** Milliseconds of refill for which capacity is borrowed together with a rate. */
const BORROWED_REFILL_MS = 2000

/** Factor that tolerates rounding errors when a renewal is compared with the loan that it renews. */
const ROUNDING_FACTOR = 1 - 1e-9

export interface HeldGrant {
  units: number
  expiresAt: MonotonicMilliseconds
}

export type HeldGrants = Record<GrantTier, HeldGrant>

/** State of one customer at this instance. */
export interface Account {
  limit: CustomerLimit
  /** True when the customer was removed from the configuration; the account is kept while quota is lent to peers. */
  removed: boolean
  bucket: Bucket
  demand: Demand
  loans: CustomerLoans
  allowanceAt: AllowanceAt
}

/** Computes rate and capacity of one customer at `time`: valid grants, minus lent loans, plus borrowed loans. */
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
  for (const loan of loans.lent.values()) {
    if (loan.returnsAt <= time) continue
    rate -= Math.max(loan.rate, loan.rateShare * limit.rate)
    capacity -= Math.max(loan.capacity, loan.capacityShare * limit.burst)
    until = Math.min(until, loan.returnsAt)
  }
  rate = Math.max(0, rate)
  capacity = Math.max(0, capacity)
  for (const loan of loans.borrowed.values()) {
    if (loan.expiresAt <= time) continue
    rate += Math.min(loan.rate, loan.rateShare * limit.rate)
    capacity += Math.min(loan.capacity, loan.capacityShare * limit.burst)
    until = Math.min(until, loan.expiresAt)
  }
  return { rate, capacity, until }
}

/** Returns the units of the grants that outlast a loan of the requested duration, and the duration that is possible. */
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
 * Computes the reply to a loan request from `units` that outlast `duration`. A renewal lends at least as much as the
 * loan that it renews, or nothing. Tokens are transferred only into capacity that the borrower does not have yet;
 * otherwise tokens in transit would add to a borrower and a lender that are both full, and the burst would be exceeded.
 */
export function computeLoanReply (
  account: Account, request: LoanRequest, renewedLoan: LentLoan | undefined, units: number, duration: number,
  now: MonotonicMilliseconds
): LoanReply {
  const { limit } = account
  const spare = computeSpare(account, units, now)
  if (request.surplusOnly === true) {
    const { level, allowance } = account.bucket
    spare.tokens = Math.min(spare.tokens, level - allowance.capacity / 2)
    spare.capacity = Math.min(spare.capacity, spare.tokens)
  }
  const renewedRate = (renewedLoan?.rateShare ?? 0) * limit.rate
  const renewedCapacity = (renewedLoan?.capacityShare ?? 0) * limit.burst
  // Without a rate, the borrower cannot use capacity beyond the lent tokens.
  if (request.rate === 0) spare.capacity = Math.min(spare.capacity, spare.tokens)
  const rate = Math.max(0, Math.min(request.rate, renewedRate + spare.rate))
  const capacity = Math.max(0, Math.min(request.capacity, renewedCapacity + spare.capacity))
  if (rate < renewedRate * ROUNDING_FACTOR || capacity < renewedCapacity * ROUNDING_FACTOR) return emptyReply(request)
  const share = Math.max(shareOf(rate, limit.rate), shareOf(capacity, limit.burst))
  if (share < MINIMUM_LOAN_SHARE) return emptyReply(request)
  // Tokens that exceed the lender's remaining capacity are lent as well, since they would be lost otherwise.
  const displaced = account.bucket.level - (account.bucket.allowance.capacity - (capacity - renewedCapacity))
  const desiredTokens = Math.max(displaced, Math.min(request.tokens, spare.tokens))
  const tokens = Math.max(0, Math.min(desiredTokens, account.bucket.level, capacity - renewedCapacity))
  return { ...emptyReply(request), rate, capacity, tokens, duration }
}

/** Computes how much of `units` can still be lent; negative when more is lent than the instance can spare. */
export function computeSpare (
  account: Account, units: number, now: MonotonicMilliseconds
): { rate: number, capacity: number, tokens: number } {
  const { limit, bucket, demand, loans } = account
  const lent = sumLent(loans)
  const ownRate = limit.rate * units / QUOTA_UNITS
  const ownCapacity = limit.burst * units / QUOTA_UNITS
  const reservedRate = Math.min(ownRate, DEMAND_HEADROOM * demandRate(demand, now))
  const reservedCapacity = demandRate(demand, now) * RESERVED_DEMAND_MS / 1000
  return {
    rate: ownRate - lent.rateShare * limit.rate - reservedRate,
    capacity: ownCapacity - lent.capacityShare * limit.burst - reservedCapacity,
    tokens: bucket.level - reservedCapacity
  }
}

/** Sums the lent loans as shares of the customer's limits. Expired loans must have been removed before. */
export function sumLent (loans: CustomerLoans): { rateShare: number, capacityShare: number } {
  let rateShare = 0
  let capacityShare = 0
  for (const loan of loans.lent.values()) {
    rateShare += loan.rateShare
    capacityShare += loan.capacityShare
  }
  return { rateShare, capacityShare }
}

/** Returns the tokens of capacity to borrow with a rate; larger bursts are borrowed when a request needs them. */
export function capacityForRate (rate: number, limit: CustomerLimit): number {
  return Math.min(shareOf(rate, limit.rate) * limit.burst, rate * BORROWED_REFILL_MS / 1000)
}

export function shareOf (part: number, total: number): number {
  return total > 0 ? part / total : 0
}

/** Returns whether a number is valid as an amount of tokens or units. */
export function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}
