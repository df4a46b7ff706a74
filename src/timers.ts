/** Timers with jitter, so that instances that were started simultaneously do not stay synchronised. */
import type { RandomSource } from './types'

/** Maximum deviation of an interval from its mean, as a fraction of the mean. */
const JITTER_FRACTION = 0.1

export interface Timers {
  /** Calls `task` repeatedly, `milliseconds` after the previous call has ended. Errors are passed to `reportFault`. */
  every: (milliseconds: number, task: () => void | Promise<void>) => void
  /** Calls `task` once, after about `milliseconds`. */
  once: (milliseconds: number, task: () => Promise<void>) => void
  /** Like `every`, but `task` returns the delay in milliseconds until its next call. The first call is immediate. */
  repeat: (task: () => Promise<number>) => void
  stop: () => void
}

export interface TimersOptions {
  random: RandomSource
  /** Called with errors that `task` did not handle. These are bugs in the program. */
  reportFault: (error: unknown) => void
}

/** Delay in milliseconds before the next call after an error. Prevents a busy loop. */
const ERROR_RETRY_DELAY_MS = 1000

export function createTimers (options: TimersOptions): Timers {
  const pending = new Set<NodeJS.Timeout>()
  let stopped = false

  /** Calls `task` after the delay, then again after the delay that it returns, until it returns undefined. */
  function schedule (milliseconds: number, task: () => Promise<number | undefined>): void {
    if (stopped) return
    const timer = setTimeout(() => {
      pending.delete(timer)
      task().catch((error: unknown) => {
        options.reportFault(error)
        return ERROR_RETRY_DELAY_MS
      }).then((next) => { if (next !== undefined) schedule(next, task) }, () => {})
    }, milliseconds * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * options.random()))
    pending.add(timer)
  }

  return {
    every (milliseconds, task) {
      schedule(milliseconds, async () => {
        await task()
        return milliseconds
      })
    },
    once (milliseconds, task) {
      schedule(milliseconds, async () => {
        // Errors are reported here, because `schedule` would call `task` again after an error.
        await task().catch(options.reportFault)
        return undefined
      })
    },
    repeat (task) { schedule(0, task) },
    stop () {
      stopped = true
      for (const timer of pending) clearTimeout(timer)
      pending.clear()
    }
  }
}
