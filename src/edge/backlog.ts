/**
 * Estimates the time to first byte from this instance's own requests with Little's law: the number of requests that wait
 * for their first byte, divided by the rate at which first bytes arrive. The estimate rises with a growing queue before
 * any of the queued requests has received a response.
 */
import type { MonotonicMilliseconds } from '../types'

/** Time constant in milliseconds of the exponentially decaying count of first bytes. */
const RATE_TIME_CONSTANT_MS = 1000
/** Decayed count of first bytes below which the rate is not estimated, because it would be random noise. */
const MIN_RECENT_FIRST_BYTES = 2
/** Number of requests that may wait at the same moment without a queue. */
const UNQUEUED_WAITING = 2

export interface Backlog {
  /** Records that a request was sent. */
  requestStarted: () => void
  /** Records that the first byte of a response arrived. */
  firstByteReceived: (now: MonotonicMilliseconds) => void
  /** Records that a request ended without a first byte. */
  requestEnded: () => void
  /** Expected time in milliseconds to the first byte of the next request; 0 while there is too little data. */
  expectedWait: (now: MonotonicMilliseconds) => number
}

export function createBacklog (): Backlog {
  let waiting = 0
  let firstBytes = 0
  let updatedAt: MonotonicMilliseconds = 0

  function decayedFirstBytes (now: MonotonicMilliseconds): number {
    return firstBytes * Math.exp(-Math.max(0, now - updatedAt) / RATE_TIME_CONSTANT_MS)
  }

  return {
    requestStarted () { waiting += 1 },
    firstByteReceived (now) {
      firstBytes = decayedFirstBytes(now) + 1
      updatedAt = now
      waiting -= 1
    },
    requestEnded () { waiting -= 1 },
    expectedWait (now) {
      const recent = decayedFirstBytes(now)
      return recent < MIN_RECENT_FIRST_BYTES
        ? 0
        : Math.max(0, waiting - UNQUEUED_WAITING) / recent * RATE_TIME_CONSTANT_MS
    }
  }
}

/** Returns a function that returns the backlog of a key, which it creates at the first call. */
export function createBacklogs (): (key: string) => Backlog {
  const backlogs = new Map<string, Backlog>()
  return (key) => {
    const backlog = backlogs.get(key) ?? createBacklog()
    backlogs.set(key, backlog)
    return backlog
  }
}
