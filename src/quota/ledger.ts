/**
 * Plans changes of the platform's quota rows. Units are conserved: the free units of the fleet and the units of the data
 * centres add up to `QUOTA_UNITS`, and the grants of a data centre never exceed its units. Units are fractions where a
 * division leaves a remainder.
 */
import { QUOTA_UNITS } from '../constants'
import { InternalError } from '../errors'
import type { Incarnation } from '../types'
import { GrantTier } from './types'
import type { DataCentreQuota, FleetQuota, Grant } from './types'

/** Part of the pool that is divided evenly; the rest is divided by demand. An idle instance so keeps enough to begin. */
const EVEN_PART = 0.25

/**
 * Part of the units that is held as floor. In an outage of the platform of an hour, 0.5 refused 17% of the requests inside
 * the rate and 0.9 refused 0.5%; a crash cost 0.6% and 1.0% (experiments/quota).
 */
export const FLOOR_PART = 0.9

/** Demand taken for an instance that has not reported any, as a part of the rate. */
const SMALLEST_DEMAND = 0.01

/** Units by which sums may differ because of rounding. */
const ROUNDING_UNITS = 1e-6

/** Process that holds grants. */
export interface Holder {
  instance: string
  incarnation: Incarnation
  /** `host:port` for peers. */
  address: string
}

export interface QuotaRows {
  fleet: FleetQuota
  dataCentre: DataCentreQuota
}

/** Units that each data centre should own, by weight. */
export function dataCentreTargets (weights: ReadonlyMap<string, number>): Map<string, number> {
  const usable = [...weights].filter(([, weight]) => Number.isFinite(weight) && weight > 0)
  const total = usable.reduce((sum, [, weight]) => sum + weight, 0)
  return new Map(usable.map(([name, weight]) => [name, QUOTA_UNITS * weight / total]))
}

/** Rows as they are, or as they begin: all units are free. */
export function existingRows (fleet: FleetQuota | undefined, dataCentre: DataCentreQuota | undefined): QuotaRows {
  return {
    fleet: fleet ?? { freeUnits: QUOTA_UNITS, owned: {} },
    dataCentre: dataCentre ?? { units: 0, grants: [] }
  }
}

/**
 * Moves units between the fleet's free units and one data centre towards its target. Only free units move: those that no
 * data centre owns, and those of this data centre that are not granted.
 */
export function claimUnits (rows: QuotaRows, name: string, weights: ReadonlyMap<string, number>): QuotaRows {
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

/** Units of a data centre that are not granted. */
export function freeUnits (dataCentre: DataCentreQuota): number {
  return Math.max(0, dataCentre.units - sumUnits(dataCentre.grants))
}

export interface GrantPlanOptions {
  self: Holder
  /** Instances of this data centre among which the units are divided; `self` is always one of them. */
  live: ReadonlySet<string>
  /** Units that the data centre should own. Holders shrink to their part of it even before units have moved. */
  target: number
  /** Units that must stay because peers are using them. */
  keep: Readonly<Record<GrantTier, number>>
  /** Sequence of the new grants, never used before by this process. */
  sequence: number
  /** This instance's recent demand as a part of the rate. */
  demand: number
  /** Part of the units that is held as floor. @default FLOOR_PART */
  floorPart?: number
  /** True for grants of others that may be reclaimed. */
  isReclaimable: (grant: Grant) => boolean
}

export interface GrantPlan {
  dataCentre: DataCentreQuota
  granted: Record<GrantTier, number>
  /** What this instance should have when the others have given back what exceeds their parts. */
  wanted: Record<GrantTier, number>
  reclaimed: readonly Grant[]
}

/** Renews or acquires the grants of one instance, gives back what exceeds its part and reclaims what is not in use. */
export function planGrants (row: DataCentreQuota, options: GrantPlanOptions): GrantPlan {
  const { self, keep, sequence, demand } = options
  const others = row.grants.filter((grant) => !isHeldBy(grant, self))
  const reclaimed = others.filter((grant) => options.isReclaimable(grant))
  const remaining = others.filter((grant) => !reclaimed.includes(grant))
  const wanted = partOf(remaining, Math.min(row.units, options.target), options)
  const available = Math.max(0, row.units - sumUnits(remaining))
  const floor = Math.max(keep.floor, Math.min(wanted.floor, available - keep.pool))
  const pool = Math.max(keep.pool, Math.min(wanted.pool, available - floor))
  if (floor + pool > available + ROUNDING_UNITS) {
    throw new InternalError(`instance ${self.instance} uses ${floor + pool} units where ${available} are available`)
  }
  const own: Grant[] = [
    { ...self, tier: GrantTier.floor, units: floor, sequence },
    { ...self, tier: GrantTier.pool, units: pool, sequence, demand }
  ]
  return {
    dataCentre: { units: row.units, grants: [...remaining, ...own] },
    granted: { floor, pool },
    wanted,
    reclaimed
  }
}

/** Removes the grants of one process, except for units that peers are still using. */
export function planRelease (
  row: DataCentreQuota, self: Holder, keep: Readonly<Record<GrantTier, number>>, sequence: number
): DataCentreQuota {
  const others = row.grants.filter((grant) => !isHeldBy(grant, self))
  const own = [GrantTier.floor, GrantTier.pool]
    .filter((tier) => keep[tier] > 0)
    .map((tier): Grant => ({ ...self, tier, units: keep[tier], sequence }))
  return { units: row.units, grants: [...others, ...own] }
}

export function isHeldBy (grant: Grant, holder: Holder): boolean {
  const { instance, incarnation, address } = holder
  return grant.instance === instance && grant.incarnation === incarnation && grant.address === address
}

/** The instance's part: an even share of the units for the floor, and a share by demand of the rest. */
function partOf (
  others: readonly Grant[], units: number, { self, live, demand, floorPart = FLOOR_PART }: GrantPlanOptions
): Record<GrantTier, number> {
  const names = new Set([...live, self.instance])
  const newest = new Map([[self.instance, self.incarnation]])
  for (const { instance, incarnation } of others) {
    newest.set(instance, Math.max(incarnation, newest.get(instance) ?? incarnation))
  }
  // Grants of processes that ended or are not known to live cannot be divided until they are reclaimed.
  const isLocked = (grant: Grant): boolean =>
    !names.has(grant.instance) || grant.incarnation < newest.get(grant.instance)!
  const locked = sumUnits(others.filter(isLocked))
  const divisible = Math.max(0, units - locked)
  const demands = new Map<string, number>()
  for (const grant of others) {
    const { instance, demand: other } = grant
    if (other !== undefined && !isLocked(grant)) demands.set(instance, Math.max(SMALLEST_DEMAND, other))
  }
  demands.set(self.instance, Math.max(SMALLEST_DEMAND, demand))
  const known = [...demands.values()].reduce((sum, value) => sum + value, 0)
  // An instance that has not reported yet counts as having the mean demand.
  const total = known * names.size / demands.size
  const share = EVEN_PART / names.size + (1 - EVEN_PART) * demands.get(self.instance)! / total
  return { floor: divisible * floorPart / names.size, pool: divisible * (1 - floorPart) * share }
}

function sumUnits (grants: readonly Grant[]): number {
  return grants.reduce((sum, { units }) => sum + units, 0)
}
