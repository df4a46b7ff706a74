/**
 * Rows that a relay keeps across a change of era: an operator's row that was known with a higher version of its content
 * than the restored one is relayed until the operator has written it again, so that an instance that starts meanwhile
 * does not act on an older configuration or older weights.
 */
import { ConfigurationError } from '../../errors'
import type { StoreRecordCodec, StoreRow } from '../types'

/** Returns a function that reads the version of a configuration or of target weights from an operator's row. */
export function operatorRowRank (
  records: Pick<StoreRecordCodec, 'tables' | 'configurationKey' | 'configuration' | 'targetWeights'>
): (table: string, row: StoreRow) => number | undefined {
  return (table, { key, value }) => {
    if (table !== records.tables.operator || value === undefined) return undefined
    if (key !== records.configurationKey) return records.targetWeights(key, value)?.version
    try {
      return records.configuration(value).version
    } catch (error) {
      // A row that is no configuration has no version; the follower of the table logs it.
      if (error instanceof ConfigurationError) return undefined
      throw error
    }
  }
}

/**
 * Returns the restored rows, with each one replaced that was known with a higher rank.
 * @param known rows that were known before, removed ones left out
 * @param version version of the store in the new era; a kept row that the store lacks gets it
 * @param rankOf returns the version of a row's content; undefined for a row without one, which is not kept
 */
export function keepHigherRows (
  known: readonly StoreRow[],
  restored: readonly StoreRow[],
  version: number,
  rankOf: (row: StoreRow) => number | undefined
): readonly StoreRow[] {
  const rows = new Map(restored.map((row) => [row.key, row]))
  for (const row of known) {
    const rank = rankOf(row)
    if (rank === undefined) continue
    const present = rows.get(row.key)
    if (present !== undefined && (rankOf(present) ?? -Infinity) >= rank) continue
    rows.set(row.key, { ...row, version: present?.version ?? version })
  }
  return [...rows.values()].sort((one, other) => one.version - other.version)
}
