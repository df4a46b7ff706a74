/** Rate at which a queue drains, measured only while work is waiting. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant of the moving average in milliseconds. */
const TIME_CONSTANT_MS = 10_000

export interface DrainRate {
  /** Records tokens that left the queue to be executed. */
  recordServed: (tokens: number, now: MonotonicMilliseconds) => void
  /** Starts measuring when work begins to wait. Time without waiting work is ignored: it does not reflect the rate. */
  start: (now: MonotonicMilliseconds) => void
  /** Stops measuring when no work is waiting. If `now` is undefined, the time since the last update is ignored. */
  stop: (now: MonotonicMilliseconds | undefined) => void
  /** Returns tokens per millisecond; undefined before the first observation. */
  rate: (now: MonotonicMilliseconds) => number | undefined
}

export function createDrainRate (): DrainRate {
  let tokens = 0
  let busyTime = 0
  let since: MonotonicMilliseconds | undefined

  function advance (now: MonotonicMilliseconds): void {
    if (since === undefined || now <= since) return
    const factor = Math.exp((since - now) / TIME_CONSTANT_MS)
    tokens *= factor
    busyTime = busyTime * factor + (now - since)
    since = now
  }

  return {
    recordServed (amount, now) {
      advance(now)
      tokens += amount
    },
    start (now) {
      advance(now)
      since ??= now
    },
    stop (now) {
      if (now !== undefined) advance(now)
      since = undefined
    },
    rate (now) {
      const elapsed = since === undefined ? 0 : Math.max(0, now - since)
      // Includes the time since the last update, so that the rate already drops while no work leaves the queue.
      return tokens > 0 && busyTime + elapsed > 0 ? tokens / (busyTime + elapsed) : undefined
    }
  }
}
