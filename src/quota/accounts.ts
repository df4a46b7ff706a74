/**
 * Token accounts of one instance: one bucket for each customer, fed by the instance's grants and by loans.
 *
 * Nothing here is told that a lease has lapsed. Every call takes the present time and first moves the bucket through all
 * expiry times up to it, so that a process that was paused finds its leases lapsed before it admits anything.
 */
import { CLOCK_DRIFT_BOUND, QUOTA_UNITS } from '../constants'
import { InternalError } from '../errors'
import type { MonotonicMilliseconds } from '../types'
import { advanceBucket, chargeBucket, createBucket, refreshAllowance, settleBucket } from './bucket'
import type { Bucket } from './bucket'
import { allowanceOf, capacityForRate, isAmount, shareOf, sumLent } from './allowance'
import type { Account, HeldGrants } from './allowance'
import { DEMAND_HEADROOM, createDemand, demandRate, recordOffer, sustainedRate } from './demand'
import { acceptPart, expectPart, returnPart } from './borrowedParts'
import { lendPart } from './lending'
import { LOAN_MAXIMUM_MS, createLoanBook, emptyReply, forgetEnded, isUsableRequest } from './loans'
import { GrantTier } from './types'
import type { AdmissionResult, CustomerLimit, LoanReply, LoanRequest, QuotaAccounts } from './types'

/** Longest wait that a refusal names, in milliseconds. Grants and loans change sooner than any longer forecast holds. */
export const MAXIMUM_WAIT_MS = 60_000

export interface QuotaAccountsOptions {
  /** Largest relative difference between the clocks of two instances. @default CLOCK_DRIFT_BOUND */
  driftBound?: number
  /** Milliseconds for which a loan is requested; at most `LOAN_MAXIMUM_MS`. @default LOAN_MAXIMUM_MS */
  loanDuration?: number
}

/** What one customer asks of this instance and what the instance has for it. */
export interface CustomerDemand {
  customer: string
  /** Recent demand in tokens per second. */
  rate: number
  /** The same without the largest requests. */
  sustainedRate: number
  /** Present rate in tokens per second, with loans. */
  allowedRate: number
  /** Present capacity in tokens, with loans. */
  capacity: number
  /** Tokens that can be spent now. */
  level: number
  limit: CustomerLimit
}

