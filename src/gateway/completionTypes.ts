/** Types shared by the parts that run a completion. */
import type { CompletionRequest, CompletionUsage } from './openaiApi'

/** Who sent a request. */
export interface CallerIdentity {
  customer: string
  /** SHA-256 of the key; empty on a route open to all. */
  keyHash: string
}

/** A completion that is ready to run. */
export interface CompletionJob {
  identifier: string
  caller: CallerIdentity
  /** Identity of the content for crash attribution. */
  fingerprint: string
  request: CompletionRequest
  /** Aborted when the caller has gone, with the reason `callerGone`, or when its key was withdrawn, with the error. */
  signal: AbortSignal
}

/** A piece of the answer. Pieces come in order; only the last one has `end`. */
export interface CompletionPiece {
  text: string
  end?: { finishReason: 'stop' | 'length', usage: CompletionUsage }
}

/** Runs a completion. The consumer's pace is the backpressure; returning early cancels the upstream's work. */
export type CompletionExecutor = (job: CompletionJob) => AsyncGenerator<CompletionPiece, void, undefined>
