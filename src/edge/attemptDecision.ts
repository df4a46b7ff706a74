/** What happens after an attempt ended without a whole answer. */
import { ExecutionStatus } from '../types'
import { RepeatRule } from './types'

/** Rejections that one request may collect before it is refused; each costs a round trip and an upstream's attention. */
const REJECTION_LIMIT = 3

export const AttemptEnd = {
  /** The upstream said that it did not run the request, or no byte was sent. */
  notRun: 'notRun',
  /** The request was sent and its outcome is not known. */
  unknown: 'unknown',
  /** The upstream answered that it failed. */
  failed: 'failed'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

export interface AttemptHistory {
  repeat: RepeatRule
  resumable: boolean
  maximumAttempts: number
  /** Attempts that may have run. */
  runs: number
  /** Attempts that certainly did not run. */
  rejections: number
  /** Bytes of an answer have gone to the caller. */
  begun: boolean
}

export type NextStep =
  | { kind: 'retry' }
  /** Passes the upstream's own answer on. */
  | { kind: 'answer' }
  | { kind: 'giveUp', execution: ExecutionStatus }
  /** Breaks the caller's connection off, since part of an answer has gone out. */
  | { kind: 'breakOff' }

export function mayRepeat (history: Pick<AttemptHistory, 'repeat' | 'resumable'>): boolean {
  return history.repeat === RepeatRule.safe || (history.repeat === RepeatRule.stream && history.resumable)
}

function executionOf (history: AttemptHistory): ExecutionStatus {
  return history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown
}

const AFTER: Readonly<Record<AttemptEnd, (history: AttemptHistory) => NextStep>> = {
  [AttemptEnd.notRun]: (history) => (
    history.rejections < REJECTION_LIMIT ? { kind: 'retry' } : { kind: 'giveUp', execution: executionOf(history) }
  ),
  [AttemptEnd.unknown]: (history) => (
    mayRepeat(history) && history.runs < history.maximumAttempts
      ? { kind: 'retry' }
      : { kind: 'giveUp', execution: ExecutionStatus.unknown }
  ),
  [AttemptEnd.failed]: (history) => (
    mayRepeat(history) && history.runs < history.maximumAttempts ? { kind: 'retry' } : { kind: 'answer' }
  )
}

/** `history` counts the attempt that has just ended. */
export function decideAfter (end: AttemptEnd, history: AttemptHistory): NextStep {
  const step = AFTER[end](history)
  return step.kind === 'giveUp' && history.begun ? { kind: 'breakOff' } : step
}
