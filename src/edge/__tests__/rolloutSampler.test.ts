import { describe, expect, it } from 'vitest'
import type { RolloutSample } from '../../rollout/types'
import { createRolloutSampler, NEW_VERSION, OLD_VERSION, type AttemptSample, type RolloutSampler } from '../rolloutSampler'

const OLD = { service: 'engines', route: 'chat', isNew: () => false }
const NEW = { ...OLD, isNew: () => true }

/** Creates a sampler that has seen the old version answer in 100 ms, with 10 ms between events. */
function createSampler (): RolloutSampler {
  let isRollingOut = false
  const sampler = createRolloutSampler(() => isRollingOut)
  for (let count = 0; count < 20; count += 1) {
    const attempt = sampler.startAttempt(OLD, 0)
    attempt.recordFirstByte(100)
    attempt.recordEvents(1, 100)
    attempt.recordEvents(10, 200)
    attempt.recordEnd(false, 200)
  }
  isRollingOut = true
  return sampler
}

function newSample (sampler: RolloutSampler): RolloutSample | undefined {
  return sampler.drain('engines').find(({ version }) => version === NEW_VERSION)
}

describe('rollout samples', () => {
  it.each([
    ['as fast as the old version', 110, 0, 0],
    ['four times as slow', 400, 1, 0],
    ['eight times as slow', 800, 1, 1]
  ])('%s', (_title, firstByte, slow, verySlow) => {
    const sampler = createSampler()
    const attempt = sampler.startAttempt(NEW, 0)
    attempt.recordFirstByte(firstByte)
    attempt.recordEnd(false, 1000)
    expect(newSample(sampler)).toMatchObject({
      requests: 1, failures: 0, firstTokens: 1, slowFirstTokens: slow, verySlowFirstTokens: verySlow
    })
  })

  it.each<[string, (attempt: AttemptSample) => void, Partial<RolloutSample> | undefined]>([
    ['not slow yet', (attempt) => { attempt.recordRunning(300) }, undefined],
    ['slow already', (attempt) => { attempt.recordRunning(301) }, { slowFirstTokens: 1, verySlowFirstTokens: 0 }],
    ['very slow already', (attempt) => { attempt.recordRunning(601) }, { slowFirstTokens: 1, verySlowFirstTokens: 1 }],
    ['slow first and then very slow', (attempt) => {
      for (const now of [301, 400, 601, 900]) attempt.recordRunning(now)
      attempt.recordFirstByte(1000)
    }, { slowFirstTokens: 1, verySlowFirstTokens: 1 }]
  ])('count a running attempt once, although it has not ended: %s', (_title, run, expected) => {
    const sampler = createSampler()
    run(sampler.startAttempt(NEW, 0))
    const sample = newSample(sampler)
    if (expected === undefined) expect(sample).toBeUndefined()
    else expect(sample).toMatchObject({ requests: 0, firstTokens: 1, ...expected })
  })

  it.each<[string, (attempt: AttemptSample) => void, Partial<RolloutSample>]>([
    ['as fast as the old version', (attempt) => {
      attempt.recordEvents(10, 200)
      attempt.recordEnd(false, 210)
    }, { betweenTokens: 1, slowTokens: 0, verySlowTokens: 0 }],
    ['slow', (attempt) => {
      attempt.recordEvents(10, 500)
      attempt.recordEnd(false, 500)
    }, { betweenTokens: 1, slowTokens: 1, verySlowTokens: 0 }],
    ['very slow, and not ended', (attempt) => {
      attempt.recordEvents(3, 400)
      attempt.recordRunning(400)
      attempt.recordRunning(500)
    }, { betweenTokens: 1, slowTokens: 1, verySlowTokens: 1 }],
    ['too few to tell', (attempt) => {
      attempt.recordEvents(2, 500)
      attempt.recordEnd(false, 500)
    }, { betweenTokens: 0 }],
    ['of a caller that reads slowly', (attempt) => {
      attempt.recordEvents(10, 500)
      attempt.ignorePace()
      attempt.recordRunning(5000)
      attempt.recordEnd(false, 5000)
    }, { betweenTokens: 0 }]
  ])('count the mean time between the events of a stream: %s', (_title, run, expected) => {
    const sampler = createSampler()
    const attempt = sampler.startAttempt(NEW, 0)
    attempt.recordFirstByte(100)
    attempt.recordEvents(1, 100)
    run(attempt)
    expect(newSample(sampler)).toMatchObject(expected)
  })

  it('count failures by version and are reset by each drain', () => {
    const sampler = createSampler()
    sampler.startAttempt(OLD, 0).recordEnd(true, 1000)
    sampler.startAttempt({ ...OLD, service: 'orders' }, 0).recordEnd(false, 1000)
    expect(sampler.drain('engines')).toEqual([
      expect.objectContaining({ version: OLD_VERSION, route: 'chat', requests: 1, failures: 1, firstTokens: 0 })
    ])
    expect(sampler.drain('engines')).toEqual([])
    expect(sampler.drain('orders')).toHaveLength(1)
  })

  it('do not exist without a rollout', () => {
    const sampler = createRolloutSampler(() => false)
    const attempt = sampler.startAttempt(OLD, 0)
    attempt.recordRunning(5000)
    attempt.recordFirstByte(6000)
    attempt.recordEnd(true, 1000)
    expect(sampler.drain('engines')).toEqual([])
  })
})
