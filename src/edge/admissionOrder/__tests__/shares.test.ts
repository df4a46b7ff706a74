import { describe, expect, it } from 'vitest'
import { allocateShares, type GroupWithDemand } from '../shares'

interface Case {
  title: string
  groups: Array<Partial<GroupWithDemand>>
  admitted: number
  /** Least and largest share of each group. */
  expected: Array<[number, number]>
}

/** Share of the whole that a group must at least get, relative to the overall served share. */
const REQUIRED_FLOOR = 0.25

function createGroups (values: ReadonlyArray<Partial<GroupWithDemand>>): GroupWithDemand[] {
  return values.map((group, key) => ({
    key, priority: 0, customer: 'bakery', rate: 100, unit: 'token', cost: 100, count: 1, ...group
  }))
}

const CASES: Case[] = [
  {
    title: 'all without overload', admitted: 1, groups: [{ priority: 0 }, { priority: 2 }], expected: [[1, 1], [1, 1]]
  },
  {
    title: 'the urgent kind whole while the less urgent one bursts',
    admitted: 0.5,
    groups: [{ priority: 0, cost: 100, count: 100 }, { priority: 2, cost: 900, count: 80 }],
    expected: [[0.99, 1], [0.4, 0.5]]
  },
  {
    title: 'the less urgent kind its floor when the urgent one alone is too much',
    admitted: 0.3,
    groups: [{ priority: 0, cost: 900, count: 900 }, { priority: 2, cost: 100, count: 10 }],
    expected: [[0.25, 0.33], [0.07, 0.3]]
  },
  {
    title: 'the urgent kind most of what there is when the floor of the large kind uses up much of it',
    admitted: 0.15,
    groups: [{ priority: 0, cost: 120, count: 48 }, { priority: 2, cost: 880, count: 52 }],
    expected: [[0.45, 0.65], [0.07, 0.11]]
  },
  {
    title: 'other customers whole while one sends six times its rate',
    admitted: 0.5,
    groups: [
      { customer: 'hot', cost: 600, count: 600 }, { customer: 'a', cost: 100, count: 100 },
      { customer: 'b', cost: 100, count: 100 }, { customer: 'c', cost: 100, count: 100 }
    ],
    expected: [[0.1, 0.4], [0.99, 1], [0.99, 1], [0.99, 1]]
  },
  {
    title: 'the hot customer what the idle ones leave',
    admitted: 0.5,
    groups: [{ customer: 'hot', cost: 900, count: 900 }, { customer: 'a', cost: 100, count: 100, rate: 900 }],
    expected: [[0.4, 0.45], [0.99, 1]]
  },
  {
    title: 'the less urgent requests of others before the urgent excess of a hot customer',
    admitted: 0.5,
    groups: [
      { customer: 'hot', priority: 0, cost: 600, count: 600 }, { customer: 'a', priority: 2, cost: 100, count: 100 },
      { customer: 'b', priority: 2, cost: 100, count: 100 }
    ],
    expected: [[0.3, 0.4], [0.9, 1], [0.9, 1]]
  },
  {
    title: 'customers with rates in requests as those with rates in tokens',
    admitted: 0.5,
    groups: [
      { customer: 'a', rate: 1, unit: 'request', cost: 100, count: 1 },
      { customer: 'b', rate: 100, unit: 'token', cost: 100, count: 1 }
    ],
    expected: [[0.49, 0.51], [0.49, 0.51]]
  }
]

describe('allocateShares gives', () => {
  it.each(CASES)('$title', ({ groups, admitted, expected }) => {
    const shares = allocateShares(createGroups(groups), admitted)
    for (const [key, [least, most]] of expected.entries()) {
      expect(shares.get(key)).toBeGreaterThanOrEqual(least)
      expect(shares.get(key)).toBeLessThanOrEqual(most)
    }
  })

  it.each(CASES)('no more than is admitted, and to each a quarter of the overall share: $title', ({ groups, admitted }) => {
    const claims = createGroups(groups)
    const shares = allocateShares(claims, admitted)
    const demand = claims.reduce((sum, { cost }) => sum + cost, 0)
    const given = claims.reduce((sum, { key, cost }) => sum + cost * shares.get(key)!, 0)
    expect(given).toBeLessThanOrEqual(demand * admitted + 1e-6)
    const served = claims.reduce((sum, { key, count }) => sum + count * shares.get(key)!, 0) /
      claims.reduce((sum, { count }) => sum + count, 0)
    for (const { key } of claims) expect(shares.get(key)!).toBeGreaterThanOrEqual(served * REQUIRED_FLOOR)
  })

  it('nothing but finite shares for groups without cost', () => {
    const shares = allocateShares(createGroups([{ cost: 0 }, { cost: 100 }]), 0.5)
    expect([...shares.values()].every((share) => share >= 0 && share <= 1)).toBe(true)
  })
})
