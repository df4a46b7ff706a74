import { describe, expect, it } from 'vitest'
import { createEntry, createUpstreams } from '../../__tests__/fixtures'
import { pauseAfterFailure, recordActivity, suspectUpstream } from '../../upstreamDirectory'
import { createCrossing, type CrossingRequest } from '../crossing'
import { createCrossingCosts } from '../crossingCosts'
import { createOverflow } from '../overflow'
import { createPrefixPopulation } from '../prefixPopulation'
import { createReachability } from '../reachability'

describe('the cost of another data centre', () => {
  it.each<[string, number[], number, number]>([
    ['is assumed until a connection shows it', [], 0, 5],
    ['is two round trips more than at home', [10.5, 10.5], 0, 20],
    ['grows with the bytes of the request', [10.5], 40_000, 30],
    ['ignores connections that were open before', [0, 0.05], 0, 5],
    ['is not that of a lost packet', [10.5, 1010.5], 0, 24.2]
  ])('%s', (_title, connections, bytes, expected) => {
    const costs = createCrossingCosts('north')
    costs.recordConnection(createEntry('home'), 0.5)
    for (const milliseconds of connections) costs.recordConnection(createEntry('far', { dataCentre: 'south' }), milliseconds)
    expect(costs.costOf('south', bytes)).toBeCloseTo(expected, 5)
    expect(costs.costOf('north', bytes)).toBe(0)
  })
})

describe('the share of requests that may leave', () => {
  /** Replays one request each 20 ms that would wait `homeWait` at home. */
  function shareAfter (homeWaits: readonly number[], latencyTarget: number): number {
    const overflow = createOverflow(() => 0.5)
    for (const [index, homeWait] of homeWaits.entries()) {
      overflow.mayLeave({ service: 'engines', homeWait, latencyTarget, crossingCost: 20, draw: 0.5 }, index * 20)
    }
    return overflow.shares().get('engines')!
  }
  const repeat = (value: number, count: number): number[] => Array.from({ length: count }, () => value)

  it.each<[string, number[], number, number, number]>([
    ['is none while home is free', repeat(0, 200), 300, 0, 0],
    ['is none for a wait within a fifth of the target', repeat(59, 200), 300, 0, 0],
    ['is none for a wait below the cost of leaving', repeat(29, 200), 50, 0, 0],
    ['grows by a part of the excess', repeat(90, 17), 300, 0.1, 0.2],
    ['reaches all requests', repeat(400, 200), 300, 1, 1],
    ['is kept while the wait is between the thresholds', [...repeat(400, 60), ...repeat(40, 100)], 300, 1, 1],
    ['falls slowly when home is free again', [...repeat(400, 60), ...repeat(0, 60)], 300, 0.5, 0.8],
    ['ends', [...repeat(400, 60), ...repeat(0, 300)], 300, 0, 0]
  ])('%s', (_title, homeWaits, latencyTarget, least, most) => {
    const share = shareAfter(homeWaits, latencyTarget)
    expect(share).toBeGreaterThanOrEqual(least)
    expect(share).toBeLessThanOrEqual(most)
  })
})

describe('a data centre is closed', () => {
  it.each<[string, { count: number, failed?: number, suspected?: number, reached?: number }, boolean]>([
    ['when none of its upstreams could be reached', { count: 8, failed: 8 }, true],
    ['when half of those tried lately could not be reached', { count: 8, failed: 2, reached: 2 }, true],
    ['when others could not reach half of all', { count: 8, suspected: 4 }, true],
    ['when others could not reach some and this instance others', { count: 8, suspected: 3, failed: 1, reached: 4 }, true],
    ['not when others could not reach a quarter', { count: 8, suspected: 2, reached: 1 }, false],
    ['not when one of many could not be reached', { count: 8, failed: 1 }, false],
    ['not when a quarter could not be reached', { count: 8, failed: 2, reached: 6 }, false],
    ['when its only upstream could not be reached', { count: 1, failed: 1 }, true],
    ['not when nothing is known of it', { count: 8 }, false]
  ])('%s', (_title, { count, failed = 0, suspected = 0, reached = 0 }, expected) => {
    const entries = Array.from({ length: count }, (_, index) => createEntry(`e${index}`, { dataCentre: 'south' }))
    const upstreams = createUpstreams(entries)
    for (const upstream of upstreams.slice(0, failed)) pauseAfterFailure(upstream, 0)
    for (const upstream of upstreams.slice(failed, failed + suspected)) suspectUpstream(upstream, 0, 0)
    const others = upstreams.slice(failed + suspected)
    for (const upstream of others.slice(0, reached)) recordActivity(upstream, 0)
    const reachability = createReachability(() => 0)
    expect(reachability.update('south', upstreams, 0)).toBe(expected)
    expect(reachability.isClosed('south', 1499)).toBe(expected)
    expect(reachability.isClosed('south', 1500)).toBe(false)
  })

  it.each<[string, number, number, boolean]>([
    ['none while it is closed', 1499, 0, false],
    ['a fifth of the requests after that', 1500, 0.19, true],
    ['no more of them', 1500, 0.2, false],
    ['all when no failure has shown', 3500, 0.9, true]
  ])('and gets %s', (_title, now, draw, expected) => {
    const upstreams = createUpstreams([createEntry('e', { dataCentre: 'south' })])
    pauseAfterFailure(upstreams[0]!, 0)
    const reachability = createReachability(() => 0)
    reachability.update('south', upstreams, 0)
    expect(reachability.accepts('south', draw, now)).toBe(expected)
  })

  it('again by one failure right after', () => {
    const upstreams = createUpstreams(Array.from({ length: 8 }, (_, index) => createEntry(`e${index}`, { dataCentre: 'south' })))
    for (const upstream of upstreams) pauseAfterFailure(upstream, 0)
    const reachability = createReachability(() => 0)
    reachability.update('south', upstreams, 0)
    for (const upstream of upstreams) recordActivity(upstream, 1600)
    pauseAfterFailure(upstreams[0]!, 1600)
    expect(reachability.update('south', upstreams, 1700)).toBe(true)
    expect(reachability.isClosed('south', 4699)).toBe(true)
  })

  it('for longer each time, up to twice as long', () => {
    const [upstream] = createUpstreams([createEntry('e', { dataCentre: 'south' })])
    const reachability = createReachability(() => 0)
    const durations: number[] = []
    for (let now = 0; durations.length < 4; now += 100) {
      upstream!.suspectedUntil = now + 1
      if (!reachability.update('south', [upstream!], now)) continue
      const start = now
      while (reachability.isClosed('south', now + 100)) now += 100
      durations.push(now + 100 - start)
    }
    expect(durations).toEqual([1500, 3000, 3000, 3000])
  })
})

