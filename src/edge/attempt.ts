/** One attempt of a request at an upstream, and its accounting there. */
import type { IncomingMessage } from 'node:http'
import type { MonotonicMilliseconds } from '../types'
import type { Backlog } from './backlog'
import type { Crossing } from './dataCentres/crossing'
import { recordUseStart } from './engineRoom/engineUse'
import type { EngineRoom } from './engineRoom/engineRoom'
import type { EngineSpeeds, SpeedProbe } from './engineSpeed/engineSpeeds'
import type { LoadExchange } from './loadExchange'
import type { ResponseBuffer } from './responseBuffers'
import type { GrantedRetry } from './retryAllowance'
import type { AttemptSample } from './rolloutSampler'
import type { UpstreamCall } from './upstreamCall'
import {
  observeMinimumWait, observeWait, recordAttemptEnd, recordAttemptStart, recordReadPaused, recordReadResumed,
  type Upstream
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
  /** Those of them that are not expected in the upstream's cache. */
  pendingUncachedTokens: number
  /** Prompt and expected output tokens, until the attempt ends. */
  heldTokens: number
  /** What is needed to learn the speed of the upstream from the first byte. */
  speedProbe: SpeedProbe | undefined
  head: IncomingMessage | undefined
  /** Whether the upstream has shown that it survives the request. */
  isSurvived: boolean
  /** Buffer of a response that is forwarded only when it is complete. */
  buffer: ResponseBuffer
}

/** Tokens of a request at one upstream. */
export interface RequestTokens {
  prompt: number
  /** Prompt tokens that are not expected in the upstream's cache. */
  uncached: number
  /** Prompt and expected output, as the upstream holds them in its memory. */
  held: number
}

/** @param tokens tokens that the attempt now uses at the upstream */
export function createAttempt (
  parts: Pick<Attempt, 'upstream' | 'call' | 'sample' | 'retry' | 'buffer' | 'speedProbe'>, tokens: RequestTokens,
  now: MonotonicMilliseconds
): Attempt {
  return {
    ...parts,
    startedAt: now,
    connectedAt: undefined,
    lastProgressAt: now,
    firstByteAt: undefined,
    isPaused: false,
    pendingPrefillTokens: tokens.prompt,
    pendingUncachedTokens: tokens.uncached,
    heldTokens: tokens.held,
    head: undefined,
    isSurvived: false
  }
}

export interface AttemptAccounting {
  /** @param tokens tokens that the attempt now uses at the upstream */
  start: (upstream: Upstream, tokens: RequestTokens, now: MonotonicMilliseconds) => void
  /** Records that the first byte of the response arrived, so that the prompt no longer waits for prefill. */
  recordFirstByte: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Pauses reading the response. */
  pause: (attempt: Attempt) => void
  /** Records that the response is read again. */
  resume: (attempt: Attempt, now: MonotonicMilliseconds) => void
  /** Undoes the accounting of an attempt that has ended. */
  end: (attempt: Attempt, now: MonotonicMilliseconds) => void
}

export interface AccountingContext {
  engineLoads: Pick<LoadExchange, 'prefillEnded'>
  engineSpeeds: Pick<EngineSpeeds, 'observe'>
  engineRoom: Pick<EngineRoom, 'recordEnd'>
  crossing: Pick<Crossing, 'recordConnection'>
}

/**
 * @param rank urgency of the request
 * @param reportsCalls whether the end of an attempt is reported to the other instances
 */
export function createAttemptAccounting (
  { engineLoads, engineSpeeds, engineRoom, crossing }: AccountingContext, backlog: Backlog, rank: number,
  reportsCalls: boolean
): AttemptAccounting {
  /** Removes the prompt from the tokens pending prefill, after its prefill or at the end of the attempt. */
  function releasePendingPrefill (attempt: Attempt): void {
    if (attempt.firstByteAt === undefined) backlog.requestEnded()
    if (attempt.pendingPrefillTokens === 0) return
    attempt.upstream.pendingPrefillTokens -= attempt.pendingPrefillTokens
    attempt.upstream.pendingUncachedTokens -= attempt.pendingUncachedTokens
    attempt.pendingPrefillTokens = 0
    attempt.pendingUncachedTokens = 0
    engineLoads.prefillEnded()
  }

  function resume (attempt: Attempt, now: MonotonicMilliseconds): void {
    if (!attempt.isPaused) return
    attempt.isPaused = false
    attempt.lastProgressAt = now
    recordReadResumed(attempt.upstream, now)
  }

  return {
    start (upstream, tokens, now) {
      recordAttemptStart(upstream, tokens.prompt, now)
      recordUseStart(upstream, tokens.uncached, tokens.held)
      backlog.requestStarted()
    },
    recordFirstByte (attempt, now) {
      attempt.firstByteAt = now
      const { upstream, speedProbe, connectedAt, head } = attempt
      backlog.firstByteReceived(now)
      releasePendingPrefill(attempt)
      observeWait(upstream, rank, now - attempt.startedAt, now)
      if (connectedAt !== undefined) crossing.recordConnection(upstream.entry, connectedAt - attempt.startedAt)
      if (speedProbe !== undefined && connectedAt !== undefined && head?.statusCode === 200) {
        engineSpeeds.observe(upstream, speedProbe, now - connectedAt)
      }
    },
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
      } else engineRoom.recordEnd(attempt.upstream, now - attempt.startedAt)
      releasePendingPrefill(attempt)
      attempt.buffer.discard()
      resume(attempt, now)
      recordAttemptEnd(attempt.upstream)
      attempt.upstream.heldTokens -= attempt.heldTokens
      attempt.heldTokens = 0
      if (reportsCalls) engineLoads.prefillEnded()
    }
  }
}
