/** Types shared by the modules that handle completions. */
import type { CompletionRequest, CompletionUsage } from './openaiApi'

/** Identity of the caller that sent a request. */
export interface CallerIdentity {
  customer: string
  /** SHA-256 of the key, or an empty string on an open route. */
  keyHash: string
}

/** A completion that is ready to run. */
export interface CompletionJob {
  identifier: string
  caller: CallerIdentity
  /** Fingerprint of the request content, used to attribute crashes. */
  fingerprint: string
  request: CompletionRequest
  /** Aborted when the caller disconnects or its key is withdrawn. In the latter case, the reason is the error. */
  signal: AbortSignal
}

/** A piece of the response. Pieces arrive in order, and only the final one has `end`. */
export interface CompletionPiece {
  text: string
  end?: { finishReason: 'stop' | 'length', usage: CompletionUsage }
}

/** Runs a completion. The consumer applies backpressure by its read rate. Returning early cancels the upstream's work. */
export type CompletionExecutor = (job: CompletionJob) => AsyncGenerator<CompletionPiece, void, undefined>
