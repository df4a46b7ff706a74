/** Rate at which a queue is emptied, measured only while work is waiting. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant over which the rate is averaged, in milliseconds. */
const TIME_CONSTANT_MS = 10_000

export interface DrainRate {
  /** Counts tokens that left the queue to be run. */
  served: (tokens: number, now: MonotonicMilliseconds) => void
  /** Call when work begins to wait. Time without waiting work says nothing about the rate and is not counted. */
  start: (now: MonotonicMilliseconds) => void
  /** Call when nothing waits any more; without a time, the time since the last call is not counted. */
  stop: (now: MonotonicMilliseconds | undefined) => void
  /** Tokens per millisecond; undefined before the first observation. */
  rate: (now: MonotonicMilliseconds) => number | undefined
}

export function createDrainRate (): DrainRate {
  let tokens = 0
  let busy = 0
  let since: MonotonicMilliseconds | undefined

  function advance (now: MonotonicMilliseconds): void {
    if (since === undefined || now <= since) return
    const factor = Math.exp((since - now) / TIME_CONSTANT_MS)
    tokens *= factor
    busy = busy * factor + (now - since)
    since = now
  }

  return {
    served (amount, now) {
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
      const waiting = since === undefined ? 0 : Math.max(0, now - since)
      // Time that passed without any work leaving the queue lowers the rate before the next piece of work leaves.
      return tokens > 0 && busy + waiting > 0 ? tokens / (busy + waiting) : undefined
    }
  }
}
