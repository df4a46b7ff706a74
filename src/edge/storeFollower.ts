/**
 * Follows one table of the store by long polling, and rereads the complete table if its history is no longer available
 * or the store has begun another era.
 */
import { HistoryLostError } from '../errors'
import { instantBefore, elapsed } from './freshness'
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import type { StoreEra } from './storeEra/storeEra'
import type { RelayedTable } from './tableRelay'
import type { Instant, Store, StoreReadResult, StoreRow } from './types'

/** Delay in milliseconds before a failed call is retried; doubles up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 100
const MAX_RETRY_DELAY_MS = 800
/**
 * Wait in milliseconds of a call until a write has shown the store's newest version, so that a confirmation follows
 * soon after.
 */
const UNCONFIRMED_WAIT_MS = 50
/** Fraction of the delay that is randomized, so that instances do not call at the same moment after an outage. */
const RETRY_JITTER = 0.5
/**
 * Time in milliseconds without contact, in addition to the wait, after which the next contact counts as the end of an
 * outage.
 */
const OUTAGE_MS = 1000
/** Time in milliseconds after an outage in which entries may still be missing because they expired during it. */
const RECOVERY_MS = 2000

export interface FollowerOptions {
  store: Pick<Store, 'read' | 'follow'>
  table: string
  /** Relays the rows to peers. */
  relay: RelayedTable
  /** Time in milliseconds that a call waits for changes. */
  wait: number
  /** Calls its argument when the first call may be sent. @default at once */
  whenReady?: (start: () => void) => void
  /**
   * Era of the store, whose changes make all known versions void, and the newest version in it; an older response comes
   * from a stale replica. Undefined for a source without replicas and eras.
   */
  storeEra: Pick<StoreEra, 'subscribe' | 'newestVersion'> | undefined
  /**
   * Returns the delay in milliseconds between received rows and the next call, which batches changes in quick
   * succession. @default 0
   */
  settleDelay?: (wasRelayed: boolean) => number
  /** Called with all rows. */
  onRows: (rows: readonly StoreRow[], gap: ObservationGap) => void
  /** Called with changed rows. */
  onChanges: (rows: readonly StoreRow[], gap: ObservationGap) => void
  /** Called with an instant as of which the rows are current. */
  onConfirmed?: (at: Instant) => void
  log: EdgeLog
  now: () => Instant
  random: () => number
}

/** What may have happened unobserved before rows were received. */
export interface ObservationGap {
  /** The store has recently recovered from an outage; entries that expired during it may still be missing. */
  afterOutage: boolean
  /** The changes were made after this instant; undefined if nothing was known before. */
  changedAfter: Instant | undefined
  /** The rows are all rows of the table, read for the first time in a new era of the store. */
  isNewEra?: boolean
}

export interface Follower {
  stop: () => void
}

