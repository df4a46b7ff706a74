/**
 * Spaces out requests by handing out slots at a constant rate (generic cell rate algorithm). Slots may be reserved
 * ahead; unused ones do not accumulate beyond a short credit.
 */
import type { MonotonicMilliseconds, RandomSource } from '../types'

/** Precision of timers in milliseconds; a slot that starts within it has started. */
const TIMER_PRECISION_MS = 1

export interface RequestPacer {
  /** Start of the next free slot. */
  nextAt: MonotonicMilliseconds
  /** Milliseconds between slots. */
  interval: number
}

export type PacerDecision =
  | { granted: true, wait: number }
  /** `wait` is the time in milliseconds until the next free slot, which is longer than permitted. */
  | { granted: false, wait: number }

/** Creates a pacer whose first slot lies at a random point of the first interval. */
export function createRequestPacer (interval: number, random: RandomSource, now: MonotonicMilliseconds): RequestPacer {
  return { nextAt: now + random() * interval, interval }
}

/** Changes the rate. A shorter interval applies to the next slot already. */
export function changeInterval (pacer: RequestPacer, interval: number, now: MonotonicMilliseconds): void {
  if (interval < pacer.interval) pacer.nextAt = Math.min(pacer.nextAt, now + interval)
  pacer.interval = interval
}

/**
 * Takes the next free slot if it starts within `maximumWait` milliseconds.
 * @param credit milliseconds of unused slots that may be made up for; absorbs late timers
 */
export function takeSlot (
  pacer: RequestPacer, maximumWait: number, credit: number, now: MonotonicMilliseconds
): PacerDecision {
  const wait = Math.max(0, pacer.nextAt - now)
  if (wait > Math.max(maximumWait, TIMER_PRECISION_MS)) return { granted: false, wait }
  pacer.nextAt = Math.max(pacer.nextAt, now - credit) + pacer.interval
  return { granted: true, wait }
}

/**
 * Moves the next slot to a random point of the coming interval if it was not used for a whole one. Pacers that have
 * all been idle then do not hand out their slots at the same moment.
 */
export function restartIfIdle (pacer: RequestPacer, random: RandomSource, now: MonotonicMilliseconds): void {
  if (now - pacer.nextAt > pacer.interval) pacer.nextAt = now + random() * pacer.interval
}
