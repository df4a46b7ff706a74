import { describe, expect, it } from 'vitest'
import { admittedPart, timeToRecovery } from '../overload'
import { admissionProbability } from '../requestShare'
import { retryTime } from '../retryTime'
import { createTimeBudgets } from '../timeBudgets'

describe('admittedPart', () => {
  it.each([
    ['all while an engine has room', 0, true, 500, 1],
    ['all at a short queue', 40, true, 500, 1],
    ['all to a service without a target', 90_000, true, 0, 1],
    ['all to an instance on its own whose wait is below its target', 290, false, 500, 1]
  ])('admits %s', (_title, milliseconds, isFleetKnown, target, expected) => {
    expect(admittedPart({ milliseconds, isFleetKnown }, target)).toBe(expected)
  })

  it.each([true, false])('never refuses everyone, and falls without a step (fleet known: %s)', (isFleetKnown) => {
    const parts = Array.from({ length: 200 }, (_value, index) => (
      admittedPart({ milliseconds: index * 10, isFleetKnown }, 500)
    ))
    for (const [index, part] of parts.entries()) {
      expect(part).toBeGreaterThanOrEqual(0.1)
      if (index > 0) expect(parts[index - 1]! - part).toBeLessThan(0.06)
    }
    expect(parts.at(-1)).toBeLessThan(0.2)
  })

  it('recovers in the time by which the wait exceeds the start of the ramp', () => {
    expect(timeToRecovery({ milliseconds: 250, isFleetKnown: true }, 500)).toBe(200)
  })
})

describe('admissionProbability', () => {
  const weight = { cost: 1000, meanCost: 1000, age: 0, fit: 1 }

  it('is the share for a request of the mean size', () => {
    expect(admissionProbability(0.4, weight)).toBeCloseTo(0.4)
  })

  it.each([0.1, 0.3, 0.5, 0.8])('serves the largest at least half as often as the kind (share %s)', (share) => {
    expect(admissionProbability(share, { ...weight, cost: 39_600, meanCost: 4000 })).toBeGreaterThanOrEqual(share / 2)
    expect(admissionProbability(share, { ...weight, cost: 39_600 })).toBeLessThan(admissionProbability(share, weight))
  })

  it('refuses a part of those for which the engines have no room, and half of them at most', () => {
    const probability = admissionProbability(1, { ...weight, cost: 39_600, fit: 0.15 })
    expect(probability).toBeLessThan(1)
    expect(probability).toBeGreaterThanOrEqual(0.5)
  })

  it('prefers a request that has come back', () => {
    expect(admissionProbability(0.4, { ...weight, age: 0.33 })).toBeGreaterThan(0.6)
  })

  it('admits everything at a full share', () => {
    expect(admissionProbability(1, { ...weight, cost: 1e9 })).toBe(1)
  })
})

describe('retryTime', () => {
  const CASES: Array<[string, Parameters<typeof retryTime>[0]]> = [
    ['a short queue', { recovery: 20, share: 0.5, timeLeft: 5000, draw: 0 }],
    ['a long queue', { recovery: 800, share: 0.2, timeLeft: 5000, draw: 0 }],
    ['little time left', { recovery: 800, share: 0.2, timeLeft: 300, draw: 0 }],
    ['no time left', { recovery: 800, share: 0, timeLeft: -5, draw: 0 }]
  ]

  it.each(CASES)('is at most a third of the time left: %s', (_title, circumstances) => {
    for (const draw of [0, 0.5, 0.999]) {
      const time = retryTime({ ...circumstances, draw })
      expect(time).toBeGreaterThanOrEqual(0)
      expect(time).toBeLessThanOrEqual(Math.max(0, circumstances.timeLeft) / 3)
    }
  })

  it('spreads the callers that are refused in the same moment', () => {
    const times = [0, 0.25, 0.5, 0.75].map((draw) => retryTime({ recovery: 300, share: 0.4, timeLeft: 5000, draw }))
    for (let index = 1; index < times.length; index += 1) expect(times[index]! - times[index - 1]!).toBeGreaterThan(50)
  })

  it('names a later moment to a group with a smaller share', () => {
    const mean = (share: number): number => retryTime({ recovery: 200, share, timeLeft: 9000, draw: 0.5 })
    expect(mean(0.3)).toBeGreaterThan(mean(0.8))
  })
})

describe('createTimeBudgets', () => {
  it('returns the missing part of the usual budget', () => {
    const budgets = createTimeBudgets()
    expect(budgets.observe('chat', 3000)).toBe(0)
    expect(budgets.observe('chat', 2000)).toBeCloseTo(1 / 3, 1)
    expect(budgets.observe('other', 500)).toBe(0)
  })
})
