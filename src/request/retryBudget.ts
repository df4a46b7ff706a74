/** Retry budgets: token buckets refilled by first attempts, which limit retries to a fraction of the load. */
import type { MonotonicMilliseconds } from '../types'

export interface RetryBudgetOptions {
  /** Number of retries permitted per first attempt. @default 0.1 */
  ratio?: number
  /** Maximum number of tokens in a bucket. @default 100 */
  capacity?: number
  /** Tokens added per second regardless of traffic, so that a customer with few requests may retry. @default 1 */
  refillPerSecond?: number
  /** Time in milliseconds without use after which a bucket is removed. @default 600000 */
  idleLimit?: number
}

export interface RetryBudget {
  /** Records a first attempt for the customer and the upstream to which it is sent. */
  recordRequest: (customer: string, upstream: string, now: MonotonicMilliseconds) => void
  /**
   * Takes one token each from the customer and the failed upstream; takes none and returns false unless both have one.
   */
  tryRetry: (customer: string, upstream: string, now: MonotonicMilliseconds) => boolean
  /** Removes buckets that have been idle for longer than the idle limit. */
  prune: (now: MonotonicMilliseconds) => void
  bucketCount: () => number
}

interface Bucket {
  tokens: number
  updatedAt: MonotonicMilliseconds
}

export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const { ratio = 0.1, capacity = 100, refillPerSecond = 1, idleLimit = 600_000 } = options
  const customers = new Map<string, Bucket>()
  const upstreams = new Map<string, Bucket>()

  function bucketOf (buckets: Map<string, Bucket>, name: string, now: MonotonicMilliseconds): Bucket {
    let bucket = buckets.get(name)
    if (bucket === undefined) {
      bucket = { tokens: capacity, updatedAt: now }
      buckets.set(name, bucket)
    }
    const elapsed = Math.max(0, now - bucket.updatedAt)
    bucket.tokens = Math.min(capacity, bucket.tokens + elapsed * refillPerSecond / 1000)
    bucket.updatedAt = now
    return bucket
  }

  return {
    recordRequest (customer, upstream, now) {
      for (const bucket of [bucketOf(customers, customer, now), bucketOf(upstreams, upstream, now)]) {
        bucket.tokens = Math.min(capacity, bucket.tokens + ratio)
      }
    },
    tryRetry (customer, upstream, now) {
      const buckets = [bucketOf(customers, customer, now), bucketOf(upstreams, upstream, now)]
      if (buckets.some((bucket) => bucket.tokens < 1)) return false
      for (const bucket of buckets) bucket.tokens -= 1
      return true
    },
    prune (now) {
      for (const buckets of [customers, upstreams]) {
        for (const [name, bucket] of buckets) if (now - bucket.updatedAt > idleLimit) buckets.delete(name)
      }
    },
    bucketCount: () => customers.size + upstreams.size
  }
}
