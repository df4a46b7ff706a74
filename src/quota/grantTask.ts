/**
 * Manages the grants of one instance: acquires them from the platform's quota rows, renews them, returns units above
 * the instance's share, and reclaims grants that are no longer in use. It has no timer of its own; each result contains
 * the delay until the next call is due.
 */
import { CLOCK_DRIFT_BOUND, PlatformTable } from '../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow, TransactionCondition, TransactionWrite } from '../platform/types'
import type { Incarnation, MonotonicMilliseconds, RandomSource } from '../types'
import type { InstanceQuotaAccounts } from './accounts'
import { LEASE_MS, createLeaseTracker, leaseExpiry } from './leases'
import type { LeaseLengths } from './leases'
import { dataCentreTargets, isHeldBy, planGrants, planRelease, rebalanceUnits, rowsOrInitial } from './ledger'
import type { GrantPlan, Holder } from './ledger'
import { LOAN_LIFETIME_BOUND_MS } from './loans'
import { GrantTier } from './types'
import type { DataCentreQuota, FleetQuota, Grant } from './types'

/** Milliseconds between renewals: two may fail before the lease of the pool tier expires. */
export const RENEWAL_INTERVAL_MS = 10_000

/** Initial retry delay in milliseconds after a failure or while units are missing; doubles up to a limit. */
const INITIAL_RETRY_MS = 1000

/** Limit of that delay while units are missing: within one renewal interval, the holders return them one by one. */
const MAXIMUM_SHORTAGE_RETRY_MS = 3000

/** Maximum jitter in milliseconds that keeps instances from reclaiming the same grants at the same time. */
const RECLAIM_JITTER_MS = 300

/** Retry delay in milliseconds when all attempts of a call ended in conflicts. */
const CONFLICT_RETRY_MS = 200

/** Attempts per call when transactions conflict with other writers. */
const MAXIMUM_ATTEMPTS = 4

/** A shortage of units, or a return of units, is handled before the regular renewal only below this fraction. */
const NEAR_TARGET_FRACTION = 0.9

/** Weight of the newest value in the smoothed demand that is reported with a renewal. */
const DEMAND_SMOOTHING_FACTOR = 0.3

/**
 * Factor by which the smoothed demand must differ from the reported one before the latter is updated. Holders adjust
 * their shares at different times, and units that one has returned and the other has not acquired yet are idle: 8% of
 * the units without this rule.
 */
const DEMAND_CHANGE_FACTOR = 1.5

const TIERS = [GrantTier.floor, GrantTier.pool] as const

function mapTiers (units: (tier: GrantTier) => number): Record<GrantTier, number> {
  return { [GrantTier.floor]: units(GrantTier.floor), [GrantTier.pool]: units(GrantTier.pool) }
}

/** Key of the fleet's row. Cannot clash with a data centre, whose name begins with a letter or a digit. */
const FLEET_KEY = '_fleet'

export interface GrantTaskOptions {
  platform: Pick<PlatformClient, 'readRow' | 'commit'>
  accounts: InstanceQuotaAccounts
  self: Holder & { dataCentre: string }
  /** Returns the weights of the data centres in the current configuration. */
  weights: () => ReadonlyMap<string, number>
  /** Returns the names of the live instances of the own data centre, without leaving ones. */
  liveInstances: () => readonly string[]
  /** Clock that `now` is read from; read again after every response of the platform. */
  clock: () => MonotonicMilliseconds
  random: RandomSource
  /** @default CLOCK_DRIFT_BOUND */
  driftBound?: number
  /** Lease lengths; must be the same on all instances. @default LEASE_MS */
  leases?: LeaseLengths
  /** Fraction of the units held as floor. @default FLOOR_FRACTION */
  floorFraction?: number
  /** Milliseconds between renewals. @default RENEWAL_INTERVAL_MS */
  renewalInterval?: number
}

export interface GrantTickResult {
  outcome: 'renewed' | 'unchanged' | 'conflict' | 'unavailable' | 'unknown' | 'released'
  /** Milliseconds until the next call is due. */
  delay: number
  /** Units held after the call. */
  units: Readonly<Record<GrantTier, number>>
  /** Grants of other processes that the call reclaimed. */
  reclaimed: readonly Grant[]
}

export interface GrantTask {
  /** Renews the grants. Rejects only on invalid rows or internal errors, never because the platform is unavailable. */
  tick: (now: MonotonicMilliseconds) => Promise<GrantTickResult>
  /**
   * Releases the grants permanently and stops lending. When `released` is false, because peers still use some units or
   * the write failed, another call is due after `delay`; without it, the grants expire.
   */
  release: (now: MonotonicMilliseconds) => Promise<{ released: boolean, delay: number }>
  /** Records the incarnation that a peer sent in its handshake. */
  observeIncarnation: (address: string, incarnation: Incarnation, now: MonotonicMilliseconds) => void
}

interface HeldGrant {
  units: number
  expiresAt: MonotonicMilliseconds
}

