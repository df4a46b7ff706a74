import { describe, expect, it } from 'vitest'
import type { PeerValue } from '../peerLinks'
import type { UpstreamEntry } from '../types'
import {
  attemptBegan, availableAt, createUpstreamDirectory, isLeaving, takeSilentEngines, type UpstreamDirectory
} from '../upstreamDirectory'
import { createUpstreamWords, type UpstreamWords } from '../upstreamWords'
import { createWeightsMove } from '../weightsMove'
import { createEntry } from './fixtures'

const LEAVES = { leaving: true, restFor: undefined }

interface Instance { directory: UpstreamDirectory, words: UpstreamWords, sent: PeerValue[] }

function createInstance (): Instance {
  const directory = createUpstreamDirectory()
  directory.replace([createEntry('a'), createEntry('b')], false, 0)
  const sent: PeerValue[] = []
  const words = createUpstreamWords({ send: (content) => { sent.push(content) }, directory, log: () => {} })
  return { directory, words, sent }
}

function usable (directory: UpstreamDirectory, now: number): string[] {
  return directory.usable('engines', now).map(({ entry }) => entry.identifier)
}

describe('an upstream that says that it leaves', () => {
  it.each<[string, Partial<UpstreamEntry>, string[]]>([
    ['gets nothing although its entry says that it is ready', {}, ['b']],
    ['nor after its entry says that it leaves and then that it is ready', { leaving: true }, ['b']],
    ['is used again as a new run under the same identifier and address', { startedAt: 2 }, ['b', 'a']]
  ])('%s', (_title, values, expected) => {
    const { directory, words } = createInstance()
    words.note(directory.get('a')!, LEAVES, 0)
    directory.update(createEntry('a', values))
    directory.update(createEntry('a', { ...values, leaving: false }))
    expect(new Set(usable(directory, 1))).toEqual(new Set(expected))
  })

  it.each([
    ['its entry vanishes and comes again', false],
    ['the same in an outage of the store', true]
  ])('stays so when %s', (_title, afterOutage) => {
    const { directory, words } = createInstance()
    words.note(directory.get('a')!, LEAVES, 0)
    directory.remove('a', afterOutage, 1)
    directory.replace([createEntry('b')], afterOutage, 1)
    directory.update(createEntry('a'))
    expect(usable(directory, 2)).toEqual(['b'])
    directory.update(createEntry('a', { startedAt: 2 }))
    expect(new Set(usable(directory, 2))).toEqual(new Set(['a', 'b']))
  })

  it('is told to all others once, and they go by it', () => {
    const [one, other] = [createInstance(), createInstance()]
    for (let now = 0; now < 3; now += 1) one.words.note(one.directory.get('a')!, LEAVES, now)
    expect(one.sent).toEqual([{ upstream: 'a', startedAt: 1 }])
    other.words.take(one.sent[0]!)
    expect(usable(other.directory, 3)).toEqual(['b'])
    other.words.note(other.directory.get('a')!, LEAVES, 3)
    expect(other.sent).toEqual([])
  })

  it('is not told when its entry says so already', () => {
    const { directory, words, sent } = createInstance()
    directory.update(createEntry('a', { leaving: true }))
    words.note(directory.get('a')!, LEAVES, 0)
    expect(sent).toEqual([])
  })

  it.each<[string, PeerValue, string[]]>([
    ['of an earlier run', { upstream: 'a', startedAt: 0 }, ['a', 'b']],
    ['of an upstream that is not listed yet', { upstream: 'c', startedAt: 1 }, ['a', 'b']],
    ['that cannot be read', { upstream: 7 }, ['a', 'b']]
  ])('news %s change nothing for those that are listed', (_title, content, expected) => {
    const { directory, words } = createInstance()
    words.take(content)
    directory.update(createEntry('c', { service: 'others' }))
    expect(usable(directory, 0)).toEqual(expected)
    expect(isLeaving(directory.get('c')!)).toBe(content.upstream === 'c')
  })

  it('gets no order to load weights', () => {
    const { directory, words } = createInstance()
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 }, undefined)
    words.note(directory.get('a')!, LEAVES, 0)
    expect(move.nextSteps(directory.all(), 1).map(({ upstream }) => upstream.entry.identifier)).toEqual(['b'])
  })
})

describe('an upstream that wants no requests for a while', () => {
  it.each([
    ['no time', [0], 0],
    ['a fifth of a second', [200], 200],
    ['half a minute', [30_000], 30_000],
    ['a time beyond all reason', [1e15], 300_000],
    ['a long time and then a short one', [5000, 100], 5000],
    ['a short time and then a long one', [100, 5000], 5000]
  ])('%s', (_title, times, expected) => {
    const { directory, words } = createInstance()
    const upstream = directory.get('a')!
    for (const restFor of times) words.note(upstream, { leaving: false, restFor }, 0)
    expect(Math.max(0, availableAt(upstream))).toBe(expected)
    if (expected > 0) expect(usable(directory, expected - 1)).toEqual(['b'])
    expect(usable(directory, expected)).toEqual(['a', 'b'])
  })

  it('is asked again at once after a new start', () => {
    const { directory, words } = createInstance()
    words.note(directory.get('a')!, { leaving: false, restFor: 30_000 }, 0)
    directory.update(createEntry('a', { startedAt: 2 }))
    expect(new Set(usable(directory, 1))).toEqual(new Set(['a', 'b']))
  })

  it('binds this instance only, and gets no report or order meanwhile', () => {
    const { directory, words, sent } = createInstance()
    const move = createWeightsMove()
    move.want({ model: 'small', version: 2 }, undefined)
    words.note(directory.get('a')!, { leaving: false, restFor: 2000 }, 0)
    expect(sent).toEqual([])
    const asked = (now: number): string[] => (
      move.nextSteps(directory.all(), now).map(({ upstream }) => upstream.entry.identifier)
    )
    expect(asked(1999)).not.toContain('a')
    // Nor is it asked for a sign of life.
    attemptBegan(directory.get('a')!, 0, 0)
    expect(takeSilentEngines(directory.all(), 1999)).toEqual([])
    expect(takeSilentEngines(directory.all(), 2000)).toEqual([directory.get('a')])
    expect(asked(2000)).toContain('a')
  })
})
