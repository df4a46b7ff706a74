/**
 * Lease stored in a row of the store. Only the lease holder sends commands to engines.
 *
 * The holder measures the lease on both of its clocks, from before it sent the write. The row contains the expiry time
 * on the store's clock, so that an instance that has not seen the row before can tell whether the lease has expired.
 */
import { elapsed } from './freshness'
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
}

export interface StoreLease {
  /** Records the current row of the lease; undefined if there is none. */
  observeRow: (row: StoreRow | undefined) => void
  /** Records the store time in the response to a call that was sent at `sentAt`. */
  observeStoreTime: (storeTime: number, sentAt: Instant) => void
  /**
   * Returns the value for a write that claims or renews the lease, and the version that the row must have. A holder can
   * renew without reading the row again; otherwise the result reflects the last row observed. Returns `availableIn`,
   * the milliseconds until the lease can be taken over unless it is renewed, while another instance holds it. Returns
   * undefined before the first store time is known.
   */
  prepareClaim: (now: Instant) => { value: string, version: number } | { availableIn: number } | undefined
  /** Records that the write sent at `sentAt` was committed with this version. */
  recordGrant: (version: number, sentAt: Instant) => void
  /** Returns the fencing token while this instance holds the lease, otherwise undefined. */
  fencingToken: (now: Instant) => number | undefined
  /** Whether the lease should be claimed or renewed now. */
  needsRenewal: (now: Instant) => boolean
  /** Stops using the lease, after a write that failed or has an unknown outcome. */
  invalidate: () => void
}

function parseRecord (row: StoreRow): LeaseRecord | undefined {
  try {
    const record = JSON.parse(row.value?.toString('utf8') ?? '') as Partial<LeaseRecord>
    const { holder, incarnation, expires } = record
    return typeof holder === 'string' && typeof incarnation === 'number' && typeof expires === 'number'
      ? { holder, incarnation, expires }
      : undefined
  } catch {
    // Only the router writes to this table; a row that cannot be parsed does not represent a valid lease.
    return undefined
  }
}

export function createStoreLease (holder: string, incarnation: number, duration: number): StoreLease {
  let row: StoreRow | undefined
  let grant: { token: number, since: Instant } | undefined
  let storeClock: { storeTime: number, at: Instant } | undefined

  /** Returns an upper bound for the current time of the store's clock. */
  function latestStoreTime (now: Instant): number | undefined {
    return storeClock === undefined ? undefined : storeClock.storeTime + elapsed(storeClock.at, now)
  }

  function fencingToken (now: Instant): number | undefined {
    return grant !== undefined && elapsed(grant.since, now) < duration * HOLD_FRACTION ? grant.token : undefined
  }

  return {
    observeRow (next) {
      if (grant !== undefined && next !== undefined && next.version > grant.token) grant = undefined
      row = next
    },
    observeStoreTime (storeTime, sentAt) {
      storeClock = { storeTime, at: sentAt }
    },
    prepareClaim (now) {
      const storeTime = latestStoreTime(now)
      if (storeTime === undefined) return undefined
      const value: LeaseRecord = { holder, incarnation, expires: Math.ceil(storeTime + duration) }
      const currentToken = fencingToken(now)
      if (currentToken !== undefined) return { value: JSON.stringify(value), version: currentToken }
      const parsed = row === undefined ? undefined : parseRecord(row)
      // Only another writer sets a later end; such a row would hold the lease forever.
      const record = parsed !== undefined && parsed.expires <= storeTime + 2 * duration ? parsed : undefined
      const isOwnRecord = record?.holder === holder && record.incarnation === incarnation
      // Uses the observed store time rather than an extrapolation, because it is never ahead of the store's clock.
      const takeoverAt = record === undefined || isOwnRecord
        ? -Infinity
        : record.expires + duration * TAKEOVER_DELAY_FRACTION
      if (storeClock!.storeTime <= takeoverAt) return { availableIn: takeoverAt - storeClock!.storeTime }
      return { value: JSON.stringify(value), version: row?.version ?? 0 }
    },
    recordGrant (version, sentAt) {
      grant = { token: version, since: sentAt }
    },
    fencingToken,
    needsRenewal: (now) => grant === undefined || elapsed(grant.since, now) > duration * RENEWAL_FRACTION,
    invalidate () {
      grant = undefined
    }
  }
}
