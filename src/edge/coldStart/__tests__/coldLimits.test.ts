import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { EdgeEvent } from '../../events'
import type { PeerValue } from '../../peerLinks'
import { UNKNOWN_START, type Instant, type ServiceTraits, type UpstreamEntry } from '../../types'
import { createColdLimits, type ColdLimits } from '../coldLimits'

const SERVICES: ServiceTraits[] = [{ name: 'engines', coldStart: 10_000, coldRate: 24 }]
/** Wall clock at the monotonic time 0. */
const EPOCH = 1_700_000_000_000
/** Start of a run that is warm since long. */
const LONG_AGO = EPOCH - 3_600_000

const at = (steady: number): Instant => ({ steady, wall: EPOCH + steady })

interface Fixture { limits: ColdLimits, sent: PeerValue[], logged: Array<Record<string, unknown>> }

function create (services: readonly ServiceTraits[] = SERVICES): Fixture {
  const sent: PeerValue[] = []
  const logged: Array<Record<string, unknown>> = []
  const limits = createColdLimits({
    broadcast: (content) => { sent.push(content) },
    log: (event, fields) => { logged.push({ event, ...fields }) }
  })
  limits.configure(services)
  return { limits, sent, logged }
}

/** An entry, and when it was received. */
type Observation = [steady: number, values: Partial<UpstreamEntry>]

/** Returns the first of the times at which the run that was observed last is not cold. */
function coldEnd (limits: ColdLimits, entry: UpstreamEntry): number {
  let now = 0
  while (limits.limitOf(entry, now) !== undefined && now < 100_000) now += 100
  return now
}

describe('an upstream of a service with a slow start', () => {
  // Guards against bursts of requests to upstreams that have started without an entry or an answer that says so.
  it.each<[string, Observation[], number]>([
    ['is cold for the whole time if it is seen at its start', [[0, { startedAt: EPOCH }]], 10_000],
    ['is cold from its start, not from its first entry', [[4000, { startedAt: EPOCH }]], 10_000],
    ['is warm if it started long ago', [[0, { startedAt: LONG_AGO }]], 0],
    ['is cold since it is seen if its start is not stated', [[3000, { startedAt: UNKNOWN_START }]], 13_000],
    ['is cold since it is seen if its start lies in the future', [[0, { startedAt: EPOCH + 60_000 }]], 10_000],
    ['does not start again with a later entry', [
      [0, { startedAt: UNKNOWN_START }], [9000, { startedAt: UNKNOWN_START }]
    ], 10_000],
    ['is cold as long as its entry states', [[0, { startedAt: LONG_AGO, coldFor: 3000 }]], 3000],
    ['is cold for the longer of both times', [[0, { startedAt: EPOCH, coldFor: 12_000 }]], 12_000],
    ['is not warm earlier because an entry states 0', [
      [0, { startedAt: EPOCH, coldFor: 8000 }], [1000, { startedAt: EPOCH, coldFor: 0 }]
    ], 10_000],
    ['keeps the later end of two entries', [
      [0, { startedAt: LONG_AGO, coldFor: 5000 }], [1200, { startedAt: LONG_AGO, coldFor: 3000 }]
    ], 5000],
    ['becomes cold again', [[0, { startedAt: LONG_AGO }], [2000, { startedAt: LONG_AGO, coldFor: 4000 }]], 6000],
    ['is cold as a new run', [[0, { startedAt: LONG_AGO }], [2000, { startedAt: EPOCH + 1000 }]], 11_000]
  ])('%s', (_title, observations, expected) => {
    const { limits } = create()
    let entry = createEntry('a')
    for (const [steady, values] of observations) {
      entry = createEntry('a', values)
      limits.observeEntry(entry, at(steady))
    }
    expect(coldEnd(limits, entry)).toBe(expected)
  })

  it.each<[string, readonly ServiceTraits[], number | undefined]>([
    ['a rate', SERVICES, 24],
    ['no services', [], undefined],
    ['no rate', [{ name: 'engines', coldStart: 10_000, coldRate: 0 }], undefined],
    ['another service only', [{ name: 'orders', coldStart: 10_000, coldRate: 24 }], undefined],
    ['a rate without a duration, and an entry that states that it is cold', [{ name: 'engines', coldStart: 0, coldRate: 5 }], 5]
  ])('takes the configured rate: %s', (_title, services, expected) => {
    const { limits } = create(services)
    const entry = createEntry('a', { startedAt: EPOCH, coldFor: 2000 })
    limits.observeEntry(entry, at(0))
    expect(limits.limitOf(entry, 0)).toBe(expected)
  })

  it('is limited by entries that were read before the configuration', () => {
    const { limits } = create([])
    const entry = createEntry('a', { startedAt: EPOCH })
    limits.observeEntry(entry, at(0))
    limits.configure(SERVICES)
    expect(limits.limitOf(entry, 5000)).toBe(24)
  })

  it('without a stated start is cold again after it was not listed', () => {
    const { limits } = create()
    const entry = createEntry('a', { startedAt: UNKNOWN_START })
    limits.observeEntry(entry, at(0))
    limits.forget(entry)
    limits.observeEntry(entry, at(20_000))
    expect(limits.limitOf(entry, 29_000)).toBe(24)
  })

  it('counts as cold for 3 s after a lost connection, because it may have restarted', () => {
    const { limits, logged } = create()
    const entry = createEntry('a', { startedAt: LONG_AGO })
    limits.observeEntry(entry, at(0))
    limits.recordLoss(entry, 1000)
    expect([999, 3999, 4000].map((now) => limits.limitOf(entry, now))).toEqual([24, 24, undefined])
    expect(logged).toEqual([expect.objectContaining({ event: EdgeEvent.upstreamCold, source: 'lost_connection' })])
  })
})

describe('an answer that states that its upstream is cold', () => {
  const entry = createEntry('a', { startedAt: LONG_AGO })

  it('limits it at the instance that got it and at all others', () => {
    const [first, second] = [create(), create()]
    for (const { limits } of [first, second]) limits.observeEntry(entry, at(0))
    first.limits.applyHint(entry, 5000, 1000)
    for (const content of first.sent) second.limits.receive(content, 1010)
    expect(first.limits.limitOf(entry, 5999)).toBe(24)
    expect(second.limits.limitOf(entry, 6009)).toBe(24)
    expect(second.limits.limitOf(entry, 6010)).toBeUndefined()
  })

  it('is told once while the end stays the same', () => {
    const { limits, sent, logged } = create()
    for (let now = 0; now < 3000; now += 100) limits.applyHint(entry, 5000 - now, now)
    expect(sent).toHaveLength(1)
    expect(logged).toHaveLength(1)
  })

  it.each<[string, PeerValue]>([
    ['a notification of a request limit', { upstream: 'a', startedAt: LONG_AGO, perSecond: 3 }],
    ['one without a service', { upstream: 'a', startedAt: LONG_AGO, coldFor: 100 }],
    ['a time of the wrong type', { upstream: 'a', startedAt: LONG_AGO, service: 'engines', coldFor: 'x' }],
    ['a negative time', { upstream: 'a', startedAt: LONG_AGO, service: 'engines', coldFor: -1 }]
  ])('ignores %s of another instance', (_title, content) => {
    const { limits } = create()
    limits.receive(content, 0)
    expect(limits.limitOf(entry, 0)).toBeUndefined()
  })
})
