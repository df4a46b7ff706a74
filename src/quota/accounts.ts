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
import { allowanceOf, isAmount, lendableGrants, loanFrom, shareOf, sumLent } from './allowance'
import type { Account, HeldGrants } from './allowance'
import { DEMAND_HEADROOM, createDemand, demandRate, largestOffer, recordOffer } from './demand'
import {
  LOAN_MAXIMUM_MS, createLoanBook, emptyReply, forgetEnded, isUsableRequest, loanReturnsAt, seriesOf
} from './loans'
import { GrantTier } from './types'
import type { AdmissionResult, CustomerLimit, LoanReply, LoanRequest, QuotaAccounts } from './types'

/** Longest wait that a refusal names, in milliseconds. Grants and loans change sooner than any longer forecast holds. */
export const MAXIMUM_WAIT_MS = 60_000

/** Loan requests under way and loans given that one customer may have; a bound on memory, not reached in normal work. */
const MAXIMUM_LOANS_PER_CUSTOMER = 1024

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
  /** Tokens of the largest recent request. */
  largest: number
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
  let lending = true
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
    const { bucket, limit, loans } = account
    const time = bucket.time
    forgetEnded(loans, time)
    const known = loans.answered.get(request.identifier)
    if (known !== undefined) return known.borrower === borrower ? known.reply : emptyReply(request)
    if (loans.answered.size >= MAXIMUM_LOANS_PER_CUSTOMER) return emptyReply(request)

    const series = seriesOf(request)
    const earlier = loans.lent.get(series)
    if (earlier !== undefined && earlier.borrower !== borrower) return emptyReply(request)
    const wanted = Math.min(request.duration, LOAN_MAXIMUM_MS)
    const { units, duration } = lendableGrants(grants, wanted, time)
    const reply = lending && duration > 0
      ? loanFrom(account, request, earlier, units, duration, time)
      : emptyReply(request)
    const returnsAt = loanReturnsAt(reply.duration, time, driftBound)
    loans.answered.set(request.identifier, { borrower, reply, forgetAt: loanReturnsAt(wanted, time, driftBound) })
    if (reply.duration > 0) {
      loans.lent.set(series, {
        borrower,
        rate: reply.rate,
        capacity: reply.capacity,
        rateShare: Math.max(earlier?.rateShare ?? 0, shareOf(reply.rate, limit.rate)),
        capacityShare: Math.max(earlier?.capacityShare ?? 0, shareOf(reply.capacity, limit.burst)),
        returnsAt: Math.max(earlier?.returnsAt ?? 0, returnsAt)
      })
      bucket.level -= reply.tokens
      refreshAllowance(bucket, account.allowanceAt)
    }
    return reply
  }

  function requestLoan (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds): LoanRequest {
    const account = present(customer, now)
    const request: LoanRequest = { identifier, customer, rate: 0, capacity: 0, tokens: 0, duration: loanDuration }
    if (account === undefined) return request
    const { bucket, limit, demand } = account
    request.tokens = Math.max(0, Math.min(tokens, limit.burst) - bucket.level)
    request.rate = Math.max(0, Math.min(limit.rate, DEMAND_HEADROOM * demandRate(demand, now)) - bucket.allowance.rate)
    // Capacity for the tokens themselves and for as much burst as belongs to the borrowed rate.
    request.capacity = Math.max(request.tokens, shareOf(request.rate, limit.rate) * limit.burst)
    expectLoan(request, now)
    return request
  }

  function expectLoan (request: LoanRequest, now: MonotonicMilliseconds): boolean {
    const account = present(request.customer, now)
    if (account === undefined) return false
    forgetEnded(account.loans, account.bucket.time)
    if (account.loans.pending.size >= MAXIMUM_LOANS_PER_CUSTOMER) return false
    account.loans.pending.set(request.identifier, { request, sentAt: now })
    return true
  }

  function acceptLoan (reply: LoanReply, now: MonotonicMilliseconds): void {
    const account = present(reply.customer, now)
    if (account === undefined) return
    const { bucket, limit, loans } = account
    forgetEnded(loans, now)
    const pending = loans.pending.get(reply.identifier)
    if (pending === undefined) return
    loans.pending.delete(reply.identifier)
    if (![reply.rate, reply.capacity, reply.tokens, reply.duration].every(isAmount)) return
    const expiresAt = pending.sentAt + Math.min(reply.duration, pending.request.duration)
    const series = seriesOf(pending.request)
    const earlier = loans.borrowed.get(series)
    if (expiresAt <= bucket.time) return
    // Replies of one series are taken in the order of their requests only; an older one would bring its tokens on top of
    // a level that the newer one has filled.
    for (const [identifier, other] of loans.pending) {
      if (seriesOf(other.request) === series && other.sentAt <= pending.sentAt) loans.pending.delete(identifier)
    }
    loans.borrowed.set(series, {
      rate: reply.rate,
      capacity: reply.capacity,
      rateShare: shareOf(reply.rate, limit.rate),
      capacityShare: shareOf(reply.capacity, limit.burst),
      expiresAt
    })
    bucket.level += Math.max(0, Math.min(reply.tokens, reply.capacity - (earlier?.capacity ?? 0)))
    refreshAllowance(bucket, account.allowanceAt)
  }

  return {
    setLimits,
    setGrant,
    admit,
    lend,
    requestLoan,
    expectLoan,
    acceptLoan,
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
        largest: largestOffer(demand, now),
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
      lending = false
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
