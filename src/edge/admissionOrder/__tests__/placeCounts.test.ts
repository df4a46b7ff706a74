import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { createUpstreamDirectory, observeWait, recordAttemptEnd, recordAttemptStart, type Upstream } from '../../upstreamDirectory'
import { createDemandCounter } from '../demand'
import { createLoadSupplement } from '../loadSupplement'
import { createPlaceCounts, decodeCounts, encodeCounts, type PlaceCounts } from '../placeCounts'
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

/** Counts of all instances, the same at each upstream. */
function countsOf ({ upstreams }: Instance, calls: number): Map<number, number> {
  return new Map(upstreams.map(({ loadKey }) => [loadKey, calls]))
}

describe('calls in flight at a plain upstream', () => {
  it('are those of all instances and the own ones since', () => {
    const instance = createInstance()
    const [upstream] = instance.upstreams as [Upstream]
    recordAttemptStart(upstream, 0, 0)
    instance.places.applyTotal(countsOf(instance, 5), 0)
    recordAttemptStart(upstream, 0, 1)
    recordAttemptStart(upstream, 0, 1)
    expect(instance.places.inFlight(upstream, 1)).toBe(7)
    recordAttemptEnd(upstream)
    recordAttemptEnd(upstream)
    recordAttemptEnd(upstream)
    expect(instance.places.inFlight(upstream, 2)).toBe(4)
  })

  it('are the own ones when the others are not known', () => {
    const instance = createInstance()
    const [upstream] = instance.upstreams as [Upstream]
    instance.places.applyTotal(countsOf(instance, 5), 0)
    recordAttemptStart(upstream, 0, 400)
    expect(instance.places.inFlight(upstream, 400)).toBe(1)
  })

  it('are not counted for engines', () => {
    const { places, upstreams } = createInstance([{ model: 'small', version: 1 }])
    recordAttemptStart(upstreams[0]!, 100, 0)
    expect(places.own().size).toBe(0)
  })

  it('survive encoding', () => {
    const counts = new Map([[1, 0], [4_294_967_295, 70_000], [7, 24]])
    expect(decodeCounts(encodeCounts(counts))).toEqual(new Map([[1, 0], [4_294_967_295, 65_535], [7, 24]]))
  })

  it.each([['text', 'abc'], ['a length that does not fit', new Uint8Array(5)], ['nothing', undefined]])(
    'are unknown when the field is %s', (_title, value) => {
      expect(decodeCounts(value)).toBeUndefined()
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
    instance.places.applyTotal(countsOf(instance, calls), 0)
    expect(instance.places.fullFor('orders', 0)).toEqual(expected)
  })

  it('no: one upstream has room', () => {
    const instance = createInstance()
    instance.places.applyTotal(new Map([[instance.upstreams[0]!.loadKey, 30], [instance.upstreams[1]!.loadKey, 3]]), 0)
    expect(instance.places.fullFor('orders', 0)).toBeUndefined()
  })

  it('yes: all upstreams turned calls away at this count, and for a while only', () => {
    const instance = createInstance()
    instance.places.applyTotal(countsOf(instance, 12), 0)
    for (const upstream of instance.upstreams) instance.places.recordTurnedAway(upstream, 0)
    expect(instance.places.fullFor('orders', 0)).toBeDefined()
    instance.places.applyTotal(countsOf(instance, 12), 1000)
    expect(instance.places.fullFor('orders', 1000)).toBeUndefined()
  })

  it('no: upstreams that turn calls away have free places', () => {
    const instance = createInstance()
    instance.places.applyTotal(countsOf(instance, 2), 0)
    for (const upstream of instance.upstreams) instance.places.recordTurnedAway(upstream, 0)
    expect(instance.places.fullFor('orders', 0)).toBeUndefined()
  })

  it('never to an instance that does not know the calls of the others', () => {
    const instance = createInstance()
    instance.places.applyTotal(countsOf(instance, 30), 0)
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

describe('the fields in the exchange of loads', () => {
  const KEY = 7

  function createSupplement (calls: number) {
    const instance = createInstance()
    const demand = createDemandCounter()
    for (let call = 0; call < calls; call += 1) recordAttemptStart(instance.upstreams[0]!, 0, 0)
    const supplement = createLoadSupplement({ ownDemand: demand.current, places: instance.places })
    return { ...instance, demand, supplement }
  }

  it('sum up the calls and the demand of members and other data centres', () => {
    const asker = createSupplement(2)
    const aggregator = createSupplement(3)
    const distant = createSupplement(4)
    for (const { demand } of [asker, aggregator, distant]) demand.record(KEY, 900, 0)
    aggregator.supplement.recordMember('asker', asker.supplement.ownFields(0), 0)
    aggregator.supplement.recordAggregator('distant', distant.supplement.sumFields(0), 0)
    asker.supplement.applyTotal(aggregator.supplement.totalFields(0), 0)
    expect(asker.places.inFlight(asker.upstreams[0]!, 0)).toBe(9)
    expect(asker.supplement.fleetDemand(0)?.get(KEY)).toEqual({ cost: 2700, count: 3 })
  })

  it('leave the others unknown when an aggregator of an earlier release does not send them', () => {
    const { supplement, places, upstreams } = createSupplement(2)
    supplement.applyTotal({ load: Buffer.alloc(0) }, 0)
    expect(supplement.fleetDemand(0)).toBeUndefined()
    expect(places.inFlight(upstreams[0]!, 0)).toBe(2)
  })

  it('count a member that is lost no longer, and its demand ever less', () => {
    const asker = createSupplement(2)
    const aggregator = createSupplement(0)
    asker.demand.record(KEY, 900, 0)
    aggregator.supplement.recordMember('asker', asker.supplement.ownFields(0), 0)
    aggregator.supplement.applyTotal(aggregator.supplement.totalFields(600), 600)
    expect(aggregator.places.inFlight(aggregator.upstreams[0]!, 600)).toBe(0)
    expect(aggregator.supplement.fleetDemand(600)!.get(KEY)!.count).toBeLessThan(0.7)
  })
})
