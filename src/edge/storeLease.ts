/**
 * Lease stored in a row of the store. Only the lease holder sends commands to engines.
 *
 * The holder measures the lease on both of its clocks, from before it sent the write. The row contains the expiry time
 * on the store's clock, so that an instance that has not seen the row before can tell whether the lease has expired.
 *
 * A grant of an earlier era of the store is void, since the row that proves it may be lost. Its holder may claim the
 * lease again at once, because no other instance can have taken it over yet. All others wait until the grants of the
 * earlier era have run out, since the restored row may not name their last holder.
 */
import { elapsed } from './freshness'
import { eraPosition, type StoreEra } from './storeEra/storeEra'
import type { Instant, StoreRow } from './types'

/** Fraction of the lease for which the holder uses it, so that its last command arrives before the lease expires. */
const HOLD_FRACTION = 0.7
/** Fraction of the lease after which the holder renews it while there is work. */
const RENEWAL_FRACTION = 0.35
/**
 * Time that another instance waits after the expiry, as a fraction of the lease. Together with the unused end of the
 * lease it keeps the commands of two holders at least one lease duration apart.
 */
const TAKEOVER_DELAY_FRACTION = 0.8

export interface LeaseRecord {
  holder: string
  /** Distinguishes successive processes of one instance. */
  incarnation: number
  /** Expiry time in milliseconds on the store's clock. */
  expires: number
  /** Era of the store in which the row was written; missing in era 0 and in rows of releases without eras. */
  era?: number
}

export interface StoreLease {
  /** Records the current row of the lease, read in an era; undefined if there is none. @param era default 0 */
  observeRow: (row: StoreRow | undefined, era?: number) => void
  /** Records the store time in the response, of an era, to a call that was sent at `sentAt`. @param era default 0 */
  observeStoreTime: (storeTime: number, sentAt: Instant, era?: number) => void
  /**
   * Returns the value for a write that claims or renews the lease, and the version that the row must have. A holder can
   * renew without reading the row again; otherwise the result reflects the last row observed. Returns `availableIn`,
   * the milliseconds until the lease can be taken over unless it is renewed, while another instance holds it. Returns
   * undefined before the first store time of the current era is known. The write grants the lease only if it is
   * committed in the returned era.
   */
  prepareClaim: (now: Instant) => { value: string, version: number, era: number } | { availableIn: number } | undefined
  /** Records that the write sent at `sentAt` was committed with this version in an era. @param era default 0 */
  recordGrant: (version: number, sentAt: Instant, era?: number) => void
  /** Whether this instance held the lease when the era changed, and may claim it again without a delay. */
  mayReclaim: (now: Instant) => boolean
  /**
   * Returns the fencing token while this instance holds the lease, otherwise undefined. Tokens grow across eras; in era 0
   * they are the versions of the row.
   */
  fencingToken: (now: Instant) => number | undefined
  /** Whether the lease should be claimed or renewed now. */
  needsRenewal: (now: Instant) => boolean
  /** Stops using the lease, after a write that failed or has an unknown outcome. */
  invalidate: () => void
}

function parseRecord (row: StoreRow): LeaseRecord | undefined {
  try {
    const record = JSON.parse(row.value?.toString('utf8') ?? '') as Partial<LeaseRecord>
    const { holder, incarnation, expires, era } = record
    return typeof holder === 'string' && typeof incarnation === 'number' && typeof expires === 'number'
      ? { holder, incarnation, expires, ...(typeof era === 'number' ? { era } : {}) }
      : undefined
  } catch {
    // Only the router writes to this table; a row that cannot be parsed does not represent a valid lease.
    return undefined
  }
}

/** Era of a store that names none. */
const NO_ERA: Pick<StoreEra, 'current' | 'since'> = { current: () => 0, since: () => undefined }

