/** Client interface for model engines and plain services. `engineClient.ts` implements it over HTTP. */
import type { Endpoint, Incarnation } from '../types'

/** Completion request sent to an engine. Always contains the full prompt. */
export interface EngineCompletionRequest {
  /** Identifier of the request; the engine echoes it in every chunk. */
  requestIdentifier: string
  /** Attempt number, starting at 1; the engine echoes it in every chunk. */
  attempt: number
  model: string
  version: string
  /** Adapter (LoRA) name, or an empty string. */
  adapter: string
  prompt: string
  maximumOutputTokens: number
  /** Scheduling priority in the engine; higher values run first. */
  priority: number
  /** Chained block keys of the prompt, one per full block, as 16 hexadecimal digits. */
  blockKeys: readonly string[]
  /** Salt that separates the cache entries of customers. */
  cacheSalt: string
  /** Index of the first chunk to send; earlier chunks count as delivered. */
  resumeFrom: number
  /** Text of the chunks before `resumeFrom`. */
  resumeText: string
}

/** One chunk of a completion. Indices are contiguous from `resumeFrom`. */
export interface CompletionChunk {
  requestIdentifier: string
  attempt: number
  index: number
  text: string
  /** True on the last chunk only; then `text` may be empty. */
  final: boolean
  /** Reason why the completion ended; only on the final chunk. */
  finishReason?: 'stop' | 'length'
  /** Number of prompt tokens read from the cache; only on the final chunk. */
  cachedTokens?: number
  /** Number of prompt tokens; only on the final chunk. */
  promptTokens?: number
}

/** Event in an engine's cache event stream. Sequence numbers are contiguous within an incarnation. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'evicted'
  /** Chained block keys as in `EngineCompletionRequest.blockKeys`. */
  blockKeys: readonly string[]
}

/** Response of the cache event endpoint. */
export interface CacheEventBatch {
  incarnation: Incarnation
  /** Sequence number of the newest event known to the engine. */
  newestSequence: number
  events: readonly CacheEvent[]
}

/** Status reported by an engine. It lags behind the actual state. */
export interface EngineReport {
  incarnation: Incarnation
  /** True when the engine is draining and accepts no new work. */
  leaving: boolean
  /** Loaded models as `model@version`, and adapters as `model@version+adapter`. */
  loaded: readonly string[]
  /** Number of running requests. */
  running: number
  /** Number of queued requests. */
  waiting: number
  /** Prompt tokens pending prefill. */
  waitingTokens: number
  /** Prefill speed in tokens per second as measured by the engine; 0 when unknown. */
  prefillTokensPerSecond: number
}

/** Command to load or unload a model version or adapter on an engine. */
export interface EngineCommand {
  kind: 'load' | 'unload'
  model: string
  version: string
  adapter: string
  /** Fencing token of the rollout leader. Some engines reject a token lower than the last one, others ignore it. */
  fencingToken: number
}

/** Request to a plain service. */
export interface ServiceCall {
  requestIdentifier: string
  attempt: number
  method: string
  path: string
  /** Headers of the caller, without API keys and hop-by-hop headers. */
  headers: Readonly<Record<string, string | readonly string[]>>
  body: Uint8Array
  /** Called before more bytes of a long response are buffered; they are read once it resolves. @default not called */
  reserve?: (bytes: number, signal: AbortSignal) => Promise<void>
}

export interface ServiceResponse {
  status: number
  headers: Readonly<Record<string, string | readonly string[]>>
  body: Uint8Array
}

/** Time limits of one attempt, in milliseconds. */
export interface AttemptTimeouts {
  connect: number
  firstByte: number
  betweenChunks: number
  /** Limit for the entire attempt. */
  whole: number
}

/** Limits after which an upstream that answers nothing counts as silent. */
export const SilenceLimit = {
  firstByte: 'first byte',
  betweenChunks: 'between chunks'
} as const
export type SilenceLimit = typeof SilenceLimit[keyof typeof SilenceLimit]

/**
 * Called when the `firstByte` or the `betweenChunks` limit is exceeded. Returns true if the attempt goes on, then until
 * the `whole` limit; otherwise it fails with `UpstreamTimeoutError`, which is also the default without a handler.
 */
export type SilenceHandler = (limit: SilenceLimit) => boolean

/**
 * Progress of an attempt when it failed. `notSent` means that the upstream cannot have executed any part of the
 * request: the connection was refused or never opened, or the upstream rejected the request before running it.
 */
export type AttemptProgress = 'notSent' | 'maybeStarted' | 'started'

/**
 * Client for the upstreams of a fleet. Failures reject with a `RouterError`; `progressOf(error)`, exported by
 * `engineClient.ts`, returns the progress of the failed attempt.
 */
export interface UpstreamClient {
  /** Yields chunks as they arrive, with backpressure. Aborting the signal cancels the completion on the engine. */
  complete: (
    endpoint: Endpoint, order: EngineCompletionRequest, timeouts: AttemptTimeouts, signal: AbortSignal,
    onSilence?: SilenceHandler
  ) => AsyncIterable<CompletionChunk>
  call: (
    endpoint: Endpoint, call: ServiceCall, timeouts: AttemptTimeouts, signal: AbortSignal, onSilence?: SilenceHandler
  ) => Promise<ServiceResponse>
  cancel: (endpoint: Endpoint, requestIdentifier: string, attempt: number) => Promise<void>
  report: (endpoint: Endpoint) => Promise<EngineReport>
  cacheEvents: (endpoint: Endpoint, afterSequence: number) => Promise<CacheEventBatch>
  order: (endpoint: Endpoint, order: EngineCommand) => Promise<void>
  exportBlocks: (endpoint: Endpoint, blockKeys: readonly string[]) => Promise<void>
  importBlocks: (endpoint: Endpoint, incarnation: Incarnation, blockKeys: readonly string[]) => Promise<number>
  /** Checks over a new connection that the upstream responds; resolves with its incarnation. */
  probe: (endpoint: Endpoint) => Promise<Incarnation>
  close: () => Promise<void>
}
