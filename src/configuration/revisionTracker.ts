/** Keeps the highest configuration revision that an instance has seen. */
import type { ConfigurationRevision } from '../types'

export interface RevisionTracker {
  /** Takes in a revision from any source. Returns false, and changes nothing, unless it is higher than the present one. */
  offer: (candidate: ConfigurationRevision) => boolean
  current: () => ConfigurationRevision | undefined
  /** Number of the present revision; 0 when there is none. */
  revision: () => number
  /** Calls the listener after each accepted revision. Returns a function that ends this. */
  onAccepted: (listener: RevisionListener) => () => void
}

export type RevisionListener = (accepted: ConfigurationRevision, previous: ConfigurationRevision | undefined) => void

export function createRevisionTracker (): RevisionTracker {
  let present: ConfigurationRevision | undefined
  const listeners = new Set<RevisionListener>()
  return {
    offer (candidate) {
      if (!Number.isSafeInteger(candidate.revision) || candidate.revision <= (present?.revision ?? 0)) return false
      const previous = present
      present = candidate
      for (const listener of [...listeners]) listener(candidate, previous)
      return true
    },
    current: () => present,
    revision: () => present?.revision ?? 0,
    onAccepted (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
