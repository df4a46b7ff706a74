/** Decides how a request continues after an attempt that ended without a complete response. */
import { ExecutionStatus } from '../types'
import { RepeatRule, type EdgeRoute } from './types'

/** Rejections by upstreams after which a request fails. Each one costs a round trip and upstream processing time. */
const MAX_REJECTIONS = 3

/** Runs beyond the attempts of the route, at upstreams that have had the request. */
const MAX_REPEATED_RUNS = 2

/** Share of the remaining time without progress after which a request that is safe to repeat is retried. */
const RETRY_TIME_SHARE = 0.5
/**
 * Time in milliseconds without an event after which a resumable stream is resumed at another engine, even if its engine
 * still serves other requests.
 */
const STALLED_STREAM_MS = 1500
/** Time in milliseconds without progress after which a request at a silent upstream is repeated elsewhere. */
const SILENT_UPSTREAM_MS = 400

/**
 * Statuses that tell the caller that the request was not executed. Those of an upstream are not forwarded, because it
 * may have run the request.
 */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

export const AttemptOutcome = {
  /** The upstream stated that it did not run the request, or no byte of the request was sent. */
  notRun: 'notRun',
  /** The request was sent and its outcome is unknown. */
  unknown: 'unknown',
  /** The upstream responded with an error status. */
  failed: 'failed'
} as const
export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome]

export interface AttemptHistory {
  repeat: RepeatRule
  resumable: boolean
  maximumAttempts: number
  /** Number of attempts that the upstream may have run. */
  runs: number
  /** Number of attempts that were certainly not run. */
  rejections: number
  /**
   * Number of attempts that this instance cancelled in favour of another one. For each of them, the request may be sent
   * and turned away once more, but beyond `maximumAttempts` it goes only to upstreams that have had it.
   */
  cancellations: number
}

export function createAttemptHistory (
  { repeat, resumable, maximumAttempts }: Pick<EdgeRoute, 'repeat' | 'resumable' | 'maximumAttempts'>
): AttemptHistory {
  return { repeat, resumable, maximumAttempts, runs: 0, rejections: 0, cancellations: 0 }
}

/** Why a request was not sent to another upstream after its last attempt. */
export const Obstacle = {
  /** Requests of its kind must not run twice. */
  notRepeatable: 'notRepeatable',
  /** It has run as often as its route permits. */
  attempts: 'attempts',
  /** It has been turned away too often. */
  rejections: 'rejections',
  /** The instance has used up its retries at the service. */
  retryAllowance: 'retryAllowance',
  /** No upstream can take it now. */
  noneUsable: 'noneUsable',
  /** The service has no upstream at the moment. */
  noneListed: 'noneListed',
  /** No upstream is in a region that its route and customer allow. */
  homes: 'homes',
  /** The data centres of its upstreams are evacuated. */
  evacuated: 'evacuated',
  /** Its key was withdrawn. */
  key: 'key',
  /** The configuration is too old to tell whether its key is still valid. */
  keyUnconfirmed: 'keyUnconfirmed',
  /** Upstreams crash, or may crash, when they answer such requests. */
  crashes: 'crashes',
  /** The instance is stopping. */
  stopping: 'stopping',
  timeLimit: 'timeLimit'
} as const
export type Obstacle = typeof Obstacle[keyof typeof Obstacle]

/** Whether the request may run more than once. */
export function mayRepeat (history: Pick<AttemptHistory, 'repeat' | 'resumable'>): boolean {
  return history.repeat === RepeatRule.safe || (history.repeat === RepeatRule.stream && history.resumable)
}

/**
 * Whether an attempt is given up so that the request, which may be repeated, can be sent to another upstream.
 * @param idle milliseconds without progress
 * @param timeLeft milliseconds until the request times out
 */
export function isStalled (repeat: RepeatRule, idle: number, timeLeft: number, isUpstreamSilent: boolean): boolean {
  const limit = repeat === RepeatRule.safe ? timeLeft * RETRY_TIME_SHARE : STALLED_STREAM_MS
  return idle >= limit || (isUpstreamSilent && idle > SILENT_UPSTREAM_MS)
}

/**
 * Whether an attempt without progress has probably been lost; sound upstreams pause for about a second.
 * @param idle milliseconds without progress
 */
export function isProbablyLost (idle: number): boolean {
  return idle >= STALLED_STREAM_MS
}

/** Whether the request may run once more. */
export function mayRunAgain (history: AttemptHistory): boolean {
  const { runs, maximumAttempts, cancellations } = history
  return mayRepeat(history) && runs < maximumAttempts + Math.min(MAX_REPEATED_RUNS, cancellations)
}

/** Whether the request may be turned away once more. */
function mayBeRejectedAgain ({ rejections, cancellations }: AttemptHistory): boolean {
  return rejections < MAX_REJECTIONS + Math.min(MAX_REPEATED_RUNS, cancellations)
}

/**
 * Whether each obstacle ends a request that is owed an answer, because part of its response has been sent or this
 * instance cancelled one of its attempts. Limits that hold off new work, upstreams that are busy or not listed, and an
 * outage of the store do not: the request waits for their end until its time limit.
 */
const ENDS_OWED_REQUEST: Readonly<Record<Obstacle, boolean>> = {
  [Obstacle.notRepeatable]: true,
  [Obstacle.attempts]: true,
  [Obstacle.rejections]: false,
  [Obstacle.retryAllowance]: false,
  [Obstacle.noneUsable]: false,
  // The entry of an upstream that restarts, or that was lost in an outage of the store, is back within seconds.
  [Obstacle.noneListed]: false,
  // Another upstream may be listed, and the operator may end the evacuation.
  [Obstacle.homes]: false,
  [Obstacle.evacuated]: false,
  [Obstacle.key]: true,
  // It is confirmed or withdrawn once the store returns.
  [Obstacle.keyUnconfirmed]: false,
  [Obstacle.crashes]: true,
  [Obstacle.stopping]: true,
  [Obstacle.timeLimit]: true
}

/** Whether the obstacle ends a request without an attempt in progress. */
export function endsRequest (obstacle: Obstacle, isOwed: boolean): boolean {
  return !isOwed || ENDS_OWED_REQUEST[obstacle]
}

/** Returns what keeps the request from being sent once more after an attempt; undefined if nothing does. */
export function findObstacle (outcome: AttemptOutcome, history: AttemptHistory): Obstacle | undefined {
  if (outcome === AttemptOutcome.notRun) return mayBeRejectedAgain(history) ? undefined : Obstacle.rejections
  if (!mayRepeat(history)) return Obstacle.notRepeatable
  return mayRunAgain(history) ? undefined : Obstacle.attempts
}

/** Whether the request may be sent to an upstream once more. */
export function maySendAgain (history: AttemptHistory): boolean {
  return mayRunAgain(history) && mayBeRejectedAgain(history)
}

/** Whether the response of an upstream reports a failure, or leaves open whether it has run the request. */
export function isFailure (status: number): boolean {
  return status >= 500 || NOT_EXECUTED_STATUSES.has(status)
}

/** Whether a complete response shows that the upstream has run the request and lived on. */
export function provesSurvival (status: number): boolean {
  return !isFailure(status)
}

/** What can be said about the execution of a request that has failed. */
export function executionStatus (history: AttemptHistory): ExecutionStatus {
  return history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown
}
