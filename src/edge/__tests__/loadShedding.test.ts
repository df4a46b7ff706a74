import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { createBacklog, type Backlog } from '../backlog'
import { decideShedding } from '../loadShedding'
import { currentWait, observeWait, type Upstream } from '../upstreamDirectory'
import { createEntry, createUpstreams } from './fixtures'

describe('decideShedding', () => {
  it.each([
    ['a wait well inside the target', 240, 400, 0, false],
    ['one near the target: half are refused', 360, 400, 0.49, true],
    ['and half are sent', 360, 400, 0.51, false],
    ['some are sent however long the wait', 90_000, 400, 0.8, false],
    ['a route without a target', 90_000, 0, 0, false]
  ])('%s', (_title, wait, target, draw, shed) => {
    expect(decideShedding(wait, target, draw).shed).toBe(shed)
  })

  it('tells callers to come back after the wait', () => {
    expect(decideShedding(900, 400, 0)).toEqual({ shed: true, retryAfter: 900 })
  })
})

const TARGET_MS = 400
/** Callers leave when nothing has come for two seconds. */
const PATIENCE_MS = 2000
const SERVICE_MS = 30

/**
 * Replay of engines lost while callers go on asking: for 12 s nine instances get half again as much as three engines can
 * read. Engines read in the order of arrival and do not read for callers that have left.
 */
function replay (sheds: boolean): { inTime: number, late: number } {
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
      backlog.answered(at)
    }
    const instance = Math.floor(random() * 9)
    const engines = instances[instance]!
    const backlog = backlogs[instance]!
    const index = engines
      .map((engine, position) => ({ position, wait: currentWait(engine, 0, now) }))
      .sort((one, other) => one.wait - other.wait)[0]!.position
    if (sheds && decideShedding(backlog.expectedWait(now), TARGET_MS, random()).shed) continue
    const start = Math.max(now, freeAt[index]!)
    if (start - now > PATIENCE_MS) continue
    backlog.began()
    freeAt[index] = start + SERVICE_MS
    const wait = start + SERVICE_MS - now
    events.push({ at: now + wait, wait, engine: engines[index]!, backlog })
    if (wait <= TARGET_MS) served.inTime += 1
    else served.late += 1
  }
  return served
}

describe('engines lost under load', () => {
  // A late answer is worth 0.3 of one in time to the callers of the deployments.
  const value = ({ inTime, late }: ReturnType<typeof replay>): number => inTime + 0.3 * late

  it('serves callers better than queueing all of them', () => {
    expect(value(replay(true))).toBeGreaterThan(1.5 * value(replay(false)))
  })

  it('still uses what the engines can do', () => {
    const { inTime, late } = replay(true)
    expect((inTime + late) * SERVICE_MS / 3 / 12_000).toBeGreaterThan(0.9)
  })
})
