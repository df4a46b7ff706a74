import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createHybridClock, parseHybridTime } from '../hybridClock'

describe('hybrid clock', () => {
  it('orders a received message before all later events, regardless of clock skew', () => {
    fc.assert(fc.property(fc.array(fc.record({
      sender: fc.nat(2), receiver: fc.nat(2), skew: fc.integer({ min: -5000, max: 5000 })
    }), { maxLength: 50 }), (messages) => {
      const clocks = [createHybridClock(), createHybridClock(), createHybridClock()]
      let wall = 1_700_000_000_000
      for (const message of messages) {
        wall += 1
        const sent = clocks[message.sender]!.tick(wall + message.skew)
        clocks[message.receiver]!.observe(sent, wall - message.skew)
        expect(clocks[message.receiver]!.tick(wall - message.skew) > sent).toBe(true)
      }
    }))
  })

  it.each([['', undefined], ['12.3', undefined], ['x'.repeat(21), undefined]])('rejects malformed time %j', (text, expected) => {
    expect(parseHybridTime(text)).toBe(expected)
  })

  it('ignores a remote time too far in the future, which would shift all later times', () => {
    const clock = createHybridClock()
    clock.observe('99999999999999.000000', 1_700_000_000_000)
    expect(parseHybridTime(clock.tick(1_700_000_000_000))?.wall).toBe(1_700_000_000_000)
  })
})
