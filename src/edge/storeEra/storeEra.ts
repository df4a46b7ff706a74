/**
 * Era of the store. The store may come back from a copy that is some seconds old; it then raises its era by one, and
 * version numbers that it had given out are given out again. Versions are therefore only comparable within one era.
 *
 * Load patterns:
 * - The store comes back while all instances read it, directly or through relays: the instances learn of the era at
 *   different moments, from the store or from each other, and read all tables again at once.
 * - A late answer, or a relay that is behind: an answer of a smaller era is not used.
 */
import type { Instant } from '../types'

/** Versions of one era. Versions and eras together stay exact in a double up to 2^21 eras. */
const VERSIONS_PER_ERA = 2 ** 32

/** How the era of an answer relates to the largest one that this instance knows. */
export const EraOrder = {
  /** The source is behind; its answer must not be used. */
  older: 'older',
  same: 'same',
  /** The store has come back from a copy; all versions known before are void. */
  newer: 'newer'
} as const
export type EraOrder = typeof EraOrder[keyof typeof EraOrder]

/** Returns a number that orders versions of all eras; equals the version in era 0. */
export function eraPosition (era: number, version: number): number {
  return era * VERSIONS_PER_ERA + version
}

/** Returns the era in a message of a peer or an answer of the store; undefined unless it is a whole number. */
export function parseEra (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : undefined
}

export interface StoreEra {
  /** Returns the largest era known; 0 before the first answer, and for a store without eras. */
  current: () => number
  /** Returns when this instance learned of the current era; undefined before the first answer. */
  since: () => Instant | undefined
  /** Returns how often this instance has learned of a larger era, its first one not counted. */
  changes: () => number
  /**
   * Highest version of the current era that any call of this instance has seen. 0 until a write has been acknowledged in
   * this era, since a read alone may return an old state.
   */
  newestVersion: { value: number }
  /** Records the era of an answer; a newer one notifies the listeners, in the order in which they subscribed. */
  observe: (era: number, now: Instant) => EraOrder
  /** Calls the listener for each change, but not for the first era. */
  subscribe: (listener: () => void) => void
}

export function createStoreEra (): StoreEra {
  let known: number | undefined
  let since: Instant | undefined
  let changes = 0
  const newestVersion = { value: 0 }
  const listeners: Array<() => void> = []

  return {
    current: () => known ?? 0,
    since: () => since,
    changes: () => changes,
    newestVersion,
    observe (era, now) {
      if (era === known) return EraOrder.same
      if (known !== undefined && era < known) return EraOrder.older
      const isFirst = known === undefined
      known = era
      since = now
      if (isFirst) return EraOrder.same
      changes += 1
      newestVersion.value = 0
      for (const listener of listeners) listener()
      return EraOrder.newer
    },
    subscribe (listener) { listeners.push(listener) }
  }
}
