import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { createBacklog, type Backlog } from '../backlog'
import { decideShedding } from '../loadShedding'
import { currentWait, observeWait, type Upstream } from '../upstreamDirectory'
import { createEntry, createUpstreams } from './fixtures'

describe('decideShedding', () => {
  it.each([
    ['admits at a wait well below the target', 240, 400, 0, false],
    ['rejects half of the requests near the target', 360, 400, 0.49, true],
    ['admits the other half near the target', 360, 400, 0.51, false],
    ['admits some requests however long the wait', 90_000, 400, 0.8, false],
    ['admits on a route without a target', 90_000, 0, 0, false]
  ])('%s', (_title, wait, target, draw, shed) => {
    expect(decideShedding(wait, target, draw).shed).toBe(shed)
  })

  it('sets the retry-after to the expected wait', () => {
    expect(decideShedding(900, 400, 0)).toEqual({ shed: true, retryAfter: 900 })
  })
})

const TARGET_MS = 400
/** Time in milliseconds without a first byte after which callers cancel. */
const CALLER_TIMEOUT_MS = 2000
const SERVICE_MS = 30

/**
 * Simulates engines that failed while callers keep sending requests: for 12 s, nine instances receive 1.5 times the load
 * that three engines can prefill. Engines process requests in order of arrival and skip those whose callers have left.
 */
function simulate (sheds: boolean): { inTime: number, late: number } {
  const generator = xoroshiro128plus(5)
  const random = (): number => uniformFloat64(generator)
  const instances = Array.from({ length: 9 }, () => (
    createUpstreams(['a', 'b', 'c'].map((name) => createEntry(name)))
  ))
  const backlogs = instances.map(() => createBacklog())
  const freeAt = [0, 0, 0]
  const events: Array<{ at: number, wait: number, engine: Upstream, backlog: Backlog }> = []
  let now = 0
  const served = { inTime: 0, late: 0 }
  while (now < 12_000) {
    now += -Math.log(1 - random()) * SERVICE_MS / 3 / 1.5
    events.sort((one, other) => one.at - other.at)
    while (events.length > 0 && events[0]!.at <= now) {
      const { at, wait, engine, backlog } = events.shift()!
      observeWait(engine, 0, wait, at)
      backlog.firstByteReceived(at)
    }
    const instance = Math.floor(random() * 9)
    const engines = instances[instance]!
    const backlog = backlogs[instance]!
    const index = engines
      .map((engine, position) => ({ position, wait: currentWait(engine, 0, now) }))
      .sort((one, other) => one.wait - other.wait)[0]!.position
    if (sheds && decideShedding(backlog.expectedWait(now), TARGET_MS, random()).shed) continue
    const start = Math.max(now, freeAt[index]!)
    if (start - now > CALLER_TIMEOUT_MS) continue
    backlog.requestStarted()
    freeAt[index] = start + SERVICE_MS
    const wait = start + SERVICE_MS - now
    events.push({ at: now + wait, wait, engine: engines[index]!, backlog })
    if (wait <= TARGET_MS) served.inTime += 1
    else served.late += 1
  }
  return served
}

describe('engine failures under load', () => {
  // To callers of the deployments a late response is worth 0.3 of one in time.
  const value = ({ inTime, late }: ReturnType<typeof simulate>): number => inTime + 0.3 * late

  it('serves callers better than queueing all requests', () => {
    expect(value(simulate(true))).toBeGreaterThan(1.5 * value(simulate(false)))
  })

  it('keeps the engines utilized', () => {
    const { inTime, late } = simulate(true)
    expect((inTime + late) * SERVICE_MS / 3 / 12_000).toBeGreaterThan(0.9)
  })
})
