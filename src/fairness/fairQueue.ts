/**
 * Start-time fair queueing over customers, by tokens (Goyal, Vin and Cheng, 1996).
 *
 * Tags are kept for each customer rather than for each piece of work: the start tag of the work at the head is the
 * finish tag of the work that left before it, or the virtual time when the customer had nothing waiting. Work that is
 * removed before it runs therefore costs its customer nothing.
 */
import { InternalError } from '../errors'
import type { MonotonicMilliseconds } from '../types'
import { createDrainRate } from './drainRate'
import type { EnqueueResult, FairQueue, QueuedWork } from './types'

/** Bounds of the retry-after estimate in milliseconds. */
const SHORTEST_RETRY_MS = 100
const LONGEST_RETRY_MS = 60_000

/** Retry-after in milliseconds while nothing is known about the drain rate. */
const DEFAULT_RETRY_MS = 1000

export interface FairQueueOptions {
  /** Requests over all customers. @default 1024 */
  maximumRequests?: number
  /** Tokens over all customers; also the largest cost that one piece of work may have. @default 4_000_000 */
  maximumTokens?: number
  /** Requests of one customer. @default maximumRequests */
  maximumRequestsPerCustomer?: number
  /** Tokens of one customer. @default maximumTokens */
  maximumTokensPerCustomer?: number
  /** Shares of the customers; a customer without an entry has 1. @default empty */
  weights?: ReadonlyMap<string, number>
}

interface Lane {
  customer: string
  work: QueuedWork[]
  tokens: number
  /** Start tag of the work at the head. */
  start: number
}

