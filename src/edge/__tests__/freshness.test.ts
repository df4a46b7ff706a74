import { describe, expect, it } from 'vitest'
import { createFreshness, elapsed } from '../freshness'

describe('elapsed', () => {
  it.each([
    ['both clocks agree', { steady: 1000, wall: 1000 }, 1000],
    ['the steady clock stood still in a freeze', { steady: 0, wall: 6000 }, 6000],
    ['the wall clock jumped back', { steady: 1000, wall: -2400 }, 1000],
    ['the wall clock jumped ahead', { steady: 10, wall: 2400 }, 2400]
  ])('%s', (_title, later, expected) => {
    expect(elapsed({ steady: 0, wall: 0 }, later)).toBe(expected)
  })
})

describe('createFreshness', () => {
  const at = (time: number): { steady: number, wall: number } => ({ steady: time, wall: time })

  it.each([
    ['without a proof', undefined, 0, false],
    ['right after a proof', 0, 10, true],
    ['just inside the bound less the time to an upstream', 0, 4500, true],
    ['beyond it', 0, 4501, false]
  ])('%s', (_title, proof, time, permitted) => {
    const freshness = createFreshness(5000)
    if (proof !== undefined) freshness.proved(at(proof))
    expect(freshness.permitsKeys(at(time))).toBe(permitted)
  })

  it('keeps the newest proof when an older call answers later', () => {
    const freshness = createFreshness(5000)
    freshness.proved(at(3000))
    freshness.proved(at(1000))
    expect(freshness.age(at(4000))).toBe(1000)
  })

  it('permits keys of any age after the first proof where no bound holds', () => {
    const freshness = createFreshness(Infinity)
    expect(freshness.permitsKeys(at(0))).toBe(true)
    freshness.proved(at(0))
    expect(freshness.permitsKeys(at(1e9))).toBe(true)
  })
})
