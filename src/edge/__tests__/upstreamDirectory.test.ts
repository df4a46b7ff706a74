import { describe, expect, it } from 'vitest'
import {
  recordAttemptStart, recordAttemptEnd, recordReadPaused, recordReadResumed, createUpstreamDirectory, currentWait,
  suspectUpstream, recordLivenessResponse, recordActivity, isSilent, recordWeights, observeMinimumWait, observeWait,
  pauseAfterFailure, recordRejection, SILENCE_TIMEOUT_MS, takeDueLivenessChecks, type UpstreamDirectory,
  type UpstreamRejection
} from '../upstreamDirectory'
import { createEntry } from './fixtures'

function createDirectory (): UpstreamDirectory {
  const directory = createUpstreamDirectory()
  directory.replace([createEntry('a'), createEntry('b')], false, 0)
  return directory
}

function usable (directory: UpstreamDirectory, now: number): string[] {
  return directory.usable('engines', now).map(({ entry }) => entry.identifier)
}

describe('the list', () => {
  it.each([
    ['excludes a leaving upstream', (directory: UpstreamDirectory) => directory.update(createEntry('a', { leaving: true })), ['b']],
    ['excludes a removed upstream', (directory: UpstreamDirectory) => directory.remove('a', false, 0), ['b']],
    ['retains an upstream whose entry disappeared in an outage', (directory: UpstreamDirectory) => directory.remove('a', true, 0), ['a', 'b']],
    ['excludes an upstream that moved to another service', (directory: UpstreamDirectory) => directory.update(createEntry('a', { service: 'x' })), ['b']],
    ['includes a new upstream', (directory: UpstreamDirectory) => directory.update(createEntry('c')), ['a', 'b', 'c']]
  ])('%s', (_title, change, expected) => {
    const directory = createDirectory()
    change(directory)
    expect(usable(directory, 0)).toEqual(expected)
  })

  it('drops an entry that is still missing after an outage', () => {
    const directory = createDirectory()
    directory.replace([createEntry('b')], true, 0)
    expect(directory.expire(1499)).toEqual([])
    expect(directory.expire(1500).map(({ kind, upstream }) => [kind, upstream.entry.identifier])).toEqual([['lost', 'a']])
    expect(usable(directory, 1500)).toEqual(['b'])
  })

  it('retains an entry that returns within the grace period', () => {
    const directory = createDirectory()
    directory.remove('a', true, 0)
    directory.update(createEntry('a'))
    expect(directory.expire(5000)).toEqual([])
  })

  it('removes a leaving upstream at once even after an outage', () => {
    const directory = createDirectory()
    directory.update(createEntry('a', { leaving: true }))
    expect(directory.remove('a', true, 0).map(({ kind }) => kind)).toEqual(['lost'])
  })

  it('keeps no state for a new run under the same identifier', () => {
    const directory = createDirectory()
    const before = directory.get('a')!
    recordWeights(before, { model: 'small', version: 5 })
    pauseAfterFailure(before, 0)
    expect(directory.update(createEntry('a', { startedAt: 2 })).map(({ kind }) => kind)).toEqual(['restarted'])
    expect(directory.get('a')!.weights.get('small')).toBe(1)
    expect(usable(directory, 1)).toContain('a')
  })
})

describe('weights', () => {
  it.each([[2, 1, 2], [1, 2, 2]])('version %i followed by %i gives %i', (first, second, expected) => {
    const upstream = createDirectory().get('a')!
    recordWeights(upstream, { model: 'small', version: first })
    recordWeights(upstream, { model: 'small', version: second })
    expect(upstream.weights.get('small')).toBe(expected)
  })
})

