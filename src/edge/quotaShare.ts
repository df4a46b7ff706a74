/** This instance's share of each customer's rate and burst. */
import { advanceBucket, chargeBucket, createBucket, refreshAllowance, settleBucket } from '../quota/bucket'
import type { Allowance, Bucket } from '../quota/bucket'
import type { MonotonicMilliseconds } from '../types'
import type { CallerRequest, EdgeCustomer } from './types'

/** Longest time in milliseconds after which a caller is told to come back. */
const LONGEST_RETRY_MS = 2000
/**
 * Parts of what a window permits beyond rate and burst. The rest covers instances that join before all others know of
 * them, and answers that were counted as not run.
 */
const CAPACITY_PART = 0.7
/**
 * Part of what a window permits beyond the rate that is spread over the window, the rest may be spent at once. A customer
 * may use the whole of it in every window, also one whose requests come evenly.
 */
const SPREAD_PART = 0.5
/** Units that may always be spent at once as far as the window permits: several of the largest requests. */
const AT_ONCE: Readonly<Record<EdgeCustomer['unit'], number>> = { token: 65_536, request: 8 }
/** What a starting instance may spend at once; what an earlier run of it spent is not known. */
const START_PART = 0.12

export interface QuotaOptions {
  /** Milliseconds of the window over which a customer's limit holds. */
  window: number
  /** Part by which the limit may be exceeded in a window. */
  overage: number
  /** Units by which the limit may be exceeded in a window, over all instances. */
  slack: number
  /** When this run of the instance began. */
  startedAt: MonotonicMilliseconds
}

export type QuotaDecision =
  | { admitted: true }
  /** `missing` units are not there; by its share alone the instance has them after `retryAfter` milliseconds. */
  | { admitted: false, missing: number, retryAfter: number }

export interface QuotaRequest {
  customer: EdgeCustomer
  identifier: string
  cost: number
  /** This instance's share, 0 to 1. */
  share: number
  /** Units that others have given for this request. @default 0 */
  given?: number
  /**
   * A request above the whole share is admitted when the share is full, and later ones wait for it. For an instance that
   * nobody can give units: it would never be admitted otherwise.
   */
  mayOwe: boolean
}

export interface QuotaShares {
  /** Charges a request to this instance's share or says what is missing. */
  admit: (request: QuotaRequest, now: MonotonicMilliseconds) => QuotaDecision
  /** Takes up to `wanted` units out of this instance's share for another instance; returns how many. */
  give: (customer: EdgeCustomer, wanted: number, share: number, now: MonotonicMilliseconds) => number
  /** Takes back units that another instance was given and did not use. */
  restore: (customer: EdgeCustomer, units: number, share: number, now: MonotonicMilliseconds) => void
  /** Units that the share holds at most. */
  capacity: (customer: EdgeCustomer, share: number) => number
  /** Ends a charge; `run` is false when no upstream ran the request. */
  settle: (customer: string, identifier: string, cost: number, run: boolean) => void
}

/** Units that a request costs its customer. */
export function costOf (request: CallerRequest, customer: EdgeCustomer): number {
  if (customer.unit === 'request') return 1
  return request.tokens === undefined ? customer.defaultCost : request.tokens.prompt + request.tokens.output
}

export function createQuotaShares ({ window, overage, slack, startedAt }: QuotaOptions): QuotaShares {
  const buckets = new Map<string, Bucket>()

  /** Units that a window permits beyond rate and burst, over all instances. */
  function extraOf (customer: EdgeCustomer): number {
    return overage * (customer.burst + customer.rate * window / 1000) + slack
  }

  /** Units beyond the rate that all instances together let in within a window. */
  function beyondRate (customer: EdgeCustomer): number {
    return customer.burst + extraOf(customer) * CAPACITY_PART
  }

  /** Those of them that are spread over the window. */
  function spreadOf (customer: EdgeCustomer): number {
    const units = beyondRate(customer)
    return Math.max(0, Math.min(units * SPREAD_PART, units - AT_ONCE[customer.unit]))
  }

  function capacityOf (customer: EdgeCustomer, share: number): number {
    return (beyondRate(customer) - spreadOf(customer)) * share
  }

  /** Units per second. */
  function rateOf (customer: EdgeCustomer, share: number): number {
    return (customer.rate + spreadOf(customer) / window * 1000) * share
  }

  /** The customer's bucket as of now. */
  function bucketOf (customer: EdgeCustomer, share: number, now: MonotonicMilliseconds): Bucket {
    const rate = rateOf(customer, share)
    const capacity = capacityOf(customer, share)
    const allowanceAt = (): Allowance => ({ rate, capacity, until: Infinity })
    let bucket = buckets.get(customer.name)
    if (bucket === undefined) {
      bucket = createBucket(now)
      refreshAllowance(bucket, allowanceAt)
      bucket.level = Math.min(capacity, extraOf(customer) * START_PART * share + rate * (now - startedAt) / 1000)
      buckets.set(customer.name, bucket)
    } else if (bucket.allowance.rate !== rate || bucket.allowance.capacity !== capacity) {
      refreshAllowance(bucket, allowanceAt)
    }
    advanceBucket(bucket, now, allowanceAt)
    return bucket
  }

  return {
    admit ({ customer, identifier, cost, share, given = 0, mayOwe }, now) {
      if (customer.rate === 0) return { admitted: true }
      const bucket = bucketOf(customer, share, now)
      // Whatever of it is not charged now stays up to the capacity.
      bucket.level += given
      const needed = mayOwe ? Math.min(cost, capacityOf(customer, share)) : cost
      if (bucket.level < needed) {
        const missing = needed - bucket.level
        const retryAfter = Math.min(LONGEST_RETRY_MS, missing / bucket.allowance.rate * 1000)
        return { admitted: false, missing, retryAfter }
      }
      chargeBucket(bucket, identifier, cost)
      return { admitted: true }
    },
    give (customer, wanted, share, now) {
      if (customer.rate === 0) return 0
      const bucket = bucketOf(customer, share, now)
      const given = Math.max(0, Math.min(wanted, bucket.level))
      bucket.level -= given
      return given
    },
    restore (customer, units, share, now) {
      const bucket = bucketOf(customer, share, now)
      bucket.level = Math.min(bucket.allowance.capacity, bucket.level + units)
    },
    capacity: capacityOf,
    settle (customer, identifier, cost, run) {
      const bucket = buckets.get(customer)
      if (bucket !== undefined) settleBucket(bucket, identifier, run ? 0 : cost)
    }
  }
}
