import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createColdPrefixGate } from '../coldPrefix'

describe('cold prefix gate', () => {
  it('makes a second request wait for the first token of the first request', () => {
    const gate = createColdPrefixGate()
    expect(gate.register('first', ['a', 'b', 'c'], 0, 0)).toEqual({ wait: false })
    expect(gate.register('second', ['a', 'b', 'd'], 0, 1)).toMatchObject({ wait: true, computing: 'first' })
    expect(gate.settle('first')).toEqual(['second'])
    expect(gate.register('second', ['a', 'b', 'd'], 2, 2)).toEqual({ wait: false })
  })

  it('does not wait for blocks that are already cached', () => {
    const gate = createColdPrefixGate()
    gate.register('first', ['a', 'b', 'c'], 2, 0)
    expect(gate.register('second', ['a', 'b', 'd'], 2, 1)).toEqual({ wait: false })
  })

  it('lets the next request compute the prefix when the first fails', () => {
    const gate = createColdPrefixGate()
    gate.register('first', ['a'], 0, 0)
    gate.register('second', ['a'], 0, 1)
    gate.register('third', ['a'], 0, 1)
    const released = gate.settle('first')
    expect(released).toEqual(['second', 'third'])
    expect(released.map(identifier => gate.register(identifier, ['a'], 0, 2).wait)).toEqual([false, true])
  })

  it('limits the number of waiting requests and the total wait over several computations', () => {
    const gate = createColdPrefixGate({ maximumWaiters: 1, maximumWaitMilliseconds: 100 })
    gate.register('first', ['a'], 0, 0)
    expect(gate.register('second', ['a'], 0, 0).wait).toBe(true)
    expect(gate.register('third', ['a'], 0, 0).wait).toBe(false)
    gate.settle('first')
    gate.register('fourth', ['a'], 0, 50)
    expect(gate.register('second', ['a'], 0, 60)).toMatchObject({ wait: true, until: 100 })
    expect(gate.expire(100)).toEqual(['second'])
    expect(gate.register('second', ['a'], 0, 100).wait).toBe(false)
  })

  it('releases every waiting request by settle or expire', () => {
    const step = fc.record({
      identifier: fc.integer({ min: 0, max: 9 }),
      keys: fc.array(fc.constantFrom('a', 'b', 'c'), { maxLength: 3 }),
      kind: fc.constantFrom('arrive', 'settle', 'expire')
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 50 }), steps => {
      const gate = createColdPrefixGate({ maximumWaitMilliseconds: 20, maximumWaiters: 2 })
      const waiting = new Set<string>()
      const release = (identifiers: readonly string[]) => {
        for (const identifier of identifiers) expect(waiting.delete(identifier)).toBe(true)
      }
      steps.forEach(({ identifier, keys, kind }, now) => {
        const name = String(identifier)
        if (kind === 'expire') release(gate.expire(now))
        else if (kind === 'settle') {
          release(gate.settle(name))
          waiting.delete(name)
        } else if (!waiting.has(name)) {
          release(gate.settle(name))
          if (gate.register(name, keys, 0, now).wait) waiting.add(name)
        }
        expect(gate.waiting()).toBe(waiting.size)
      })
      release(gate.expire(steps.length + 20))
      expect(waiting.size).toBe(0)
    }))
  })
})
