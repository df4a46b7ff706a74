/** Types of the fair queue and of the concurrency limit. */
import type { MonotonicMilliseconds } from '../types'

export interface QueuedWork {
  identifier: string
  customer: string
  /** Cost in tokens. */
  cost: number
  /** End of the caller timeout; work that cannot start by then is rejected. */
  deadline: MonotonicMilliseconds
}

export type EnqueueResult =
  | { queued: true }
  | { queued: false, reason: 'full' | 'deadline', retryAfterMilliseconds: number }

/** Queue that shares the service fairly among customers, measured in tokens. */
export interface FairQueue {
  setWeights: (weights: ReadonlyMap<string, number>) => void
  enqueue: (work: QueuedWork, now: MonotonicMilliseconds) => EnqueueResult
  /** Removes and returns the next work accepted by `canStart`, or undefined if there is none. */
  dequeue: (now: MonotonicMilliseconds, canStart?: (work: QueuedWork) => boolean) => QueuedWork | undefined
  /** Removes work whose caller has disconnected. Returns whether it was queued. */
  remove: (identifier: string) => boolean
  /** Removes and returns work whose deadline has passed or can no longer be met. */
  expire: (now: MonotonicMilliseconds) => readonly QueuedWork[]
  size: () => number
}

/** Adaptive limit on requests in flight at one upstream, based on its latency. */
export interface ConcurrencyLimit {
  /** Starts one more request if the limit allows it. Returns whether it may start. */
  tryAcquire: () => boolean
  /** Adjusts the limit by the latency of a request still in flight; end that request with `releaseRecorded`. */
  record: (latency: number, now: MonotonicMilliseconds) => void
  /** Ends a request whose latency was recorded. */
  releaseRecorded: () => void
  /**
   * Ends a request whose latency was not recorded. `latency` is its time to first token in milliseconds, or undefined
   * when the request failed before its first token.
   */
  release: (latency: number | undefined, now: MonotonicMilliseconds) => void
  inFlight: () => number
  limit: () => number
}
