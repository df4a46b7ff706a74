/** One attempt of a request at an upstream, and its accounting there. */
import type { IncomingMessage } from 'node:http'
import type { MonotonicMilliseconds } from '../types'
import type { Backlog } from './backlog'
import type { LoadExchange } from './loadExchange'
import type { ResponseBuffer } from './responseBuffers'
import type { GrantedRetry } from './retryAllowance'
import type { AttemptSample } from './rolloutSampler'
import type { UpstreamCall } from './upstreamCall'
import {
  observeMinimumWait, recordAttemptEnd, recordAttemptStart, recordReadPaused, recordReadResumed, type Upstream
} from './upstreamDirectory'

export interface Attempt {
  upstream: Upstream
  call: UpstreamCall
  sample: AttemptSample
  /** What was taken from the allowance for the last time that the request was sent. */
  retry: GrantedRetry
  startedAt: number
  /** Time when the connection was open and the request was sent. */
  connectedAt: MonotonicMilliseconds | undefined
  /** Time of the last byte of a plain response, or of the last event with data of a stream. */
  lastProgressAt: number
  /** Time of the first byte of the response body. */
  firstByteAt: MonotonicMilliseconds | undefined
  /** Whether reading is paused because the caller reads too slowly. */
  isPaused: boolean
  /** Prompt tokens pending prefill at the upstream. */
  pendingPrefillTokens: number
  head: IncomingMessage | undefined
  /** Whether the upstream has shown that it survives the request. */
  isSurvived: boolean
  /** Buffer of a response that is forwarded only when it is complete. */
  buffer: ResponseBuffer
}

/** @param promptTokens prompt tokens that are now pending prefill at the upstream */
export function createAttempt (
  parts: Pick<Attempt, 'upstream' | 'call' | 'sample' | 'retry' | 'buffer'>, promptTokens: number, now: MonotonicMilliseconds
): Attempt {
  return {
    ...parts,
    startedAt: now,
    connectedAt: undefined,
    lastProgressAt: now,
    firstByteAt: undefined,
    isPaused: false,
    pendingPrefillTokens: promptTokens,
    head: undefined,
    isSurvived: false
  }
}

export interface AttemptAccounting {
  /** @param promptTokens prompt tokens that are now pending prefill at the upstream */
  start: (upstream: Upstream, promptTokens: number, now: MonotonicMilliseconds) => void
  /** Removes the prompt from the tokens pending prefill, after its prefill or at the end of the attempt. */
  releasePendingPrefill: (attempt: Attempt) => void
  /** Pauses reading the response. */
  pause: (attempt: Attempt) => void
  /** Records that the response is read again. */
  resume: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Undoes the accounting of an attempt that has ended. */
  end: (attempt: Attempt, now: MonotonicMilliseconds) => void
}

/**
 * @param rank urgency of the request
 * @param reportsCalls whether the end of an attempt is reported to the other instances
 */
export function createAttemptAccounting (
  engineLoads: Pick<LoadExchange, 'prefillEnded'>, backlog: Backlog, rank: number, reportsCalls: boolean
): AttemptAccounting {
  function releasePendingPrefill (attempt: Attempt): void {
    if (attempt.firstByteAt === undefined) backlog.requestEnded()
    if (attempt.pendingPrefillTokens === 0) return
    attempt.upstream.pendingPrefillTokens -= attempt.pendingPrefillTokens
    attempt.pendingPrefillTokens = 0
    engineLoads.prefillEnded()
  }

  function resume (attempt: Attempt, now: MonotonicMilliseconds): void {
    if (!attempt.isPaused) return
    attempt.isPaused = false
    attempt.lastProgressAt = now
    recordReadResumed(attempt.upstream, now)
  }

  return {
    start (upstream, promptTokens, now) {
      recordAttemptStart(upstream, promptTokens, now)
      backlog.requestStarted()
    },
    releasePendingPrefill,
    pause (attempt) {
      if (attempt.isPaused) return
      attempt.isPaused = true
      attempt.sample.ignorePace()
      recordReadPaused(attempt.upstream)
      attempt.call.pause()
    },
    resume,
    end (attempt, now) {
      if (attempt.firstByteAt === undefined) {
        observeMinimumWait(attempt.upstream, rank, now - attempt.startedAt, now)
      }
      releasePendingPrefill(attempt)
      attempt.buffer.discard()
      resume(attempt, now)
      recordAttemptEnd(attempt.upstream)
      if (reportsCalls) engineLoads.prefillEnded()
    }
  }
}
