/** Guards against instances that stay behind, or take old rows for proved ones, when a change of era is half done. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { chooseRelays } from '../../relayChoice'
import { startSimulatedFleet, TABLE, type SimulatedFleet } from './eraFleet'

const RECOVERY_MS = 3000
const STEP_MS = 50

const members = (perDataCentre: number, dataCentres = ['north', 'south']): Array<{ name: string, dataCentre: string }> => (
  dataCentres.flatMap((dataCentre) => (
    Array.from({ length: perDataCentre }, (_unused, index) => ({ name: `${dataCentre}-${index}`, dataCentre }))
  ))
)

function hubOf (fleet: SimulatedFleet): string {
  return fleet.instances.find(({ name, dataCentre }) => (
    chooseRelays(name, dataCentre, fleet.instances.filter((peer) => peer.name !== name)).sources === undefined
  ))!.name
}

let fleet: SimulatedFleet
/** Serial of the operator's newest write, and when it was acknowledged. */
let written: { serial: number, at: number }
/** Whether all instances know each other. */
let isStarted: boolean
/** Name of the instance of the previous release. */
let previous: string | undefined

beforeEach(() => { vi.useFakeTimers({ now: 100_000 }) })
afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

function write (): void {
  written = { serial: written.serial + 1, at: Date.now() }
  fleet.store.write(TABLE, 'config', String(written.serial))
}

/** Advances the time; a proof that is newer than a write must not come without it, and no instance may be forgotten. */
async function advance (milliseconds: number): Promise<void> {
  for (let time = 0; time < milliseconds; time += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS)
    for (const { name, provedAt, rows, instances } of fleet.instances) {
      if (isStarted) expect([name, instances.count()]).toEqual([name, fleet.instances.length])
      // A release without eras misses a change under a version number that it knows.
      if (name !== previous && (provedAt?.steady ?? 0) > written.at) {
        expect([name, Number(rows.get('config'))]).toEqual([name, written.serial])
      }
    }
  }
}

async function start (
  perDataCentre: number, dataCentres?: string[], nameOfPrevious?: string
): Promise<void> {
  isStarted = false
  previous = nameOfPrevious
  fleet = startSimulatedFleet(members(perDataCentre, dataCentres), (name) => name === previous)
  written = { serial: 0, at: Date.now() }
  await advance(6000)
  isStarted = true
}

/** All lost version numbers are given out again at once, the one of the operator's write first. */
async function lose (lost: number, awayFor: number): Promise<void> {
  const unread = Number.isFinite(lost) ? lost : 0
  for (let index = 0; index < unread; index += 1) fleet.store.write('unread', 'row', String(index))
  // All followers get to know the newest version.
  await advance(2500)
  fleet.store.leave()
  await advance(awayFor)
  // The first version is the operator's first row.
  const given = Math.min(lost, fleet.store.version() - 1)
  fleet.store.restore(given)
  write()
  for (let index = 0; index < given; index += 1) fleet.store.write('unread', 'row', String(index))
}

/** Names of the instances that lack the newest write, a proof after it, or the era. */
function behind (names = fleet.instances.map(({ name }) => name)): string[] {
  return fleet.instances.filter(({ name, provedAt, rows, storeEra }) => names.includes(name) && (
    provedAt === undefined || provedAt.steady < written.at || rows.get('config') !== String(written.serial) ||
    storeEra.current() !== fleet.store.era
  )).map(({ name }) => name)
}

function cutOff (dataCentre: string): void {
  for (const { name } of fleet.instances.filter((one) => one.dataCentre === dataCentre)) {
    fleet.storeCut.add(name)
    fleet.peersCut.add(name)
  }
}

function reconnect (): void {
  fleet.storeCut.clear()
  fleet.peersCut.clear()
}

describe('a change of era', () => {
  it.each([
    { perDataCentre: 1, dataCentres: ['north'], lost: 1, awayFor: 500 },
    { perDataCentre: 1, dataCentres: ['north'], lost: 4000, awayFor: 6000 },
    { perDataCentre: 4, dataCentres: ['north'], lost: 60, awayFor: 1500 },
    { perDataCentre: 3, dataCentres: ['north', 'south', 'west'], lost: 1, awayFor: 700 },
    { perDataCentre: 3, dataCentres: ['north', 'south', 'west'], lost: 4000, awayFor: 6000 },
    // The rows of the instances are lost as well.
    { perDataCentre: 3, dataCentres: ['north', 'south', 'west'], lost: Infinity, awayFor: 700 },
    { perDataCentre: 15, dataCentres: ['north', 'south', 'west', 'east'], lost: 60, awayFor: 2000 }
  ])('reaches all of $perDataCentre in $dataCentres, $lost versions lost in $awayFor ms', async ({
    perDataCentre, dataCentres, lost, awayFor
  }) => {
    await start(perDataCentre, dataCentres)
    await lose(lost, awayFor)
    await advance(RECOVERY_MS)
    expect(behind()).toEqual([])
    const calls = fleet.store.calls()
    await advance(4000)
    // The hub reads two tables again, as before; no instance is left that reads the store.
    expect(fleet.store.calls() - calls).toBeLessThan(16)
  })

  it('reaches the others while the hub does not reach the store, and the hub once it does', async () => {
    await start(3)
    const hub = hubOf(fleet)
    fleet.storeCut.add(hub)
    await lose(60, 500)
    await advance(RECOVERY_MS)
    expect(behind(fleet.instances.map(({ name }) => name).filter((name) => name !== hub))).toEqual([])
    // A peer that asks the hub names the era.
    expect(fleet.instances.find(({ name }) => name === hub)!.storeEra.current()).toBe(fleet.store.era)
    fleet.storeCut.delete(hub)
    write()
    await advance(RECOVERY_MS)
    expect(behind()).toEqual([])
  })

  it.each([1, 2])('reaches a data centre that was cut off and comes back %i eras later', async (eras) => {
    await start(3, ['north', 'south', 'west'])
    cutOff('south')
    for (let era = 0; era < eras; era += 1) {
      await lose(60, 500)
      await advance(1500)
    }
    reconnect()
    write()
    await advance(RECOVERY_MS)
    expect(behind()).toEqual([])
  })

  it.each([0, 1, 2, 3, 4, 5])('reaches all beside an instance of the previous release, number %i of 6', async (index) => {
    await start(3, undefined, members(3)[index]!.name)
    await lose(60, 500)
    const others = fleet.instances.map(({ name }) => name).filter((name) => name !== previous)
    await advance(RECOVERY_MS)
    expect(behind(others)).toEqual([])
    await advance(5000)
    expect(behind(others)).toEqual([])
  })
})