export function createFairQueue (options: FairQueueOptions = {}): FairQueue {
  const maximumRequests = options.maximumRequests ?? 1024
  const maximumTokens = options.maximumTokens ?? 4_000_000
  const maximumRequestsPerCustomer = options.maximumRequestsPerCustomer ?? maximumRequests
  const maximumTokensPerCustomer = options.maximumTokensPerCustomer ?? maximumTokens
  const drain = createDrainRate()
  /** Customers with waiting work. */
  const lanes = new Map<string, Lane>()
  /** Finish tags of customers without waiting work whose tag is still ahead of the virtual time. */
  const finishTags = new Map<string, number>()
  const customerOf = new Map<string, string>()
  let weights = options.weights ?? new Map<string, number>()
  let virtualTime = 0
  let tokens = 0

  function weightOf (customer: string): number {
    const weight = weights.get(customer)
    return weight !== undefined && weight > 0 && Number.isFinite(weight) ? weight : 1
  }

  function takeOut (lane: Lane, index: number, now: MonotonicMilliseconds | undefined): QueuedWork | undefined {
    const [work] = lane.work.splice(index, 1)
    if (work === undefined) return undefined
    lane.tokens -= work.cost
    tokens -= work.cost
    customerOf.delete(work.identifier)
    if (lane.work.length > 0) return work
    lanes.delete(lane.customer)
    if (lane.start > virtualTime) finishTags.set(lane.customer, lane.start)
    if (lanes.size > 0) return work
    // A new busy period begins without a memory of the last one; a customer is not charged for capacity nobody wanted.
    tokens = 0
    finishTags.clear()
    virtualTime = 0
    drain.stop(now)
    return work
  }

  /**
   * Milliseconds until work of this customer with `ahead` tokens of the same customer before it starts, at the observed
   * rate: while its own tokens ahead are served, every other customer gets at most its share of the service.
   */
  function expectedWait (customer: string, ahead: number, now: MonotonicMilliseconds): number | undefined {
    const rate = drain.rate(now)
    if (rate === undefined) return undefined
    const normalized = ahead / weightOf(customer)
    let total = ahead
    for (const lane of lanes.values()) {
      if (lane.customer !== customer) total += Math.min(lane.tokens, normalized * weightOf(lane.customer))
    }
    return total / rate
  }

  function refuse (reason: 'full' | 'deadline', wait: number | undefined): EnqueueResult {
    const retryAfter = Math.ceil(wait ?? DEFAULT_RETRY_MS)
    const retryAfterMilliseconds = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, retryAfter))
    return { queued: false, reason, retryAfterMilliseconds }
  }

  /**
   * A customer with waiting work may hold at most as much of the queue as is still free. One flooding customer so gets
   * half of the queue, two a third each, and there is always room for a customer that has nothing waiting.
   */
  function hasRoom (lane: Lane | undefined, cost: number): boolean {
    const requests = lane?.work.length ?? 0
    const laneTokens = lane?.tokens ?? 0
    const freeRequests = maximumRequests - customerOf.size
    const freeTokens = maximumTokens - tokens
    if (freeRequests < 1 || cost > freeTokens) return false
    if (requests + 1 > maximumRequestsPerCustomer || laneTokens + cost > maximumTokensPerCustomer) return false
    return requests === 0 || (requests < freeRequests && laneTokens + cost <= freeTokens)
  }

  function enqueue (work: QueuedWork, now: MonotonicMilliseconds): EnqueueResult {
    if (!(Number.isFinite(work.cost) && work.cost >= 0)) throw new InternalError('the cost of queued work must be finite')
    if (customerOf.has(work.identifier)) throw new InternalError(`work ${work.identifier} is queued already`)
    const existing = lanes.get(work.customer)
    const wait = expectedWait(work.customer, existing?.tokens ?? 0, now)
    if (!hasRoom(existing, work.cost)) return refuse('full', wait)
    const patience = work.deadline - now
    if (patience <= 0 || (wait ?? 0) > patience) return refuse('deadline', (wait ?? 0) - Math.max(0, patience))
    if (lanes.size === 0) drain.start(now)
    const lane = existing ?? {
      customer: work.customer, work: [], tokens: 0, start: Math.max(virtualTime, finishTags.get(work.customer) ?? 0)
    }
    finishTags.delete(work.customer)
    lanes.set(work.customer, lane)
    lane.work.push(work)
    lane.tokens += work.cost
    tokens += work.cost
    customerOf.set(work.identifier, work.customer)
    return { queued: true }
  }

  /** Lanes by start tag. Mostly the first one is all that is asked for, and sorting the others would cost more. */
  function * byStart (): Generator<Lane> {
    let first: Lane | undefined
    for (const lane of lanes.values()) if (first === undefined || lane.start < first.start) first = lane
    if (first === undefined) return
    yield first
    yield * [...lanes.values()].filter((lane) => lane !== first).sort((one, other) => one.start - other.start)
  }

  function dequeue (
    now: MonotonicMilliseconds, canStart: (work: QueuedWork) => boolean = () => true
  ): QueuedWork | undefined {
    const passed: Lane[] = []
    for (const lane of byStart()) {
      const index = lane.work.findIndex((work) => work.deadline > now && canStart(work))
      if (index < 0) {
        passed.push(lane)
        continue
      }
      const cost = lane.work[index]!.cost
      virtualTime = Math.max(virtualTime, lane.start)
      // Work that could not start does not save up service; otherwise its customer would later stop all others.
      for (const other of passed) other.start = Math.max(other.start, virtualTime)
      lane.start += cost / weightOf(lane.customer)
      drain.served(cost, now)
      forgetFinishTags()
      return takeOut(lane, index, now)
    }
    return undefined
  }

  function forgetFinishTags (): void {
    for (const [customer, tag] of finishTags) if (tag <= virtualTime) finishTags.delete(customer)
  }

  /** Work is hopeless when it would miss its deadline even if all service went to its own customer. */
  function expire (now: MonotonicMilliseconds): readonly QueuedWork[] {
    const expired: QueuedWork[] = []
    const rate = drain.rate(now)
    for (const lane of [...lanes.values()]) {
      let ahead = 0
      const kept = new Set<QueuedWork>()
      for (const work of lane.work) {
        const earliest = rate === undefined ? 0 : ahead / rate
        if (work.deadline <= now || now + earliest > work.deadline) {
          expired.push(work)
        } else {
          kept.add(work)
          ahead += work.cost
        }
      }
      if (kept.size === lane.work.length) continue
      for (let index = lane.work.length - 1; index >= 0; index -= 1) {
        if (!kept.has(lane.work[index]!)) takeOut(lane, index, now)
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
      const lane = lanes.get(customerOf.get(identifier) ?? '')
      if (lane === undefined) return false
      return takeOut(lane, lane.work.findIndex((work) => work.identifier === identifier), undefined) !== undefined
    },
    expire,
    size: () => customerOf.size
  }
}
