import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createExhaustedCustomers, planTokenRequests } from '../tokenRequests'
import type { Peer } from '../types'

const peers: Peer[] = Array.from({ length: 68 }, (_unused, index) => ({
  name: `router-${index}`, dataCentre: ['north', 'south', 'west'][index % 3]!, endpoint: { host: '10.0.0.1', port: index + 1 }
}))
const firstRound = { peers, dataCentre: 'north', requestedPeers: new Set<string>(), missing: 9000, capacity: 3000, round: 0 }

describe('planTokenAsks', () => {
  it.each([
    { name: 'as many peers as are expected to have the missing units', values: {}, asks: 8 },
    { name: 'two peers for a small remainder', values: { missing: 100 }, asks: 2 },
    { name: 'at most sixteen peers', values: { missing: 1e6 }, asks: 16 },
    { name: 'no peers after the last round', values: { round: 3 }, asks: 0 },
    { name: 'no peers when there are none', values: { peers: [] }, asks: 0 },
    { name: 'no peers when nothing is missing', values: { missing: 0 }, asks: 0 },
    { name: 'no peers for a customer without a share', values: { capacity: 0 }, asks: 0 }
  ])('requests units from $name', ({ values, asks: expectedRequests }) => {
    expect(planTokenRequests({ ...firstRound, ...values }, () => 0.5)).toHaveLength(expectedRequests)
  })

  it('addresses the local data centre first, no peer twice, and no peer for more than is missing', () => {
    const input = fc.record({
      missing: fc.integer({ min: 1, max: 100_000 }),
      capacity: fc.integer({ min: 1, max: 100_000 }),
      asked: fc.uniqueArray(fc.nat(67), { maxLength: 67 })
    })
    fc.assert(fc.property(input, ({ missing, capacity, asked: alreadyRequested }) => {
      const requestedPeers = new Set(alreadyRequested.map((index) => `router-${index}`))
      const requests = planTokenRequests({ ...firstRound, missing, capacity, requestedPeers }, Math.random)
      expect(new Set(requests.map(({ peer }) => peer.name)).size).toBe(requests.length)
      expect(requests.every(({ peer, units }) => !requestedPeers.has(peer.name) && units <= missing)).toBe(true)
      const isFar = requests.map(({ peer }) => peer.dataCentre !== 'north')
      expect(isFar).toEqual([...isFar].sort())
    }), { seed: 3, numRuns: 300 })
  })
})

describe('createExhaustedCustomers', () => {
  it('suppresses requests for a short time', () => {
    const exhausted = createExhaustedCustomers()
    exhausted.record('bakery', 14, 1000)
    expect(exhausted.responses('bakery', 1099)).toBe(14)
    expect(exhausted.responses('bakery', 1100)).toBeUndefined()
    expect(exhausted.responses('mill', 1000)).toBeUndefined()
  })
})
