/** This instance's share of each customer's rate and burst. */
import { advanceBucket, chargeBucket, createBucket, refreshAllowance, settleBucket, type Bucket } from '../quota/bucket'
import type { MonotonicMilliseconds } from '../types'
import type { CallerRequest, EdgeCustomer } from './types'

/** Longest time in milliseconds after which a caller is told to come back. */
const LONGEST_RETRY_MS = 2000
/**
 * Parts of what a window permits beyond rate and burst. The rest covers instances that join before all others know of
 * them, and answers that were counted as not run.
 */
const CAPACITY_PART = 0.7
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

export type QuotaDecision = { admitted: true } | { admitted: false, retryAfter: number }

export interface QuotaShares {
  /** Charges a request to this instance's share (0 to 1) or says when its cost will be there. */
  admit: (
    customer: EdgeCustomer, identifier: string, cost: number, share: number, now: MonotonicMilliseconds
  ) => QuotaDecision
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

  return {
    admit (customer, identifier, cost, share, now) {
      if (customer.rate === 0) return { admitted: true }
      const rate = customer.rate * share
      const extra = extraOf(customer)
      const capacity = (customer.burst + extra * CAPACITY_PART) * share
      const allowanceAt = (): { rate: number, capacity: number, until: number } => ({ rate, capacity, until: Infinity })
      let bucket = buckets.get(customer.name)
      if (bucket === undefined) {
        bucket = createBucket(now)
        refreshAllowance(bucket, allowanceAt)
        bucket.level = Math.min(capacity, extra * START_PART * share + rate * (now - startedAt) / 1000)
        buckets.set(customer.name, bucket)
      } else if (bucket.allowance.rate !== rate || bucket.allowance.capacity !== capacity) {
        refreshAllowance(bucket, allowanceAt)
      }
      advanceBucket(bucket, now, allowanceAt)
      // A request above the whole share is admitted when the share is full; it would never be otherwise.
      if (bucket.level < Math.min(cost, capacity)) {
        const missing = Math.min(cost, capacity) - bucket.level
        return { admitted: false, retryAfter: Math.min(LONGEST_RETRY_MS, missing / rate * 1000) }
      }
      chargeBucket(bucket, identifier, cost)
      return { admitted: true }
    },
    settle (customer, identifier, cost, run) {
      const bucket = buckets.get(customer)
      if (bucket !== undefined) settleBucket(bucket, identifier, run ? 0 : cost)
    }
  }
}
