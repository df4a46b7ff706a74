/** Types of the edge router, which forwards requests as received to engines and plain services. */
import type { Endpoint, MonotonicMilliseconds, WallClockMilliseconds } from '../types'

export const RepeatRule = {
  /** The request may be executed more than once. */
  safe: 'safe',
  /** The request is executed at most once. */
  unsafe: 'unsafe',
  /** The response is an event stream; the request may be repeated only if the route is resumable. */
  stream: 'stream'
} as const
export type RepeatRule = typeof RepeatRule[keyof typeof RepeatRule]

export interface ServiceWeight {
  service: string
  /** Weight of this service relative to the other services of the route. */
  weight: number
}

export interface EdgeRoute {
  name: string
  host: string
  /** Path prefix; begins and ends with a slash. */
  prefix: string
  repeat: RepeatRule
  /** Whether an interrupted stream may be resumed on another upstream after its last event. */
  resumable: boolean
  /** Timeout in milliseconds for the complete request, including retries. */
  timeout: number
  /** Target latency in milliseconds until the response or, for a stream, its first event. */
  latencyTarget: number
  /** Priority of the route; 0 is the most urgent. */
  priority: number
  services: readonly ServiceWeight[]
  /** Maximum number of upstreams that may execute one request. */
  maximumAttempts: number
  /** Whether requests without an API key are accepted. */
  open: boolean
}

/** An external KV cache that holds cached prefixes beyond the memory of the engines. */
export interface CacheStore {
  name: string
  endpoint: Endpoint
  dataCentre: string
}

/** What one engine of a service can hold. */
export interface EngineCapacity {
  service: string
  /** Tokens of running requests and cached prefixes that fit into its memory; Infinity if not configured. */
  memoryTokens: number
  /** Requests that may run at the same time; Infinity if not configured. */
  slots: number
}

export interface EdgeCustomer {
  name: string
  keys: readonly string[]
  /** Overrides the priority of the route; undefined if not configured. */
  priority: number | undefined
  /** Whether the customer's cached prefixes are never shared with other customers. */
  isolated: boolean
  /** Rate limit in units per second across all instances; 0 means unlimited. */
  rate: number
  /** Burst size in units across all instances. */
  burst: number
  /** Unit in which `rate`, `burst` and `defaultCost` are counted. */
  unit: 'token' | 'request'
  /** Cost in units of a request that does not state its token counts. */
  defaultCost: number
}

export interface CallerLimits {
  /** Maximum size in bytes of the request line and all header fields. */
  headerBytes: number
  bodyBytes: number
  /** Timeout in milliseconds for receiving the header of a request. */
  headerTimeout: number
  /** Time in milliseconds after which an idle connection is closed. */
  idleTimeout: number
}

export interface EdgeConfiguration {
  version: number
  routes: readonly EdgeRoute[]
  cacheStores: readonly CacheStore[]
  /** Capacities of the services whose upstreams are engines. */
  engineCapacities: readonly EngineCapacity[]
  customers: readonly EdgeCustomer[]
  limits: CallerLimits
}

export interface ModelWeights {
  model: string
  version: number
}

/** Operator's request to roll a service out to a version of its software. */
export interface ServiceRolloutRequest {
  service: string
  toVersion: string
  /** Time in milliseconds within which the rollout should finish. */
  duration: number
}

export const ServiceRolloutState = {
  running: 'running',
  completed: 'completed',
  rolledBack: 'takenBack'
} as const
export type ServiceRolloutState = typeof ServiceRolloutState[keyof typeof ServiceRolloutState]

/** Status of a rollout as reported to the operator. */
export interface ServiceRolloutStatus {
  service: string
  toVersion: string
  state: ServiceRolloutState
}

/** Start of a run whose entry does not state it; such an entry does not tell whether the upstream has restarted. */
export const UNKNOWN_START: WallClockMilliseconds = 0

/** Identifies one process of an upstream among the successive ones with the same identifier. */
export interface UpstreamRun {
  identifier: string
  /** `UNKNOWN_START` if the entry does not state it. */
  startedAt: WallClockMilliseconds
}

/** An upstream as registered in the store. */
export interface UpstreamEntry extends UpstreamRun {
  service: string
  /** Software version; empty if the upstream does not state one. */
  softwareVersion: string
  endpoint: Endpoint
  dataCentre: string
  slots: number
  leaving: boolean
  weights: readonly ModelWeights[]
}

export interface PromptSegment {
  identifier: string
  tokens: number
}

