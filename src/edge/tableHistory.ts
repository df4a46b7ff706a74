/** The newest row of each key of one table, with removed ones, so that peers can be told what changed after a version. */
import { elapsed } from './freshness'
import type { Instant, StoreRow } from './types'

/** Removed rows remembered; the oldest go first, and peers that are behind them read the whole table. */
const REMOVED_ROWS = 2000

interface KnownRow {
  row: StoreRow
  /** The row was written after this instant; undefined when nothing was known before. */
  unseenSince: Instant | undefined
}

export interface TableChanges {
  rows: readonly StoreRow[]
  /** Version of the store up to which the rows are known. */
  version: number
  /** Milliseconds before now after which all of the changes were made; undefined when that is not known. */
  unseenFor: number | undefined
}

export interface TableHistory {
  /** Takes in all rows of the table at a version. */
  replace: (rows: readonly StoreRow[], version: number) => void
  /** Takes in changed rows; `unseenSince` is an instant before all of them were written. */
  add: (rows: readonly StoreRow[], version: number, unseenSince: Instant | undefined) => void
  /** Version up to which the rows are known. */
  version: () => number
  /** The rows that are present. */
  all: () => readonly StoreRow[]
  /** Rows that changed after a version; undefined when some of them may be forgotten. */
  since: (version: number, now: Instant) => TableChanges | undefined
}

export function createTableHistory (): TableHistory {
  const known = new Map<string, KnownRow>()
  let version = 0
  /** Changes up to this version are not all known. */
  let floor = Infinity

  function forgetRemoved (): void {
    let removed = [...known.values()].filter(({ row }) => row.value === undefined).length
    for (const [key, { row }] of known) {
      if (removed <= REMOVED_ROWS) return
      if (row.value !== undefined) continue
      known.delete(key)
      removed -= 1
      floor = Math.max(floor, row.version)
    }
  }

  return {
    replace (rows, newVersion) {
      known.clear()
      for (const row of rows) known.set(row.key, { row, unseenSince: undefined })
      version = newVersion
      floor = newVersion
    },
    add (rows, newVersion, unseenSince) {
      for (const row of rows) {
        // Deleted first, so that the order of the keys is that of their last change.
        known.delete(row.key)
        known.set(row.key, { row, unseenSince })
      }
      version = Math.max(version, newVersion)
      if (known.size > REMOVED_ROWS) forgetRemoved()
    },
    version: () => version,
    all: () => [...known.values()].flatMap(({ row }) => row.value === undefined ? [] : [row]),
    since (after, now) {
      if (after < floor) return undefined
      const changes = [...known.values()].filter(({ row }) => row.version > after)
      const ages = changes.map(({ unseenSince }) => unseenSince === undefined ? Infinity : elapsed(unseenSince, now))
      const unseenFor = Math.max(0, ...ages)
      return {
        rows: changes.map(({ row }) => row),
        version: Math.max(version, after),
        unseenFor: Number.isFinite(unseenFor) ? unseenFor : undefined
      }
    }
  }
}
