import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import type { PeerValue } from '../peerLinks'
import { createSendPermits, type SendPermits } from '../sendPermits'
import type { Peer } from '../types'

const RUN = { identifier: 'engine-1', startedAt: 1 }
const WINDOW_MS = 4000
const STEP_MS = 5

/** Whether the first instance reaches the second one at a time. */
type Reaches = (from: string, to: string, now: number) => boolean

interface Fleet {
  members: Map<string, SendPermits>
  setTime: (now: number) => void
  requests: () => number
}

/** Creates a fleet with its instances distributed over the data centres; they share a clock that the test sets. */
function createFleet (
  count: number, dataCentres: number, limit: number | undefined, reaches: Reaches, coldLimit?: number, isListRead = true
): Fleet {
  const generator = xoroshiro128plus(23)
  const peers: Peer[] = Array.from({ length: count }, (_, index) => ({
    name: `router-${index}`, dataCentre: `place-${index % dataCentres}`, endpoint: { host: `router-${index}`, port: 1 }
  }))
  const members = new Map<string, SendPermits>()
  let now = 0
  let requests = 0
  for (const { name, dataCentre } of peers) {
    const perDataCentre = peers.filter((peer) => peer.dataCentre === dataCentre).length
    const backOffs = new Map<string, number>()
    members.set(name, createSendPermits({
      links: {
        async request ({ host }, request): Promise<PeerValue> {
          requests += 1
          if (reaches(name, host, now)) return await members.get(host)!.handleRequest(request)
          backOffs.set(host, now + 500)
          throw new PlatformUnavailableError('unreachable')
        },
        isUsable: ({ host }) => now >= (backOffs.get(host) ?? 0)
      },
      instance: name,
      dataCentre,
      peers: () => peers.filter((peer) => peer.name !== name),
      sender: () => ({ name }),
      share: () => 1 / dataCentres / perDataCentre,
      isListRead: () => isListRead,
      limits: { limitOf: () => limit },
      coldLimits: { limitOf: () => coldLimit },
      now: () => now,
      random: () => uniformFloat64(generator)
    }))
  }
  return { members, setTime (time) { now = time }, requests: () => requests }
}

/** Lets all instances take as many permits as they get, and returns the times. */
async function takeAll (fleet: Fleet, duration: number, startAt: (name: string) => number): Promise<number[]> {
  const grants: number[] = []
  const nextAt = new Map([...fleet.members.keys()].map((name) => [name, startAt(name)]))
  for (let now = 0; now < duration; now += STEP_MS) {
    fleet.setTime(now)
    for (const [name, permits] of fleet.members) {
      if (now < nextAt.get(name)!) continue
      const { granted, wait } = await permits.acquire(RUN, 0)
      if (granted) grants.push(now)
      nextAt.set(name, now + Math.max(STEP_MS, wait))
    }
  }
  return grants
}

function mostInWindow (times: readonly number[], window = WINDOW_MS): number {
  let first = 0
  let most = 0
  times.forEach((time, index) => {
    while (times[first]! <= time - window) first += 1
    most = Math.max(most, index - first + 1)
  })
  return most
}

const ALL: Reaches = () => true
const NONE: Reaches = () => false
/** From 8 s on, the instances with an even number reach none of the others in the list. */
const without = (lost: readonly string[]): Reaches => (from, to, now) => (
  now < 8000 || !lost.includes(to) || Number(from.split('-')[1]) % 2 === 1
)

/** Names of all instances, in the order in which they would hand out the permits. */
async function findAllocators (count: number): Promise<string[]> {
  const asked: string[] = []
  const fleet = createFleet(count, 1, 3, (_from, to) => {
    if (!asked.includes(to)) asked.push(to)
    return false
  })
  for (const permits of fleet.members.values()) await permits.acquire(RUN, 0)
  return asked
}

