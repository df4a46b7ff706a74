import { describe, expect, it } from 'vitest'
import { simulateRollout, type FaultModel } from '../../../experiments/rollout/simulation'

/** Maximum fraction of all requests that a faulty version may harm. */
const HARM_BOUND = 0.02
const GOOD_SEEDS = 200
const SECONDS = 300
const BAD_SEEDS = 5

const badVersions: ReadonlyArray<[string, string, FaultModel]> = [
  ['fails at once', 'failures', () => ({ failureRate: 0.3 })],
  ['sends its first token late', 'slow_first_token', () => ({ firstTokenFactor: 3 })],
  ['sends tokens slowly', 'slow_tokens', () => ({ betweenTokensFactor: 2 })],
  ['fails after a minute', 'failures', ({ age }) => age > 60 ? { failureRate: 0.5 } : undefined],
  ['sends its first token late after a minute', 'slow_first_token', ({ age }) => age > 60 ? { firstTokenFactor: 4 } : undefined],
  ['sends tokens slowly after a minute', 'slow_tokens', ({ age }) => age > 60 ? { betweenTokensFactor: 2 } : undefined],
  ['fails under the load of the peak', 'failures', ({ load }) => load > 1.5 ? { failureRate: 0.8 } : undefined],
  ['fails under its own load', 'failures', ({ ownRate }) => ownRate > 30 ? { failureRate: 0.3 } : undefined],
  ['slows down under its own load', 'slow_first_token', ({ ownRate }) => ownRate > 30 ? { firstTokenFactor: 3 } : undefined],
  ['fails on one route', 'failures', ({ route }) => route === 'assistant' ? { failureRate: 0.4 } : undefined],
  ['slows down on one route', 'slow_first_token', ({ route }) => route === 'assistant' ? { firstTokenFactor: 3 } : undefined]
]

describe('canary analysis', () => {
  it.each(badVersions)('rolls back a version that %s before it harms many requests', async (_, reason, fault) => {
    for (let seed = 1; seed <= BAD_SEEDS; seed++) {
      const { harmed, requests, record } = await simulateRollout({ seed, seconds: SECONDS, rate: 100, fault })
      expect(record).toMatchObject({ phase: 'rolled_back', share: 0, reason })
      expect(harmed / requests).toBeLessThan(HARM_BOUND)
    }
  }, 60_000)

  // Guards against faults too mild to require detection, with which the test above would prove nothing.
  it.each(badVersions)('without detection, a version that %s harms more requests than the limit', async (_, __, fault) => {
    let worst = 0
    for (let seed = 1; seed <= BAD_SEEDS; seed++) {
      const { harmed, requests, record } = await simulateRollout(
        { seed, seconds: SECONDS, rate: 100, fault, detection: false }
      )
      expect(record?.phase).not.toBe('rolled_back')
      worst = Math.max(worst, harmed / requests)
    }
    expect(worst).toBeGreaterThan(HARM_BOUND)
  }, 60_000)

  it(`rolls back no good version in ${GOOD_SEEDS} seeds with traffic peaks and engine crashes, and finishes by the deadline`, async () => {
    for (let seed = 1; seed <= GOOD_SEEDS; seed++) {
      const { record } = await simulateRollout({ seed, seconds: 170, rate: 60, finishBySeconds: 150 })
      expect({ seed, phase: record?.phase, missed: record?.deadlineMissed }).toEqual({ seed, phase: 'finished', missed: false })
    }
  }, 120_000)
})
