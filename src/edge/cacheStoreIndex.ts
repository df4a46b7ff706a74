/**
 * What the store of kept cache holds, so that only parts that it lacks are sent to it.
 *
 * Load pattern: long shared prompts from many callers. An engine that sends a prompt to the store also sends the caller's
 * own part, which nobody asks for again; when every instance sends each prompt once, those parts take half of the store's
 * link and push the shared ones out of it.
 */
import { partKey } from './cacheStoreTable'
import type { StoreRow } from './types'

export interface CacheStoreIndex {
  /** Takes in all parts that the store holds. */
  replace: (rows: readonly StoreRow[]) => void
  /** Takes in parts that came or went. */
  update: (rows: readonly StoreRow[]) => void
  /** Whether the store held the part at the last look. */
  holds: (scope: string, part: string) => boolean
}

export function createCacheStoreIndex (): CacheStoreIndex {
  const held = new Set<string>()

  function update (rows: readonly StoreRow[]): void {
    for (const { key, value } of rows) {
      if (value === undefined) held.delete(key)
      else held.add(key)
    }
  }

  return {
    replace (rows) {
      held.clear()
      update(rows)
    },
    update,
    holds: (scope, part) => held.has(partKey(scope, part))
  }
}
