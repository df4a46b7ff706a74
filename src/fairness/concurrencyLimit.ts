/**
 * Adaptive limit on requests in flight at one upstream. It increases while the latency stays close to the lowest recent
 * value, fast at first, and decreases multiplicatively otherwise.
 */
import type { MonotonicMilliseconds } from '../types'
import type { ConcurrencyLimit } from './types'

/** Factor by which one decrease reduces the limit. */
const DECREASE_FACTOR = 0.9

/**
 * Increase per request with normal latency until the first decrease: the limit doubles with each round of requests.
 * With the textbook increase of one per round, 64 requests of 3 s each raised the limit by one in 3 s, and an idle
 * engine was denied work for minutes.
 */
const INITIAL_INCREASE = 1

/** Increase per request after the first decrease: a tenth of the limit per round, as much as one decrease removes. */
const INCREASE = 0.1

/** Minimum milliseconds after a decrease before the next change, since latencies still reflect the old limit. */
const DECREASE_PAUSE_MS = 250

/**
 * Factor applied to the limit at the start of each lookback period. Without a phase of reduced load, the lowest latency
 * of a loaded upstream would be mistaken for the normal one, and the limit would grow proportionally in every period.
 */
const DEFAULT_PROBE_FACTOR = 0.5

export interface ConcurrencyLimitOptions {
  /** Initial limit. @default 16 */
  initial?: number
  /** Minimum limit. @default 2 */
  minimum?: number
  /** Maximum limit. @default 256 */
  maximum?: number
  /** Latencies up to the lowest recent latency times this factor are considered normal. @default 2 */
  tolerance?: number
  /** Milliseconds added to that bound, because short latencies vary by more than a factor. @default 20 */
  slack?: number
  /** Lookback period of the lowest latency in milliseconds, which is kept for one to two periods. @default 30_000 */
  lookback?: number
  /**
   * Factor applied to the limit at the start of each lookback period. Use 1 for latencies that are close to 0 without
   * load for any request, such as queueing times, whose lowest value cannot creep up.
   * @default 0.5
   */
  probe?: number
}

export function createConcurrencyLimit (options: ConcurrencyLimitOptions = {}): ConcurrencyLimit {
  const {
    initial = 16, minimum = 2, maximum = 256, tolerance = 2, slack = 20, lookback = 30_000, probe = DEFAULT_PROBE_FACTOR
  } = options
  let limit = Math.min(maximum, Math.max(minimum, initial))
  let inFlight = 0
  let lowestLatency = Infinity
  let previousLowestLatency = Infinity
  let periodStart: MonotonicMilliseconds | undefined
  let pausedUntil = -Infinity
  let hasDecreased = false

  function recordLatency (latency: number, now: MonotonicMilliseconds): void {
    periodStart ??= now
    if (now - periodStart >= lookback) {
      previousLowestLatency = now - periodStart >= 2 * lookback ? Infinity : lowestLatency
      lowestLatency = Infinity
      periodStart = now
      limit = Math.max(minimum, limit * probe)
    }
    lowestLatency = Math.min(lowestLatency, latency)
  }

  function decrease (latency: number, now: MonotonicMilliseconds): void {
    hasDecreased = true
    limit = Math.max(minimum, limit * DECREASE_FACTOR)
    pausedUntil = now + Math.max(DECREASE_PAUSE_MS, latency)
  }

  function adjust (latency: number | undefined, now: MonotonicMilliseconds): void {
    // A limit that is not utilized has not been tested by this latency.
    const isUtilized = inFlight >= Math.floor(limit) / 2
    const isFailure = latency === undefined || !(latency >= 0)
    if (!isFailure) recordLatency(latency, now)
    if (now < pausedUntil) return
    if (isFailure) decrease(0, now)
    else if (latency > Math.min(lowestLatency, previousLowestLatency) * tolerance + slack) decrease(latency, now)
    else if (isUtilized) limit = Math.min(maximum, limit + (hasDecreased ? INCREASE : INITIAL_INCREASE))
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
