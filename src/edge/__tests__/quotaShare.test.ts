import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { costOf, createQuotaShares, type QuotaRequest, type QuotaShares } from '../quotaShare'
import { createCustomer } from './fixtures'
import type { CallerRequest } from '../types'

/** Creates a request at an instance that cannot get units from other instances. */
const isolatedRequest = (identifier: string, cost: number, share: number): QuotaRequest => {
  return { customer, identifier, cost, share, allowDebt: true }
}

const options = { window: 8000, overage: 0.1, slack: 110_000, startedAt: 0 }
const customer = createCustomer({ rate: 70_000, burst: 70_000 })
const request: CallerRequest = {
  identifier: 'r', callerTimeout: undefined, key: undefined, model: undefined, tokens: undefined, promptSegments: [], resumeAfter: undefined
}

describe('costOf', () => {
  it.each([
    ['counts stated tokens', { tokens: { prompt: 1460, output: 80 } }, {}, 1540],
    ['uses the default cost without stated tokens', {}, {}, 200],
    ['counts one for a customer limited by requests', { tokens: { prompt: 9, output: 9 } }, { unit: 'request' as const }, 1]
  ])('%s', (_title, fields, values, expected) => {
    expect(costOf({ ...request, ...fields }, createCustomer(values))).toBe(expected)
  })
})

describe('createQuotaShares', () => {
  it('admits single long prompts at one of nine instances', () => {
    const shares = createQuotaShares(options)
    for (let index = 0; index < 10; index += 1) {
      expect(shares.admit(
        isolatedRequest(String(index), 18_000, 1 / 9), 12_000 + index * 2400
      )).toEqual({ admitted: true })
    }
  })

  it('refunds requests that did not run and returns when a rejected request can be retried', () => {
    const shares = createQuotaShares(options)
    expect(shares.admit(isolatedRequest('a', 20_000, 1 / 9), 60_000)).toEqual({ admitted: true })
    const rejection = shares.admit(isolatedRequest('b', 20_000, 1 / 9), 60_000)
    expect(rejection.admitted).toBe(false)
    if (!rejection.admitted) expect(rejection.retryAfter).toBeGreaterThan(0)
    shares.settle(customer.name, 'a', 20_000, false)
    expect(shares.admit(isolatedRequest('b', 20_000, 1 / 9), 60_000)).toEqual({ admitted: true })
  })

  // Guards against rejecting a quarter of a steady traffic that lies between a customer's rate and what each window
  // permits.
  it('admits at an even pace what every window permits beyond the rate', () => {
    const shares = createQuotaShares(options)
    const permitted = customer.rate + customer.burst / 8
    let admitted = 0
    for (let index = 0; index < 300; index += 1) {
      const now = 20_000 + index * 3000 / permitted * 1000
      if (shares.admit(isolatedRequest(String(index), 3000, 1), now).admitted) admitted += 1
    }
    expect(admitted).toBe(300)
  })

  it('does not limit a customer without a rate', () => {
    const request = { ...isolatedRequest('a', 1e9, 1 / 9), customer: createCustomer({ rate: 0 }) }
    expect(createQuotaShares(options).admit(request, 0)).toEqual({ admitted: true })
  })

  it('keeps every window over all instances inside the permitted overage, even when all restart at once', () => {
    const operation = fc.record({ instance: fc.nat(8), cost: fc.integer({ min: 1, max: 30_000 }), pause: fc.nat(60) })
    const operationLists = fc.array(operation, { minLength: 200, maxLength: 600 })
    fc.assert(fc.property(operationLists, fc.nat(20_000), (operations, restartAt) => {
      let instances: QuotaShares[] = Array.from({ length: 9 }, () => createQuotaShares(options))
      const admitted: Array<{ at: number, cost: number }> = []
      let now = 12_000
      let restarted = false
      operations.forEach(({ instance, cost, pause }, index) => {
        now += pause
        if (!restarted && now > 12_000 + restartAt) {
          restarted = true
          instances = Array.from({ length: 9 }, () => createQuotaShares({ ...options, startedAt: now }))
        }
        const decision = instances[instance]!.admit(isolatedRequest(String(index), cost, 1 / 9), now)
        if (decision.admitted) admitted.push({ at: now, cost })
      })
      const bound = (customer.rate * 8 + customer.burst) * 1.1 + 110_000
      for (const { at } of admitted) {
        const window = admitted.filter((other) => other.at >= at && other.at < at + 8000)
        expect(window.reduce((sum, { cost }) => sum + cost, 0)).toBeLessThanOrEqual(bound)
      }
    }), { numRuns: 60, seed: 8 })
  })
})
