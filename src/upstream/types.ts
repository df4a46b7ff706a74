/** Interface to model engines and plain services. The adapter in `engineClient.ts` implements it over HTTP. */
import type { Endpoint, Incarnation } from '../types'

/** A completion as sent to an engine. It always carries the full prompt. */
export interface CompletionOrder {
  /** Identifier of the request; the engine echoes it in every chunk. */
  requestIdentifier: string
  /** Number of the attempt, counted from 1; the engine echoes it in every chunk. */
  attempt: number
  model: string
  version: string
  /** Adapter (LoRA) name or an empty text. */
  adapter: string
  prompt: string
  maximumOutputTokens: number
  /** Higher goes first inside the engine. */
  priority: number
  /** Chained block keys of the prompt, one for each full block, as 16 hexadecimal digits. */
  blockKeys: readonly string[]
  /** Text that separates the cache entries of customers. */
  cacheSalt: string
  /** Index of the first chunk to send; chunks before it are taken as already delivered. */
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
  /** On the final chunk: why the completion ended. */
  finishReason?: 'stop' | 'length'
  /** On the final chunk: tokens of the prompt that came from the cache. */
  cachedTokens?: number
  /** On the final chunk: tokens of the prompt. */
  promptTokens?: number
}

/** An event of an engine's cache stream. Sequence numbers are contiguous within an incarnation. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'evicted'
  /** Chained block keys as in `CompletionOrder.blockKeys`. */
  blockKeys: readonly string[]
}

/** One answer of the cache event endpoint. */
export interface CacheEventBatch {
  incarnation: Incarnation
  /** Sequence number of the newest event known to the engine. */
  newestSequence: number
  events: readonly CacheEvent[]
}

/** What an engine reports about itself, with a lag. */
export interface EngineReport {
  incarnation: Incarnation
  /** True when it takes no new work. */
  leaving: boolean
  /** Loaded `model@version` names, and `model@version+adapter` for adapters. */
  loaded: readonly string[]
  /** Requests that wait or run. */
  running: number
  waiting: number
  /** Prompt tokens that wait for prefill. */
  waitingTokens: number
  /** Prefill speed in tokens per second as measured by the engine; 0 when unknown. */
  prefillTokensPerSecond: number
}

/** An order that changes what an engine has loaded. */
export interface EngineOrder {
  kind: 'load' | 'unload'
  model: string
  version: string
  adapter: string
  /** Fencing token of the rollout leader. Some engines refuse a lower one, others ignore it. */
  fencingToken: number
}

/** A call of a plain service. */
export interface ServiceCall {
  requestIdentifier: string
  attempt: number
  method: string
  path: string
  /** Caller headers without keys and hop-by-hop headers. */
  headers: Readonly<Record<string, string | readonly string[]>>
  body: Uint8Array
}

export interface ServiceAnswer {
  status: number
  headers: Readonly<Record<string, string | readonly string[]>>
  body: Uint8Array
}

/** Time limits of one attempt in milliseconds. */
export interface AttemptTimeouts {
  connect: number
  firstByte: number
  betweenChunks: number
  whole: number
}

/**
 * How far an attempt got when it failed. `notSent` means that the upstream cannot have begun: the connection was refused
 * or never opened, or the upstream refused the request before running it.
 */
export type AttemptProgress = 'notSent' | 'maybeStarted' | 'started'

/**
 * Client for one fleet of upstreams. Failures reject with a `RouterError`; `progressOf(error)` of the adapter module
 * tells how far the attempt got.
 */
export interface UpstreamClient {
  /** Yields chunks as they come; the consumer's pace is the backpressure. Aborting the signal cancels the engine's work. */
  complete: (
    endpoint: Endpoint, order: CompletionOrder, timeouts: AttemptTimeouts, signal: AbortSignal
  ) => AsyncIterable<CompletionChunk>
  call: (
    endpoint: Endpoint, call: ServiceCall, timeouts: AttemptTimeouts, signal: AbortSignal
  ) => Promise<ServiceAnswer>
  cancel: (endpoint: Endpoint, requestIdentifier: string, attempt: number) => Promise<void>
  report: (endpoint: Endpoint) => Promise<EngineReport>
  cacheEvents: (endpoint: Endpoint, afterSequence: number) => Promise<CacheEventBatch>
  order: (endpoint: Endpoint, order: EngineOrder) => Promise<void>
  exportBlocks: (endpoint: Endpoint, blockKeys: readonly string[]) => Promise<void>
  importBlocks: (endpoint: Endpoint, incarnation: Incarnation, blockKeys: readonly string[]) => Promise<number>
  /** Opens a new connection to check that the upstream answers; resolves with its incarnation. */
  probe: (endpoint: Endpoint) => Promise<Incarnation>
  close: () => Promise<void>
}
