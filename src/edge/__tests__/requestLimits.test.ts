import { describe, expect, it } from 'vitest'
import type { EdgeEvent } from '../events'
import type { PeerValue } from '../peerLinks'
import { createRequestLimits, type RequestLimits } from '../requestLimits'
import { RequestLimitKind } from '../types'

const RUN = { identifier: 'a', startedAt: 1 }
const NAMED = { kind: RequestLimitKind.named, perSecond: 3 }
const ANNOUNCEMENT = { upstream: 'a', startedAt: 1, perSecond: 3 }

interface Instance { limits: RequestLimits, sent: PeerValue[], events: EdgeEvent[] }

function createInstance (): Instance {
  const sent: PeerValue[] = []
  const events: EdgeEvent[] = []
  const limits = createRequestLimits({
    broadcast: (content) => { sent.push(content) }, log: (event) => { events.push(event) }
  })
  return { limits, sent, events }
}

describe('a request limit', () => {
  it('applies to the run that named it, and not to a later run at the same address', () => {
    const { limits } = createInstance()
    limits.applyHint(RUN, NAMED, 0)
    expect([limits.limitOf(RUN), limits.limitOf({ ...RUN, startedAt: 2 })]).toEqual([3, undefined])
  })

  it.each<[string, number[], PeerValue[]]>([
    ['at once', [0], [ANNOUNCEMENT]],
    ['once while it is named again', [0, 100, 1900], [ANNOUNCEMENT]],
    ['again later, for instances that missed it', [0, 100, 2000], [ANNOUNCEMENT, ANNOUNCEMENT]]
  ])('is announced to the other instances %s', (_title, times, expected) => {
    const { limits, sent } = createInstance()
    for (const now of times) limits.applyHint(RUN, NAMED, now)
    expect(sent).toEqual(expected)
  })

  it('is not announced again by an instance that has just been told, unless it has changed', () => {
    const { limits, sent } = createInstance()
    limits.receive(ANNOUNCEMENT, 0)
    limits.applyHint(RUN, NAMED, 1)
    expect(sent).toEqual([])
    limits.applyHint(RUN, { ...NAMED, perSecond: 5 }, 2)
    expect(sent).toEqual([{ ...ANNOUNCEMENT, perSecond: 5 }])
  })

  it.each<[string, number, number | undefined]>([
    ['that was sent before the limit was known is no end', 9, 3],
    ['that was sent in the same moment is no end', 10, 3],
    ['that was sent later ends it', 11, undefined]
  ])('an answer without a limit to a request %s', (_title, sentAt, expected) => {
    const { limits, sent } = createInstance()
    limits.applyHint(RUN, NAMED, 10)
    limits.applyAbsence(RUN, sentAt)
    expect(limits.limitOf(RUN)).toBe(expected)
    expect(sent.slice(1)).toEqual(expected === undefined ? [{ upstream: 'a', startedAt: 1, ended: true }] : [])
  })

  it('ends at instances that are told so', () => {
    const { limits, events } = createInstance()
    limits.receive(ANNOUNCEMENT, 0)
    limits.receive({ upstream: 'a', startedAt: 1, ended: true }, 1)
    limits.receive({ upstream: 'a', startedAt: 1, ended: true }, 2)
    expect(limits.limitOf(RUN)).toBeUndefined()
    expect(events).toEqual(['upstream.limited', 'upstream.limit_ended'])
  })

  it.each<[string, PeerValue]>([
    ['no upstream', { startedAt: 1, perSecond: 3 }],
    ['no run', { upstream: 'a', perSecond: 3 }],
    ['a text as limit', { upstream: 'a', startedAt: 1, perSecond: '3' }],
    ['a negative limit', { upstream: 'a', startedAt: 1, perSecond: -3 }],
    ['no limit', { upstream: 'a', startedAt: 1, perSecond: NaN }]
  ])('ignores an announcement with %s', (_title, content) => {
    const { limits } = createInstance()
    limits.receive(content, 0)
    expect(limits.limitOf(RUN)).toBeUndefined()
  })

  it('that cannot be parsed changes nothing, and is logged once in a while', () => {
    const { limits, sent, events } = createInstance()
    limits.applyHint(RUN, NAMED, 0)
    for (const now of [1, 2, 6000]) limits.applyHint(RUN, { kind: RequestLimitKind.invalid, text: 'few' }, now)
    expect(limits.limitOf(RUN)).toBe(3)
    expect(sent).toHaveLength(1)
    expect(events).toEqual(['upstream.limited', 'upstream.limit_unreadable', 'upstream.limit_unreadable'])
  })

  it('is forgotten for the runs heard of longest ago when too many have one', () => {
    const { limits } = createInstance()
    const nameLimit = (index: number): void => { limits.applyHint({ identifier: `run-${index}`, startedAt: 1 }, NAMED, index) }
    for (let index = 0; index < 1000; index += 1) nameLimit(index)
    nameLimit(0)
    nameLimit(1000)
    expect(limits.limitOf({ identifier: 'run-0', startedAt: 1 })).toBe(3)
    expect(limits.limitOf({ identifier: 'run-1', startedAt: 1 })).toBeUndefined()
    expect(limits.limitOf({ identifier: 'run-1000', startedAt: 1 })).toBe(3)
  })
})
