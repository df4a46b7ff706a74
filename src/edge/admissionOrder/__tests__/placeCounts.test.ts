import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { NO_USE, recordFleetUse, recordUseStart } from '../../engineRoom/engineUse'
import {
  createUpstreamDirectory, observeWait, recordAttemptStart, recordFleetLoad, type Upstream
} from '../../upstreamDirectory'
import { createPlaceCounts, type PlaceCounts } from '../placeCounts'
import { decidePlaces } from '../placeDecision'
import { RefusalReason, type OrderedRequest } from '../types'

const SLOTS = 6
const NAMES = ['a', 'b']

interface Instance { places: PlaceCounts, upstreams: Upstream[] }

function createInstance (weights: Array<{ model: string, version: number }> = []): Instance {
  const directory = createUpstreamDirectory()
  directory.replace(NAMES.map((name) => createEntry(name, { service: 'orders', slots: SLOTS, weights })), false, 0)
  return { places: createPlaceCounts(directory), upstreams: [...directory.all()] }
}

/** Records the calls of all instances in flight at each upstream; the last count is that of all further ones. */
function recordCalls ({ upstreams }: Instance, counts: readonly number[], now: number): void {
  for (const [index, upstream] of upstreams.entries()) {
    recordFleetLoad(upstream, 0, now)
    recordFleetUse(upstream, { ...NO_USE, requests: counts[index] ?? counts.at(-1)! })
  }
}

function startCall (upstream: Upstream, now: number): void {
  recordAttemptStart(upstream, 0, now)
  recordUseStart(upstream, 0, 0)
}

describe('calls in flight at a plain upstream', () => {
  it('are those of all instances and the own ones since', () => {
    const instance = createInstance()
    const [upstream] = instance.upstreams as [Upstream]
    startCall(upstream, 0)
    recordCalls(instance, [5], 0)
    startCall(upstream, 1)
    startCall(upstream, 1)
    expect(instance.places.inFlight(upstream, 1)).toBe(7)
  })

  it('are the own ones when the others are not known', () => {
    const instance = createInstance()
    const [upstream] = instance.upstreams as [Upstream]
    recordCalls(instance, [5], 0)
    startCall(upstream, 400)
    expect(instance.places.inFlight(upstream, 400)).toBe(1)
  })
})

describe('a service is full', () => {
  const WAIT_MS = 120

  it.each([
    ['no: under half of the places are taken', 2, undefined],
    ['no: the queues have room', 20, undefined],
    ['yes: the queues are full', 30, WAIT_MS / 2]
  ])('%s', (_title, calls, expected) => {
    const instance = createInstance()
    for (const upstream of instance.upstreams) observeWait(upstream, 0, WAIT_MS / 0.3, 0)
    recordCalls(instance, [calls], 0)
    expect(instance.places.fullFor('orders', 0)).toEqual(expected)
  })

  it('no: one upstream has room', () => {
    const instance = createInstance()
    recordCalls(instance, [30, 3], 0)
    expect(instance.places.fullFor('orders', 0)).toBeUndefined()
  })

  it('yes: all upstreams turned calls away at this count, and for a while only', () => {
    const instance = createInstance()
    recordCalls(instance, [12], 0)
    for (const upstream of instance.upstreams) instance.places.recordTurnedAway(upstream, 0)
    expect(instance.places.fullFor('orders', 0)).toBeDefined()
    recordCalls(instance, [12], 1000)
    expect(instance.places.fullFor('orders', 1000)).toBeUndefined()
  })

  it('yes: all upstreams are paused after they turned calls away, although the counts are a little lower', () => {
    const instance = createInstance()
    recordCalls(instance, [SLOTS - 1], 0)
    for (const upstream of instance.upstreams) {
      upstream.pausedUntil = 60
      instance.places.recordTurnedAway(upstream, 0)
    }
    expect(instance.places.fullFor('orders', 0)).toBeDefined()
    expect(instance.places.fullFor('orders', 60)).toBeUndefined()
  })

  it('no: upstreams that turn calls away have free places', () => {
    const instance = createInstance()
    recordCalls(instance, [2], 0)
    for (const upstream of instance.upstreams) instance.places.recordTurnedAway(upstream, 0)
    expect(instance.places.fullFor('orders', 0)).toBeUndefined()
  })

  it('no: engines, whose requests the order by urgency decides', () => {
    const instance = createInstance([{ model: 'small', version: 1 }])
    recordCalls(instance, [30], 0)
    expect(instance.places.fullFor('orders', 0)).toBeUndefined()
  })

  it('never to an instance that does not know the calls of the others', () => {
    const instance = createInstance()
    recordCalls(instance, [30], 0)
    expect(instance.places.fullFor('orders', 300)).toBeUndefined()
    expect(createInstance().places.fullFor('orders', 0)).toBeUndefined()
  })
})

describe('a call when all places are taken', () => {
  const request = { target: 400, timeLeft: 3000, retryDraw: 0.5, priority: 0 } as OrderedRequest

  it('is held for at most an eighth of its target, and then refused', () => {
    const first = decidePlaces(request, 40, undefined, 1000)
    expect(first).toMatchObject({ admitted: false, reason: RefusalReason.places, holdFor: 40 })
    expect(decidePlaces(request, 40, 1000, 1040)).toMatchObject({ admitted: false, holdFor: 0 })
    expect(decidePlaces(request, 60, undefined, 1000)).toMatchObject({ admitted: false, holdFor: 0 })
  })

  it('is sent as soon as there is room', () => {
    expect(decidePlaces(request, undefined, 1000, 1040).admitted).toBe(true)
  })
})
