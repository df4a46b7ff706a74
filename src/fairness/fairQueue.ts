/**
 * Start-time fair queueing over customers, by tokens (Goyal, Vin and Cheng, 1996).
 *
 * Tags are kept per customer rather than per request: the start tag of the work at the head is the finish tag of the
 * previously dequeued work, or the virtual time if the customer had no work waiting. Work that is removed before it
 * starts is therefore not charged to its customer.
 */
import { InternalError } from '../errors'
import type { MonotonicMilliseconds } from '../types'
import { createDrainRate } from './drainRate'
import type { EnqueueResult, FairQueue, QueuedWork } from './types'

/** Bounds of the retry-after estimate in milliseconds. */
const MINIMUM_RETRY_MS = 100
const MAXIMUM_RETRY_MS = 60_000

/** Retry-after in milliseconds while the drain rate is unknown. */
const DEFAULT_RETRY_MS = 1000

export interface FairQueueOptions {
  /** Maximum queued requests of all customers. @default 1024 */
  maximumRequests?: number
  /** Maximum queued tokens of all customers, and thereby the maximum cost of one request. @default 4_000_000 */
  maximumTokens?: number
  /** Maximum queued requests per customer. @default maximumRequests */
  maximumRequestsPerCustomer?: number
  /** Maximum queued tokens per customer. @default maximumTokens */
  maximumTokensPerCustomer?: number
  /** Weights of the customers; customers without an entry have weight 1. @default empty */
  weights?: ReadonlyMap<string, number>
}

interface CustomerQueue {
  customer: string
  work: QueuedWork[]
  tokens: number
  /** Start tag of the work at the head. */
  startTag: number
}

