/** Types of the upstream registry. */
import type { RoutingCandidate } from '../prefix/types'
import type {
  Endpoint, Incarnation, ListedInstance, MonotonicMilliseconds, UpstreamKind, WallClockMilliseconds
} from '../types'
import type { EngineReport } from './types'

export const UpstreamEventKind = {
  /** A new upstream was listed. */
  found: 'found',
  /** An upstream is neither listed nor answering and was forgotten. */
  lost: 'lost',
  /** An upstream takes no new work from now on. */
  leaving: 'leaving',
  /** An upstream answered with a higher incarnation: its caches are empty and its work is gone. */
  restarted: 'restarted'
} as const
export type UpstreamEventKind = typeof UpstreamEventKind[keyof typeof UpstreamEventKind]

export interface UpstreamEvent {
  kind: UpstreamEventKind
  upstream: string
  /** Incarnation after the event; 0 while it is not known. */
  incarnation: Incarnation
}

/** What the registry tells about one upstream. */
export interface UpstreamView {
  name: string
  kind: UpstreamKind
  dataCentre: string
  endpoint: Endpoint
  /** Group name of a plain service; undefined for engines. */
  service: string | undefined
  /** 0 until the upstream has answered. */
  incarnation: Incarnation
  leaving: boolean
  /** True after several connection failures in a row, until a probe succeeds. */
  suspected: boolean
  /** False when the newest list lacks it and it is kept because it answers. */
  listed: boolean
  /** Loaded `model@version` and `model@version+adapter` names of an engine. */
  loaded: readonly string[]
  /** Requests of this instance that are in flight there. */
  inFlight: number
  /** Prompt tokens that wait there, as in `RoutingCandidate`. */
  queuedTokens: number
  prefillTokensPerSecond: number
}

export interface UpstreamRegistryOptions {
  /** Data centre of this instance. */
  dataCentre: string
  /** Tells whether the concurrency limit of an upstream admits another request. @default always true */
  hasRoom?: (upstream: string) => boolean
  /** Milliseconds added to the score of an upstream in another data centre. @default REMOTE_DISTANCE_MS */
  remoteDistanceMilliseconds?: number
  /** Called once for each event, during the call that caused it. @default none */
  onEvent?: (event: UpstreamEvent) => void
  /** Connection failures in a row after which an upstream is suspected. @default 3 */
  failureLimit?: number
  /** How long an upstream without a listing is kept after its last answer, in milliseconds. @default 10000 */
  keepUnlistedMilliseconds?: number
}

/** Outcome of prefill work, from which the prefill speed is learned. */
export interface PrefillOutcome {
  /** Prompt tokens that were not cached. */
  computedTokens: number
  /** From sending to the first token, in milliseconds. */
  milliseconds: number
}

/** State of the upstreams known to this instance. */
export interface UpstreamRegistry {
  /** Takes in the platform's list. A list older than the newest one changes nothing. */
  applyList: (instances: readonly ListedInstance[], asOf: WallClockMilliseconds, now: MonotonicMilliseconds) => void
  /** Takes in an engine's report; one of an older incarnation is ignored. */
  applyReport: (upstream: string, report: EngineReport, now: MonotonicMilliseconds) => void
  /** Takes in work that a peer announced: tokens in flight by upstream. Replaces that peer's previous announcement. */
  applyPeerWork: (peer: string, work: Readonly<Record<string, number>>, now: MonotonicMilliseconds) => void
  /** The upstream refused work because it is leaving. `incarnation` is the one that refused; 0 when unknown. */
  markLeaving: (upstream: string, incarnation: Incarnation, now: MonotonicMilliseconds) => void
  /** Work that this instance sends; `tokens` are the prompt tokens to compute. */
  startWork: (upstream: string, identifier: string, tokens: number, now: MonotonicMilliseconds) => void
  /**
   * The first token arrived: the prompt no longer counts as queued, the request is still in flight. Returns the
   * milliseconds that the request waited for others. This and not the time to first token is the latency for the
   * concurrency limit: the time to first token of a prompt that is not cached is long without any queue.
   */
  finishPrefill: (upstream: string, identifier: string, outcome: PrefillOutcome, now: MonotonicMilliseconds) => number
  /** The request ended in whatever way. */
  finishWork: (upstream: string, identifier: string, now: MonotonicMilliseconds) => void
  /** A connection failed or went silent. */
  recordFailure: (upstream: string, now: MonotonicMilliseconds) => void
  /** The upstream answered, for example to a probe; `incarnation` when the answer told it. */
  recordSuccess: (upstream: string, now: MonotonicMilliseconds, incarnation?: Incarnation) => void
  /** Engines that have the version (and the adapter, unless empty) loaded and take new work. */
  candidates: (
    model: string, version: string, adapter: string, now: MonotonicMilliseconds
  ) => readonly RoutingCandidate[]
  /** Instances of a plain service that take new work: nearest first, then the least busy. */
  services: (name: string, now: MonotonicMilliseconds) => readonly UpstreamView[]
  /**
   * Upstreams to probe now: those whose incarnation is not known, suspected ones after their backoff, and unlisted or
   * leaving ones that have not answered lately. The same ones are returned until the outcome of a probe is recorded.
   */
  probesDue: (now: MonotonicMilliseconds) => readonly UpstreamView[]
  /** Forgets upstreams that are neither listed nor answering, and peers' work that was not announced again. */
  expire: (now: MonotonicMilliseconds) => void
  /** Own prompt tokens in flight by upstream, for the heartbeat. */
  ownWork: () => Readonly<Record<string, number>>
  upstreams: (now: MonotonicMilliseconds) => readonly UpstreamView[]
  upstream: (name: string, now: MonotonicMilliseconds) => UpstreamView | undefined
}
