/** Weight store: the load time that rollouts have to reckon with. */
import { expect, it } from 'vitest'
import { createWeightStore } from '../weightStore'

async function loadTimes (count: number, parallelLoads: number): Promise<number[]> {
  const store = createWeightStore({ loadMilliseconds: 100, parallelLoads })
  const began = performance.now()
  return await Promise.all(Array.from({ length: count }, async () => {
    await store.load(new AbortController().signal)
    return performance.now() - began
  }))
}

it.each([[1, 2, 100], [2, 2, 100], [4, 2, 200], [6, 3, 200]])(
  '%i loads at once with a limit of %i take about %i ms', async (count, limit, expected) => {
    for (const time of await loadTimes(count, limit)) {
      expect(time).toBeGreaterThan(expected * 0.9)
      expect(time).toBeLessThan(expected * 1.5 + 30)
    }
  })

it('an aborted load frees its part of the rate', async () => {
  const store = createWeightStore({ loadMilliseconds: 100, parallelLoads: 1 })
  const aborter = new AbortController()
  const aborted = store.load(aborter.signal)
  const began = performance.now()
  const other = store.load(new AbortController().signal)
  aborter.abort()
  await Promise.all([aborted, other])
  expect(performance.now() - began).toBeLessThan(160)
  expect(store.active()).toBe(0)
})