export function createFairQueue (options: FairQueueOptions = {}): FairQueue {
  const maximumRequests = options.maximumRequests ?? 1024
  const maximumTokens = options.maximumTokens ?? 4_000_000
  const maximumRequestsPerCustomer = options.maximumRequestsPerCustomer ?? maximumRequests
  const maximumTokensPerCustomer = options.maximumTokensPerCustomer ?? maximumTokens
  const drainRate = createDrainRate()
  /** Queues of the customers with waiting work. */
  const queues = new Map<string, CustomerQueue>()
  /** Finish tags of customers without waiting work, as long as they are ahead of the virtual time. */
  const finishTags = new Map<string, number>()
  /** Customer of each queued request, by identifier. */
  const customerOf = new Map<string, string>()
  let weights = options.weights ?? new Map<string, number>()
  let virtualTime = 0
  let tokens = 0

  function weightOf (customer: string): number {
    const weight = weights.get(customer)
    return weight !== undefined && weight > 0 && Number.isFinite(weight) ? weight : 1
  }

  function removeAt (
    queue: CustomerQueue, index: number, now: MonotonicMilliseconds | undefined
  ): QueuedWork | undefined {
    const [work] = queue.work.splice(index, 1)
    if (work === undefined) return undefined
    queue.tokens -= work.cost
    tokens -= work.cost
    customerOf.delete(work.identifier)
    if (queue.work.length > 0) return work
    queues.delete(queue.customer)
    if (queue.startTag > virtualTime) finishTags.set(queue.customer, queue.startTag)
    if (queues.size > 0) return work
    // A new busy period starts without state of the last one: customers are not charged for capacity that was idle.
    tokens = 0
    finishTags.clear()
    virtualTime = 0
    drainRate.stop(now)
    return work
  }

  /**
   * Estimates the milliseconds until work behind `ahead` tokens of the same customer starts, at the observed drain
   * rate: while those tokens are served, every other customer receives at most its share of the service.
   */
  function expectedWait (customer: string, ahead: number, now: MonotonicMilliseconds): number | undefined {
    const rate = drainRate.rate(now)
    if (rate === undefined) return undefined
    const normalizedService = ahead / weightOf(customer)
    let total = ahead
    for (const queue of queues.values()) {
      if (queue.customer !== customer) total += Math.min(queue.tokens, normalizedService * weightOf(queue.customer))
    }
    return total / rate
  }

  function reject (reason: 'full' | 'deadline', wait: number | undefined): EnqueueResult {
    const retryAfter = Math.ceil(wait ?? DEFAULT_RETRY_MS)
    const retryAfterMilliseconds = Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, retryAfter))
    return { queued: false, reason, retryAfterMilliseconds }
  }

  /**
   * A customer with waiting work may occupy at most as much of the queue as is still free. One flooding customer
   * thereby gets half of the queue, two get a third each, and there is always room for a customer without waiting work.
   */
  function hasRoom (queue: CustomerQueue | undefined, cost: number): boolean {
    const requests = queue?.work.length ?? 0
    const queuedTokens = queue?.tokens ?? 0
    const freeRequests = maximumRequests - customerOf.size
    const freeTokens = maximumTokens - tokens
    if (freeRequests < 1 || cost > freeTokens) return false
    if (requests + 1 > maximumRequestsPerCustomer || queuedTokens + cost > maximumTokensPerCustomer) return false
    return requests === 0 || (requests < freeRequests && queuedTokens + cost <= freeTokens)
  }

  function enqueue (work: QueuedWork, now: MonotonicMilliseconds): EnqueueResult {
    if (!(Number.isFinite(work.cost) && work.cost >= 0)) throw new InternalError('the cost of queued work must be finite')
    if (customerOf.has(work.identifier)) throw new InternalError(`work ${work.identifier} is already queued`)
    const existing = queues.get(work.customer)
    const wait = expectedWait(work.customer, existing?.tokens ?? 0, now)
    if (!hasRoom(existing, work.cost)) return reject('full', wait)
    const timeLeft = work.deadline - now
    if (timeLeft <= 0 || (wait ?? 0) > timeLeft) return reject('deadline', (wait ?? 0) - Math.max(0, timeLeft))
    if (queues.size === 0) drainRate.start(now)
    const queue = existing ?? {
      customer: work.customer, work: [], tokens: 0, startTag: Math.max(virtualTime, finishTags.get(work.customer) ?? 0)
    }
    finishTags.delete(work.customer)
    queues.set(work.customer, queue)
    queue.work.push(work)
    queue.tokens += work.cost
    tokens += work.cost
    customerOf.set(work.identifier, work.customer)
    return { queued: true }
  }

  /** Yields the queues by start tag. Usually only the first one is needed, so the others are sorted only on demand. */
  function * byStartTag (): Generator<CustomerQueue> {
    let first: CustomerQueue | undefined
    for (const queue of queues.values()) if (first === undefined || queue.startTag < first.startTag) first = queue
    if (first === undefined) return
    yield first
    yield * [...queues.values()].filter((queue) => queue !== first).sort((one, other) => one.startTag - other.startTag)
  }

  function dequeue (
    now: MonotonicMilliseconds, canStart: (work: QueuedWork) => boolean = () => true
  ): QueuedWork | undefined {
    const skipped: CustomerQueue[] = []
    for (const queue of byStartTag()) {
      const index = queue.work.findIndex((work) => work.deadline > now && canStart(work))
      if (index < 0) {
        skipped.push(queue)
        continue
      }
      const cost = queue.work[index]!.cost
      virtualTime = Math.max(virtualTime, queue.startTag)
      // A customer whose work could not start must not accumulate service; otherwise it would later starve all others.
      for (const other of skipped) other.startTag = Math.max(other.startTag, virtualTime)
      queue.startTag += cost / weightOf(queue.customer)
      drainRate.recordServed(cost, now)
      removePassedFinishTags()
      return removeAt(queue, index, now)
    }
    return undefined
  }

  function removePassedFinishTags (): void {
    for (const [customer, tag] of finishTags) if (tag <= virtualTime) finishTags.delete(customer)
  }

  /** Expires work that would miss its deadline even if its customer received all the service. */
  function expire (now: MonotonicMilliseconds): readonly QueuedWork[] {
    const expired: QueuedWork[] = []
    const rate = drainRate.rate(now)
    for (const queue of [...queues.values()]) {
      let ahead = 0
      const remaining = new Set<QueuedWork>()
      for (const work of queue.work) {
        const earliestStart = rate === undefined ? 0 : ahead / rate
        if (work.deadline <= now || now + earliestStart > work.deadline) {
          expired.push(work)
        } else {
          remaining.add(work)
          ahead += work.cost
        }
      }
      if (remaining.size === queue.work.length) continue
      for (let index = queue.work.length - 1; index >= 0; index -= 1) {
        if (!remaining.has(queue.work[index]!)) removeAt(queue, index, now)
      }
    }
    return expired
  }

  return {
    setWeights (next) {
      weights = next
    },
    enqueue,
    dequeue,
    remove (identifier) {
      const queue = queues.get(customerOf.get(identifier) ?? '')
      if (queue === undefined) return false
      return removeAt(queue, queue.work.findIndex((work) => work.identifier === identifier), undefined) !== undefined
    },
    expire,
    size: () => customerOf.size
  }
}
