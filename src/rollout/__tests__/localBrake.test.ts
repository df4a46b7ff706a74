import { describe, expect, it } from 'vitest'
import { BRAKE_DURATION_MS, createLocalBrake, type LocalBrake } from '../localBrake'

/** Records outcomes, `f` for a failure and `s` for a success, and returns how many it took to set the brake. */
function recordAll (brake: LocalBrake, outcomes: string, now = 0): number | undefined {
  for (const [index, outcome] of [...outcomes].entries()) {
    if (brake.record('chat', 'v2', 'short', outcome === 'f', now)) return index + 1
  }
  return undefined
}

describe('local brake', () => {
  // A failure adds 2.303 and a success -0.642 to the evidence; the brake is set at 9.209 (see the sequential test).
  it.each<[string, string, number | undefined]>([
    ['a brake on a few failures of an engine crash', 'fff', undefined],
    ['a version that fails every request and goes on', 'ffff', 4],
    ['a brake on a version with the failure rate of engine crashes', `f${'s'.repeat(19)}`.repeat(100), undefined],
    ['a brake that waits long because the version was good before', `${'s'.repeat(110)}ffff`, 114],
    ['a version that fails half of its requests and goes on', 'fs'.repeat(20), 11]
  ])('guards against %s', (_, outcomes, expected) => {
    expect(recordAll(createLocalBrake(), outcomes)).toBe(expected)
  })

  it.each<[string, string, string, string, number, boolean, boolean]>([
    ['requests that still go to the failing version', 'chat', 'v2', 'short', 0, true, true],
    ['a brake that ends early', 'chat', 'v2', 'short', BRAKE_DURATION_MS - 1, true, true],
    ['a brake that stays after a burst of another cause', 'chat', 'v2', 'short', BRAKE_DURATION_MS, false, false],
    ['another route of the version that goes on, or is blamed', 'chat', 'v2', 'long', 0, true, false],
    ['a brake on the old version', 'chat', 'v1', 'short', 0, false, false],
    ['a brake on another model', 'code', 'v2', 'short', 0, false, false]
  ])('guards against %s', (_, model, version, route, time, braked, routeBraked) => {
    const brake = createLocalBrake()
    recordAll(brake, 'ffff')
    expect(brake.isBraked(model, version, time)).toBe(braked)
    expect(brake.isRouteBraked(model, version, route, time)).toBe(routeBraked)
  })

  it.each([
    ['a second report of the brake that is already set', 'f', 0, undefined],
    ['a version that fails again after the brake ended and goes on', 'ffff', BRAKE_DURATION_MS, 4],
    ['a single failure that sets the brake again after it ended', 'f', BRAKE_DURATION_MS, undefined]
  ])('guards against %s', (_, outcomes, time, expected) => {
    const brake = createLocalBrake()
    recordAll(brake, 'ffff')
    expect(recordAll(brake, outcomes, time)).toBe(expected)
  })

  it('guards against a brake that outlives its rollout and stops the next one to the same version', () => {
    const brake = createLocalBrake()
    recordAll(brake, 'ffff')
    brake.forget('chat')
    expect(brake.isBraked('chat', 'v2', 0)).toBe(false)
    expect(recordAll(brake, 'fff')).toBeUndefined()
  })
})
