/** Follows one table of the store by long polls, and starts anew when the history is gone. */
import { HistoryLostError } from '../errors'
import { instantBefore, elapsed } from './freshness'
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import type { RelayedTable } from './tableRelay'
import type { Instant, Store, StoreReading, StoreRow } from './types'

/** Milliseconds before a failed call is repeated; doubles up to the longest pause. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 800
/** Milliseconds that a call waits until a write has shown how new the store is, so that proof follows soon after. */
const UNPROVED_WAIT_MS = 50
/** Part of a pause that is drawn at random, so that instances do not call at the same moment after an outage. */
const PAUSE_JITTER = 0.5
/** Milliseconds without contact after which the next contact counts as the end of an outage. */
const OUTAGE_MS = 1000
/** Milliseconds after an outage in which entries may still be missing because they lapsed meanwhile. */
const RETURN_MS = 2000

export interface FollowerOptions {
  store: Pick<Store, 'read' | 'follow'>
  table: string
  /** Passes on to peers what the store says. */
  relay: RelayedTable
  /** Milliseconds that a call waits for changes. */
  wait: number
  /** Calls its argument when the first call to the store may be sent. @default at once */
  whenReady?: (start: () => void) => void
  /**
   * Highest version of the store that a call of this instance has shown; an older answer comes from a stale replica. 0
   * until a write has been acknowledged: a read alone may show an old state. Undefined for a source without replicas.
   */
  newestVersion: { value: number } | undefined
  /** Milliseconds between rows and the next call, so that changes in quick succession come together. @default 0 */
  settle?: (wasRelayed: boolean) => number
  /** Takes in all rows. */
  onRows: (rows: readonly StoreRow[], gap: ContactGap) => void
  /** Takes in changed rows. */
  onChanges: (rows: readonly StoreRow[], gap: ContactGap) => void
  /** The rows are the newest ones as of this instant. */
  onContact?: (at: Instant) => void
  log: EdgeLog
  now: () => Instant
  random: () => number
}

/** What may have happened unseen before rows arrived. */
export interface ContactGap {
  /** The store has just returned from an outage; entries that lapsed meanwhile may be missing still. */
  afterOutage: boolean
  /** The changes were made after this instant; undefined when nothing was known before. */
  unseenSince: Instant | undefined
}

export interface Follower {
  stop: () => void
}

export function followTable (options: FollowerOptions): Follower {
  const { store, table, relay, wait, newestVersion, log, now, random } = options
  let version: number | undefined
  let lastContact: Instant | undefined
  /** All rows written before this instant were known at the last contact. */
  let knownAt: Instant | undefined
  let returnedAt = -Infinity
  let unseenSince: Instant | undefined
  let lost = false
  let pause = FIRST_PAUSE_MS
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  function gap (): ContactGap {
    return { afterOutage: now().steady - returnedAt < RETURN_MS, unseenSince }
  }

  /** False when the answer shows an older state than this instance has seen. */
  function contacted (sentAt: Instant, reading: StoreReading): boolean {
    const present = now()
    const isLate = lastContact === undefined || elapsed(lastContact, present) > wait + OUTAGE_MS
    if (lost || isLate) returnedAt = present.steady
    if (reading.relayed?.afterOutage === true) returnedAt = present.steady
    unseenSince = writtenAfter(sentAt, present, reading, isLate)
    lastContact = present
    knownAt = reading.relayed === undefined ? present : instantBefore(sentAt, reading.relayed.age)
    pause = FIRST_PAUSE_MS
    if (lost) log(EdgeEvent.storeRegained, { table, version: reading.version })
    lost = false
    if (reading.relayed !== undefined) {
      if (newestVersion !== undefined) newestVersion.value = Math.max(newestVersion.value, reading.version)
      prove(knownAt)
      return true
    }
    if (newestVersion === undefined) {
      prove(sentAt)
      return true
    }
    if (reading.version < newestVersion.value) return false
    if (newestVersion.value === 0) return true
    newestVersion.value = reading.version
    prove(sentAt)
    return true
  }

  /** An instant before all changes of the reading. */
  function writtenAfter (
    sentAt: Instant, present: Instant, { relayed }: StoreReading, isLate: boolean
  ): Instant | undefined {
    if (lost || isLate) return knownAt
    // A change that arrives on a waiting call was made just now.
    if (relayed === undefined) return present
    return relayed.changedWithin === undefined ? knownAt : instantBefore(sentAt, relayed.changedWithin)
  }

  function prove (at: Instant): void {
    relay.contacted(at)
    options.onContact?.(at)
  }

  /** Resolves with the milliseconds until the next call. */
  async function step (): Promise<number> {
    const sentAt = now()
    if (version === undefined) {
      const reading = await store.read(table)
      if (!contacted(sentAt, reading)) throw new HistoryLostError('the store answered from an older state')
      version = reading.version
      options.onRows(reading.rows, gap())
      relay.replaced(reading.rows, reading.version)
      return options.settle?.(reading.relayed !== undefined) ?? 0
    }
    const reading = await store.follow(table, version, newestVersion?.value === 0 ? UNPROVED_WAIT_MS : wait)
    contacted(sentAt, reading)
    if (reading.version > version) version = reading.version
    const { afterOutage } = gap()
    relay.changed(reading.rows, reading.version, unseenSince, afterOutage)
    if (reading.rows.length === 0) return 0
    options.onChanges(reading.rows, gap())
    return options.settle?.(reading.relayed !== undefined) ?? 0
  }

  function failed (error: unknown): void {
    if (error instanceof HistoryLostError) version = undefined
    relay.lost()
    if (!lost) log(EdgeEvent.storeLost, { table, reason: reasonOf(error) })
    lost = true
    timer = setTimeout(run, pause * (1 - PAUSE_JITTER * random()))
    pause = Math.min(LONGEST_PAUSE_MS, pause * 2)
  }

  function run (): void {
    if (!stopped) step().then(again, failed)
  }

  function again (milliseconds: number): void {
    if (milliseconds === 0) run()
    else timer = setTimeout(run, milliseconds)
  }

  if (options.whenReady === undefined) run()
  else options.whenReady(run)
  return {
    stop () {
      stopped = true
      clearTimeout(timer)
    }
  }
}
