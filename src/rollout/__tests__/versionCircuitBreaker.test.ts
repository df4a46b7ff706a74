import { describe, expect, it } from 'vitest'
import { OPEN_DURATION_MS, createVersionCircuitBreaker, type VersionCircuitBreaker } from '../versionCircuitBreaker'

/** Records outcomes (`f` for failure, `s` for success) and returns how many of them it took to open the circuit. */
function recordAll (breaker: VersionCircuitBreaker, outcomes: string, now = 0): number | undefined {
  for (const [index, outcome] of [...outcomes].entries()) {
    if (breaker.record('chat', 'v2', 'short', outcome === 'f', now)) return index + 1
  }
  return undefined
}

describe('version circuit breaker', () => {
  // A failure adds 2.303 and a success -0.642 to the evidence; the circuit opens at 9.209 (see the sequential test).
  it.each<[string, string, number | undefined]>([
    ['opening on the few failures of an engine crash', 'fff', undefined],
    ['a version that fails every request and still receives traffic', 'ffff', 4],
    ['opening for a version with the failure rate of engine crashes', `f${'s'.repeat(19)}`.repeat(100), undefined],
    ['opening late because the version was good before', `${'s'.repeat(110)}ffff`, 114],
    ['a version that fails half of its requests and still receives traffic', 'fs'.repeat(20), 11]
  ])('guards against %s', (_, outcomes, expected) => {
    expect(recordAll(createVersionCircuitBreaker(), outcomes)).toBe(expected)
  })

  it.each<[string, string, string, string, number, boolean, boolean]>([
    ['requests that still go to the failing version', 'chat', 'v2', 'short', 0, true, true],
    ['a circuit that closes early', 'chat', 'v2', 'short', OPEN_DURATION_MS - 1, true, true],
    ['a circuit that stays open after a burst of failures with another cause', 'chat', 'v2', 'short', OPEN_DURATION_MS, false, false],
    ['another route that still sends to the version, or is reported as failing', 'chat', 'v2', 'long', 0, true, false],
    ['opening for the old version', 'chat', 'v1', 'short', 0, false, false],
    ['opening for another model', 'code', 'v2', 'short', 0, false, false]
  ])('guards against %s', (_, model, version, route, time, open, openForRoute) => {
    const breaker = createVersionCircuitBreaker()
    recordAll(breaker, 'ffff')
    expect(breaker.isOpen(model, version, time)).toBe(open)
    expect(breaker.isOpenForRoute(model, version, route, time)).toBe(openForRoute)
  })

  it.each([
    ['a second report of a circuit that is already open', 'f', 0, undefined],
    ['a version that fails again after the circuit has closed and still receives traffic', 'ffff', OPEN_DURATION_MS, 4],
    ['a single failure that reopens the circuit after it has closed', 'f', OPEN_DURATION_MS, undefined]
  ])('guards against %s', (_, outcomes, time, expected) => {
    const breaker = createVersionCircuitBreaker()
    recordAll(breaker, 'ffff')
    expect(recordAll(breaker, outcomes, time)).toBe(expected)
  })

  it('guards against an open circuit that outlives its rollout and blocks the next one to the same version', () => {
    const breaker = createVersionCircuitBreaker()
    recordAll(breaker, 'ffff')
    breaker.reset('chat')
    expect(breaker.isOpen('chat', 'v2', 0)).toBe(false)
    expect(recordAll(breaker, 'fff')).toBeUndefined()
  })
})
