import { describe, expect, it } from 'vitest'
import { createFreshness, elapsed } from '../freshness'

describe('elapsed', () => {
  it.each([
    ['both clocks agree', { steady: 1000, wall: 1000 }, 1000],
    ['the monotonic clock stopped while the process was suspended', { steady: 0, wall: 6000 }, 6000],
    ['the wall clock jumped back', { steady: 1000, wall: -2400 }, 1000],
    ['the wall clock jumped forward', { steady: 10, wall: 2400 }, 2400]
  ])('%s', (_title, later, expected) => {
    expect(elapsed({ steady: 0, wall: 0 }, later)).toBe(expected)
  })
})

describe('createFreshness', () => {
  const at = (time: number): { steady: number, wall: number } => ({ steady: time, wall: time })

  it.each([
    ['without a confirmation', undefined, 0, false],
    ['right after a confirmation', 0, 10, true],
    ['at the bound minus the transit time', 0, 4500, true],
    ['after the bound minus the transit time', 0, 4501, false]
  ])('%s', (_title, confirmedAt, time, permitted) => {
    const freshness = createFreshness(5000)
    if (confirmedAt !== undefined) freshness.recordConfirmation(at(confirmedAt))
    expect(freshness.permitsKeys(at(time))).toBe(permitted)
  })

  it('keeps the newest confirmation when an earlier call completes later', () => {
    const freshness = createFreshness(5000)
    freshness.recordConfirmation(at(3000))
    freshness.recordConfirmation(at(1000))
    expect(freshness.age(at(4000))).toBe(1000)
  })

  it('always permits keys if no bound is configured', () => {
    const freshness = createFreshness(Infinity)
    expect(freshness.permitsKeys(at(0))).toBe(true)
    freshness.recordConfirmation(at(0))
    expect(freshness.permitsKeys(at(1e9))).toBe(true)
  })
})
