import { describe, expect, it } from 'vitest'
import { createReportedLoads, decodeLoad, encodeLoad, loadKeyOf } from '../engineLoad'

describe('a load', () => {
  it('is decoded as it was encoded, in units of 16 tokens', () => {
    const load = new Map([[loadKeyOf('engine-1'), 9190], [loadKeyOf('engine-2'), 1], [7, 99_999_999]])
    expect([...decodeLoad(encodeLoad(load))!.values()]).toEqual([9200, 16, 0xffff * 16])
    expect([...decodeLoad(encodeLoad(load))!.keys()]).toEqual([...load.keys()])
  })

  it('takes six bytes per engine, so that responses in a large fleet need little bandwidth', () => {
    expect(encodeLoad(new Map(Array.from({ length: 63 }, (_, key) => [key, 9190]))).length).toBe(378)
  })

  it.each([[undefined], ['text'], [Buffer.alloc(5)], [{}]])('is not read from %o', (value) => {
    expect(decodeLoad(value)).toBeUndefined()
  })
})

describe('loads reported by other instances', () => {
  it.each<[string, Array<[string, number, number]>, number, number]>([
    ['are added to the own load', [['a', 100, 0], ['b', 50, 0]], 10, 160],
    ['count only the newest report of each instance', [['a', 100, 0], ['a', 30, 5]], 10, 40],
    ['expire after half a second', [['a', 100, 0], ['b', 50, 300]], 600, 60]
  ])('%s', (_title, reports, now, expected) => {
    const reportedLoads = createReportedLoads()
    for (const [name, tokens, at] of reports) reportedLoads.record(name, new Map([[1, tokens]]), at)
    expect(reportedLoads.sum(new Map([[1, 10]]), now).get(1)).toBe(expected)
  })
})
