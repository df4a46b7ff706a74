/**
 * Lease on a row of the store: one instance at a time gives orders to engines.
 *
 * The holder counts the lease from before it sent the write, by both of its clocks. The row names its end on the
 * store's own clock, so that an instance that never saw the row before can tell that it has lapsed.
 */
import { elapsed } from './freshness'
import type { Instant, StoreRow } from './types'

/** Part of the lease after which the holder stops, so that its last order arrives before the lease ends. */
const HOLDER_SHARE = 0.7
/** Part of the lease after which the holder renews while there is work. */
const RENEW_SHARE = 0.35
/** Part of the lease that another instance waits after its end, so that a whole lease lies between orders of two holders. */
const TAKEOVER_SHARE = 0.8

export interface LeaseRecord {
  holder: string
  /** Distinguishes runs of one instance. */
  incarnation: number
  /** End on the store's clock in milliseconds. */
  expires: number
}

export interface StoreLease {
  /** Notes the row of the lease; undefined when there is none. */
  observe: (row: StoreRow | undefined) => void
  /** Notes an answer's store time, for a call sent at `sentAt`. */
  clock: (storeTime: number, sentAt: Instant) => void
  /**
   * While this instance holds the lease, the value and version for its renewal need no new reading. Else as observed:
   * value for a write that is about to be sent, and the version that the row must have. While another instance holds the
   * lease: milliseconds until it can be taken over if it is not renewed.
   */
  claim: (now: Instant) => { value: string, version: number } | { heldFor: number } | undefined
  /** The write that was sent at `sentAt` was committed under this version. */
  granted: (version: number, sentAt: Instant) => void
  /** Fencing token while this instance holds the lease, undefined otherwise. */
  token: (now: Instant) => number | undefined
  /** The holder should renew. */
  wantsRenewal: (now: Instant) => boolean
  /** Stops holding the lease, for a lost or unknown write. */
  forget: () => void
}

function parseRecord (row: StoreRow): LeaseRecord | undefined {
  try {
    const record = JSON.parse(row.value?.toString('utf8') ?? '') as Partial<LeaseRecord>
    const { holder, incarnation, expires } = record
    return typeof holder === 'string' && typeof incarnation === 'number' && typeof expires === 'number'
      ? { holder, incarnation, expires }
      : undefined
  } catch {
    // The table belongs to the router alone; a row that it cannot read holds no lease that it could respect.
    return undefined
  }
}

export function createStoreLease (holder: string, incarnation: number, duration: number): StoreLease {
  let row: StoreRow | undefined
  let held: { token: number, since: Instant } | undefined
  let reference: { storeTime: number, at: Instant } | undefined

  /** Latest time that the store's clock can show now. */
  function latestStoreTime (now: Instant): number | undefined {
    return reference === undefined ? undefined : reference.storeTime + elapsed(reference.at, now)
  }

  function token (now: Instant): number | undefined {
    return held !== undefined && elapsed(held.since, now) < duration * HOLDER_SHARE ? held.token : undefined
  }

  return {
    observe (next) {
      if (held !== undefined && next !== undefined && next.version > held.token) held = undefined
      row = next
    },
    clock (storeTime, sentAt) {
      reference = { storeTime, at: sentAt }
    },
    claim (now) {
      const storeTime = latestStoreTime(now)
      if (storeTime === undefined) return undefined
      const value: LeaseRecord = { holder, incarnation, expires: Math.ceil(storeTime + duration) }
      const ownVersion = token(now)
      if (ownVersion !== undefined) return { value: JSON.stringify(value), version: ownVersion }
      const record = row === undefined ? undefined : parseRecord(row)
      const isOwn = record?.holder === holder && record.incarnation === incarnation
      // The reading's own time is used here, not an extrapolation: it is never later than the store's clock.
      const takeoverAt = record === undefined || isOwn ? -Infinity : record.expires + duration * TAKEOVER_SHARE
      if (reference!.storeTime <= takeoverAt) return { heldFor: takeoverAt - reference!.storeTime }
      return { value: JSON.stringify(value), version: row?.version ?? 0 }
    },
    granted (version, sentAt) {
      held = { token: version, since: sentAt }
    },
    token,
    wantsRenewal: (now) => held === undefined || elapsed(held.since, now) > duration * RENEW_SHARE,
    forget () {
      held = undefined
    }
  }
}
