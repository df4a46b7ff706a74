/**
 * Limit on the work in flight at one upstream: increase while the latency stays near the lowest recent value, quick at
 * first, and multiplicative decrease when it does not.
 */
import type { MonotonicMilliseconds } from '../types'
import type { ConcurrencyLimit } from './types'

/** Factor of one decrease. */
const DECREASE = 0.9

/**
 * Increase for each request with a normal latency, as long as nothing has caused a decrease: the limit doubles
 * with each round of requests. With one for each round, as in the textbook, 64 requests of 3 s each grew the limit by one
 * in 3 s, and an idle engine was refused work for minutes.
 */
const STARTING_INCREASE = 1

/** Increase for each request afterwards: a tenth of the limit for each round, as much as one decrease takes away. */
const INCREASE = 0.1

/** Milliseconds after a decrease without another change, at least; latencies then still reflect the old limit. */
const DECREASE_PAUSE_MS = 250

/**
 * Factor at the start of each period of the memory. Without a phase of lower load the lowest latency of a loaded
 * upstream would be taken for the normal one, and the limit would grow by a part of itself in every period.
 */
const PROBE = 0.5

export interface ConcurrencyLimitOptions {
  /** @default 16 */
  initial?: number
  /** @default 2 */
  minimum?: number
  /** @default 256 */
  maximum?: number
  /** A latency up to the lowest recent one times this factor counts as normal. @default 2 */
  tolerance?: number
  /** Milliseconds added to the normal latency, because short latencies vary by more than a factor. @default 20 */
  slack?: number
  /** Milliseconds for which a lowest latency is remembered, at least; at most twice as long. @default 30_000 */
  memory?: number
  /**
   * Factor at the start of each period of the memory; 1 for latencies that are near 0 without load whatever was asked
   * for, such as waits, of which the lowest cannot creep up. @default 0.5
   */
  probe?: number
}

export function createConcurrencyLimit (options: ConcurrencyLimitOptions = {}): ConcurrencyLimit {
  const {
    initial = 16, minimum = 2, maximum = 256, tolerance = 2, slack = 20, memory = 30_000, probe = PROBE
  } = options
  let limit = Math.min(maximum, Math.max(minimum, initial))
  let inFlight = 0
  let lowest = Infinity
  let previousLowest = Infinity
  let periodStart: MonotonicMilliseconds | undefined
  let pausedUntil = -Infinity
  let decreased = false

  function observe (latency: number, now: MonotonicMilliseconds): void {
    periodStart ??= now
    if (now - periodStart >= memory) {
      previousLowest = now - periodStart >= 2 * memory ? Infinity : lowest
      lowest = Infinity
      periodStart = now
      limit = Math.max(minimum, limit * probe)
    }
    lowest = Math.min(lowest, latency)
  }

  function decrease (latency: number, now: MonotonicMilliseconds): void {
    decreased = true
    limit = Math.max(minimum, limit * DECREASE)
    pausedUntil = now + Math.max(DECREASE_PAUSE_MS, latency)
  }

  function adjust (latency: number | undefined, now: MonotonicMilliseconds): void {
    // A limit that is not used has not been tested by this latency.
    const used = inFlight >= Math.floor(limit) / 2
    const isFailure = latency === undefined || !(latency >= 0)
    if (!isFailure) observe(latency, now)
    if (now < pausedUntil) return
    if (isFailure) decrease(0, now)
    else if (latency > Math.min(lowest, previousLowest) * tolerance + slack) decrease(latency, now)
    else if (used) limit = Math.min(maximum, limit + (decreased ? INCREASE : STARTING_INCREASE))
  }

  return {
    tryAcquire () {
      if (inFlight >= Math.floor(limit)) return false
      inFlight += 1
      return true
    },
    record: adjust,
    release (latency, now) {
      adjust(latency, now)
      inFlight = Math.max(0, inFlight - 1)
    },
    releaseRecorded () {
      inFlight = Math.max(0, inFlight - 1)
    },
    inFlight: () => inFlight,
    limit: () => Math.floor(limit)
  }
}
