/**
 * Data centres that the operator has evacuated: nothing is sent to their upstreams for as long as the operator's row is
 * there. Without contact to the store, what was last read stays in force.
 */
import type { StoreRow } from '../types'

export interface EvacuationChange {
  dataCentre: string
  isEvacuated: boolean
}

export interface Evacuations {
  /** Applies a complete reading of the operator's rows; returns what has changed. */
  replace: (rows: readonly StoreRow[]) => EvacuationChange[]
  /** Applies changed rows of the operator; returns what has changed. */
  update: (rows: readonly StoreRow[]) => EvacuationChange[]
  isEvacuated: (dataCentre: string) => boolean
  count: () => number
}

/** @param dataCentreOf returns the data centre that an operator's row with this key evacuates, if any */
export function createEvacuations (dataCentreOf: (key: string) => string | undefined): Evacuations {
  const evacuated = new Set<string>()

  function update (rows: readonly StoreRow[]): EvacuationChange[] {
    const changes: EvacuationChange[] = []
    for (const { key, value } of rows) {
      const dataCentre = dataCentreOf(key)
      if (dataCentre === undefined) continue
      const isEvacuated = value !== undefined
      if (isEvacuated === evacuated.has(dataCentre)) continue
      if (isEvacuated) evacuated.add(dataCentre)
      else evacuated.delete(dataCentre)
      changes.push({ dataCentre, isEvacuated })
    }
    return changes
  }

  return {
    replace (rows) {
      const named = new Set(rows.flatMap(({ key, value }) => value === undefined ? [] : dataCentreOf(key) ?? []))
      const ended = [...evacuated].filter((dataCentre) => !named.has(dataCentre))
      for (const dataCentre of ended) evacuated.delete(dataCentre)
      return [...ended.map((dataCentre) => ({ dataCentre, isEvacuated: false })), ...update(rows)]
    },
    update,
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    count: () => evacuated.size
  }
}
