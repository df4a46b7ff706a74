/**
 * Change history of one table: the newest row per key, including removed rows, so that peers can request the changes
 * since a version.
 */
import { elapsed } from './freshness'
import type { Instant, StoreRow } from './types'

/**
 * Minimum number of removed rows that are kept. The oldest are dropped first; peers with an older version then read the
 * complete table.
 */
const MIN_REMOVED_ROWS = 2000

interface HistoryEntry {
  row: StoreRow
  /** The row was written after this instant; undefined if nothing was known before. */
  changedAfter: Instant | undefined
}

export interface TableChanges {
  rows: readonly StoreRow[]
  /** Version of the store up to which the changes are complete. */
  version: number
  /** All changes were written within this many milliseconds before now; undefined if that is not known. */
  changedWithin: number | undefined
}

export interface TableHistory {
  /** Replaces the history with all rows of the table as of a version. */
  replaceAll: (rows: readonly StoreRow[], version: number) => void
  /** Adds changed rows; `changedAfter` is an instant before all of them were written. */
  addChanges: (rows: readonly StoreRow[], version: number, changedAfter: Instant | undefined) => void
  /** Returns the version up to which the changes are complete. */
  version: () => number
  /** Returns the rows that have not been removed. */
  presentRows: () => readonly StoreRow[]
  /** Returns the rows changed since a version; undefined if some of them may have been dropped. */
  changesSince: (version: number, now: Instant) => TableChanges | undefined
}

export function createTableHistory (): TableHistory {
  const newestByKey = new Map<string, HistoryEntry>()
  /** Entries in version order. An entry is superseded if `newestByKey` has another one under its key. */
  let entries: HistoryEntry[] = []
  let removedCount = 0
  let version = 0
  /** Oldest version since which all changes are known. */
  let oldestKnownVersion = Infinity

  function isNewest (entry: HistoryEntry): boolean {
    return newestByKey.get(entry.row.key) === entry
  }

  function insertEntry (entry: HistoryEntry): void {
    const { key, value } = entry.row
    if (newestByKey.get(key)?.row.value === undefined && newestByKey.has(key)) removedCount -= 1
    if (value === undefined) removedCount += 1
    newestByKey.set(key, entry)
    entries.push(entry)
  }

  /** Drops superseded entries and the oldest removed rows. */
  function prune (): void {
    let excess = removedCount - MIN_REMOVED_ROWS
    entries = entries.filter((entry) => {
      if (!isNewest(entry)) return false
      if (excess <= 0 || entry.row.value !== undefined) return true
      excess -= 1
      removedCount -= 1
      newestByKey.delete(entry.row.key)
      oldestKnownVersion = Math.max(oldestKnownVersion, entry.row.version)
      return false
    })
  }

  return {
    replaceAll (rows, newVersion) {
      newestByKey.clear()
      entries = []
      removedCount = 0
      for (const row of rows) insertEntry({ row, changedAfter: undefined })
      version = newVersion
      oldestKnownVersion = newVersion
    },
    addChanges (rows, newVersion, changedAfter) {
      const sorted = [...rows].sort((one, other) => one.version - other.version)
      for (const row of sorted) insertEntry({ row, changedAfter })
      version = Math.max(version, newVersion)
      if (removedCount > MIN_REMOVED_ROWS * 2 || entries.length > (newestByKey.size + MIN_REMOVED_ROWS) * 2) prune()
    },
    version: () => version,
    presentRows: () => [...newestByKey.values()].flatMap(({ row }) => row.value === undefined ? [] : [row]),
    changesSince (after, now) {
      if (after < oldestKnownVersion) return undefined
      let first = entries.length
      while (first > 0 && entries[first - 1]!.row.version > after) first -= 1
      const changes = entries.slice(first).filter(isNewest)
      const ages = changes.map(({ changedAfter }) => (
        changedAfter === undefined ? Infinity : elapsed(changedAfter, now)
      ))
      const oldestAge = Math.max(0, ...ages)
      return {
        rows: changes.map(({ row }) => row),
        version: Math.max(version, after),
        changedWithin: Number.isFinite(oldestAge) ? oldestAge : undefined
      }
    }
  }
}
