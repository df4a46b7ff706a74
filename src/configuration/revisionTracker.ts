/** Tracks the highest configuration revision that an instance has received. */
import type { ConfigurationRevision } from '../types'

export interface RevisionTracker {
  /** Accepts a revision from any source if it is higher than the current one. Returns whether it was accepted. */
  offer: (candidate: ConfigurationRevision) => boolean
  current: () => ConfigurationRevision | undefined
  /** Returns the number of the current revision, or 0 if there is none. */
  revision: () => number
  /** Calls the listener after each accepted revision. Returns a function that removes the listener. */
  onAccepted: (listener: RevisionListener) => () => void
}

export type RevisionListener = (accepted: ConfigurationRevision, previous: ConfigurationRevision | undefined) => void

export function createRevisionTracker (): RevisionTracker {
  let latest: ConfigurationRevision | undefined
  const listeners = new Set<RevisionListener>()
  return {
    offer (candidate) {
      if (!Number.isSafeInteger(candidate.revision) || candidate.revision <= (latest?.revision ?? 0)) return false
      const previous = latest
      latest = candidate
      for (const listener of [...listeners]) listener(candidate, previous)
      return true
    },
    current: () => latest,
    revision: () => latest?.revision ?? 0,
    onAccepted (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
