/** Types of the fair queue. */
import type { MonotonicMilliseconds } from '../types'

export interface QueuedWork {
  identifier: string
  customer: string
  /** Tokens that the work costs. */
  cost: number
  /** When the caller's patience ends; work that cannot start by then is refused. */
  deadline: MonotonicMilliseconds
}

export type EnqueueResult =
  | { queued: true }
  | { queued: false, reason: 'full' | 'deadline', retryAfterMilliseconds: number }

/** Fair queue over customers by tokens. */
export interface FairQueue {
  setWeights: (weights: ReadonlyMap<string, number>) => void
  enqueue: (work: QueuedWork, now: MonotonicMilliseconds) => EnqueueResult
  /** Removes and returns the next work that `canStart` accepts, or undefined. */
  dequeue: (now: MonotonicMilliseconds, canStart?: (work: QueuedWork) => boolean) => QueuedWork | undefined
  /** Removes work whose caller has gone; true when it was queued. */
  remove: (identifier: string) => boolean
  /** Removes and returns work whose deadline has passed or cannot be met any more. */
  expire: (now: MonotonicMilliseconds) => readonly QueuedWork[]
  size: () => number
}

/** Limit on work in flight at one upstream, learned from its latency. */
export interface ConcurrencyLimit {
  /** True when one more request may start. */
  tryAcquire: () => boolean
  /** Adjusts the limit to the latency of a request that still runs; end that request with `releaseRecorded`. */
  record: (latency: number, now: MonotonicMilliseconds) => void
  /** Ends a request whose latency was recorded. */
  releaseRecorded: () => void
  /**
   * Ends a request whose latency was not recorded; `latency` is its time to first token in milliseconds, undefined when
   * it failed before it.
   */
  release: (latency: number | undefined, now: MonotonicMilliseconds) => void
  inFlight: () => number
  limit: () => number
}
