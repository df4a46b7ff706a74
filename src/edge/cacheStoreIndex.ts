/**
 * What the store of kept cache holds, from its own events, so that only parts that it lacks are sent to it.
 *
 * Load pattern: long shared prompts from many callers. An engine that sends a prompt to the store also sends the caller's
 * own part, which nobody asks for again; when every instance sends each prompt once, those parts take half of the store's
 * link and push the shared ones out of it.
 */
import type { CacheEvents } from './types'

export interface CacheStoreIndex {
  /** Number of the first event that is not known yet, for the next call. */
  next: () => number
  apply: (events: CacheEvents) => void
  /** Whether the store held the part at the last look. */
  holds: (scope: string, part: string) => boolean
  /** Forgets everything, when the store cannot be asked. */
  clear: () => void
  size: () => number
}

export function createCacheStoreIndex (): CacheStoreIndex {
  const held = new Set<string>()
  let epoch: number | undefined
  let next = 0

  function clear (): void {
    held.clear()
    epoch = undefined
    next = 0
  }

  return {
    next: () => next,
    apply (batch) {
      if (batch.epoch !== epoch) {
        // A restarted store is empty; its events before this batch may be gone.
        held.clear()
        epoch = batch.epoch
      }
      for (const { added, scope, part } of batch.events) {
        if (added) held.add(`${scope}/${part}`)
        else held.delete(`${scope}/${part}`)
      }
      // After a gap a part may have been dropped unseen; a part taken for held would never be sent again.
      if (batch.lost) held.clear()
      next = batch.next
    },
    holds: (scope, part) => held.has(`${scope}/${part}`),
    clear,
    size: () => held.size
  }
}
