/** Tracks this instance's share of each customer's rate and burst. */
import { advanceBucket, chargeBucket, createBucket, refreshAllowance, settleBucket } from '../quota/bucket'
import type { Allowance, Bucket } from '../quota/bucket'
import type { MonotonicMilliseconds } from '../types'
import type { CallerRequest, EdgeCustomer } from './types'

/** Longest retry delay in milliseconds that a caller is given. */
const MAX_RETRY_AFTER_MS = 2000
/**
 * Fraction of the permitted excess over rate and burst that is granted. The rest covers instances that join before all
 * others know of them, and requests whose responses were counted as not run.
 */
const EXCESS_FRACTION = 0.7
/**
 * Fraction of the units beyond the rate that is spread over the window; the rest may be spent at once. A customer may
 * use all of these units in every window, even if its requests arrive evenly.
 */
const SPREAD_FRACTION = 0.5
/** Units that may always be spent at once as far as the window permits: several of the largest requests. */
const MIN_BURST_UNITS: Readonly<Record<EdgeCustomer['unit'], number>> = { token: 65_536, request: 8 }
/**
 * Fraction of the permitted excess that an instance may spend right after its start, since the spending of its previous
 * run is unknown.
 */
const START_FRACTION = 0.12

export interface QuotaOptions {
  /** Length in milliseconds of the window over which a customer's limit applies. */
  window: number
  /** Fraction by which the limit may be exceeded in a window. */
  overage: number
  /** Units by which the limit may be exceeded in a window, over all instances. */
  slack: number
  /** Start of this run of the instance. */
  startedAt: MonotonicMilliseconds
}

export type QuotaDecision =
  | { admitted: true }
  /** `missing` units are unavailable; its share alone refills them within `retryAfter` milliseconds. */
  | { admitted: false, missing: number, retryAfter: number }

export interface QuotaRequest {
  customer: EdgeCustomer
  identifier: string
  cost: number
  /** This instance's share, 0 to 1. */
  share: number
  /** Units that other instances transferred for this request. @default 0 */
  receivedUnits?: number
  /**
   * Admits a request above the capacity of the share once the share is full; later requests wait until it has refilled.
   * For an instance that cannot get units from others: such a request would never be admitted otherwise.
   */
  allowDebt: boolean
}

export interface QuotaShares {
  /** Charges a request to this instance's share or returns what is missing. */
  admit: (request: QuotaRequest, now: MonotonicMilliseconds) => QuotaDecision
  /** Withdraws up to `requested` units from this instance's share for another instance; returns how many. */
  withdraw: (customer: EdgeCustomer, requested: number, share: number, now: MonotonicMilliseconds) => number
  /** Returns units to this instance's share that another instance received and did not use. */
  returnUnits: (customer: EdgeCustomer, units: number, share: number, now: MonotonicMilliseconds) => void
  /** Maximum units that the share holds. */
  capacity: (customer: EdgeCustomer, share: number) => number
  /** Settles a charge; `run` is false when no upstream ran the request. */
  settle: (customer: string, identifier: string, cost: number, run: boolean) => void
}

/** Returns the units that a request costs its customer. */
export function costOf (request: CallerRequest, customer: EdgeCustomer): number {
  if (customer.unit === 'request') return 1
  return request.tokens === undefined ? customer.defaultCost : request.tokens.prompt + request.tokens.output
}

export function createQuotaShares ({ window, overage, slack, startedAt }: QuotaOptions): QuotaShares {
  const buckets = new Map<string, Bucket>()

  /** Units that a window permits beyond rate and burst, over all instances. */
  function permittedExcess (customer: EdgeCustomer): number {
    return overage * (customer.burst + customer.rate * window / 1000) + slack
  }

  /** Units beyond the rate that all instances together admit within a window. */
  function unitsBeyondRate (customer: EdgeCustomer): number {
    return customer.burst + permittedExcess(customer) * EXCESS_FRACTION
  }

  /** The part of the units beyond the rate that is spread over the window. */
  function spreadUnits (customer: EdgeCustomer): number {
    const units = unitsBeyondRate(customer)
    return Math.max(0, Math.min(units * SPREAD_FRACTION, units - MIN_BURST_UNITS[customer.unit]))
  }

  function shareCapacity (customer: EdgeCustomer, share: number): number {
    return (unitsBeyondRate(customer) - spreadUnits(customer)) * share
  }

  /** Refill rate of the share in units per second. */
  function shareRate (customer: EdgeCustomer, share: number): number {
    return (customer.rate + spreadUnits(customer) / window * 1000) * share
  }

  /** Returns the customer's bucket, advanced to the present. */
  function currentBucket (customer: EdgeCustomer, share: number, now: MonotonicMilliseconds): Bucket {
    const rate = shareRate(customer, share)
    const capacity = shareCapacity(customer, share)
    const allowanceAt = (): Allowance => ({ rate, capacity, until: Infinity })
    let bucket = buckets.get(customer.name)
    if (bucket === undefined) {
      bucket = createBucket(now)
      refreshAllowance(bucket, allowanceAt)
      bucket.level = Math.min(
        capacity, permittedExcess(customer) * START_FRACTION * share + rate * (now - startedAt) / 1000
      )
      buckets.set(customer.name, bucket)
    } else if (bucket.allowance.rate !== rate || bucket.allowance.capacity !== capacity) {
      refreshAllowance(bucket, allowanceAt)
    }
    advanceBucket(bucket, now, allowanceAt)
    return bucket
  }

  return {
    admit ({ customer, identifier, cost, share, receivedUnits = 0, allowDebt }, now) {
      if (customer.rate === 0) return { admitted: true }
      const bucket = currentBucket(customer, share, now)
      // Units that are not charged now remain in the bucket, up to its capacity.
      bucket.level += receivedUnits
      const needed = allowDebt ? Math.min(cost, shareCapacity(customer, share)) : cost
      if (bucket.level < needed) {
        const missing = needed - bucket.level
        const retryAfter = Math.min(MAX_RETRY_AFTER_MS, missing / bucket.allowance.rate * 1000)
        return { admitted: false, missing, retryAfter }
      }
      chargeBucket(bucket, identifier, cost)
      return { admitted: true }
    },
    withdraw (customer, requested, share, now) {
      if (customer.rate === 0) return 0
      const bucket = currentBucket(customer, share, now)
      const withdrawn = Math.max(0, Math.min(requested, bucket.level))
      bucket.level -= withdrawn
      return withdrawn
    },
    returnUnits (customer, units, share, now) {
      const bucket = currentBucket(customer, share, now)
      bucket.level = Math.min(bucket.allowance.capacity, bucket.level + units)
    },
    capacity: shareCapacity,
    settle (customer, identifier, cost, run) {
      const bucket = buckets.get(customer)
      if (bucket !== undefined) settleBucket(bucket, identifier, run ? 0 : cost)
    }
  }
}