/** Request metadata that the caller states in its headers. */
export interface CallerRequest {
  identifier: string | undefined
  /** Time in milliseconds that the caller is willing to wait; undefined if not stated. */
  callerTimeout: number | undefined
  key: string | undefined
  model: string | undefined
  /** Number of prompt tokens and maximum number of output tokens; undefined if not stated. */
  tokens: { prompt: number, output: number } | undefined
  /** Segments in prompt order; the last one is private to the request or its session. */
  promptSegments: readonly PromptSegment[]
  /** Identifier of the event after which the caller resumes a stream. */
  resumeAfter: string | undefined
}

/** Parameters of one attempt that the router sends to the upstream. */
export interface AttemptParameters {
  /** Remaining time in milliseconds. */
  timeLeft: number
  upstream: string
  customer: string | undefined
  /** Urgency from 0 (first) to 9 (last); undefined leaves the choice to the upstream. */
  urgency: number | undefined
  /** Scope of cached prefixes; an upstream reuses a prefix only within the same scope. */
  cacheScope: string | undefined
  /** Expected version of the weights; the upstream rejects the request if it serves another one. */
  weightsVersion: number | undefined
  /** Where the engine fetches cached prefixes from before prefill. */
  importFrom: Endpoint | undefined
  /** Where the engine sends cached prefixes to after prefill. */
  exportTo: Endpoint | undefined
  resumeAfter: string | undefined
}

export const RequestLimitKind = {
  /** The response names no limit. */
  none: 'none',
  /** The upstream takes this many requests per second from all instances together, for as long as it says so. */
  named: 'named',
  /** The response has a limit that cannot be parsed. */
  invalid: 'invalid'
} as const
export type RequestLimitKind = typeof RequestLimitKind[keyof typeof RequestLimitKind]

export type RequestLimitHint =
  | { kind: typeof RequestLimitKind.none }
  | { kind: typeof RequestLimitKind.named, perSecond: number }
  | { kind: typeof RequestLimitKind.invalid, text: string }

/** Hints about the state of an upstream that it attaches to a response. */
export interface UpstreamHint {
  /** The upstream is draining and takes no new requests. */
  leaving: boolean
  /** Time in milliseconds for which this instance should send no requests; undefined if not stated. */
  backOffFor: number | undefined
  requestLimit: RequestLimitHint
}

/** Metadata of an upstream's response. */
export interface ResponseMetadata {
  /** Identifier of the request to which this is the response. */
  identifier: string | undefined
  /** The upstream guarantees that it has not executed the request and will not. */
  notRun: boolean
  /** The response carries the upstream's signature. */
  signed: boolean
  /** The request reached a different upstream than intended, or one with another version of the weights. */
  misdirected: boolean
  /** Identifier of the upstream that rejected a misdirected request, if stated. */
  answeredBy: string | undefined
  weightsVersion: number | undefined
  upstreamHint: UpstreamHint
}

/** Decodes the headers of callers and upstreams, and encodes the headers sent to them. */
export interface Dialect {
  readRequest: (headers: NodeJS.Dict<string | string[]>) => CallerRequest
  /** Returns the raw headers (name, value, name, value, …) to send to an upstream. */
  upstreamHeaders: (raw: readonly string[], bodyBytes: number | undefined, directions: AttemptParameters) => string[]
  readResponse: (status: number, headers: NodeJS.Dict<string | string[]>) => ResponseMetadata
  /** Returns the raw headers to send to the caller for an upstream's response. */
  callerHeaders: (raw: readonly string[]) => string[]
  /** Returns the raw headers of a response that the router generates itself. */
  localResponseHeaders: (identifier: string | undefined, retryAfterSeconds: number | undefined) => string[]
}

export interface StoreRow {
  key: string
  /** Undefined if the row was removed. */
  value: Buffer | undefined
  /** Version of the row; increases with each write. */
  version: number
}

export interface StoreReadResult {
  rows: readonly StoreRow[]
  /** Version of the store that the result reflects. */
  version: number
  /** Time of the store's monotonic clock in milliseconds. */
  storeTime: number
  /** Set if the result comes from another instance. */
  relayed?: RelayMetadata
}

/** Freshness of a result that a relay returned. */
export interface RelayMetadata {
  /** Time in milliseconds between the store's last confirmation that the rows are current and the request. */
  age: number
  /**
   * All returned changes were written within this many milliseconds before the response; undefined if the relay does
   * not know.
   */
  changedWithin: number | undefined
  /** The relay had recently recovered from an outage of the store. */
  afterOutage: boolean
}

