/** Types of the quota aggregate: grants from the platform, loans between instances, and admission. */
import type { Incarnation, MonotonicMilliseconds } from '../types'

export const GrantTier = { floor: 'floor', pool: 'pool' } as const
export type GrantTier = typeof GrantTier[keyof typeof GrantTier]

/** Part of the quota that one instance holds under a lease. Stored in the platform's table. */
export interface Grant {
  instance: string
  incarnation: Incarnation
  /** `host:port` for peers; a newer incarnation at the same address shows that the old process has ended. */
  address: string
  tier: GrantTier
  /** Quota units, see `QUOTA_UNITS`. */
  units: number
  /** Raised with every renewal. */
  sequence: number
  /** Pool tier: the holder's recent demand as a part of the rate, by which the pool is divided. @default unknown */
  demand?: number
}

/** Row of one data centre in the quota table. The sum of the grants' units never exceeds `units`. */
export interface DataCentreQuota {
  /** Units owned by the data centre. */
  units: number
  grants: readonly Grant[]
}

/** Row `_fleet` of the quota table. */
export interface FleetQuota {
  /** Units that no data centre owns. */
  freeUnits: number
  /** Units owned by each data centre; repeats the rows' `units` so that one row shows the whole division. */
  owned: Readonly<Record<string, number>>
}

/** Asks a peer for a part of one customer's quota. */
export interface LoanRequest {
  identifier: string
  customer: string
  /** Tokens per second wanted for the duration. */
  rate: number
  /** Burst capacity wanted for the duration, in tokens. */
  capacity: number
  /** Tokens wanted at once. */
  tokens: number
  /** Milliseconds for which the loan is wanted. */
  duration: number
  /**
   * Identifier of the first loan of a series that this one continues. The lender sets the same part aside for longer and
   * the borrower replaces the part by the new one, so that a lasting loan is not interrupted. With a duration of 0 the
   * borrower gives the series back before its end, together with `tokens` of its level. @default undefined
   */
  renews?: string
  /** Asks only for tokens above half of the lender's capacity, to even out levels. @default false */
  surplusOnly?: boolean
}

/** What the lender gives; zeros when it has nothing to spare. */
export interface LoanReply {
  identifier: string
  customer: string
  rate: number
  capacity: number
  tokens: number
  /** Milliseconds counted from when the borrower sent the request, on the borrower's clock. */
  duration: number
}

/** A charge that was admitted; passed back at settlement. */
export interface Charge {
  identifier: string
  customer: string
  /** Tokens charged at admission: prompt and reserved output. */
  tokens: number
}

/** Outcome of an admission attempt. */
export type AdmissionResult =
  | { admitted: true, charge: Charge }
  /** `missingTokens` are lacking now; at the present rate they are there after `waitMilliseconds`. */
  | { admitted: false, reason: 'rate', missingTokens: number, waitMilliseconds: number }
  /** The cost exceeds the customer's burst over the whole fleet. */
  | { admitted: false, reason: 'burst' }
  | { admitted: false, reason: 'unknownCustomer' }

/** Rate and burst of one customer over the whole fleet. */
export interface CustomerLimit {
  customer: string
  /** Tokens per second. */
  rate: number
  /** Tokens. */
  burst: number
}

/** Token accounts of one instance: all customers, all valid grants and loans. */
export interface QuotaAccounts {
  /** Replaces the limits. A lower limit takes effect at once; a level above the new capacity is cut. */
  setLimits: (limits: readonly CustomerLimit[], now: MonotonicMilliseconds) => void
  /** Installs a grant that is valid until `expiresAt` on this instance's clock; replaces the grant of the same tier. */
  setGrant: (tier: GrantTier, units: number, expiresAt: MonotonicMilliseconds, now: MonotonicMilliseconds) => void
  admit: (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds) => AdmissionResult
  /** Ends a charge; returns unused tokens as far as the refund rule allows. A second call for the same charge has no effect. */
  settle: (charge: Charge, usedTokens: number, now: MonotonicMilliseconds) => void
  /** Decides on a loan and deducts it before the reply is sent. Repeated identifiers get the same reply. */
  lend: (request: LoanRequest, borrower: string, now: MonotonicMilliseconds) => LoanReply
  /** Builds the request that would let this instance admit `tokens`. Remembers when it was sent. */
  requestLoan: (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds) => LoanRequest
  /** Takes in a reply. Late, unknown and repeated replies have no effect. */
  acceptLoan: (reply: LoanReply, now: MonotonicMilliseconds) => void
  /** Present rate, capacity and level of a customer at this instance, in tokens. */
  inspect: (customer: string, now: MonotonicMilliseconds) => { rate: number, capacity: number, level: number }
}
