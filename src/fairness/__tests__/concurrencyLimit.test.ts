import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createConcurrencyLimit } from '../concurrencyLimit'

/** Simulates an upstream whose latency grows above `capacity` requests in flight. Returns the final limit. */
function findLimit (capacity: number, initial: number): number {
  const limit = createConcurrencyLimit({ initial })
  let now = 0
  // Several lookback periods, so that a lowest latency that creeps up with the load would be detected.
  while (now < 300_000) {
    let started = 0
    while (limit.tryAcquire()) started += 1
    const latency = 100 * Math.max(1, started / capacity) ** 2
    now += latency
    for (let index = 0; index < started; index += 1) limit.release(latency, now)
  }
  return limit.limit()
}

describe('concurrency limit', () => {
  it.each([[10, 2], [10, 16], [60, 16]])('converges to capacity %d from initial limit %d', (capacity, initial) => {
    const found = findLimit(capacity, initial)
    expect(found).toBeGreaterThan(capacity * 0.8)
    expect(found).toBeLessThan(capacity * 2)
  })

  it('never admits more requests than the limit and keeps the limit within its bounds', () => {
    const latency = fc.option(fc.integer({ min: 0, max: 5000 }), { nil: undefined })
    const step = fc.record({ acquire: fc.boolean(), latency })
    fc.assert(fc.property(fc.array(step, { maxLength: 300 }), (steps) => {
      const limit = createConcurrencyLimit({ minimum: 3, maximum: 9, initial: 5 })
      let inFlight = 0
      steps.forEach(({ acquire, latency }, index) => {
        if (acquire) {
          const before = limit.limit()
          const admitted = limit.tryAcquire()
          expect(admitted).toBe(inFlight < before)
          if (admitted) inFlight += 1
        } else if (inFlight > 0) {
          limit.release(latency, index * 100)
          inFlight -= 1
        }
        expect(limit.inFlight()).toBe(inFlight)
        expect(limit.limit()).toBeGreaterThanOrEqual(3)
        expect(limit.limit()).toBeLessThanOrEqual(9)
      })
    }), { seed: 20261204, numRuns: 200 })
  })

  // Guards against a limit that grows only when streams end, which withholds load that an idle upstream could take.
  it('grows with recorded latencies while all requests are still in flight', () => {
    const limit = createConcurrencyLimit({ initial: 64, maximum: 4096 })
    let running = 0
    for (let round = 0; round < 3; round += 1) {
      let started = 0
      while (limit.tryAcquire()) started += 1
      running += started
      for (let index = 0; index < started; index += 1) limit.record(50, round * 50)
    }
    expect(limit.inFlight()).toBe(running)
    expect(limit.limit()).toBe(256)
    for (let index = 0; index < running; index += 1) limit.releaseRecorded()
    expect(limit.inFlight()).toBe(0)
    expect(limit.limit()).toBe(256)
  })
})
