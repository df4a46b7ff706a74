/**
 * Decides when a refused caller should come back: when room is expected for its group, spread so that the callers who
 * were refused in the same moment do not return together. A group of which a small share is admitted waits longer, so
 * that the groups before it in the order find the room that becomes free first.
 */

/** Shortest time in milliseconds; two round trips and the time in which the load is exchanged. */
const MIN_RETRY_MS = 50
/** Longest time in milliseconds; a burst lasts a few seconds. */
const MAX_RETRY_MS = 2000
/** Part of the remaining time for which a caller waits at most. */
const MAX_TIME_PART = 1 / 3
/** Least range in milliseconds over which the callers are spread. */
const MIN_SPREAD_MS = 100

export interface RetryCircumstances {
  /** Milliseconds until the queue of the engines has drained. */
  recovery: number
  /** Admitted share of the group, between 0 and 1. */
  share: number
  /** Remaining time of the request in milliseconds. */
  timeLeft: number
  /** Uniform in [0, 1). */
  draw: number
}

/** Returns the time in milliseconds after which the caller should come back. */
export function retryTime ({ recovery, share, timeLeft, draw }: RetryCircumstances): number {
  const earliest = Math.max(MIN_RETRY_MS, recovery)
  // Of the callers that return in one drain of the queue, this share is admitted.
  const drains = share <= 0 ? Infinity : (1 - share) / share
  const latest = Math.min(MAX_RETRY_MS, Math.max(0, timeLeft) * MAX_TIME_PART)
  const end = Math.min(latest, earliest + Math.max(MIN_SPREAD_MS, earliest * drains))
  // A caller with little time left returns within the last half of it, so that such callers do not return together.
  const start = Math.min(earliest, end / 2)
  return start + draw * (end - start)
}
