/**
 * Token accounts of one instance: one bucket per customer, fed by the grants of the instance and by loans.
 *
 * There are no expiry timers. Every call takes the current time and first advances the bucket through all expiry times
 * up to it, so that a process that was suspended notices its expired leases before it admits anything.
 */
import { CLOCK_DRIFT_BOUND, QUOTA_UNITS } from '../constants'
import { InternalError } from '../errors'
import type { MonotonicMilliseconds } from '../types'
import { advanceBucket, chargeBucket, createBucket, refreshAllowance, settleBucket } from './bucket'
import type { Bucket } from './bucket'
import { allowanceOf, capacityForRate, isAmount, shareOf, sumLent } from './allowance'
import type { Account, HeldGrants } from './allowance'
import { DEMAND_HEADROOM, createDemand, demandRate, recordRequest, sustainedRate } from './demand'
import { applyLoanReply, registerPendingRequest, returnBorrowedLoan } from './borrowedLoans'
import { handleLoanRequest } from './lending'
import { LOAN_MAXIMUM_MS, createCustomerLoans, emptyReply, isValidRequest, removeExpired } from './loans'
import { GrantTier } from './types'
import type { AdmissionResult, CustomerLimit, LoanReply, LoanRequest, QuotaAccounts } from './types'

/** Longest wait reported with a rejection, in milliseconds. Grants and loans change too often for longer estimates. */
export const MAXIMUM_WAIT_MS = 60_000

export interface QuotaAccountsOptions {
  /** Largest relative difference between the clocks of two instances. @default CLOCK_DRIFT_BOUND */
  driftBound?: number
  /** Duration of requested loans in milliseconds; at most `LOAN_MAXIMUM_MS`. @default LOAN_MAXIMUM_MS */
  loanDuration?: number
}

/** Demand of one customer at this instance, and its current allowance and level. */
export interface CustomerDemand {
  customer: string
  /** Recent demand in tokens per second. */
  rate: number
  /** Recent demand without the two largest requests, in tokens per second. */
  sustainedRate: number
  /** Current rate in tokens per second, including loans. */
  allowedRate: number
  /** Current capacity in tokens, including loans. */
  capacity: number
  /** Tokens that can be spent now. */
  level: number
  limit: CustomerLimit
}

/** Extends `QuotaAccounts` with the operations needed by the grant task and the loan planner. */
export interface InstanceQuotaAccounts extends QuotaAccounts {
  /** Returns the units that peers may be using; the instance must not return these to the platform. */
  lentUnits: (now: MonotonicMilliseconds) => number
  /**
   * Records the send time of a loan request, so that its reply can be accepted. `requestLoan` does this for the
   * requests that it builds. Returns false when the customer is unknown or has too many pending requests.
   */
  registerLoanRequest: (request: LoanRequest, now: MonotonicMilliseconds) => boolean
  /**
   * Ends a borrowed loan before it expires. Builds the message that returns it to the lender, together with the tokens
   * that exceed the remaining capacity. Returns undefined when nothing is borrowed under this series.
   */
  returnLoan: (
    identifier: string, customer: string, series: string, now: MonotonicMilliseconds
  ) => LoanRequest | undefined
  /** Returns the demand of a customer; undefined when the customer is unknown. */
  demand: (customer: string, now: MonotonicMilliseconds) => CustomerDemand | undefined
  /** Returns the largest recent demand of any customer as a fraction of its fleet-wide rate; 0 when idle. */
  demandShare: (now: MonotonicMilliseconds) => number
  customers: () => readonly string[]
  /** Rejects all further loan requests, so that the grants can be returned once the current loans have ended. */
  stopLending: () => void
}