export function followTable (options: FollowerOptions): Follower {
  const { store, table, relay, wait, storeEra, log, now, random } = options
  const newestVersion = storeEra?.newestVersion
  let version: number | undefined
  let lastContact: Instant | undefined
  /** As of the last contact, all rows written before this instant were known. */
  let upToDateAt: Instant | undefined
  let recoveredAt = -Infinity
  let changedAfter: Instant | undefined
  let lost = false
  /** Counts the changes of era; the result of a call that was sent before the last one is not used. */
  let generation = 0
  let isNewEra = false
  let isStarted = false
  let retryDelay = INITIAL_RETRY_DELAY_MS
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  function currentGap (): ObservationGap {
    const afterOutage = now().steady - recoveredAt < RECOVERY_MS
    return isNewEra ? { afterOutage, changedAfter, isNewEra } : { afterOutage, changedAfter }
  }

  /** Returns false if the response shows an older state than this instance has seen. */
  function recordContact (sentAt: Instant, reading: StoreReadResult): boolean {
    const present = now()
    const isLate = lastContact === undefined || elapsed(lastContact, present) > wait + OUTAGE_MS
    if (lost || isLate) recoveredAt = present.steady
    if (reading.relayed?.afterOutage === true) recoveredAt = present.steady
    changedAfter = earliestChange(sentAt, present, reading, isLate)
    lastContact = present
    upToDateAt = reading.relayed === undefined ? present : instantBefore(sentAt, reading.relayed.age)
    retryDelay = INITIAL_RETRY_DELAY_MS
    if (lost) log(EdgeEvent.storeRegained, { table, version: reading.version })
    lost = false
    if (reading.relayed !== undefined) {
      if (newestVersion !== undefined) newestVersion.value = Math.max(newestVersion.value, reading.version)
      confirm(upToDateAt)
      return true
    }
    if (newestVersion === undefined) {
      confirm(sentAt)
      return true
    }
    if (reading.version < newestVersion.value) return false
    if (newestVersion.value === 0) return true
    newestVersion.value = reading.version
    confirm(sentAt)
    return true
  }

  /** Returns an instant before all changes of the result. */
  function earliestChange (
    sentAt: Instant, present: Instant, { relayed }: StoreReadResult, isLate: boolean
  ): Instant | undefined {
    if (lost || isLate || isNewEra) return upToDateAt
    // A change that completes a waiting call has just been made.
    if (relayed === undefined) return present
    return relayed.changedWithin === undefined ? upToDateAt : instantBefore(sentAt, relayed.changedWithin)
  }

  function confirm (at: Instant): void {
    relay.confirmed(at)
    options.onConfirmed?.(at)
  }

  /** Resolves with the milliseconds until the next call. */
  async function poll (): Promise<number> {
    const sentAt = now()
    const sentIn = generation
    if (version === undefined) {
      const reading = await store.read(table)
      if (sentIn !== generation) return 0
      if (!recordContact(sentAt, reading)) throw new HistoryLostError('the store returned an older state than seen before')
      version = reading.version
      options.onRows(reading.rows, currentGap())
      relay.replaced(reading.rows, reading.version)
      isNewEra = false
      return options.settleDelay?.(reading.relayed !== undefined) ?? 0
    }
    const reading = await store.follow(table, version, newestVersion?.value === 0 ? UNCONFIRMED_WAIT_MS : wait)
    if (sentIn !== generation) return 0
    recordContact(sentAt, reading)
    if (reading.version > version) version = reading.version
    const { afterOutage } = currentGap()
    relay.changed(reading.rows, reading.version, changedAfter, afterOutage)
    if (reading.rows.length === 0) return 0
    options.onChanges(reading.rows, currentGap())
    return options.settleDelay?.(reading.relayed !== undefined) ?? 0
  }

  function handleFailure (error: unknown): void {
    if (error instanceof HistoryLostError) version = undefined
    relay.lost()
    if (!lost) log(EdgeEvent.storeLost, { table, reason: errorMessage(error) })
    lost = true
    timer = setTimeout(run, retryDelay * (1 - RETRY_JITTER * random()))
    retryDelay = Math.min(MAX_RETRY_DELAY_MS, retryDelay * 2)
  }

  function run (): void {
    if (stopped) return
    isStarted = true
    const sentIn = generation
    poll().then((milliseconds) => {
      if (sentIn === generation) scheduleNext(milliseconds)
    }, (error: unknown) => {
      if (sentIn === generation) handleFailure(error)
    })
  }

  /** Reads the complete table in the new era; rows that were lost with the old one count as missing after an outage. */
  function startAnew (): void {
    generation += 1
    version = undefined
    isNewEra = true
    recoveredAt = now().steady
    retryDelay = INITIAL_RETRY_DELAY_MS
    clearTimeout(timer)
    if (isStarted) run()
  }

  function scheduleNext (milliseconds: number): void {
    if (milliseconds === 0) run()
    else timer = setTimeout(run, milliseconds)
  }

  storeEra?.subscribe(startAnew)
  if (options.whenReady === undefined) run()
  else options.whenReady(run)
  return {
    stop () {
      stopped = true
      clearTimeout(timer)
    }
  }
}