/** Another instance of the router. */
export interface Peer {
  name: string
  dataCentre: string
  endpoint: Endpoint
}

export interface StoreCommit {
  table: string
  /** Versions that rows must have; 0 for a row that must not exist. */
  conditions: ReadonlyArray<{ key: string, version: number }>
  writes: ReadonlyArray<{ key: string, value: string }>
  removals: readonly string[]
}

export type CommitResult =
  | { committed: true, version: number, storeTime: number }
  | { committed: false, rows: readonly StoreRow[], storeTime: number }

/**
 * Client of the platform's store. Calls reject with `PlatformUnavailableError`, or with `OutcomeUnknownError` if the
 * response was lost.
 */
export interface Store {
  read: (table: string) => Promise<StoreReadResult>
  /**
   * Waits up to `wait` milliseconds for changes after a version. Rejects with `HistoryLostError` if the store no longer
   * has the history since that version.
   */
  follow: (table: string, after: number, wait: number) => Promise<StoreReadResult>
  commit: (commit: StoreCommit) => Promise<CommitResult>
  close: () => void
}

export interface EngineReport {
  /** Number of commands that the engine has accepted since it started. */
  acceptedCommands: number
  /** A command is being executed. */
  busy: boolean
  weights: readonly ModelWeights[]
}

export const CommandOutcome = {
  accepted: 'accepted',
  /** The engine is already in the requested state. */
  done: 'done',
  /** Another command is in progress, or other commands were accepted in between. */
  conflict: 'conflict',
  rejected: 'rejected',
  /** No response was received: the command may still be executed, possibly later. */
  unknown: 'unknown'
} as const
export type CommandOutcome = typeof CommandOutcome[keyof typeof CommandOutcome]

export interface WeightsCommand extends ModelWeights {
  holder: string
  fencingToken: number
  /** Number of commands that the engine must have accepted before this one. */
  expectedCommands: number
}

export interface CacheEvent {
  /** The prefix was added to the cache; otherwise it was evicted. */
  added: boolean
  scope: string
  segment: string
}

export interface CacheEvents {
  /** Changes when the store or engine restarts. */
  epoch: number
  /** Sequence number of the first event after this batch. */
  next: number
  /** Events before this batch are no longer available. */
  lost: boolean
  events: readonly CacheEvent[]
}

/** Called with the hints in any response of an engine, before the call resolves. */
export type OnUpstreamHint = (hint: UpstreamHint) => void

/** Calls to engines and cache stores other than requests of callers. */
export interface EngineControl {
  /** Returns the events of a cache store from sequence number `since` on; waits up to `wait` milliseconds for some. */
  cacheEvents: (endpoint: Endpoint, since: number, wait: number) => Promise<CacheEvents>
  report: (upstream: UpstreamEntry, onWord: OnUpstreamHint) => Promise<EngineReport>
  sendWeightsCommand: (
    upstream: UpstreamEntry, command: WeightsCommand, onHint: OnUpstreamHint
  ) => Promise<CommandOutcome>
}

/** Decodes and encodes rows of the platform's store. The decoding functions return undefined for unusable values. */
export interface StoreRecordCodec {
  /** Names of the tables with the operator's rows, the registered upstreams, and the statuses for the operator. */
  tables: { operator: string, upstreams: string, statuses: string }
  /** Key of the configuration among the operator's rows. */
  configurationKey: string
  configuration: (value: Buffer) => EdgeConfiguration
  upstream: (key: string, value: Buffer) => UpstreamEntry | undefined
  /** Decodes the weights that an operator's row requests. */
  targetWeights: (key: string, value: Buffer) => ModelWeights | undefined
  /** Decodes the service rollout that an operator's row requests. */
  serviceRollout: (key: string, value: Buffer) => ServiceRolloutRequest | undefined
  /** Returns the key under which the status of a service's rollout is stored. */
  rolloutStatusKey: (service: string) => string
  readRolloutStatus: (service: string, value: Buffer) => ServiceRolloutStatus | undefined
  writeRolloutStatus: (status: ServiceRolloutStatus) => string
}

/**
 * Time on both clocks of an instance. Neither alone sees all elapsed time: the monotonic clock stops while the process
 * is suspended, and the wall clock may jump.
 */
export interface Instant {
  steady: MonotonicMilliseconds
  wall: WallClockMilliseconds
}