export function createQuotaAccounts (options: QuotaAccountsOptions = {}): InstanceQuotaAccounts {
  const driftBound = options.driftBound ?? CLOCK_DRIFT_BOUND
  const loanDuration = Math.min(options.loanDuration ?? LOAN_MAXIMUM_MS, LOAN_MAXIMUM_MS)
  const accounts = new Map<string, Account>()
  let isLending = true
  const grants: HeldGrants = {
    [GrantTier.floor]: { units: 0, expiresAt: 0 },
    [GrantTier.pool]: { units: 0, expiresAt: 0 }
  }

  function createAccount (limit: CustomerLimit, now: MonotonicMilliseconds): Account {
    const account: Account = {
      limit,
      removed: false,
      bucket: createBucket(now),
      demand: createDemand(now),
      loans: createCustomerLoans(),
      allowanceAt: (time) => allowanceOf(account, grants, time)
    }
    refreshAllowance(account.bucket, account.allowanceAt)
    return account
  }

  function advance (account: Account, now: MonotonicMilliseconds): void {
    advanceBucket(account.bucket, now, account.allowanceAt, driftBound)
  }

  /** Advances all accounts to `now`; called before a change, so that the change does not apply retroactively. */
  function advanceAll (now: MonotonicMilliseconds): void {
    for (const account of accounts.values()) {
      advance(account, now)
      removeExpired(account.loans, now)
    }
  }

  function refreshAll (): void {
    for (const account of accounts.values()) refreshAllowance(account.bucket, account.allowanceAt)
  }

  function findActiveAccount (customer: string, now: MonotonicMilliseconds): Account | undefined {
    const account = accounts.get(customer)
    if (account === undefined || account.removed) return undefined
    advance(account, now)
    return account
  }

  function setLimits (limits: readonly CustomerLimit[], now: MonotonicMilliseconds): void {
    for (const { customer, rate, burst } of limits) {
      if (isAmount(rate) && isAmount(burst)) continue
      throw new InternalError(`rate and burst of customer ${customer} must be finite, non-negative numbers`)
    }
    advanceAll(now)
    const names = new Set(limits.map(({ customer }) => customer))
    for (const [customer, account] of accounts) {
      if (names.has(customer)) continue
      if (account.loans.lent.size === 0) accounts.delete(customer)
      else account.removed = true
    }
    for (const limit of limits) {
      const account = accounts.get(limit.customer)
      if (account === undefined) {
        accounts.set(limit.customer, createAccount({ ...limit }, now))
      } else {
        account.limit = { ...limit }
        account.removed = false
      }
    }
    refreshAll()
  }

  function setGrant (
    tier: GrantTier, units: number, expiresAt: MonotonicMilliseconds, now: MonotonicMilliseconds
  ): void {
    if (!isAmount(units) || Number.isNaN(expiresAt)) throw new InternalError('grant has invalid units or expiry time')
    advanceAll(now)
    grants[tier] = { units, expiresAt }
    refreshAll()
  }

  function admit (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds): AdmissionResult {
    if (!isAmount(tokens)) throw new InternalError('the cost of a request must be a finite, non-negative number')
    const account = findActiveAccount(customer, now)
    if (account === undefined) return { admitted: false, reason: 'unknownCustomer' }
    if (tokens > account.limit.burst) return { admitted: false, reason: 'burst' }
    const { bucket } = account
    const admitted = tokens <= bucket.level
    recordRequest(account.demand, identifier, tokens, admitted, now)
    if (!admitted) {
      const missingTokens = tokens - bucket.level
      const waitMilliseconds = estimateWait(missingTokens, bucket.allowance.rate)
      return { admitted: false, reason: 'rate', missingTokens, waitMilliseconds }
    }
    const charge = { identifier: uniqueIdentifier(bucket, identifier), customer, tokens }
    chargeBucket(bucket, charge.identifier, tokens)
    return { admitted: true, charge }
  }

  function lend (request: LoanRequest, borrower: string, now: MonotonicMilliseconds): LoanReply {
    const account = findActiveAccount(request.customer, now)
    if (account === undefined || !isValidRequest(request)) return emptyReply(request)
    return handleLoanRequest(account, request, borrower, { grants, isLending, driftBound })
  }

  function requestLoan (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds): LoanRequest {
    const account = findActiveAccount(customer, now)
    const request: LoanRequest = { identifier, customer, rate: 0, capacity: 0, tokens: 0, duration: loanDuration }
    if (account === undefined) return request
    const { bucket, limit, demand } = account
    request.tokens = Math.max(0, Math.min(tokens, limit.burst) - bucket.level)
    const wantedRate = Math.min(limit.rate, DEMAND_HEADROOM * sustainedRate(demand, now))
    request.rate = Math.max(0, wantedRate - bucket.allowance.rate)
    request.capacity = Math.max(request.tokens, capacityForRate(request.rate, limit))
    registerLoanRequest(request, now)
    return request
  }

  function registerLoanRequest (request: LoanRequest, now: MonotonicMilliseconds): boolean {
    const account = findActiveAccount(request.customer, now)
    return account !== undefined && registerPendingRequest(account, request, now)
  }

  return {
    setLimits,
    setGrant,
    admit,
    lend,
    requestLoan,
    registerLoanRequest,
    acceptLoan (reply, now) {
      const account = findActiveAccount(reply.customer, now)
      if (account !== undefined) applyLoanReply(account, reply)
    },
    returnLoan (identifier, customer, series, now) {
      const account = findActiveAccount(customer, now)
      return account === undefined ? undefined : returnBorrowedLoan(account, identifier, series)
    },
    settle (charge, usedTokens, now) {
      const account = accounts.get(charge.customer)
      if (account === undefined) return
      advance(account, now)
      settleBucket(account.bucket, charge.identifier, isAmount(usedTokens) ? charge.tokens - usedTokens : 0)
    },
    inspect (customer, now) {
      const bucket = findActiveAccount(customer, now)?.bucket
      return { rate: bucket?.allowance.rate ?? 0, capacity: bucket?.allowance.capacity ?? 0, level: bucket?.level ?? 0 }
    },
    lentUnits (now) {
      advanceAll(now)
      let share = 0
      for (const { loans } of accounts.values()) {
        const lent = sumLent(loans)
        share = Math.max(share, lent.rateShare, lent.capacityShare)
      }
      return Math.min(QUOTA_UNITS, share * QUOTA_UNITS)
    },
    demand (customer, now) {
      const account = findActiveAccount(customer, now)
      if (account === undefined) return undefined
      const { bucket, demand, limit } = account
      return {
        customer,
        rate: demandRate(demand, now),
        sustainedRate: sustainedRate(demand, now),
        allowedRate: bucket.allowance.rate,
        capacity: bucket.allowance.capacity,
        level: bucket.level,
        limit
      }
    },
    demandShare (now) {
      let share = 0
      for (const { demand, limit } of accounts.values()) {
        share = Math.max(share, shareOf(demandRate(demand, now), limit.rate))
      }
      return share
    },
    stopLending () {
      isLending = false
    },
    customers: () => [...accounts.values()].filter(({ removed }) => !removed).map(({ limit }) => limit.customer)
  }
}

/** Makes a charge identifier unique: callers may choose the same one for two requests, which are charged separately. */
function uniqueIdentifier (bucket: Bucket, identifier: string): string {
  let unique = identifier
  for (let count = 2; bucket.charges.has(unique); count += 1) unique = `${identifier}#${count}`
  return unique
}

function estimateWait (tokens: number, rate: number): number {
  return Math.min(MAXIMUM_WAIT_MS, Math.ceil(1000 * tokens / rate))
}
