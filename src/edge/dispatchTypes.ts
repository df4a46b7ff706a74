/** Interface between an exchange and the dispatch of its request. */
import type { ExecutionStatus, MonotonicMilliseconds } from '../types'
import type { OrderRefusal } from './admissionOrder/types'
import type { Obstacle } from './attemptDecision'
import type { Instant } from './types'
import type { Upstream } from './upstreamDirectory'

/** Callbacks for the result of a dispatch; exactly one of them is called, once. */
export interface DispatchCallbacks {
  onSuccess: (upstream: Upstream, status: number) => void
  /** The request was rejected because the engines are overloaded; nothing was sent to an upstream. */
  onShed: (wait: number, retryAfter: number) => void
  /** The admission order refuses the request; nothing was sent to an upstream. */
  onRefusedInOrder: (refusal: OrderRefusal) => void
  /**
   * The request was rejected because upstreams crash when they answer such requests; nothing was sent to an upstream.
   * @param trait what the request has in common with those that crashed upstreams
   */
  onConvicted: (trait: string, retryAfter: number) => void
  /**
   * The request was rejected because upstreams may crash when they answer such requests, and another one is being tried;
   * nothing was sent to an upstream.
   */
  onSuspected: (trait: string, retryAfter: number) => void
  /**
   * The request failed before any part of a response was sent to the caller.
   * @param reason how its last attempt ended
   * @param obstacle why it was not sent to another upstream
   */
  onFailure: (execution: ExecutionStatus, reason: string, obstacle?: Obstacle) => void
  /** The request failed after part of a response was sent to the caller. */
  onAborted: (reason: string, obstacle?: Obstacle) => void
  /** An error of the program interrupted the request; its attempt, if any, has not been cancelled. */
  onFault: (error: unknown) => void
}

/** How an attempt ended without a complete response. */
export interface AttemptFailure {
  reason: string
  /** Whether any byte of the request was sent. */
  sent: boolean
  /** Whether the upstream is alive and only this attempt makes no progress. */
  isStalled?: boolean
  /** Whether this instance ended the attempt, and not the upstream. */
  isGivenUp?: boolean
}

export interface Dispatch {
  send: () => void
  /** Aborts an attempt that makes no progress; called several times per second. */
  check: (now: Instant) => void
  /**
   * Cancels the current attempt.
   * @param isOverdue the request timed out; otherwise the caller disconnected
   */
  cancel: (isOverdue: boolean) => void
  /** Returns what the request holds of other instances; called once, when the exchange has ended. */
  release: () => void
  /** Resumes reading the response once the caller's connection has drained. */
  resume: () => void
  /** Returns the number of attempts that may have run and of those that were certainly not run. */
  counts: () => { runs: number, rejections: number }
  /** Returns the identifier of the last complete event that was forwarded. */
  lastEvent: () => string | undefined
  /** Returns the time of the first byte of a response body. */
  firstByteAt: () => MonotonicMilliseconds | undefined
}
