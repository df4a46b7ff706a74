/**
 * Plans changes to the platform's quota rows. Units are conserved: the free units of the fleet and the units of the
 * data centres add up to `QUOTA_UNITS`, and the grants of a data centre never exceed its units. Units need not be
 * integers.
 */
import { QUOTA_UNITS } from '../constants'
import { InternalError } from '../errors'
import type { Incarnation } from '../types'
import { GrantTier } from './types'
import type { DataCentreQuota, FleetQuota, Grant } from './types'

/** Fraction of the pool that is divided evenly, so that an idle instance can start serving; the rest follows demand. */
const EVEN_POOL_FRACTION = 0.25

/**
 * Fraction of the units held as floor. During a platform outage of one hour, 0.5 rejected 17% of the requests within
 * the rate and 0.9 rejected 0.5%; after a crash, 0.6% and 1.0% were rejected (experiments/quota).
 */
export const FLOOR_FRACTION = 0.9

/** Lower bound on the demand by which the pool is divided, as a fraction of the rate; used for idle instances. */
const MINIMUM_DEMAND = 0.01

/** Tolerance for rounding errors in sums of units. */
const ROUNDING_UNITS = 1e-6

/** Identity of a process that holds grants. */
export interface Holder {
  instance: string
  incarnation: Incarnation
  /** `host:port` for peer connections. */
  address: string
}

export interface QuotaRows {
  fleet: FleetQuota
  dataCentre: DataCentreQuota
}

/** Returns the units that each data centre should own, in proportion to its weight. */
export function dataCentreTargets (weights: ReadonlyMap<string, number>): Map<string, number> {
  const usable = [...weights].filter(([, weight]) => Number.isFinite(weight) && weight > 0)
  const total = usable.reduce((sum, [, weight]) => sum + weight, 0)
  return new Map(usable.map(([name, weight]) => [name, QUOTA_UNITS * weight / total]))
}

/** Returns the existing rows, or initial ones in which all units are free. */
export function rowsOrInitial (fleet: FleetQuota | undefined, dataCentre: DataCentreQuota | undefined): QuotaRows {
  return {
    fleet: fleet ?? { freeUnits: QUOTA_UNITS, owned: {} },
    dataCentre: dataCentre ?? { units: 0, grants: [] }
  }
}

/**
 * Moves units between the fleet's free units and one data centre, towards the target of the data centre. Only free
 * units move: those not owned by any data centre, and those of this data centre that are not granted.
 */
export function rebalanceUnits (rows: QuotaRows, name: string, weights: ReadonlyMap<string, number>): QuotaRows {
  const { fleet, dataCentre } = rows
  const owned = fleet.owned[name] ?? 0
  if (Math.abs(owned - dataCentre.units) > ROUNDING_UNITS) {
    throw new InternalError(`quota rows disagree on data centre ${name}: ${owned} and ${dataCentre.units} units`)
  }
  const target = dataCentreTargets(weights).get(name) ?? 0
  const wanted = target - dataCentre.units
  const moved = wanted > 0
    ? Math.min(wanted, fleet.freeUnits)
    : -Math.min(-wanted, freeUnits(dataCentre))
  if (Math.abs(moved) <= ROUNDING_UNITS) return rows
  const units = Math.max(0, dataCentre.units + moved)
  return {
    fleet: { freeUnits: Math.max(0, fleet.freeUnits - moved), owned: { ...fleet.owned, [name]: units } },
    dataCentre: { ...dataCentre, units }
  }
}

/** Returns the units of a data centre that are not granted. */
export function freeUnits (dataCentre: DataCentreQuota): number {
  return Math.max(0, dataCentre.units - sumUnits(dataCentre.grants))
}

export interface GrantPlanOptions {
  self: Holder
  /** Instances of this data centre among which the units are divided; `self` is always included. */
  live: ReadonlySet<string>
  /** Units that the data centre should own. Holders shrink to their share of it even before units have moved. */
  target: number
  /** Units that must stay granted because peers are using them. */
  lentUnits: Readonly<Record<GrantTier, number>>
  /** Sequence of the new grants; must not have been used by this process before. */
  sequence: number
  /** Recent demand of this instance as a fraction of the rate. */
  demand: number
  /** Fraction of the units held as floor. @default FLOOR_FRACTION */
  floorFraction?: number
  /** Returns whether the grant of another process may be reclaimed. */
  isReclaimable: (grant: Grant) => boolean
}

