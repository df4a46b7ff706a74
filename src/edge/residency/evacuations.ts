/**
 * Data centres that the operator has evacuated: nothing is sent to their upstreams for as long as the operator's row is
 * there. Without contact to the store, what was last read stays in force.
 */
import type { MonotonicMilliseconds } from '../../types'
import type { StoreRow } from '../types'

/**
 * Milliseconds for which an evacuation is kept whose row is missing after the store came back from an older copy; the
 * operator has written it again by then.
 */
const MISSING_ROW_GRACE_MS = 10_000

export interface EvacuationChange {
  dataCentre: string
  isEvacuated: boolean
}

export interface Evacuations {
  /**
   * Applies a complete reading of the operator's rows; returns what has changed.
   * @param restoredAt when the reading was found to be the first one of an older copy of the store, which may lack rows that
   * the operator is about to write again; undefined otherwise
   */
  replace: (rows: readonly StoreRow[], restoredAt?: MonotonicMilliseconds) => EvacuationChange[]
  /** Applies changed rows of the operator; returns what has changed. */
  update: (rows: readonly StoreRow[]) => EvacuationChange[]
  /** Ends evacuations whose row has been missing since a restore for too long; returns what has changed. */
  expire: (now: MonotonicMilliseconds) => EvacuationChange[]
  isEvacuated: (dataCentre: string) => boolean
  count: () => number
}

/** @param dataCentreOf returns the data centre that an operator's row with this key evacuates, if any */
export function createEvacuations (dataCentreOf: (key: string) => string | undefined): Evacuations {
  const evacuated = new Set<string>()
  /** Evacuated data centres whose row is missing, with the end of the time for which they are kept. */
  const missing = new Map<string, MonotonicMilliseconds>()

  function end (dataCentres: readonly string[]): EvacuationChange[] {
    for (const dataCentre of dataCentres) {
      evacuated.delete(dataCentre)
      missing.delete(dataCentre)
    }
    return dataCentres.map((dataCentre) => ({ dataCentre, isEvacuated: false }))
  }

  function update (rows: readonly StoreRow[]): EvacuationChange[] {
    const changes: EvacuationChange[] = []
    for (const { key, value } of rows) {
      const dataCentre = dataCentreOf(key)
      if (dataCentre === undefined) continue
      missing.delete(dataCentre)
      const isEvacuated = value !== undefined
      if (isEvacuated === evacuated.has(dataCentre)) continue
      if (isEvacuated) evacuated.add(dataCentre)
      else evacuated.delete(dataCentre)
      changes.push({ dataCentre, isEvacuated })
    }
    return changes
  }

  return {
    replace (rows, restoredAt) {
      const named = new Set(rows.flatMap(({ key, value }) => value === undefined ? [] : dataCentreOf(key) ?? []))
      const unnamed = [...evacuated].filter((dataCentre) => !named.has(dataCentre))
      if (restoredAt === undefined) {
        return [...end(unnamed.filter((dataCentre) => !missing.has(dataCentre))), ...update(rows)]
      }
      for (const dataCentre of unnamed) missing.set(dataCentre, restoredAt + MISSING_ROW_GRACE_MS)
      return update(rows)
    },
    expire: (now) => end([...missing].flatMap(([dataCentre, until]) => now >= until ? [dataCentre] : [])),
    update,
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    count: () => evacuated.size
  }
}