describe('the estimated number of prefixes', () => {
  it.each<[string, number, number, number | undefined, number | undefined]>([
    ['is unknown with few requests', 10, 20, undefined, undefined],
    ['is near their number', 50, 256, 30, 70],
    ['follows many', 2000, 256, 700, 40_000]
  ])('%s', (_title, prefixes, requests, least, most) => {
    const population = createPrefixPopulation()
    for (let index = 0; index < requests; index += 1) population.record(`prefix-${(index * 7919) % 10_007 % prefixes}`)
    const estimate = population.estimate()
    if (least === undefined) return expect(estimate).toBeUndefined()
    expect(estimate).toBeGreaterThan(least)
    expect(estimate).toBeLessThan(most!)
  })
})

describe('the upstreams among which a request is placed', () => {
  const UPSTREAMS = [
    ...Array.from({ length: 4 }, (_, index) => createEntry(`home-${index}`)),
    ...Array.from({ length: 12 }, (_, index) => createEntry(`away-${index}`, { dataCentre: 'south' }))
  ]
  const REQUEST: CrossingRequest = {
    service: 'engines',
    prefixKey: undefined,
    sharedTokens: 0,
    missCost: 0,
    bytes: 0,
    latencyTarget: 300,
    draw: 0,
    waitAt: () => 0
  }

  it.each<[string, Partial<CrossingRequest>, number, number, boolean, string]>([
    ['are those at home for a plain call', {}, 0, 0, true, 'home'],
    ['are those at home if their caches hold all prefixes', { prefixKey: 'p', sharedTokens: 6300, missCost: 60 }, 20, 0, true, 'home'],
    ['are all if only all caches together hold the prefixes', { prefixKey: 'p', sharedTokens: 6300, missCost: 60 }, 400, 0, true, 'all'],
    ['are those at home if a miss costs less than the way', { prefixKey: 'p', sharedTokens: 198, missCost: 2 }, 400, 0, true, 'home'],
    ['are those elsewhere if none is at home', {}, 0, 0, false, 'away'],
    ['are those at home while the other data centre is closed', { prefixKey: 'p', sharedTokens: 6300, missCost: 60 }, 400, 12, true, 'home'],
    ['are none if the others are closed and none is at home', {}, 0, 12, false, 'none']
  ])('%s', (_title, changes, prefixes, lost, hasHome, expected) => {
    const upstreams = createUpstreams(UPSTREAMS)
    const crossing = createCrossing({
      dataCentre: 'north', upstreams: () => upstreams, memoryTokensOf: () => 111_075, log () {}, random: () => 0.5
    })
    for (let index = 0; index < 256; index += 1) crossing.recordPrefix('engines', `p-${(index * 7919) % 10_007 % Math.max(1, prefixes)}`)
    for (const upstream of upstreams.slice(4, 4 + lost)) suspectUpstream(upstream, 0, 0)
    const candidates = hasHome ? upstreams : upstreams.slice(4)
    const chosen = crossing.choose({ ...REQUEST, ...changes }, candidates, 0).candidates
    const expectedNames: Readonly<Record<string, string[]>> = {
      home: UPSTREAMS.slice(0, 4).map(({ identifier }) => identifier),
      away: UPSTREAMS.slice(4).map(({ identifier }) => identifier),
      all: UPSTREAMS.map(({ identifier }) => identifier),
      none: []
    }
    expect(chosen.map(({ entry }) => entry.identifier)).toEqual(expectedNames[expected])
  })
})