export function createStoreLease (
  holder: string, incarnation: number, duration: number, storeEra: Pick<StoreEra, 'current' | 'since'> = NO_ERA
): StoreLease {
  let observed: { row: StoreRow | undefined, era: number } = { row: undefined, era: 0 }
  let grant: { version: number, era: number, since: Instant } | undefined
  /** The last grant that was committed, also if it is not used any more. */
  let lastGrant: { era: number, since: Instant } | undefined
  let storeClock: { storeTime: number, at: Instant, era: number } | undefined

  function heldVersion (now: Instant): number | undefined {
    const isHeld = grant?.era === storeEra.current() && elapsed(grant.since, now) < duration * HOLD_FRACTION
    return isHeld ? grant?.version : undefined
  }

  function mayReclaim (now: Instant): boolean {
    return lastGrant !== undefined && lastGrant.era < storeEra.current() && elapsed(lastGrant.since, now) < duration
  }

  /** Returns the milliseconds until no other instance uses a grant of an earlier era; negative if none does. */
  function earlierGrantsEndIn (now: Instant): number {
    const since = storeEra.since()
    if (storeEra.current() === 0 || since === undefined || mayReclaim(now)) return -Infinity
    return duration * (1 + TAKEOVER_DELAY_FRACTION) - elapsed(since, now)
  }

  /** Returns the milliseconds until the lease can be taken over; negative if it can. */
  function rowEndsIn (record: LeaseRecord | undefined, storeTime: number, now: Instant): number {
    const era = storeEra.current()
    const isOfThisEra = record !== undefined && (record.era ?? 0) === era
    const isOwn = isOfThisEra && record.holder === holder && record.incarnation === incarnation
    // A row of an earlier era names a time on a clock that may have started anew; releases without eras name no era.
    const ignoresTime = record === undefined || isOwn || (record.era !== undefined && !isOfThisEra)
    const endsIn = ignoresTime ? -Infinity : record.expires + duration * TAKEOVER_DELAY_FRACTION - storeTime
    return isOfThisEra ? endsIn : Math.max(endsIn, earlierGrantsEndIn(now))
  }

  return {
    observeRow (row, era = 0) {
      if (grant?.era === era && row !== undefined && row.version > grant.version) {
        grant = undefined
        lastGrant = undefined
      }
      observed = { row, era }
    },
    observeStoreTime (storeTime, sentAt, era = 0) {
      storeClock = { storeTime, at: sentAt, era }
    },
    prepareClaim (now) {
      const era = storeEra.current()
      if (storeClock?.era !== era) return undefined
      const { storeTime: lastStoreTime, at } = storeClock
      /** An upper bound for the current time of the store's clock. */
      const storeTime = lastStoreTime + elapsed(at, now)
      const value: LeaseRecord = {
        holder, incarnation, expires: Math.ceil(storeTime + duration), ...(era > 0 ? { era } : {})
      }
      const held = heldVersion(now)
      if (held !== undefined) return { value: JSON.stringify(value), version: held, era }
      if (observed.era !== era) return undefined
      const { row } = observed
      const parsed = row === undefined ? undefined : parseRecord(row)
      // Only another writer sets a later end; such a row would hold the lease forever.
      const record = parsed !== undefined && parsed.expires <= storeTime + 2 * duration ? parsed : undefined
      // Uses the observed store time rather than an extrapolation, because it is never ahead of the store's clock.
      const availableIn = rowEndsIn(record, lastStoreTime, now)
      return availableIn >= 0
        ? { availableIn }
        : { value: JSON.stringify(value), version: row?.version ?? 0, era }
    },
    recordGrant (version, sentAt, era = 0) {
      grant = { version, era, since: sentAt }
      lastGrant = grant
    },
    mayReclaim,
    fencingToken (now) {
      const held = heldVersion(now)
      return held === undefined ? undefined : eraPosition(storeEra.current(), held)
    },
    needsRenewal: (now) => (
      heldVersion(now) === undefined || elapsed(grant!.since, now) > duration * RENEWAL_FRACTION
    ),
    invalidate () {
      grant = undefined
    }
  }
}