export function createGrantTask (options: GrantTaskOptions): GrantTask {
  const { platform, accounts, clock, random } = options
  const { dataCentre, ...self } = options.self
  const driftBound = options.driftBound ?? CLOCK_DRIFT_BOUND
  const { leases = LEASE_MS, floorFraction, renewalInterval = RENEWAL_INTERVAL_MS } = options
  const leaseTracker = createLeaseTracker(driftBound, leases)
  const held: Record<GrantTier, HeldGrant> = { floor: { units: 0, expiresAt: 0 }, pool: { units: 0, expiresAt: 0 } }
  let sequence = 0
  let failures = 0
  let renewedAt = -Infinity
  let smoothedDemand = 0
  let reportedDemand = 0
  let isReleasing = false
  let runningTick: Promise<GrantTickResult> | undefined

  function setGrant (
    tier: GrantTier, units: number, expiresAt: MonotonicMilliseconds, now: MonotonicMilliseconds
  ): void {
    held[tier] = { units, expiresAt }
    accounts.setGrant(tier, units, expiresAt, now)
  }

  /** Stops using units before the platform can grant them to other instances. */
  function lowerHeldUnits (units: Readonly<Record<GrantTier, number>>, now: MonotonicMilliseconds): void {
    for (const tier of TIERS) if (units[tier] < held[tier].units) setGrant(tier, units[tier], held[tier].expiresAt, now)
  }

  /** Returns the units of each tier that peers may be using; expired grants have no loans left. */
  function lentUnitsByTier (now: MonotonicMilliseconds): Record<GrantTier, number> {
    const lent = accounts.lentUnits(now)
    return mapTiers((tier) => held[tier].expiresAt > now ? Math.min(held[tier].units, lent) : 0)
  }

  function heldUnits (now: MonotonicMilliseconds): Record<GrantTier, number> {
    return mapTiers((tier) => held[tier].expiresAt > now ? held[tier].units : 0)
  }

  /** Returns the units that the row records for this process. */
  function recordedUnits ({ grants }: DataCentreQuota): Record<GrantTier, number> {
    return mapTiers((tier) => grants.find((grant) => grant.tier === tier && isHeldBy(grant, self))?.units ?? 0)
  }

  function result (
    outcome: GrantTickResult['outcome'], delay: number, reclaimed: readonly Grant[] = []
  ): GrantTickResult {
    return { outcome, delay, units: heldUnits(clock()), reclaimed }
  }

  function jittered (delay: number, spread: number): number {
    return Math.round(delay * (1 - spread + 2 * spread * random()))
  }

  function backoff (longest: number): number {
    failures += 1
    return jittered(Math.min(longest, INITIAL_RETRY_MS * 2 ** (failures - 1)), 0.5)
  }

  async function readRows (): Promise<ReadRows> {
    const [fleet, row] = await Promise.all([
      platform.readRow<FleetQuota>(PlatformTable.quota, FLEET_KEY),
      platform.readRow<DataCentreQuota>(PlatformTable.quota, dataCentre)
    ])
    const now = clock()
    const grants = row?.value.grants ?? []
    leaseTracker.observe(grants, now)
    leaseTracker.observeIncarnation(self.address, self.incarnation, now)
    for (const tier of TIERS) {
      const own = grants.find((grant) => grant.tier === tier && isHeldBy(grant, self))
      sequence = Math.max(sequence, own?.sequence ?? 0)
      // Grants in use are never reclaimed, so fewer units mean that the row was edited manually; its content takes
      // precedence.
      if ((own?.units ?? 0) < held[tier].units) setGrant(tier, own?.units ?? 0, held[tier].expiresAt, now)
    }
    return { fleet, row }
  }

  /**
   * Returns the instances to divide units among: listed ones, and holders that are live according to their renewals.
   */
  function liveInstances (grants: readonly Grant[], now: MonotonicMilliseconds): Set<string> {
    const renewing = grants
      .filter((grant) => leaseTracker.isRecentlyRenewed(grant, now))
      .map(({ instance }) => instance)
    return new Set([...options.liveInstances(), ...renewing, self.instance])
  }

  function updateReportedDemand (now: MonotonicMilliseconds): void {
    smoothedDemand += DEMAND_SMOOTHING_FACTOR * (accounts.demandShare(now) - smoothedDemand)
    const isClose = smoothedDemand < reportedDemand * DEMAND_CHANGE_FACTOR &&
      smoothedDemand > reportedDemand / DEMAND_CHANGE_FACTOR
    if (!isClose) reportedDemand = smoothedDemand
  }

  /** Makes one attempt to renew. Returns undefined after a conflict, when another attempt is needed. */
  async function renew (): Promise<GrantTickResult | undefined> {
    const read = await readRows()
    const before = rowsOrInitial(read.fleet?.value, read.row?.value)
    const rows = rebalanceUnits(before, dataCentre, options.weights())
    const now = clock()
    const lentUnits = lentUnitsByTier(now)
    const plan = planGrants(rows.dataCentre, {
      self,
      live: liveInstances(rows.dataCentre.grants, now),
      target: dataCentreTargets(options.weights()).get(dataCentre) ?? 0,
      lentUnits,
      sequence: sequence + 1,
      demand: reportedDemand,
      floorFraction,
      isReclaimable: (grant) => leaseTracker.isReclaimable(grant, now)
    })
    const units = heldUnits(now)
    const gainsUnits = TIERS.some((tier) => plan.granted[tier] > units[tier])
    // An instance that has just started waits for the units that others hold above their shares. The comparison uses
    // the row, since the units in use are already lowered before a commit that may then fail.
    const recorded = recordedUnits(rows.dataCentre)
    const releasesUnits = TIERS.some((tier) => plan.granted[tier] < recorded[tier] * NEAR_TARGET_FRACTION)
    if (now - renewedAt < renewalInterval / 2 && !gainsUnits && !releasesUnits && plan.reclaimed.length === 0) {
      return result('unchanged', nextDelay(plan, now))
    }
    lowerHeldUnits(plan.granted, now)
    sequence += 1
    const fleetChanged = rows.fleet !== before.fleet || read.fleet === undefined
    const sentAt = clock()
    try {
      await commit(read, plan.dataCentre, fleetChanged ? rows.fleet : undefined)
    } catch (error) {
      if (error instanceof TransactionConflictError) return undefined
      if (!(error instanceof OutcomeUnknownError) || !await wasCommitted(sequence)) throw error
    }
    for (const tier of TIERS) setGrant(tier, plan.granted[tier], leaseExpiry(leases[tier], sentAt, driftBound), clock())
    renewedAt = sentAt
    return result('renewed', nextDelay(plan, clock()), plan.reclaimed)
  }

  async function commit (read: ReadRows, row: DataCentreQuota, fleet: FleetQuota | undefined): Promise<void> {
    const conditions: TransactionCondition[] = [
      { table: PlatformTable.quota, key: dataCentre, version: read.row?.version ?? 0 }
    ]
    const writes: TransactionWrite[] = [{ table: PlatformTable.quota, key: dataCentre, value: row }]
    if (fleet !== undefined) {
      conditions.push({ table: PlatformTable.quota, key: FLEET_KEY, version: read.fleet?.version ?? 0 })
      writes.push({ table: PlatformTable.quota, key: FLEET_KEY, value: fleet })
    }
    const identifier = `quota/${self.instance}/${self.incarnation}/${sequence}`
    await platform.commit({ identifier, conditions, writes })
  }

  /** Reads back whether a write whose response was lost has taken effect. */
  async function wasCommitted (writtenSequence: number): Promise<boolean> {
    const row = await platform.readRow<DataCentreQuota>(PlatformTable.quota, dataCentre)
    return row?.value.grants.some((grant) => isHeldBy(grant, self) && grant.sequence === writtenSequence) ?? false
  }

  function nextDelay (plan: GrantPlan, now: MonotonicMilliseconds): number {
    const units = heldUnits(now)
    const isShort = TIERS.some((tier) => units[tier] < plan.targetUnits[tier] * NEAR_TARGET_FRACTION)
    if (isShort) return backoff(MAXIMUM_SHORTAGE_RETRY_MS)
    failures = 0
    const reclaimableAt = Math.min(...plan.dataCentre.grants
      .filter((grant) => !isHeldBy(grant, self) && !leaseTracker.isRecentlyRenewed(grant, now))
      .map((grant) => leaseTracker.reclaimableAt(grant)))
    const regularDelay = jittered(renewalInterval, 0.1)
    return Math.min(regularDelay, Math.max(INITIAL_RETRY_MS, reclaimableAt - now + RECLAIM_JITTER_MS * random()))
  }

  async function tick (): Promise<GrantTickResult> {
    if (isReleasing) return result('released', renewalInterval)
    updateReportedDemand(clock())
    try {
      for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
        const renewed = await renew()
        if (renewed !== undefined) return renewed
      }
      return result('conflict', jittered(CONFLICT_RETRY_MS, 0.5))
    } catch (error) {
      if (error instanceof PlatformUnavailableError) return result('unavailable', backoff(renewalInterval))
      if (error instanceof OutcomeUnknownError) return result('unknown', backoff(renewalInterval))
      throw error
    }
  }

  return {
    tick () {
      runningTick ??= tick().finally(() => { runningTick = undefined })
      return runningTick
    },
    async release () {
      isReleasing = true
      accounts.stopLending()
      await runningTick?.catch(() => undefined)
      const now = clock()
      const lent = lentUnitsByTier(now)
      lowerHeldUnits(lent, now)
      try {
        const read = await readRows()
        sequence += 1
        if (read.row !== undefined) await commit(read, planRelease(read.row.value, self, lent, sequence), undefined)
      } catch (error) {
        if (error instanceof TransactionConflictError) {
          return { released: false, delay: jittered(CONFLICT_RETRY_MS, 0.5) }
        }
        if (error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError) {
          return { released: false, delay: backoff(renewalInterval) }
        }
        throw error
      }
      const released = TIERS.every((tier) => lent[tier] === 0)
      return { released, delay: released ? 0 : LOAN_LIFETIME_BOUND_MS }
    },
    observeIncarnation: leaseTracker.observeIncarnation
  }
}

interface ReadRows {
  fleet: TableRow<FleetQuota> | undefined
  row: TableRow<DataCentreQuota> | undefined
}
