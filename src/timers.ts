/** Repeating timers with jitter, so that instances that started together do not act together for good. */
import type { RandomSource } from './types'

/** Largest deviation of one interval from its mean, as a part of it. */
const JITTER = 0.1

export interface Timers {
  /** Calls `act` again and again, `milliseconds` after the end of the last call. Failures go to `reportFault`. */
  every: (milliseconds: number, act: () => void | Promise<void>) => void
  /** Calls `act` once, after about `milliseconds`. */
  once: (milliseconds: number, act: () => Promise<void>) => void
  /** Like `every`, but `act` returns the time until its next call. */
  paced: (act: () => Promise<number>) => void
  stop: () => void
}

export interface TimersOptions {
  random: RandomSource
  /** Called for errors that `act` did not handle; these are faults of the program. */
  reportFault: (error: unknown) => void
}

/** Milliseconds until the next call after a fault, so that a fault does not become a busy loop. */
const FAULT_PAUSE_MS = 1000

export function createTimers (options: TimersOptions): Timers {
  const pending = new Set<NodeJS.Timeout>()
  let stopped = false

  /** Calls `act` after the time, and again after the time that it returns, unless that is undefined. */
  function schedule (milliseconds: number, act: () => Promise<number | undefined>): void {
    if (stopped) return
    const timer = setTimeout(() => {
      pending.delete(timer)
      act().catch((error: unknown) => {
        options.reportFault(error)
        return FAULT_PAUSE_MS
      }).then((next) => { if (next !== undefined) schedule(next, act) }, () => {})
    }, milliseconds * (1 - JITTER + 2 * JITTER * options.random()))
    pending.add(timer)
  }

  return {
    every (milliseconds, act) {
      schedule(milliseconds, async () => {
        await act()
        return milliseconds
      })
    },
    once (milliseconds, act) {
      schedule(milliseconds, async () => {
        // A fault is reported here, because `schedule` would call again after one.
        await act().catch(options.reportFault)
        return undefined
      })
    },
    paced (act) { schedule(0, act) },
    stop () {
      stopped = true
      for (const timer of pending) clearTimeout(timer)
      pending.clear()
    }
  }
}
