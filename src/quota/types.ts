/** Types for quota accounting: grants from the platform, loans between instances, and admission. */
import type { Incarnation, MonotonicMilliseconds } from '../types'

/**
 * Tiers of a grant, with leases of different lengths (`LEASE_MS`). The floor is divided evenly among the instances and
 * outlasts an outage of the platform; the pool is divided mostly by demand.
 */
export const GrantTier = { floor: 'floor', pool: 'pool' } as const
export type GrantTier = typeof GrantTier[keyof typeof GrantTier]

/** Share of the quota that one instance holds under a lease. Stored in the platform's quota table. */
export interface Grant {
  instance: string
  incarnation: Incarnation
  /** `host:port` for peer connections. A newer incarnation at this address proves that the old process has ended. */
  address: string
  tier: GrantTier
  /** Quota units, see `QUOTA_UNITS`. */
  units: number
  /** Increases with every renewal. */
  sequence: number
  /** Pool tier only: recent demand of the holder as a fraction of the rate. @default unknown */
  demand?: number
}

/** Row of one data centre in the quota table. The units of its grants never add up to more than `units`. */
export interface DataCentreQuota {
  /** Units owned by the data centre. */
  units: number
  grants: readonly Grant[]
}

/** Row `_fleet` of the quota table. */
export interface FleetQuota {
  /** Units not owned by any data centre. */
  freeUnits: number
  /** Units owned by each data centre. Duplicates `units` of their rows, so that one row shows the complete division. */
  owned: Readonly<Record<string, number>>
}

/** Request to a peer for a loan from its share of one customer's quota. */
export interface LoanRequest {
  identifier: string
  customer: string
  /** Requested rate for the duration, in tokens per second. */
  rate: number
  /** Requested burst capacity for the duration, in tokens. */
  capacity: number
  /** Requested tokens that can be spent immediately. */
  tokens: number
  /** Requested duration in milliseconds. */
  duration: number
  /**
   * Identifier of the first loan of the series that this request renews. The lender extends the reservation and the
   * borrower replaces its loan with the new one, so that a long-lasting loan is not interrupted. With a duration of 0,
   * the borrower returns the series before its expiry, together with `tokens` of its level.
   * @default undefined
   */
  renews?: string
  /** Limits the loan to tokens above half of the lender's capacity; used to even out levels. @default false */
  surplusOnly?: boolean
}

/** Amounts lent; all zero when the lender has nothing to spare. */
export interface LoanReply {
  identifier: string
  customer: string
  rate: number
  capacity: number
  tokens: number
  /** Duration in milliseconds, counted on the borrower's clock from the time at which it sent the request. */
  duration: number
}

/** Charge of an admitted request; passed back at settlement. */
export interface Charge {
  identifier: string
  customer: string
  /** Tokens charged at admission: prompt tokens plus reserved output tokens. */
  tokens: number
}

/** Outcome of an admission attempt. */
export type AdmissionResult =
  | { admitted: true, charge: Charge }
  /** The level is short of `missingTokens`; at the current rate they are refilled after `waitMilliseconds`. */
  | { admitted: false, reason: 'rate', missingTokens: number, waitMilliseconds: number }
  /** The cost exceeds the customer's fleet-wide burst. */
  | { admitted: false, reason: 'burst' }
  | { admitted: false, reason: 'unknownCustomer' }

/** Fleet-wide rate and burst of one customer. */
export interface CustomerLimit {
  customer: string
  /** Tokens per second. */
  rate: number
  /** Tokens. */
  burst: number
}

/** Token accounts of one instance, for all customers, fed by all valid grants and loans. */
export interface QuotaAccounts {
  /** Replaces the limits. A lower limit takes effect immediately; a level above the new capacity is truncated. */
  setLimits: (limits: readonly CustomerLimit[], now: MonotonicMilliseconds) => void
  /** Sets the grant of a tier, valid until `expiresAt` on this instance's clock; replaces the previous grant. */
  setGrant: (tier: GrantTier, units: number, expiresAt: MonotonicMilliseconds, now: MonotonicMilliseconds) => void
  admit: (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds) => AdmissionResult
  /** Settles a charge and refunds unused tokens as far as the refund rule allows. Repeated calls have no effect. */
  settle: (charge: Charge, usedTokens: number, now: MonotonicMilliseconds) => void
  /** Decides on a loan and deducts it before the reply is sent. Repeated requests get the same reply. */
  lend: (request: LoanRequest, borrower: string, now: MonotonicMilliseconds) => LoanReply
  /** Builds the loan request that would let this instance admit `tokens`, and records `now` as its send time. */
  requestLoan: (identifier: string, customer: string, tokens: number, now: MonotonicMilliseconds) => LoanRequest
  /** Applies a loan reply. Late, unknown and repeated replies have no effect. */
  acceptLoan: (reply: LoanReply, now: MonotonicMilliseconds) => void
  /** Returns the current rate, capacity and level of a customer at this instance, in tokens. */
  inspect: (customer: string, now: MonotonicMilliseconds) => { rate: number, capacity: number, level: number }
}
