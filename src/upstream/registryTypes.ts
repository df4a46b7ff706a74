/** Types of the upstream registry. */
import type { RoutingCandidate } from '../prefix/types'
import type {
  Endpoint, Incarnation, ListedInstance, MonotonicMilliseconds, UpstreamKind, WallClockMilliseconds
} from '../types'
import type { EngineReport } from './types'

export const UpstreamEventKind = {
  /** A new upstream was listed. */
  found: 'found',
  /** An upstream that is neither listed nor responding was removed. */
  lost: 'lost',
  /** An upstream started draining and accepts no new work. */
  leaving: 'leaving',
  /** An upstream responded with a higher incarnation: its caches are empty and its work in flight is lost. */
  restarted: 'restarted'
} as const
export type UpstreamEventKind = typeof UpstreamEventKind[keyof typeof UpstreamEventKind]

export interface UpstreamEvent {
  kind: UpstreamEventKind
  upstream: string
  /** Incarnation after the event; 0 while it is not known. */
  incarnation: Incarnation
}

/** Snapshot of the registry's state of one upstream. */
export interface UpstreamView {
  name: string
  kind: UpstreamKind
  dataCentre: string
  endpoint: Endpoint
  /** Group name of a plain service; undefined for engines. */
  service: string | undefined
  /** 0 until the upstream has responded. */
  incarnation: Incarnation
  leaving: boolean
  /** True after several consecutive connection failures, until a probe succeeds. */
  suspected: boolean
  /** False when the upstream is missing from the newest list and kept only because it still responds. */
  listed: boolean
  /** Loaded `model@version` and `model@version+adapter` names of an engine. */
  loaded: readonly string[]
  /** Number of requests of this instance in flight on the upstream. */
  inFlight: number
  /** Prompt tokens pending prefill, as in `RoutingCandidate`. */
  queuedTokens: number
  prefillTokensPerSecond: number
}

export interface UpstreamRegistryOptions {
  /** Data centre of this instance. */
  dataCentre: string
  /** Returns whether the concurrency limit of an upstream admits another request. @default () => true */
  hasRoom?: (upstream: string) => boolean
  /** Milliseconds added to the score of an upstream in another data centre. @default REMOTE_DISTANCE_MS */
  remoteDistanceMilliseconds?: number
  /** Called once for each event, synchronously within the call that caused it. @default none */
  onEvent?: (event: UpstreamEvent) => void
  /** Number of consecutive connection failures after which an upstream is suspected. @default 3 */
  failureLimit?: number
  /** Time for which an unlisted upstream is kept after its last response, in milliseconds. @default 10000 */
  keepUnlistedMilliseconds?: number
}

/** Outcome of a prefill, used to estimate the prefill speed. */
export interface PrefillOutcome {
  /** Prompt tokens that were not cached. */
  computedTokens: number
  /** Time from sending the request to the first token, in milliseconds. */
  milliseconds: number
}

/** State of the upstreams known to this instance. */
export interface UpstreamRegistry {
  /** Applies the platform's list. Lists older than the newest one are ignored. */
  applyList: (instances: readonly ListedInstance[], asOf: WallClockMilliseconds, now: MonotonicMilliseconds) => void
  /** Applies an engine's report. Reports of older incarnations are ignored. */
  applyReport: (upstream: string, report: EngineReport, now: MonotonicMilliseconds) => void
  /** Applies a peer's announcement of its tokens in flight by upstream. Replaces the peer's previous announcement. */
  applyPeerWork: (peer: string, work: Readonly<Record<string, number>>, now: MonotonicMilliseconds) => void
  /**
   * Marks an upstream as leaving after it rejected work for that reason. `incarnation` is the rejecting incarnation, or
   * 0 when it is unknown.
   */
  markLeaving: (upstream: string, incarnation: Incarnation, now: MonotonicMilliseconds) => void
  /** Records a request sent by this instance; `tokens` is the number of prompt tokens to compute. */
  startWork: (upstream: string, identifier: string, tokens: number, now: MonotonicMilliseconds) => void
  /**
   * Records the first token: the prompt no longer counts as queued, while the request stays in flight. Returns the time
   * that the request waited for other requests, in milliseconds. The concurrency limit uses this latency rather than
   * the time to first token, which is long for an uncached prompt even without a queue.
   */
  finishPrefill: (upstream: string, identifier: string, outcome: PrefillOutcome, now: MonotonicMilliseconds) => number
  /** Records the end of a request, whatever its outcome. */
  finishWork: (upstream: string, identifier: string, now: MonotonicMilliseconds) => void
  /** Records that a connection failed or stopped responding. */
  recordFailure: (upstream: string, now: MonotonicMilliseconds) => void
  /** Records a response, for example to a probe, with the upstream's `incarnation` when the response included it. */
  recordSuccess: (upstream: string, now: MonotonicMilliseconds, incarnation?: Incarnation) => void
  /** Returns the usable engines that have the version loaded, and the adapter unless it is empty. */
  candidates: (
    model: string, version: string, adapter: string, now: MonotonicMilliseconds
  ) => readonly RoutingCandidate[]
  /** Returns the usable upstreams of a plain service, sorted by distance, then by requests in flight. */
  services: (name: string, now: MonotonicMilliseconds) => readonly UpstreamView[]
  /**
   * Returns the upstreams to probe now: those with an unknown incarnation, suspected ones after their back-off, and
   * unlisted or leaving ones without a recent response. They stay due until the outcome of a probe is recorded.
   */
  probesDue: (now: MonotonicMilliseconds) => readonly UpstreamView[]
  /** Removes upstreams that are neither listed nor responding, and expired announcements of peers. */
  expire: (now: MonotonicMilliseconds) => void
  /** Returns this instance's prompt tokens in flight by upstream, for the heartbeat. */
  ownWork: () => Readonly<Record<string, number>>
  upstreams: (now: MonotonicMilliseconds) => readonly UpstreamView[]
  upstream: (name: string, now: MonotonicMilliseconds) => UpstreamView | undefined
}