describe('instances that share the request limit of an upstream', () => {
  it.each<[string, number, number, number, Reaches]>([
    ['one instance', 1, 1, 3, ALL],
    ['nine instances in three data centres', 9, 3, 3, ALL],
    ['as many requests per second as instances', 9, 3, 9, ALL],
    ['a limit below one request per second', 9, 3, 0.5, ALL],
    ['195 instances in five data centres', 195, 5, 3, ALL],
    ['a limit that is large for each instance', 9, 3, 400, ALL],
    ['instances that reach no others', 9, 3, 3, NONE],
    ['195 instances that reach no others', 195, 5, 3, NONE]
  ])('exceed it in no window: %s', async (_title, count, dataCentres, limit, reaches) => {
    const grants = await takeAll(createFleet(count, dataCentres, limit, reaches), 20_000, () => 0)
    expect(mostInWindow(grants)).toBeLessThanOrEqual(limit * 1.5 * WINDOW_MS / 1000 + 5)
    expect(grants.length).toBeGreaterThanOrEqual(Math.floor(limit * 20 * 0.8) - dataCentres)
  }, 60_000)

  it.each([
    ['the allocator', 1, 12], ['the allocator and the standby', 2, 12], ['them, in a small data centre', 2, 3]
  ])('exceed it in no window while half of them do not reach %s', async (_title, lostCount, count) => {
    const lost = (await findAllocators(count)).slice(0, lostCount)
    expect(lost).toHaveLength(lostCount)
    const grants = await takeAll(createFleet(count, 1, 3, without(lost)), 30_000, () => 0)
    expect(mostInWindow(grants)).toBeLessThanOrEqual(23)
  })

  it('exceed it in no window when all of them begin to send at the same moment after a long time', async () => {
    const fleet = createFleet(195, 5, 3, ALL)
    const earlier = await takeAll(fleet, 5000, () => 0)
    const grants = await takeAll(fleet, 100_000, () => 80_000)
    expect(earlier.length).toBeGreaterThan(5)
    expect(mostInWindow(grants)).toBeLessThanOrEqual(23)
  }, 60_000)

  it.each([['no limit', undefined, true], ['a limit that is huge', 1e300, true], ['a limit of zero', 0, false]])(
    'get permits without requests to others for %s', async (_title, limit, isGranted) => {
      const fleet = createFleet(9, 3, limit, ALL)
      const { granted } = await fleet.members.get('router-0')!.acquire(RUN, 0)
      expect(granted).toBe(isGranted)
      if (isGranted) expect(fleet.requests()).toBe(0)
    })

  it('still try an upstream now and then that takes no requests, to learn when it does again', async () => {
    const grants = await takeAll(createFleet(9, 3, 0, ALL), 60_000, () => 0)
    expect(grants.length).toBeGreaterThanOrEqual(10)
    expect(mostInWindow(grants)).toBeLessThanOrEqual(5)
  })

  it('reject a malformed request for a permit', async () => {
    const permits = createFleet(1, 1, 3, ALL).members.get('router-0')!
    for (const values of [{ perSecond: -1 }, { perSecond: 'x' }, { maximumWait: NaN }, { upstream: 7 }]) {
      const request = { upstream: 'a', startedAt: 1, perSecond: 3, maximumWait: 0, ...values }
      await expect(permits.handleRequest(request)).rejects.toThrow(PlatformUnavailableError)
    }
  })
})

/** Half of the instances of each data centre reach none of the others. */
const HALF: Reaches = (from) => Number(from.split('-')[1]) % 2 === 1
/** From 8 s on, all instances of one data centre are cut off, from each other as well. */
const ONE_DATA_CENTRE_LOST = (dataCentres: number): Reaches => (from, to, now) => (
  now < 8000 || [from, to].every((name) => Number(name.split('-')[1]) % dataCentres !== 0)
)

describe('instances that share the limit of a cold upstream', () => {
  // Guards against bursts: the platform allows 1.5 of the rate and 5 further requests in any second, where the limits that
  // upstreams name are judged over several seconds.
  it.each<[string, number, number, number, Reaches]>([
    ['one instance', 1, 1, 24, ALL],
    ['nine instances in three data centres', 9, 3, 24, ALL],
    ['65 instances in four data centres', 65, 4, 24, ALL],
    ['a low rate', 65, 4, 2, ALL],
    ['a rate that is large for each instance', 9, 3, 400, ALL],
    ['195 instances in five data centres', 195, 5, 24, ALL],
    ['65 instances that reach no others', 65, 4, 24, NONE],
    ['195 instances that reach no others', 195, 5, 24, NONE],
    ['65 instances of which half reach no others', 65, 4, 24, HALF],
    ['195 instances of which half reach no others, at a low rate', 195, 5, 4, HALF],
    ['a data centre that is cut off', 65, 4, 24, ONE_DATA_CENTRE_LOST(4)]
  ])('exceed it in no second: %s', async (_title, count, dataCentres, rate, reaches) => {
    const grants = await takeAll(createFleet(count, dataCentres, undefined, reaches, rate), 20_000, () => 0)
    expect(mostInWindow(grants, 1000)).toBeLessThanOrEqual(rate * 1.5 + 5)
    // Instances that are cut off use 0.4 of their parts.
    expect(grants.length).toBeGreaterThanOrEqual(Math.floor(rate * 20 * 0.3) - dataCentres)
  }, 60_000)

  it('exceed it in no second when it restarts again and again under the same identifier', async () => {
    const fleet = createFleet(65, 4, undefined, ALL, 24)
    const grants: number[] = []
    for (let now = 0; now < 5000; now += STEP_MS) {
      fleet.setTime(now)
      const run = { ...RUN, startedAt: 1 + Math.floor(now / 200) }
      for (const permits of fleet.members.values()) if ((await permits.acquire(run, 0)).granted) grants.push(now)
    }
    expect(mostInWindow(grants, 1000)).toBeLessThanOrEqual(24 * 1.5 + 5)
  }, 60_000)

  // Guards against an instance that starts while the store is slow, and takes itself for the only one.
  it('use hardly any of it before they know each other', async () => {
    const grants = await takeAll(createFleet(1, 1, undefined, ALL, 24, false), 20_000, () => 0)
    expect(grants.length).toBeLessThanOrEqual(4)
  })

  it('keep within it if only the one that asks knows that the upstream is cold', async () => {
    const request = { upstream: 'engine-1', startedAt: 1, perSecond: 24, maximumWait: 0, isCold: true }
    const grants: number[] = []
    const fleet = createFleet(1, 1, undefined, ALL)
    const permits = fleet.members.get('router-0')!
    for (let now = 0; now < 5000; now += STEP_MS) {
      fleet.setTime(now)
      const { granted } = await permits.handleRequest(request)
      if (granted === true) grants.push(now)
    }
    expect(mostInWindow(grants, 1000)).toBeLessThanOrEqual(24 * 1.5 + 5)
    expect(permits.isNeeded(RUN)).toBe(false)
  })
})
