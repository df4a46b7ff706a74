import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFairQueue } from '../fairQueue'
import type { FairQueue, QueuedWork } from '../types'

const SEED = 20261204

/** A queue without fairness, to show that the fairness check can fail. */
function createFifoQueue (): Pick<FairQueue, 'enqueue' | 'dequeue'> {
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

/** Serves two customers that both always have work waiting; returns the largest gap in normalized service and its bound. */
function largestGap (queue: Pick<FairQueue, 'enqueue' | 'dequeue'>, costs: Record<string, readonly number[]>): { gap: number, bound: number } {
  const names = Object.keys(costs)
  const left: Record<string, number> = {}
  for (const customer of names) {
    left[customer] = costs[customer]!.length
    costs[customer]!.forEach((cost, index) => {
      expect(queue.enqueue({ identifier: `${customer}${index}`, customer, cost, deadline: 1e9 }, 0).queued).toBe(true)
    })
  }
  const service: Record<string, number> = Object.fromEntries(names.map((name) => [name, 0]))
  const bound = names.reduce((sum, name) => sum + Math.max(...costs[name]!) / (weights.get(name) ?? 1), 0)
  let gap = 0
  while (names.every((name) => left[name]! > 0)) {
    const work = queue.dequeue(1)!
    service[work.customer]! += work.cost / (weights.get(work.customer) ?? 1)
    left[work.customer]! -= 1
    const values = Object.values(service)
    gap = Math.max(gap, Math.max(...values) - Math.min(...values))
  }
  return { gap, bound }
}

const shortCosts = fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 60, maxLength: 120 })
const longCosts = fc.array(fc.integer({ min: 500, max: 4000 }), { minLength: 3, maxLength: 10 })

describe('fair queue', () => {
  it('keeps two backlogged customers within one request of each other, so that neither long nor short prompts starve the other', () => {
    fc.assert(fc.property(shortCosts, longCosts, fc.constantFrom('long', 'heavy'), (short, long, name) => {
      const { gap, bound } = largestGap(createFairQueue({ weights }), { short, [name]: long })
      expect(gap).toBeLessThanOrEqual(bound + 1e-6)
    }), { seed: SEED, numRuns: 200 })
  })

  it('fails the same check with a first-in first-out queue', () => {
    const short = Array.from({ length: 100 }, () => 50)
    const { gap, bound } = largestGap(createFifoQueue(), { short, long: [500, 500, 500] })
    expect(gap).toBeGreaterThan(bound)
  })
})
