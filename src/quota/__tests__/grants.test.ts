import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFleet } from '../../../experiments/quota/fleet'
import type { Fleet } from '../../../experiments/quota/fleet'
import { QUOTA_UNITS } from '../../constants'
import { LEASE_MS, RECLAIM_MARGIN_MS, createLeaseTracker } from '../leases'
import { FLOOR_FRACTION, planGrants, rebalanceUnits, rowsOrInitial } from '../ledger'
import type { QuotaRows } from '../ledger'
import { LOAN_LIFETIME_BOUND_MS } from '../loans'
import { GrantTier } from '../types'
import type { DataCentreQuota, FleetQuota, Grant } from '../types'

const limits = [{ customer: 'acme', rate: QUOTA_UNITS, burst: QUOTA_UNITS }]

function startFleet (dataCentres: readonly number[]): Fleet {
  let state = 1
  // A linear congruential generator suffices: the tests need reproducible numbers, not high-quality ones.
  const random = (): number => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31
    return state / 2 ** 31
  }
  return createFleet({ random, dataCentres, limits, clockRates: [], loans: false }, { admitted () {}, refunded () {} })
}

/** Returns the units of all instances: with these limits, one token per second for each unit. */
function heldUnits ({ instances }: Fleet): number[] {
  return instances.map(({ accounts, clock, isUp }) => isUp ? accounts.inspect('acme', clock()).rate : 0)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

describe('ledger', () => {
  it('conserves the units and never grants more than a data centre owns', () => {
    const step = fc.record({
      dataCentre: fc.constantFrom('north', 'south', 'west'),
      instance: fc.nat(3),
      live: fc.uniqueArray(fc.nat(3), { maxLength: 4 }),
      weights: fc.tuple(fc.nat(3), fc.nat(3), fc.nat(3)),
      demand: fc.double({ min: 0, max: 3, noNaN: true }),
      reclaims: fc.boolean()
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      let fleet: FleetQuota | undefined
      const dataCentres = new Map<string, DataCentreQuota>()
      steps.forEach(({ dataCentre, instance, live, weights: [north, south, west], demand, reclaims }, index) => {
        const weights = new Map([['north', north], ['south', south], ['west', west]])
        const rows: QuotaRows = rebalanceUnits(rowsOrInitial(fleet, dataCentres.get(dataCentre)), dataCentre, weights)
        const plan = planGrants(rows.dataCentre, {
          self: { instance: `i${instance}`, incarnation: 1, address: `i${instance}` },
          live: new Set(live.map((number) => `i${number}`)),
          target: rows.dataCentre.units,
          lentUnits: { floor: 0, pool: 0 },
          sequence: index,
          demand,
          isReclaimable: ({ instance: other }) => reclaims && other === 'i0'
        })
        fleet = rows.fleet
        dataCentres.set(dataCentre, plan.dataCentre)
        const owned = [...dataCentres.values()].map(({ units }) => units)
        expect(sum(owned) + fleet.freeUnits).toBeCloseTo(QUOTA_UNITS, 6)
        for (const { units, grants } of dataCentres.values()) {
          expect(sum(grants.map((grant) => grant.units))).toBeLessThanOrEqual(units + 1e-6)
          for (const grant of grants) expect(grant.units).toBeGreaterThanOrEqual(0)
        }
      })
    }), { seed: 20261204, numRuns: 200 })
  })

  it('moves only free units out of a data centre whose weight is lowered', () => {
    const grant: Grant = {
      instance: 'a', incarnation: 1, address: 'a', tier: GrantTier.floor, units: 6000, sequence: 1
    }
    const rows = { fleet: { freeUnits: 2000, owned: { north: 8000 } }, dataCentre: { units: 8000, grants: [grant] } }
    const moved = rebalanceUnits(rows, 'north', new Map([['north', 1], ['south', 9]]))
    expect(moved.dataCentre.units).toBe(6000)
    expect(moved.fleet).toEqual({ freeUnits: 4000, owned: { north: 6000 } })
  })
})

