/** State of a completion run and of its attempts. */
import type { AttemptFailure } from '../request/execution'
import type { StreamAssembler } from '../request/streamAssembler'
import type { AttemptHandle } from '../upstream/crashLedger'
import type { MonotonicMilliseconds } from '../types'
import type { Liveness } from './attemptOutcome'
import type { CompletionJob } from './completionTypes'
import type { Placement } from './dispatcher'

/** Token usage of the run so far. Read when the request ends, whether it succeeded or not. */
export interface RunUsage {
  /** False until an attempt may have reached an upstream. */
  sent: boolean
  outputTokens: number
}

/** Properties of the request that are the same for all attempts. */
export interface RunContext {
  job: CompletionJob
  promptTokens: number
  maximumOutputTokens: number
  startedAt: MonotonicMilliseconds
}

/** An attempt and its measurements. */
export interface Attempt {
  number: number
  version: string
  blockKeys: readonly string[]
  placement: Placement
  handle: AttemptHandle
  sentAt: MonotonicMilliseconds
  firstTokenAt: MonotonicMilliseconds | undefined
  lastTokenAt: MonotonicMilliseconds
  chunks: number
  /** Whether the upstream has been silent for its limit. Reset by the next chunk. */
  isSilent: boolean
  /** Time and result of the last probe during a silence. */
  checkedAt: MonotonicMilliseconds
  liveness: Liveness
}

export interface FailedAttempt {
  attempt: Attempt
  error: unknown
}

/** State of a run over all of its attempts. */
export interface RunState {
  context: RunContext
  usage: RunUsage
  assembler: StreamAssembler
  /** Number of the attempt whose chunks the assembler accepts. */
  assembledAttempt: number
  /** Attempts that have failed, or were cancelled because another one answered. */
  failures: AttemptFailure[]
  /** Number of attempts that were started. */
  attempts: number
  /** No attempt is sent beside a silent one before this time, because others have just refused. */
  besideAfter: MonotonicMilliseconds
}
