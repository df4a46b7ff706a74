/** State of one upstream and its transitions. The registry owns one for each upstream. */
import type { Incarnation, ListedInstance, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type { PrefillOutcome } from './registryTypes'
import type { EngineReport } from './types'

/** Prefill speed assumed until a report or a measurement tells another, in tokens per second. */
const INITIAL_PREFILL_RATE = 8000
/** Weight of a new sample of the prefill speed. */
const RATE_SAMPLE_WEIGHT = 0.2
/** Prompts below this give no usable sample: the time to first token is then mostly fixed cost. */
const RATE_SAMPLE_TOKENS = 1024
const FIRST_BACKOFF_MS = 500
const LONGEST_BACKOFF_MS = 10_000

/** Prompt of this instance that waits or is computed at the upstream. */
interface OwnPrefill {
  tokens: number
  startedAt: MonotonicMilliseconds
  /** True when no other own work was in flight at the start; only then does the time show the prefill speed. */
  alone: boolean
}

export interface UpstreamState {
  listing: ListedInstance
  listed: boolean
  incarnation: Incarnation
  leaving: boolean
  /** Time of the list that caused the leaving mark; undefined when the upstream told it itself. */
  leavingAsOf: WallClockMilliseconds | undefined
  report: EngineReport | undefined
  reportedAt: MonotonicMilliseconds
  lastAnswer: MonotonicMilliseconds
  /** Prefill speed from reports, 0 when none told it; else from own measurements. */
  reportedRate: number
  measuredRate: number
  failures: number
  /** Probes are due from this time on while the upstream is suspected. */
  probeAt: MonotonicMilliseconds
  backoff: number
  /** Identifiers of own requests in flight. */
  inFlight: Set<string>
  /** Those of them that have no first token yet. */
  prefills: Map<string, OwnPrefill>
}

export function createUpstreamState (listing: ListedInstance, now: MonotonicMilliseconds): UpstreamState {
  return {
    listing,
    listed: true,
    incarnation: 0,
    leaving: false,
    leavingAsOf: undefined,
    report: undefined,
    reportedAt: now,
    lastAnswer: now,
    reportedRate: 0,
    measuredRate: 0,
    failures: 0,
    probeAt: now,
    backoff: FIRST_BACKOFF_MS,
    inFlight: new Set(),
    prefills: new Map()
  }
}

/** Takes over a newly seen incarnation; true when it replaced an older one. */
export function adoptIncarnation (state: UpstreamState, incarnation: Incarnation): boolean {
  if (incarnation <= state.incarnation) return false
  const restarted = state.incarnation !== 0
  state.incarnation = incarnation
  // A list taken before the start tells about the previous process, also when that one was never seen here.
  if (restarted || (state.leavingAsOf !== undefined && state.leavingAsOf < incarnation)) {
    state.leaving = false
    state.leavingAsOf = undefined
  }
  if (restarted) {
    state.report = undefined
    state.inFlight.clear()
    state.prefills.clear()
  }
  return restarted
}

export function adoptReport (state: UpstreamState, report: EngineReport, now: MonotonicMilliseconds): void {
  state.report = report
  state.reportedAt = now
  if (report.prefillTokensPerSecond > 0) state.reportedRate = smooth(state.reportedRate, report.prefillTokensPerSecond)
}

export function prefillRate (state: UpstreamState): number {
  return state.reportedRate || state.measuredRate || INITIAL_PREFILL_RATE
}

export function beginWork (state: UpstreamState, identifier: string, tokens: number, now: MonotonicMilliseconds): void {
  state.prefills.set(identifier, { tokens, startedAt: now, alone: state.inFlight.size === 0 })
  state.inFlight.add(identifier)
}

export function endWork (state: UpstreamState, identifier: string): void {
  state.inFlight.delete(identifier)
  state.prefills.delete(identifier)
}

/**
 * Ends the prefill of one request and learns from its duration. Returns the milliseconds that the request waited for
 * others, that is the time which its own computation does not explain.
 */
export function endPrefill (state: UpstreamState, identifier: string, outcome: PrefillOutcome): number {
  const prefill = state.prefills.get(identifier)
  const wait = Math.max(0, outcome.milliseconds - outcome.computedTokens * 1000 / prefillRate(state))
  if (prefill === undefined) return wait
  state.prefills.delete(identifier)
  if (prefill.alone && outcome.computedTokens >= RATE_SAMPLE_TOKENS && outcome.milliseconds > 0) {
    state.measuredRate = smooth(state.measuredRate, outcome.computedTokens * 1000 / outcome.milliseconds)
  }
  return wait
}

/** Prompt tokens of this instance that are not known to be computed, sent after `since`. */
export function ownQueuedTokens (state: UpstreamState, since = -Infinity): number {
  let tokens = 0
  for (const prefill of state.prefills.values()) {
    if (prefill.startedAt > since) tokens += prefill.tokens
  }
  return tokens
}

/**
 * Prompt tokens that wait at the upstream. The report covers all senders but is old; the work known to the routers is
 * newer but incomplete. Both are lower bounds that overlap, so the larger one is used and not their sum.
 */
export function queuedTokens (state: UpstreamState, peerTokens: number, now: MonotonicMilliseconds): number {
  const drained = prefillRate(state) * Math.max(0, now - state.reportedAt) / 1000
  const reported = Math.max(0, (state.report?.waitingTokens ?? 0) - drained)
  return Math.max(reported + ownQueuedTokens(state, state.reportedAt), ownQueuedTokens(state) + peerTokens)
}

export function noteFailure (state: UpstreamState, limit: number, now: MonotonicMilliseconds): void {
  state.failures++
  if (state.failures < limit) return
  state.backoff = state.failures === limit ? FIRST_BACKOFF_MS : Math.min(state.backoff * 2, LONGEST_BACKOFF_MS)
  state.probeAt = now + state.backoff
}

export function noteSuccess (state: UpstreamState, now: MonotonicMilliseconds): void {
  state.failures = 0
  state.lastAnswer = Math.max(state.lastAnswer, now)
}

function smooth (previous: number, sample: number): number {
  return previous === 0 ? sample : previous + RATE_SAMPLE_WEIGHT * (sample - previous)
}