/** `QuotaAccounts` and what the grant task and the planning of loans need besides. */
export interface InstanceQuotaAccounts extends QuotaAccounts {
  /** Units that peers may be using at this instant; the instance must not give these back to the platform. */
  lentUnits: (now: MonotonicMilliseconds) => number
  /**
   * Remembers when a request was sent, so that its reply can be accepted. `requestLoan` does this for the requests that
   * it builds. False when the customer is unknown or too many requests are under way.
   */
  expectLoan: (request: LoanRequest, now: MonotonicMilliseconds) => boolean
  /**
   * Ends a borrowed part before its time and builds the message for its lender, with the tokens that do not fit into the
   * remaining capacity. Undefined when nothing is borrowed under this series.
   */
  returnLoan: (
    identifier: string, customer: string, series: string, now: MonotonicMilliseconds
  ) => LoanRequest | undefined
  /** Demand of one customer; undefined for an unknown one. */
  demand: (customer: string, now: MonotonicMilliseconds) => CustomerDemand | undefined
  /** Largest recent demand of any customer as a part of its whole rate; 0 when idle. */
  demandShare: (now: MonotonicMilliseconds) => number
  customers: () => readonly string[]
  /** Refuses all further loans, so that the grants can be given back once the present loans have ended. */
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
      loans: createLoanBook(),
      allowanceAt: (time) => allowanceOf(account, grants, time)
    }
    refreshAllowance(account.bucket, account.allowanceAt)
    return account
  }

  function advance (account: Account, now: MonotonicMilliseconds): void {
    advanceBucket(account.bucket, now, account.allowanceAt, driftBound)
  }

  /** Applies a change to an account that is advanced to `now`, so that the change does not reach into the past. */
  function advanceAll (now: MonotonicMilliseconds): void {
    for (const account of accounts.values()) {
      advance(account, now)
      forgetEnded(account.loans, now)
    }
  }

  function refreshAll (): void {
    for (const account of accounts.values()) refreshAllowance(account.bucket, account.allowanceAt)
  }

  function present (customer: string, now: MonotonicMilliseconds): Account | undefined {
    const account = accounts.get(customer)
    if (account === undefined || account.removed) return undefined
    advance(account, now)
    return account
  }

  function setLimits (limits: readonly CustomerLimit[], now: MonotonicMilliseconds): void {
    for (const { customer, rate, burst } of limits) {
      if (isAmount(rate) && isAmount(burst)) continue
      throw new InternalError(`limits of customer ${customer} are not finite amounts`)
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
    if (!isAmount(units) || Number.isNaN(expiresAt)) throw new InternalError('a grant needs finite units and an expiry')
    advanceAll(now)
    grants[tier] = { units, expiresAt }
    refreshAll()
  }

  function admit (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds): AdmissionResult {
    if (!isAmount(tokens)) throw new InternalError('the cost of a request must be a finite amount of tokens')
    const account = present(customer, now)
    if (account === undefined) return { admitted: false, reason: 'unknownCustomer' }
    if (tokens > account.limit.burst) return { admitted: false, reason: 'burst' }
    const { bucket } = account
    const admitted = tokens <= bucket.level
    recordOffer(account.demand, identifier, tokens, admitted, now)
    if (!admitted) {
      const missingTokens = tokens - bucket.level
      const waitMilliseconds = waitFor(missingTokens, bucket.allowance.rate)
      return { admitted: false, reason: 'rate', missingTokens, waitMilliseconds }
    }
    const charge = { identifier: uniqueIdentifier(bucket, identifier), customer, tokens }
    chargeBucket(bucket, charge.identifier, tokens)
    return { admitted: true, charge }
  }

  function lend (request: LoanRequest, borrower: string, now: MonotonicMilliseconds): LoanReply {
    const account = present(request.customer, now)
    if (account === undefined || !isUsableRequest(request)) return emptyReply(request)
    return lendPart(account, request, borrower, { grants, isLending, driftBound })
  }

  function requestLoan (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds): LoanRequest {
    const account = present(customer, now)
    const request: LoanRequest = { identifier, customer, rate: 0, capacity: 0, tokens: 0, duration: loanDuration }
    if (account === undefined) return request
    const { bucket, limit, demand } = account
    request.tokens = Math.max(0, Math.min(tokens, limit.burst) - bucket.level)
    const wantedRate = Math.min(limit.rate, DEMAND_HEADROOM * sustainedRate(demand, now))
    request.rate = Math.max(0, wantedRate - bucket.allowance.rate)
    request.capacity = Math.max(request.tokens, capacityForRate(request.rate, limit))
    expectLoan(request, now)
    return request
  }

  function expectLoan (request: LoanRequest, now: MonotonicMilliseconds): boolean {
    const account = present(request.customer, now)
    return account !== undefined && expectPart(account, request, now)
  }

  return {
    setLimits,
    setGrant,
    admit,
    lend,
    requestLoan,
    expectLoan,
    acceptLoan (reply, now) {
      const account = present(reply.customer, now)
      if (account !== undefined) acceptPart(account, reply)
    },
    returnLoan (identifier, customer, series, now) {
      const account = present(customer, now)
      return account === undefined ? undefined : returnPart(account, identifier, series)
    },
    settle (charge, usedTokens, now) {
      const account = accounts.get(charge.customer)
      if (account === undefined) return
      advance(account, now)
      settleBucket(account.bucket, charge.identifier, isAmount(usedTokens) ? charge.tokens - usedTokens : 0)
    },
    inspect (customer, now) {
      const bucket = present(customer, now)?.bucket
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
      const account = present(customer, now)
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

/** Two requests may carry the same identifier when callers choose it; each of them is charged and settled on its own. */
function uniqueIdentifier (bucket: Bucket, identifier: string): string {
  let unique = identifier
  for (let count = 2; bucket.charges.has(unique); count += 1) unique = `${identifier}#${count}`
  return unique
}

function waitFor (tokens: number, rate: number): number {
  return Math.min(MAXIMUM_WAIT_MS, Math.ceil(1000 * tokens / rate))
}
