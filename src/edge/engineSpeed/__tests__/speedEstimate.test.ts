import { describe, expect, it } from 'vitest'
import { decodeSpeeds, encodeSpeeds } from '../speedCodec'
import { adoptSpeed, createSpeedEstimate, recordSpeedSample, type SpeedEstimate } from '../speedEstimate'

function estimateFrom (samples: readonly number[]): SpeedEstimate {
  const estimate = createSpeedEstimate()
  for (const sample of samples) recordSpeedSample(estimate, sample)
  return estimate
}

const repeat = (value: number, count: number): number[] => Array.from({ length: count }, () => value)

describe('the estimated speed of an engine', () => {
  it.each<[string, number[], number | undefined, number | undefined]>([
    ['is unknown with few samples', repeat(9, 6), undefined, undefined],
    ['is the speed of equal samples', repeat(9, 20), 9, 9],
    ['starts despite three pauses of a second', [350, 9, 9, 350, 9, 9, 350], 9, 9],
    ['stays near despite a pause of a second in each tenth prompt', [...repeat(9, 10), 350, ...repeat(9, 9), 350, ...repeat(9, 9)], 8.9, 9.6],
    ['stays near despite a lost cache for five prompts', [...repeat(9, 40), ...repeat(28, 5)], 9, 10.1],
    ['follows an engine that was estimated wrongly', [...repeat(9, 20), ...repeat(14, 60)], 13, 14],
    ['is bounded for a response before its time', repeat(-3, 20), 0.5, 0.5]
  ])('%s', (_title, samples, least, most) => {
    const { milliseconds } = estimateFrom(samples)
    if (least === undefined) return expect(milliseconds).toBeUndefined()
    expect(milliseconds).toBeGreaterThanOrEqual(least)
    expect(milliseconds).toBeLessThanOrEqual(most! + 1e-9)
  })

  it.each([
    ['one with more samples', 20, 30, 14],
    ['none with fewer samples', 20, 10, 9],
    ['none that has not started', 0, 3, undefined]
  ])('takes over from another instance %s', (_title, own, other, expected) => {
    const estimate = estimateFrom(repeat(9, own))
    adoptSpeed(estimate, 14, other)
    expect(estimate.milliseconds).toBe(expected)
  })
})

describe('speeds in a message', () => {
  it('are decoded as they were encoded, in steps of 1/32 ms and within seven bytes', () => {
    const entries = [
      { key: 7, milliseconds: 9.03125, samples: 64 }, { key: 0xffffffff, milliseconds: 1e9, samples: 1e9 }
    ]
    const bytes = encodeSpeeds(entries)
    expect(bytes.length).toBe(14)
    expect(decodeSpeeds(bytes)).toEqual([entries[0], { key: 0xffffffff, milliseconds: 0xffff / 32, samples: 255 }])
  })

  it.each([[undefined], ['text'], [Buffer.alloc(8)], [{}]])('are none in %o', (value) => {
    expect(decodeSpeeds(value)).toEqual([])
  })
})
