/** Follows one table of the store by long polls, and starts anew when the history is gone. */
import { HistoryLostError } from '../errors'
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import type { Instant, Store, StoreReading, StoreRow } from './types'

/** Milliseconds before a failed call is repeated; doubles up to the longest pause. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 800
/** Part of a pause that is drawn at random, so that instances do not call at the same moment after an outage. */
const PAUSE_JITTER = 0.5
/** Milliseconds without contact after which the next contact counts as the end of an outage. */
const OUTAGE_MS = 1000
/** Milliseconds after an outage in which entries may still be missing because they lapsed meanwhile. */
const RETURN_MS = 2000

export interface FollowerOptions {
  store: Store
  table: string
  /** Milliseconds that a call waits for changes. */
  wait: number
  /** Highest version of the store that any call of this instance has shown; an older answer is a stale replica's. */
  newestVersion: { value: number }
  /** Takes in all rows. */
  onRows: (rows: readonly StoreRow[], afterOutage: boolean) => void
  /** Takes in changed rows. */
  onChanges: (rows: readonly StoreRow[], afterOutage: boolean) => void
  /** The state after this call is the newest as of when it was sent. */
  onContact?: (sentAt: Instant) => void
  log: EdgeLog
  now: () => Instant
  random: () => number
}

export interface Follower {
  stop: () => void
}

export function followTable (options: FollowerOptions): Follower {
  const { store, table, wait, newestVersion, log, now, random } = options
  let version: number | undefined
  let lastContact = -Infinity
  let returnedAt = -Infinity
  let lost = false
  let pause = FIRST_PAUSE_MS
  let timer: NodeJS.Timeout | undefined
  let stopped = false

  function isAfterOutage (): boolean {
    return now().steady - returnedAt < RETURN_MS
  }

  function contacted (sentAt: Instant, reading: StoreReading): boolean {
    const present = now().steady
    if (lost || present - lastContact > wait + OUTAGE_MS) returnedAt = present
    lastContact = present
    pause = FIRST_PAUSE_MS
    if (lost) log(EdgeEvent.storeRegained, { table, version: reading.version })
    lost = false
    if (reading.version < newestVersion.value) return false
    newestVersion.value = reading.version
    options.onContact?.(sentAt)
    return true
  }

  async function step (): Promise<void> {
    const sentAt = now()
    if (version === undefined) {
      const reading = await store.read(table)
      if (!contacted(sentAt, reading)) throw new HistoryLostError('the store answered from an older state')
      version = reading.version
      options.onRows(reading.rows, isAfterOutage())
      return
    }
    const reading = await store.follow(table, version, wait)
    contacted(sentAt, reading)
    if (reading.version > version) version = reading.version
    if (reading.rows.length > 0) options.onChanges(reading.rows, isAfterOutage())
  }

  function failed (error: unknown): void {
    if (error instanceof HistoryLostError) version = undefined
    if (!lost) log(EdgeEvent.storeLost, { table, reason: reasonOf(error) })
    lost = true
    timer = setTimeout(run, pause * (1 - PAUSE_JITTER * random()))
    pause = Math.min(LONGEST_PAUSE_MS, pause * 2)
  }

  function run (): void {
    if (!stopped) step().then(run, failed)
  }

  run()
  return {
    stop () {
      stopped = true
      clearTimeout(timer)
    }
  }
}