describe('traffic', () => {
  it('pauses longer with each failure in a row, and counts failures at the same moment once', () => {
    const directory = createDirectory()
    const upstream = directory.get('a')!
    pauseAfterFailure(upstream, 0)
    pauseAfterFailure(upstream, 10)
    expect(usable(directory, 249)).toEqual(['b'])
    expect(usable(directory, 250)).toEqual(['a', 'b'])
    pauseAfterFailure(upstream, 250)
    expect(usable(directory, 749)).toEqual(['b'])
    expect(usable(directory, 750)).toEqual(['a', 'b'])
  })

  it('resets the failure count once the upstream responds', () => {
    const upstream = createDirectory().get('a')!
    pauseAfterFailure(upstream, 0)
    recordActivity(upstream, 300)
    pauseAfterFailure(upstream, 400)
    expect(upstream.pausedUntil).toBe(650)
  })

  it.each<[string, Partial<UpstreamRejection>, number, boolean, number | undefined]>([
    ['a full one', {}, 60, false, undefined],
    ['one with older weights', { targetVersion: () => 5 }, 1000, true, undefined],
    ['one that already has the newest weights', { targetVersion: () => 5, misdirected: true }, -Infinity, true, 5],
    ['another one at its address', { misdirected: true, answeredBy: 'b' }, 1000, false, undefined],
    ['another one, with older weights', { misdirected: true, answeredBy: 'b', targetVersion: () => 5 }, 1000, true, undefined]
  ])('a rejection pauses an upstream: %s', (_title, values, pausedUntil, isBehind, version) => {
    const upstream = createDirectory().get('a')!
    const rejection = { model: 'tiny', misdirected: false, answeredBy: undefined, targetVersion: () => undefined, ...values }
    expect(recordRejection(upstream, rejection, 0)).toBe(isBehind)
    expect(upstream.pausedUntil).toBe(pausedUntil)
    expect(upstream.weights.get('tiny')).toBe(version)
  })

  it('treats an upstream with requests in flight and no byte as silent, but not an idle one', () => {
    const upstream = createDirectory().get('a')!
    expect(isSilent(upstream, 10_000)).toBe(false)
    recordAttemptStart(upstream, 0, 10_000)
    expect(isSilent(upstream, 10_000 + SILENCE_TIMEOUT_MS)).toBe(false)
    expect(isSilent(upstream, 10_001 + SILENCE_TIMEOUT_MS)).toBe(true)
    recordActivity(upstream, 10_001 + SILENCE_TIMEOUT_MS)
    expect(isSilent(upstream, 10_002 + SILENCE_TIMEOUT_MS)).toBe(false)
    recordAttemptEnd(upstream)
    expect(isSilent(upstream, 99_000)).toBe(false)
  })

  it('expects no byte of responses that are paused for slow callers', () => {
    const upstream = createDirectory().get('a')!
    recordAttemptStart(upstream, 0, 0)
    recordReadPaused(upstream)
    expect(isSilent(upstream, 10_000)).toBe(false)
    recordAttemptStart(upstream, 0, 10_000)
    expect(isSilent(upstream, 10_001 + SILENCE_TIMEOUT_MS)).toBe(true)
    recordReadResumed(upstream, 12_000)
    expect(isSilent(upstream, 12_000 + SILENCE_TIMEOUT_MS)).toBe(false)
    expect(isSilent(upstream, 12_001 + SILENCE_TIMEOUT_MS)).toBe(true)
  })

  it.each<[string, number, number[]]>([
    ['that does not respond is silent after the timeout', 0, [400]],
    ['that responds is never silent, and is checked rarely', 20, [400, 1600, 2800, 4000]]
  ])('an engine under liveness checks %s', (_title, delay, expected) => {
    const directory = createDirectory()
    const upstream = directory.get('a')!
    const checkedAt: number[] = []
    let silentAt: number | undefined
    recordAttemptStart(upstream, 0, 0)
    for (let now = 0; now <= 4500 && silentAt === undefined; now += 100) {
      if (isSilent(upstream, now)) silentAt = now
      for (const target of takeDueLivenessChecks(directory.all(), now)) {
        checkedAt.push(now)
        if (delay > 0) recordLivenessResponse(target, now + delay)
      }
    }
    expect(checkedAt).toEqual(expected)
    expect(silentAt).toBe(delay > 0 ? undefined : SILENCE_TIMEOUT_MS + 100)
  })

  it('runs no liveness checks on a plain service', () => {
    const directory = createUpstreamDirectory()
    directory.replace([createEntry('plain', { weights: [] })], false, 0)
    recordAttemptStart(directory.get('plain')!, 0, 0)
    expect(takeDueLivenessChecks(directory.all(), 5000)).toEqual([])
  })

  it.each([
    ['longer than expected raises the expected wait', 2000, 0, true],
    ['shorter than expected has no effect', 100, 1000, false]
  ])('a wait without a response that is %s', (_title, waited, observed, raises) => {
    const upstream = createDirectory().get('a')!
    if (observed > 0) observeWait(upstream, 1, observed, 0)
    const before = currentWait(upstream, 1, 0)
    observeMinimumWait(upstream, 1, waited, 0)
    expect(currentWait(upstream, 1, 0) > before).toBe(raises)
    expect(currentWait(upstream, 1, 0)).toBeGreaterThanOrEqual(before)
  })

  it.each([
    ['applies for a while', -Infinity, 499, true],
    ['expires', -Infinity, 500, false],
    ['is ignored for an upstream that was active just now', -150, 0, false],
    ['is cleared by a byte from the upstream', 300, 400, false]
  ])('a suspicion raised by another instance %s', (_title, lastActivityAt, checkedAt, isSuspected) => {
    const upstream = createDirectory().get('a')!
    if (lastActivityAt <= 0) recordActivity(upstream, lastActivityAt)
    suspectUpstream(upstream, 0, 0)
    if (lastActivityAt > 0) recordActivity(upstream, lastActivityAt)
    expect(checkedAt < upstream.suspectedUntil).toBe(isSuspected)
  })

  it.each([[0, 500], [0.5, 2000]])('lasts for a time that each instance draws: %d', (draw, until) => {
    const upstream = createDirectory().get('a')!
    suspectUpstream(upstream, draw, 0)
    expect(upstream.suspectedUntil).toBe(until)
  })

  it('an observed wait decays', () => {
    const upstream = createDirectory().get('a')!
    observeWait(upstream, 1, 1000, 0)
    expect(currentWait(upstream, 1, 0)).toBeCloseTo(300)
    expect(currentWait(upstream, 1, 6000)).toBeLessThan(10)
  })
})
