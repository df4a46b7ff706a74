/**
 * Expected time to the first byte from this instance's own requests, by Little's law: requests that wait for their first
 * byte, over the rate at which first bytes come. It shows a growing queue before any of its requests has been answered.
 */
import type { MonotonicMilliseconds } from '../types'

/** Time constant in milliseconds over which first bytes are counted. */
const RATE_MEMORY_MS = 1000
/** First bytes within the memory below which nothing is concluded; fewer are chance. */
const FEWEST_ANSWERS = 2
/** Requests that may wait by chance at a moment without a queue. */
const CHANCE_WAITING = 2

export interface Backlog {
  began: () => void
  /** The first byte has come. */
  answered: (now: MonotonicMilliseconds) => void
  /** The request ended without a first byte. */
  left: () => void
  /** Milliseconds to the first byte of the next request; 0 while too little is known. */
  expectedWait: (now: MonotonicMilliseconds) => number
}

export function createBacklog (): Backlog {
  let waiting = 0
  let answers = 0
  let at: MonotonicMilliseconds = 0

  function decayed (now: MonotonicMilliseconds): number {
    return answers * Math.exp(-Math.max(0, now - at) / RATE_MEMORY_MS)
  }

  return {
    began () { waiting += 1 },
    answered (now) {
      answers = decayed(now) + 1
      at = now
      waiting -= 1
    },
    left () { waiting -= 1 },
    expectedWait (now) {
      const recent = decayed(now)
      return recent < FEWEST_ANSWERS ? 0 : Math.max(0, waiting - CHANCE_WAITING) / recent * RATE_MEMORY_MS
    }
  }
}
