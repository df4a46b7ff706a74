import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { createFailureReports, type FailureReports } from '../failureReports'
import type { PeerValue } from '../peerLinks'
import { placeRequest, type PlacementRequest } from '../placement'
import { createUpstreamDirectory, recordActivity, isUsable, pauseAfterFailure, type UpstreamDirectory } from '../upstreamDirectory'
import { createEntry, UNBOUNDED_ROOM } from './fixtures'

interface Instance {
  directory: UpstreamDirectory
  reports: FailureReports
}

function createInstances (count: number, engines: number, sharesReports: boolean, now: () => number): Instance[] {
  const random = xoroshiro128plus(8)
  const instances: Instance[] = []
  for (let index = 0; index < count; index += 1) {
    const directory = createUpstreamDirectory()
    const entries = Array.from({ length: engines }, (_unused, engine) => createEntry(`engine-${engine}`))
    directory.replace(entries, false, 0)
    const reports = createFailureReports({
      broadcast (content: PeerValue) {
        if (!sharesReports) return
        for (const other of instances) if (other.directory !== directory) other.reports.receive(content, now())
      },
      directory,
      log: () => {},
      random: () => uniformFloat64(random)
    })
    instances.push({ directory, reports })
  }
  return instances
}

describe('createFailureNews', () => {
  it.each([
    ['once within the shortest duration of a suspicion', [0, 499], 0, 1],
    ['again after that duration', [0, 500], 0, 2],
    ['nothing when no upstream has been active', [2000], 0, 0]
  ])('reports %s', (_title, times, lastActivityAt, expected) => {
    const sent: PeerValue[] = []
    const directory = createUpstreamDirectory()
    directory.replace([createEntry('a'), createEntry('b')], false, 0)
    recordActivity(directory.get('b')!, lastActivityAt)
    const reports = createFailureReports({
      broadcast: (content) => { sent.push(content) }, directory, log: () => {}, random: () => 0
    })
    for (const time of times) reports.report(directory.get('a')!, time)
    expect(sent).toHaveLength(expected)
  })

  it.each([
    ['a listed upstream', { upstream: 'a', startedAt: 1 }, true],
    ['an earlier run of a listed upstream', { upstream: 'a', startedAt: 0 }, false],
    ['an upstream that is not listed', { upstream: 'c', startedAt: 1 }, false],
    ['no upstream', {}, false]
  ])('handles a report of %s', (_title, content, isSuspected) => {
    const directory = createUpstreamDirectory()
    directory.replace([createEntry('a', { startedAt: 1 })], false, 0)
    const events: string[] = []
    const log = (event: string): void => { events.push(event) }
    const reports = createFailureReports({ broadcast: () => {}, directory, log, random: () => 0 })
    reports.receive(content, 10)
    reports.receive(content, 20)
    expect(directory.get('a')!.suspectedUntil > 10).toBe(isSuspected)
    expect(events).toEqual(isSuspected ? ['upstream.doubted'] : [])
  })
})

/**
 * Simulates a data centre that is cut off: 23 instances send 140 prompts per second to 63 engines, a third of which
 * become unreachable at the same moment. Returns the number of prompts within three seconds whose connection attempt
 * timed out.
 */
function replayPartition (sharesReports: boolean): number {
  const random = xoroshiro128plus(7)
  let now = 0
  const instances = createInstances(23, 63, sharesReports, () => now)
  const request: PlacementRequest = {
    prefixKey: '',
    sharedTokens: 6300,
    promptTokens: 0,
    heldTokens: 0,
    capacityOf: UNBOUNDED_ROOM.capacityOf,
    crossingCost: undefined,
    isRankedPerDataCentre: false,
    speeds: undefined,
    dataCentre: 'north',
    urgency: 0,
    replicas: 1,
    draw: 0,
    loadingEngines: new Set(),
    hasOutdatedWeights: () => false
  }
  const failures: Array<{ at: number, fail: () => void }> = []
  let failedConnections = 0
  for (now = 0; now < 3000; now += 1000 / 140) {
    while (failures.length > 0 && failures[0]!.at <= now) failures.shift()!.fail()
    const { directory, reports } = instances[uniformInt(random, 0, instances.length - 1)]!
    const subject = `sheet-${uniformInt(random, 0, 999)}`
    const candidates = directory.usable('engines', now)
    const upstream = placeRequest({ ...request, prefixKey: subject }, candidates, now)?.upstream
    if (Number(upstream!.entry.identifier.slice('engine-'.length)) % 3 > 0) {
      recordActivity(upstream!, now)
      continue
    }
    failedConnections += 1
    const at = now + 400
    failures.push({
      at,
      fail () {
        if (isUsable(upstream!, at)) pauseAfterFailure(upstream!, at)
        reports.report(upstream!, at)
      }
    })
  }
  return failedConnections
}

describe('a network partition of a data centre', () => {
  it('causes at most half as many failed connection attempts as without reports', () => {
    expect(replayPartition(true)).toBeLessThan(replayPartition(false) / 2)
  })
})