describe('lease tracker', () => {
  const grant: Grant = { instance: 'a', incarnation: 5, address: 'a:1', tier: GrantTier.pool, units: 10, sequence: 7 }
  const reclaimDelay = LEASE_MS.pool * 1.001 + RECLAIM_MARGIN_MS

  it.each<[string, number | undefined, number, boolean]>([
    ['does not reclaim on an unchanged sequence before the end of the lease', undefined, reclaimDelay - 1, false],
    ['reclaims on an unchanged sequence after the lease and its margin', undefined, reclaimDelay, true],
    ['does not reclaim on a newer process while old loans may be active', 6, LOAN_LIFETIME_BOUND_MS - 1, false],
    ['reclaims on a newer process after the old loans have ended', 6, LOAN_LIFETIME_BOUND_MS, true],
    ['does not reclaim on an older process at the same address', 4, reclaimDelay - 1, false]
  ])('%s', (_name, incarnation, elapsed, expected) => {
    const watch = createLeaseTracker()
    watch.observe([grant], 1000)
    if (incarnation !== undefined) watch.observeIncarnation('a:1', incarnation, 1000)
    expect(watch.isReclaimable(grant, 1000 + elapsed)).toBe(expected)
  })

  it('restarts the lease when the sequence changes', () => {
    const watch = createLeaseTracker()
    watch.observe([grant], 0)
    watch.observe([{ ...grant, sequence: 8 }], reclaimDelay - 1)
    expect(watch.isReclaimable({ ...grant, sequence: 8 }, reclaimDelay + 1)).toBe(false)
  })
})

describe('grant task', () => {
  it('divides the units evenly among instances that start together', async () => {
    const fleet = startFleet([3, 3, 2])
    await fleet.events.runUntil(15_000)
    const units = heldUnits(fleet)
    expect(sum(units)).toBeCloseTo(QUOTA_UNITS, 3)
    expect(units[0]).toBeCloseTo(QUOTA_UNITS / 9, 3)
    expect(units[7]).toBeCloseTo(QUOTA_UNITS / 6, 3)
  })

  it('gives a newly started instance its share within two renewals', async () => {
    const fleet = startFleet([3])
    fleet.restart(fleet.instances[2]!, 300_000)
    await fleet.events.runUntil(299_000)
    expect(heldUnits(fleet)[0]).toBeGreaterThan(QUOTA_UNITS * 0.49)
    await fleet.events.runUntil(320_000)
    expect(heldUnits(fleet)[2]).toBeGreaterThan(QUOTA_UNITS / 3 * 0.9)
  })

  it('recovers the units within 4 s of a restart, because the newer incarnation proves the old one ended', async () => {
    const fleet = startFleet([3])
    await fleet.events.runUntil(60_000)
    for (const instance of fleet.instances) fleet.restart(instance, 100)
    await fleet.events.runUntil(64_000)
    expect(sum(heldUnits(fleet))).toBeGreaterThan(QUOTA_UNITS * 0.9)
  })

  it('renews despite lost responses and late commits, by reading back which writes took effect', async () => {
    const fleet = startFleet([3])
    Object.assign(fleet.platform.faults, { lostAnswers: 0.5, lateCommits: 0.2 })
    let short = 0
    for (let time = 20_000; time <= 300_000; time += 1000) {
      await fleet.events.runUntil(time)
      if (sum(heldUnits(fleet)) < QUOTA_UNITS * 0.99) short += 1
    }
    expect(short).toBeLessThan(6)
  })

  it('keeps the floor during a platform outage of one hour and recovers the complete share afterwards', async () => {
    const fleet = startFleet([3])
    await fleet.events.runUntil(30_000)
    fleet.platformDown = true
    await fleet.events.runUntil(3_630_000)
    expect(sum(heldUnits(fleet))).toBeCloseTo(QUOTA_UNITS * FLOOR_FRACTION, 3)
    fleet.platformDown = false
    await fleet.events.runUntil(3_650_000)
    expect(sum(heldUnits(fleet))).toBeCloseTo(QUOTA_UNITS, 3)
  })

  it('returns all units on shutdown, so that the others acquire them at their next renewal', async () => {
    const fleet = startFleet([3])
    await fleet.events.runUntil(60_000)
    fleet.shutDown(fleet.instances[0]!, 600_000)
    await fleet.events.runUntil(60_100)
    expect(fleet.platform.row<DataCentreQuota>('quota/dc0')?.grants.map(({ instance }) => instance))
      .not.toContain('i0-0')
    await fleet.events.runUntil(90_000)
    expect(sum(heldUnits(fleet))).toBeCloseTo(QUOTA_UNITS, 3)
  })
})