export interface GrantPlan {
  dataCentre: DataCentreQuota
  granted: Record<GrantTier, number>
  /** Units that this instance should hold once the other holders have returned what exceeds their shares. */
  targetUnits: Record<GrantTier, number>
  reclaimed: readonly Grant[]
}

/** Plans the grants of one instance: renews or acquires them, returns surplus units and reclaims unused grants. */
export function planGrants (row: DataCentreQuota, options: GrantPlanOptions): GrantPlan {
  const { self, lentUnits, sequence, demand } = options
  const others = row.grants.filter((grant) => !isHeldBy(grant, self))
  const reclaimed = others.filter((grant) => options.isReclaimable(grant))
  const remaining = others.filter((grant) => !reclaimed.includes(grant))
  const targetUnits = computeTargetUnits(remaining, Math.min(row.units, options.target), options)
  const available = Math.max(0, row.units - sumUnits(remaining))
  const floor = Math.max(lentUnits.floor, Math.min(targetUnits.floor, available - lentUnits.pool))
  const pool = Math.max(lentUnits.pool, Math.min(targetUnits.pool, available - floor))
  if (floor + pool > available + ROUNDING_UNITS) {
    throw new InternalError(`instance ${self.instance} uses ${floor + pool} units, but only ${available} are available`)
  }
  const own: Grant[] = [
    { ...self, tier: GrantTier.floor, units: floor, sequence },
    { ...self, tier: GrantTier.pool, units: pool, sequence, demand }
  ]
  return {
    dataCentre: { units: row.units, grants: [...remaining, ...own] },
    granted: { floor, pool },
    targetUnits,
    reclaimed
  }
}

/** Plans the removal of the grants of one process, except for units that peers are still using. */
export function planRelease (
  row: DataCentreQuota, self: Holder, lentUnits: Readonly<Record<GrantTier, number>>, sequence: number
): DataCentreQuota {
  const others = row.grants.filter((grant) => !isHeldBy(grant, self))
  const own = [GrantTier.floor, GrantTier.pool]
    .filter((tier) => lentUnits[tier] > 0)
    .map((tier): Grant => ({ ...self, tier, units: lentUnits[tier], sequence }))
  return { units: row.units, grants: [...others, ...own] }
}

export function isHeldBy (grant: Grant, holder: Holder): boolean {
  const { instance, incarnation, address } = holder
  return grant.instance === instance && grant.incarnation === incarnation && grant.address === address
}

/** Computes the target units of the instance: an even share of the floor, and a share of the pool by demand. */
function computeTargetUnits (
  others: readonly Grant[], units: number, { self, live, demand, floorFraction = FLOOR_FRACTION }: GrantPlanOptions
): Record<GrantTier, number> {
  const names = new Set([...live, self.instance])
  const newestIncarnations = new Map([[self.instance, self.incarnation]])
  for (const { instance, incarnation } of others) {
    newestIncarnations.set(instance, Math.max(incarnation, newestIncarnations.get(instance) ?? incarnation))
  }
  // Grants of processes that have ended or are not known to be live cannot be divided until they are reclaimed.
  const isLocked = (grant: Grant): boolean =>
    !names.has(grant.instance) || grant.incarnation < newestIncarnations.get(grant.instance)!
  const locked = sumUnits(others.filter(isLocked))
  const divisible = Math.max(0, units - locked)
  const demands = new Map<string, number>()
  for (const grant of others) {
    const { instance, demand: reported } = grant
    if (reported !== undefined && !isLocked(grant)) demands.set(instance, Math.max(MINIMUM_DEMAND, reported))
  }
  demands.set(self.instance, Math.max(MINIMUM_DEMAND, demand))
  const reportedTotal = [...demands.values()].reduce((sum, value) => sum + value, 0)
  // Instances that have not reported a demand yet are assumed to have the mean demand.
  const total = reportedTotal * names.size / demands.size
  const share = EVEN_POOL_FRACTION / names.size + (1 - EVEN_POOL_FRACTION) * demands.get(self.instance)! / total
  return { floor: divisible * floorFraction / names.size, pool: divisible * (1 - floorFraction) * share }
}

function sumUnits (grants: readonly Grant[]): number {
  return grants.reduce((sum, { units }) => sum + units, 0)
}
