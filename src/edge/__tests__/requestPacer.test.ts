import { describe, expect, it } from 'vitest'
import { changeInterval, createRequestPacer, restartIfIdle, takeSlot, type RequestPacer } from '../requestPacer'

const MIDDLE = (): number => 0.5
const CREDIT = 250

function create (interval = 1000): RequestPacer {
  return createRequestPacer(interval, MIDDLE, 0)
}

describe('a pacer', () => {
  it('hands out no slot before the first one', () => {
    expect(takeSlot(create(), 0, CREDIT, 0)).toEqual({ granted: false, wait: 500 })
  })

  it.each([
    ['a slot that is due', 500, 0, { granted: true, wait: 0 }],
    ['the next slot ahead of its time', 300, 200, { granted: true, wait: 200 }],
    ['no slot that is too far ahead', 299, 200, { granted: false, wait: 201 }]
  ])('grants %s', (_title, now, maximumWait, expected) => {
    expect(takeSlot(create(), maximumWait, CREDIT, now)).toEqual(expected)
  })

  it('lets reservations queue one interval apart', () => {
    const pacer = create()
    expect([0, 1, 2].map(() => takeSlot(pacer, 2000, CREDIT, 0))).toEqual([
      { granted: true, wait: 500 }, { granted: true, wait: 1500 }, { granted: false, wait: 2500 }
    ])
  })

  it.each([
    ['a slot that is used late does not delay the next ones', 700, 1500],
    ['unused slots do not accumulate', 60_000, 60_750]
  ])('%s', (_title, now, expected) => {
    const pacer = create()
    takeSlot(pacer, 0, CREDIT, now)
    expect(pacer.nextAt).toBe(expected)
  })

  it.each([
    ['a shorter interval applies at once', 100, 100],
    ['a longer interval applies after the next slot', 5000, 500]
  ])('%s', (_title, interval, expected) => {
    const pacer = create()
    changeInterval(pacer, interval, 0)
    expect(pacer).toEqual({ nextAt: expected, interval })
  })

  it.each([
    ['keeps its slot for one interval', 1500, 500],
    ['gets another one after that', 1501, 2001]
  ])('%s if it restarts when idle', (_title, now, expected) => {
    const pacer = create()
    restartIfIdle(pacer, MIDDLE, now)
    expect(pacer.nextAt).toBe(expected)
  })
})
