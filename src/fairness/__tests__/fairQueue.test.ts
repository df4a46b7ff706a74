import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFairQueue } from '../fairQueue'
import type { FairQueue, QueuedWork } from '../types'

const SEED = 20261204

type TestedQueue = Pick<FairQueue, 'enqueue' | 'dequeue'>

/** Creates a queue without fairness, to prove that the fairness check can fail. */
function createFifoQueue (): TestedQueue {
  const work: QueuedWork[] = []
  return {
    enqueue (item) {
      work.push(item)
      return { queued: true }
    },
    dequeue: () => work.shift()
  }
}

const weights = new Map([['long', 1], ['short', 1], ['heavy', 3]])

/** Serves customers that are all backlogged. Returns the largest gap in normalized service, and its bound. */
function largestGap (queue: TestedQueue, costs: Record<string, readonly number[]>): { gap: number, bound: number } {
  const names = Object.keys(costs)
  const weightOf = (name: string): number => weights.get(name) ?? 1
  const remaining = new Map(names.map((name) => [name, costs[name]!.length]))
  for (const customer of names) {
    costs[customer]!.forEach((cost, index) => {
      const work = { identifier: `${customer}${index}`, customer, cost, deadline: 1e9 }
      expect(queue.enqueue(work, 0).queued).toBe(true)
    })
  }
  const service = new Map(names.map((name) => [name, 0]))
  const bound = names.reduce((sum, name) => sum + Math.max(...costs[name]!) / weightOf(name), 0)
  let gap = 0
  while (names.every((name) => remaining.get(name)! > 0)) {
    const { customer, cost } = queue.dequeue(1)!
    service.set(customer, service.get(customer)! + cost / weightOf(customer))
    remaining.set(customer, remaining.get(customer)! - 1)
    gap = Math.max(gap, Math.max(...service.values()) - Math.min(...service.values()))
  }
  return { gap, bound }
}

const shortCosts = fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 60, maxLength: 120 })
const longCosts = fc.array(fc.integer({ min: 500, max: 4000 }), { minLength: 3, maxLength: 10 })

