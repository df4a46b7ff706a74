/** Decides how a request continues after an attempt that ended without a complete response. */
import { ExecutionStatus } from '../types'
import { RepeatRule } from './types'

/** Rejections by upstreams after which a request fails. Each one costs a round trip and upstream processing time. */
const MAX_REJECTIONS = 3

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
  /** Whether part of a response has been sent to the caller. */
  responseStarted: boolean
}

export type NextStep =
  | { kind: 'retry' }
  /** Forwards the upstream's response to the caller. */
  | { kind: 'answer' }
  | { kind: 'giveUp', execution: ExecutionStatus }
  /** Closes the caller's connection, because part of a response has already been sent. */
  | { kind: 'breakOff' }

/** Whether the request may run more than once. */
export function mayRepeat (history: Pick<AttemptHistory, 'repeat' | 'resumable'>): boolean {
  return history.repeat === RepeatRule.safe || (history.repeat === RepeatRule.stream && history.resumable)
}

function executionStatus (history: AttemptHistory): ExecutionStatus {
  return history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown
}

const DECISIONS: Readonly<Record<AttemptOutcome, (history: AttemptHistory) => NextStep>> = {
  [AttemptOutcome.notRun]: (history) => (
    history.rejections < MAX_REJECTIONS ? { kind: 'retry' } : { kind: 'giveUp', execution: executionStatus(history) }
  ),
  [AttemptOutcome.unknown]: (history) => (
    mayRepeat(history) && history.runs < history.maximumAttempts
      ? { kind: 'retry' }
      : { kind: 'giveUp', execution: ExecutionStatus.unknown }
  ),
  [AttemptOutcome.failed]: (history) => (
    mayRepeat(history) && history.runs < history.maximumAttempts ? { kind: 'retry' } : { kind: 'answer' }
  )
}

/**
 * Decides the next step after an attempt.
 * @param history includes the attempt that has just ended
 */
export function decideNextStep (outcome: AttemptOutcome, history: AttemptHistory): NextStep {
  const step = DECISIONS[outcome](history)
  return step.kind === 'giveUp' && history.responseStarted ? { kind: 'breakOff' } : step
}
