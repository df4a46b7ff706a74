/** State of an upstream and its transitions. The registry keeps one state per upstream. */
import type { Incarnation, ListedInstance, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type { PrefillOutcome } from './registryTypes'
import type { EngineReport } from './types'

/** Prefill speed assumed until one is reported or measured, in tokens per second. */
const INITIAL_PREFILL_RATE = 8000
/** Weight of a new sample in the moving average of the prefill speed. */
const RATE_SAMPLE_WEIGHT = 0.2
/** Minimum prompt length of a sample, in tokens. Below it, the time to first token is dominated by fixed costs. */
const RATE_SAMPLE_TOKENS = 1024
const INITIAL_BACKOFF_MS = 500
const MAXIMUM_BACKOFF_MS = 10_000

/** Prefill of a request sent by this instance that is queued or running on the upstream. */
interface OwnPrefill {
  tokens: number
  startedAt: MonotonicMilliseconds
  /**
   * True when no other request of this instance was in flight at the start. Otherwise, the duration does not measure
   * the prefill speed.
   */
  exclusive: boolean
}

export interface UpstreamState {
  listing: ListedInstance
  listed: boolean
  incarnation: Incarnation
  leaving: boolean
  /** Time of the list that marked the upstream as leaving; undefined when the upstream reported it itself. */
  leavingAsOf: WallClockMilliseconds | undefined
  report: EngineReport | undefined
  reportedAt: MonotonicMilliseconds
  lastResponseAt: MonotonicMilliseconds
  /** Prefill speed from reports, in tokens per second; 0 when none was reported. */
  reportedRate: number
  /** Prefill speed measured by this instance, used when none was reported; 0 before the first sample. */
  measuredRate: number
  failures: number
  /** Time of the next probe while the upstream is suspected. */
  probeAt: MonotonicMilliseconds
  backoff: number
  /** Identifiers of this instance's requests in flight. */
  inFlight: Set<string>
  /** Prefills by request identifier, for requests in flight without a first token. */
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
    lastResponseAt: now,
    reportedRate: 0,
    measuredRate: 0,
    failures: 0,
    probeAt: now,
    backoff: INITIAL_BACKOFF_MS,
    inFlight: new Set(),
    prefills: new Map()
  }
}

/** Applies a newly observed incarnation; returns true when it replaced an older one. */
export function adoptIncarnation (state: UpstreamState, incarnation: Incarnation): boolean {
  if (incarnation <= state.incarnation) return false
  const restarted = state.incarnation !== 0
  state.incarnation = incarnation
  // A list created before the start refers to the previous process, even if this instance never observed that one.
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
  state.prefills.set(identifier, { tokens, startedAt: now, exclusive: state.inFlight.size === 0 })
  state.inFlight.add(identifier)
}

export function endWork (state: UpstreamState, identifier: string): void {
  state.inFlight.delete(identifier)
  state.prefills.delete(identifier)
}

/**
 * Ends the prefill of a request and updates the measured prefill speed. Returns the time that the request waited for
 * other requests in milliseconds, that is, the duration beyond the estimated time of its own prefill.
 */
export function endPrefill (state: UpstreamState, identifier: string, outcome: PrefillOutcome): number {
  const prefill = state.prefills.get(identifier)
  const wait = Math.max(0, outcome.milliseconds - outcome.computedTokens * 1000 / prefillRate(state))
  if (prefill === undefined) return wait
  state.prefills.delete(identifier)
  if (prefill.exclusive && outcome.computedTokens >= RATE_SAMPLE_TOKENS && outcome.milliseconds > 0) {
    state.measuredRate = smooth(state.measuredRate, outcome.computedTokens * 1000 / outcome.milliseconds)
  }
  return wait
}

/** Returns the prompt tokens of this instance's requests that were sent after `since` and have no first token yet. */
export function ownQueuedTokens (state: UpstreamState, since = -Infinity): number {
  let tokens = 0
  for (const prefill of state.prefills.values()) {
    if (prefill.startedAt > since) tokens += prefill.tokens
  }
  return tokens
}

/**
 * Estimates the prompt tokens pending prefill on the upstream. The report covers all senders but is outdated; the work
 * known to the routers is newer but incomplete. Both are overlapping lower bounds, so the result is their maximum, not
 * their sum.
 */
export function queuedTokens (state: UpstreamState, peerTokens: number, now: MonotonicMilliseconds): number {
  const drained = prefillRate(state) * Math.max(0, now - state.reportedAt) / 1000
  const reported = Math.max(0, (state.report?.waitingTokens ?? 0) - drained)
  return Math.max(reported + ownQueuedTokens(state, state.reportedAt), ownQueuedTokens(state) + peerTokens)
}

export function noteFailure (state: UpstreamState, limit: number, now: MonotonicMilliseconds): void {
  state.failures++
  if (state.failures < limit) return
  state.backoff = state.failures === limit ? INITIAL_BACKOFF_MS : Math.min(state.backoff * 2, MAXIMUM_BACKOFF_MS)
  state.probeAt = now + state.backoff
}

export function noteSuccess (state: UpstreamState, now: MonotonicMilliseconds): void {
  state.failures = 0
  state.lastResponseAt = Math.max(state.lastResponseAt, now)
}

function smooth (previous: number, sample: number): number {
  return previous === 0 ? sample : previous + RATE_SAMPLE_WEIGHT * (sample - previous)
}
