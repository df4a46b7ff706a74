import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createExternalCachePolicy } from '../externalCache'

const keys = ['a', 'b', 'c']
const SLOW_PREFILL = 1000
const FAST_PREFILL = 1_000_000

function createHotCache (): ReturnType<typeof createExternalCachePolicy> {
  const cache = createExternalCachePolicy({ exportsPerSecond: 100, importsPerSecond: 100 })
  for (let use = 0; use < 3; use += 1) cache.recordUse(keys, use)
  return cache
}

describe('external KV cache policy', () => {
  it('exports a block once when it becomes hot, not on each use', () => {
    const cache = createExternalCachePolicy({ exportsPerSecond: 100 })
    expect([0, 1, 2, 3].map((now) => cache.recordUse(keys, now))).toEqual([[], [], keys, []])
    cache.exportFailed(['b'])
    expect(cache.recordUse(keys, 4)).toEqual(['b'])
  })

  it.each([
    ['imports missing blocks', 1, SLOW_PREFILL, ['b', 'c']],
    ['does not import cached blocks', 3, SLOW_PREFILL, []],
    ['imports nothing when recomputing is faster', 0, FAST_PREFILL, []]
  ])('%s', (_, cached, rate, expected) => {
    expect(createHotCache().planImport(keys, cached, rate, 10)).toEqual(expected)
  })

  it('does not import a block missing from the store again until some time has passed', () => {
    const cache = createHotCache()
    cache.recordImport(keys, 1, 20, 10)
    expect(cache.planImport(keys, 0, SLOW_PREFILL, 20)).toEqual(['a'])
    expect(cache.planImport(keys, 0, SLOW_PREFILL, 40_000)).toEqual(keys)
  })

  it('stops importing when measured imports are slower than recomputing', () => {
    const cache = createHotCache()
    for (let round = 0; round < 30; round += 1) cache.recordImport(keys, 3, 9000, 10)
    expect(cache.planImport(keys, 0, SLOW_PREFILL, 20)).toEqual([])
  })

  it('keeps exports and imports within the rates of the store, and memory within its limit', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(50), fc.nat(300)), { maxLength: 300 }), (steps) => {
      const rates = { exportsPerSecond: 20, importsPerSecond: 50, instanceCount: () => 10 }
      const cache = createExternalCachePolicy({ ...rates, maximumBlocks: 20, hotUses: 1 })
      let [now, exported, imported] = [0, 0, 0]
      for (const [number, pause] of steps) {
        now += pause
        const prompt = [`x${number}`, `y${number}`]
        exported += cache.recordUse(prompt, now).length
        imported += cache.planImport(prompt, 0, SLOW_PREFILL, now).length
      }
      expect(exported).toBeLessThanOrEqual(2 + 2 * now / 1000)
      expect(imported).toBeLessThanOrEqual(5 + 5 * now / 1000)
      expect(cache.trackedBlocks()).toBeLessThanOrEqual(20)
    }))
  })
})