describe('fair queue', () => {
  it('keeps backlogged customers within one request of each other, so that no prompt length starves', () => {
    fc.assert(fc.property(shortCosts, longCosts, fc.constantFrom('long', 'heavy'), (short, long, name) => {
      const { gap, bound } = largestGap(createFairQueue({ weights }), { short, [name]: long })
      expect(gap).toBeLessThanOrEqual(bound + 1e-6)
    }), { seed: SEED, numRuns: 200 })
  })

  it('detects unfairness of a first-in first-out queue with the same check', () => {
    const short = Array.from({ length: 100 }, () => 50)
    const { gap, bound } = largestGap(createFifoQueue(), { short, long: [500, 500, 500] })
    expect(gap).toBeGreaterThan(bound)
  })

  it('loses no work, returns none twice and stays within its bounds for any sequence of calls', () => {
    const bounds = {
      maximumRequests: 12, maximumTokens: 500, maximumRequestsPerCustomer: 8, maximumTokensPerCustomer: 300
    }
    const enqueue = fc.record({
      kind: fc.constant('enqueue' as const),
      customer: fc.nat(3),
      cost: fc.integer({ min: 0, max: 120 }),
      timeToDeadline: fc.integer({ min: -5, max: 200 })
    })
    const step = fc.oneof(
      { weight: 4, arbitrary: enqueue },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('dequeue' as const), blockedCustomer: fc.nat(4) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), index: fc.nat(40) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('expire' as const), time: fc.nat(60) }) }
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const queue = createFairQueue(bounds)
      const waiting = new Map<string, QueuedWork>()
      const removeWaiting = (identifier: string): void => { expect(waiting.delete(identifier)).toBe(true) }
      let now = 0
      steps.forEach((action, index) => {
        now += 1
        if (action.kind === 'enqueue') {
          const { cost, customer, timeToDeadline } = action
          const work = { identifier: `${index}`, customer: `c${customer}`, cost, deadline: now + timeToDeadline }
          const result = queue.enqueue(work, now)
          if (result.queued) waiting.set(work.identifier, work)
          else expect(result.retryAfterMilliseconds).toBeGreaterThan(0)
        } else if (action.kind === 'dequeue') {
          const canStart = ({ customer }: QueuedWork): boolean => customer !== `c${action.blockedCustomer}`
          const work = queue.dequeue(now, canStart)
          if (work !== undefined) removeWaiting(work.identifier)
          else expect([...waiting.values()].filter((item) => canStart(item) && item.deadline > now)).toEqual([])
        } else if (action.kind === 'remove') {
          expect(queue.remove(`${action.index}`)).toBe(waiting.delete(`${action.index}`))
        } else {
          now += action.time
          for (const { identifier } of queue.expire(now)) removeWaiting(identifier)
          for (const { deadline } of waiting.values()) expect(deadline).toBeGreaterThan(now)
        }
        expect(queue.size()).toBe(waiting.size)
        expect(waiting.size).toBeLessThanOrEqual(bounds.maximumRequests)
        for (const name of ['c0', 'c1', 'c2', 'c3']) {
          const own = [...waiting.values()].filter(({ customer }) => customer === name)
          expect(own.length).toBeLessThanOrEqual(bounds.maximumRequestsPerCustomer)
          expect(own.reduce((sum, { cost }) => sum + cost, 0)).toBeLessThanOrEqual(bounds.maximumTokensPerCustomer)
        }
      })
      while (waiting.size > 0) {
        const work = queue.dequeue(-1)
        if (work === undefined) break
        removeWaiting(work.identifier)
      }
      expect(waiting.size).toBe(0)
    }), { seed: SEED, numRuns: 300 })
  })

  it('always has room for a customer without waiting work, however many requests another one sends', () => {
    const queue = createFairQueue({ maximumRequests: 20 })
    for (let index = 0; index < 100; index += 1) {
      queue.enqueue({ identifier: `flood${index}`, customer: 'flood', cost: 10, deadline: 1e6 }, 0)
    }
    expect(queue.size()).toBe(10)
    const quiet = { identifier: 'quiet', customer: 'quiet', cost: 10, deadline: 1e6 }
    expect(queue.enqueue(quiet, 0)).toEqual({ queued: true })
    expect([queue.dequeue(0), queue.dequeue(0)].map((work) => work?.customer)).toContain('quiet')
  })

  it('rejects work that cannot start before its deadline, with a retry-after from the drain rate', () => {
    const queue = createFairQueue({ maximumRequests: 1000 })
    const enqueue = (identifier: string, timeToDeadline: number, now: number) =>
      queue.enqueue({ identifier, customer: 'c', cost: 100, deadline: now + timeToDeadline }, now)
    for (let index = 0; index < 50; index += 1) enqueue(`w${index}`, 1e6, 0)
    // One request of 100 tokens leaves every 20 ms; 40 of them wait after 200 ms, so that a new one waits 800 ms.
    for (let time = 20; time <= 200; time += 20) queue.dequeue(time)
    expect(enqueue('patient', 1000, 200)).toEqual({ queued: true })
    const rejected = enqueue('hurried', 300, 200)
    expect(rejected).toMatchObject({ queued: false, reason: 'deadline' })
    if (!rejected.queued) expect(rejected.retryAfterMilliseconds).toBeCloseTo(520, -1)
  })

  it('expires waiting work as soon as its deadline can no longer be met', () => {
    const queue = createFairQueue()
    for (let index = 0; index < 20; index += 1) {
      queue.enqueue({ identifier: `${index}`, customer: 'c', cost: 100, deadline: 1000 }, 0)
    }
    // At 100 ms for each request, ten of the twenty can start within 1000 ms.
    queue.dequeue(100)
    queue.dequeue(200)
    const expired = queue.expire(200)
    expect(expired.length).toBeGreaterThanOrEqual(8)
    expect(expired.map(({ identifier }) => identifier)).not.toContain('2')
  })

  it('does not let a customer whose work could not start accumulate service that others used meanwhile', () => {
    const queue = createFairQueue()
    for (let index = 0; index < 40; index += 1) {
      for (const customer of ['blocked', 'free']) {
        queue.enqueue({ identifier: `${customer}${index}`, customer, cost: 10, deadline: 1e6 }, 0)
      }
    }
    for (let index = 0; index < 20; index += 1) queue.dequeue(1, ({ customer }) => customer === 'free')
    const next = Array.from({ length: 10 }, () => queue.dequeue(2)!.customer)
    expect(next.filter((customer) => customer === 'free').length).toBeGreaterThanOrEqual(4)
  })
})
