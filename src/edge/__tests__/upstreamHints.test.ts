import { describe, expect, it } from 'vitest'
import type { PeerValue } from '../peerLinks'
import { createRequestLimits } from '../requestLimits'
import { RequestLimitKind, type UpstreamEntry } from '../types'
import {
  recordAttemptStart, availableAt, createUpstreamDirectory, isLeaving, takeDueLivenessChecks, type UpstreamDirectory
} from '../upstreamDirectory'
import { createUpstreamHints, type UpstreamHints } from '../upstreamHints'
import { createWeightsRollout } from '../weightsRollout'
import { createEntry } from './fixtures'

const NO_LIMIT = { kind: RequestLimitKind.none }
const LEAVING_HINT = { leaving: true, backOffFor: undefined, requestLimit: NO_LIMIT }

interface Instance { directory: UpstreamDirectory, hints: UpstreamHints, sent: PeerValue[] }

function createInstance (): Instance {
  const directory = createUpstreamDirectory()
  directory.replace([createEntry('a'), createEntry('b')], false, 0)
  const sent: PeerValue[] = []
  const hints = createUpstreamHints({
    broadcast: (content) => { sent.push(content) },
    directory,
    requestLimits: createRequestLimits({ broadcast: () => {}, log: () => {} }),
    coldLimits: { applyHint () {} },
    log: () => {}
  })
  return { directory, hints, sent }
}

function usable (directory: UpstreamDirectory, now: number): string[] {
  return directory.usable('engines', now).map(({ entry }) => entry.identifier)
}

describe('an upstream that announces that it is leaving', () => {
  it.each<[string, Partial<UpstreamEntry>, string[]]>([
    ['gets no requests although its entry is ready', {}, ['b']],
    ['gets no requests after its entry is marked as leaving and then as ready', { leaving: true }, ['b']],
    ['is used again as a new run under the same identifier and address', { startedAt: 2 }, ['b', 'a']]
  ])('%s', (_title, values, expected) => {
    const { directory, hints } = createInstance()
    hints.apply(directory.get('a')!, LEAVING_HINT, 0)
    directory.update(createEntry('a', values))
    directory.update(createEntry('a', { ...values, leaving: false }))
    expect(new Set(usable(directory, 1))).toEqual(new Set(expected))
  })

  it.each([
    ['its entry disappears and returns', false],
    ['its entry disappears and returns in an outage of the store', true]
  ])('stays leaving when %s', (_title, afterOutage) => {
    const { directory, hints } = createInstance()
    hints.apply(directory.get('a')!, LEAVING_HINT, 0)
    directory.remove('a', afterOutage, 1)
    directory.replace([createEntry('b')], afterOutage, 1)
    directory.update(createEntry('a'))
    expect(usable(directory, 2)).toEqual(['b'])
    directory.update(createEntry('a', { startedAt: 2 }))
    expect(new Set(usable(directory, 2))).toEqual(new Set(['a', 'b']))
  })

  it('is reported to all other instances once, and they apply it', () => {
    const [one, other] = [createInstance(), createInstance()]
    for (let now = 0; now < 3; now += 1) one.hints.apply(one.directory.get('a')!, LEAVING_HINT, now)
    expect(one.sent).toEqual([{ upstream: 'a', startedAt: 1 }])
    other.hints.receive(one.sent[0]!)
    expect(usable(other.directory, 3)).toEqual(['b'])
    other.hints.apply(other.directory.get('a')!, LEAVING_HINT, 3)
    expect(other.sent).toEqual([])
  })

  it('is not reported when its entry is already marked as leaving', () => {
    const { directory, hints, sent } = createInstance()
    directory.update(createEntry('a', { leaving: true }))
    hints.apply(directory.get('a')!, LEAVING_HINT, 0)
    expect(sent).toEqual([])
  })

  it.each<[string, PeerValue, string[]]>([
    ['about an earlier run', { upstream: 'a', startedAt: 0 }, ['a', 'b']],
    ['about an upstream that is not listed yet', { upstream: 'c', startedAt: 1 }, ['a', 'b']],
    ['that is malformed', { upstream: 7 }, ['a', 'b']]
  ])('ignores a notification %s for listed upstreams', (_title, content, expected) => {
    const { directory, hints } = createInstance()
    hints.receive(content)
    directory.update(createEntry('c', { service: 'others' }))
    expect(usable(directory, 0)).toEqual(expected)
    expect(isLeaving(directory.get('c')!)).toBe(content.upstream === 'c')
  })

  it('gets no command to load weights', () => {
    const { directory, hints } = createInstance()
    const rollout = createWeightsRollout()
    rollout.setTarget({ model: 'small', version: 2 }, undefined)
    hints.apply(directory.get('a')!, LEAVING_HINT, 0)
    expect(rollout.nextSteps(directory.all(), 1).map(({ upstream }) => upstream.entry.identifier)).toEqual(['b'])
  })
})

describe('an upstream that requests a back-off', () => {
  it.each([
    ['of zero', [0], 0],
    ['of a fifth of a second', [200], 200],
    ['of half a minute', [30_000], 30_000],
    ['of an unreasonably long time', [1e15], 300_000],
    ['of a long time and then a short one', [5000, 100], 5000],
    ['of a short time and then a long one', [100, 5000], 5000]
  ])('%s', (_title, times, expected) => {
    const { directory, hints } = createInstance()
    const upstream = directory.get('a')!
    for (const backOffFor of times) hints.apply(upstream, { leaving: false, backOffFor, requestLimit: NO_LIMIT }, 0)
    expect(Math.max(0, availableAt(upstream))).toBe(expected)
    if (expected > 0) expect(usable(directory, expected - 1)).toEqual(['b'])
    expect(usable(directory, expected)).toEqual(['a', 'b'])
  })

  it('is used again at once after a restart', () => {
    const { directory, hints } = createInstance()
    hints.apply(directory.get('a')!, { leaving: false, backOffFor: 30_000, requestLimit: NO_LIMIT }, 0)
    directory.update(createEntry('a', { startedAt: 2 }))
    expect(new Set(usable(directory, 1))).toEqual(new Set(['a', 'b']))
  })

  it('is backed off by this instance only, and gets no liveness check or command meanwhile', () => {
    const { directory, hints, sent } = createInstance()
    const rollout = createWeightsRollout()
    rollout.setTarget({ model: 'small', version: 2 }, undefined)
    hints.apply(directory.get('a')!, { leaving: false, backOffFor: 2000, requestLimit: NO_LIMIT }, 0)
    expect(sent).toEqual([])
    const commandTargets = (now: number): string[] => (
      rollout.nextSteps(directory.all(), now).map(({ upstream }) => upstream.entry.identifier)
    )
    expect(commandTargets(1999)).not.toContain('a')
    // Liveness checks are suspended as well.
    recordAttemptStart(directory.get('a')!, 0, 0)
    expect(takeDueLivenessChecks(directory.all(), 1999)).toEqual([])
    expect(takeDueLivenessChecks(directory.all(), 2000)).toEqual([directory.get('a')])
    expect(commandTargets(2000)).toContain('a')
  })
})
