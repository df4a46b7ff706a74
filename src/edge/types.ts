/** Types of the edge: the router in front of engines and plain services that forwards requests as they came. */
import type { Endpoint, MonotonicMilliseconds, WallClockMilliseconds } from '../types'

export const RepeatRule = {
  /** May run more than once. */
  safe: 'safe',
  /** Runs at most once. */
  unsafe: 'unsafe',
  /** A stream of events; may run again only where the route is resumable. */
  stream: 'stream'
} as const
export type RepeatRule = typeof RepeatRule[keyof typeof RepeatRule]

export interface ServiceWeight {
  service: string
  /** Share of the route's requests relative to the other services. */
  weight: number
}

export interface EdgeRoute {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  repeat: RepeatRule
  /** A broken stream may go on elsewhere after its last event. */
  resumable: boolean
  /** Milliseconds after which the caller has its final answer. */
  timeout: number
  /** Milliseconds to the answer, or to the first event, that are still good. */
  latencyTarget: number
  /** 0 is the most urgent. */
  priority: number
  services: readonly ServiceWeight[]
  /** Upstreams that may run one request. */
  maximumAttempts: number
  /** Open to callers without a key. */
  open: boolean
}

/** A store that keeps the cache of prompt parts beyond the memory of the engines. */
export interface CacheStore {
  name: string
  endpoint: Endpoint
  dataCentre: string
}

export interface EdgeCustomer {
  name: string
  keys: readonly string[]
  /** Takes precedence over the priority of the route; undefined when none is set. */
  priority: number | undefined
  /** Shares no cached part with any other customer. */
  isolated: boolean
  /** Units a second over all instances; 0 is no limit. */
  rate: number
  /** Units at once over all instances. */
  burst: number
  /** What a unit is. */
  unit: 'token' | 'request'
  /** Units for a request that does not state its tokens. */
  defaultCost: number
}

export interface CallerLimits {
  /** Bytes of the request line and all header fields. */
  headerBytes: number
  bodyBytes: number
  /** Milliseconds for the header of a request. */
  headerTimeout: number
  /** Milliseconds that a connection may be idle. */
  idleTimeout: number
}

export interface EdgeConfiguration {
  version: number
  routes: readonly EdgeRoute[]
  cacheStores: readonly CacheStore[]
  customers: readonly EdgeCustomer[]
  limits: CallerLimits
}

export interface ModelWeights {
  model: string
  version: number
}

/** The operator asks that a service's traffic moves to one version of its software. */
export interface ServiceMoveRequest {
  service: string
  toVersion: string
  /** Milliseconds in which the move should end. */
  duration: number
}

export const MoveState = {
  running: 'running',
  completed: 'completed',
  takenBack: 'takenBack'
} as const
export type MoveState = typeof MoveState[keyof typeof MoveState]

/** What the operator reads of a move. */
export interface ServiceMoveStatus {
  service: string
  toVersion: string
  state: MoveState
}

/** One upstream as it describes itself in the list. */
export interface UpstreamEntry {
  identifier: string
  service: string
  /** Version of its software; empty when it does not say. */
  softwareVersion: string
  endpoint: Endpoint
  dataCentre: string
  slots: number
  leaving: boolean
  /** When this run of the upstream began; tells runs under one identifier apart. */
  startedAt: WallClockMilliseconds
  weights: readonly ModelWeights[]
}

export interface PromptPart {
  identifier: string
  tokens: number
}

/** What the caller states about its request. */
export interface CallerRequest {
  identifier: string | undefined
  /** Milliseconds that the caller waits; undefined when it does not say. */
  patience: number | undefined
  key: string | undefined
  model: string | undefined
  /** Prompt tokens and the largest number of output tokens; undefined when not stated. */
  tokens: { prompt: number, output: number } | undefined
  /** In order; the last one belongs to the request or its session alone. */
  promptParts: readonly PromptPart[]
  /** The caller resumes a stream after this event. */
  resumeAfter: string | undefined
}

/** What the router tells an upstream about one attempt. */
export interface AttemptDirections {
  /** Milliseconds that are left. */
  timeLeft: number
  upstream: string
  customer: string | undefined
  /** 0 is first, 9 last; undefined leaves it to the upstream. */
  urgency: number | undefined
  /** Cached parts are found only under the same scope. */
  cacheScope: string | undefined
  /** The upstream rejects the request when its weights have another version. */
  weightsVersion: number | undefined
  /** Where to fetch cached parts from before reading them. */
  importFrom: Endpoint | undefined
  /** Where to send parts once they are read. */
  exportTo: Endpoint | undefined
  resumeAfter: string | undefined
}

/** What an answer of an upstream says of the upstream itself. */
export interface UpstreamWord {
  /** It ends soon and takes no new requests. */
  leaving: boolean
  /** Milliseconds for which it wants no requests of this instance; undefined when it names none. */
  restFor: number | undefined
}

/** What an answer of an upstream states besides its content. */
export interface AnswerFacts {
  /** Identifier of the request that it answers. */
  identifier: string | undefined
  /** The upstream states that it has not run the request and will not. */
  notRun: boolean
  /** The answer bears the upstream's signature. */
  signed: boolean
  /** Another upstream has this address, or the weights have another version. */
  misdirected: boolean
  /** Identifier of the upstream that rejected a misdirected request, when given. */
  answeredBy: string | undefined
  weightsVersion: number | undefined
  word: UpstreamWord
}

/** Reads and writes headers in the manner of callers and upstreams. */
export interface Dialect {
  readRequest: (headers: NodeJS.Dict<string | string[]>) => CallerRequest
  /** Raw headers (name, value, name, value) for an upstream. */
  upstreamHeaders: (raw: readonly string[], bodyBytes: number | undefined, directions: AttemptDirections) => string[]
  readAnswer: (status: number, headers: NodeJS.Dict<string | string[]>) => AnswerFacts
  /** Raw headers of an upstream's answer as they go to the caller. */
  callerHeaders: (raw: readonly string[]) => string[]
  /** Raw headers of an answer that the router gives itself. */
  ownHeaders: (identifier: string | undefined, retryAfterSeconds: number | undefined) => string[]
}

export interface StoreRow {
  key: string
  /** Undefined when the row was removed. */
  value: Buffer | undefined
  /** Version of the row; grows with each write in the store. */
  version: number
}

export interface StoreReading {
  rows: readonly StoreRow[]
  /** Version of the store that the reading reflects. */
  version: number
  /** Milliseconds of the store's own steady clock. */
  storeTime: number
  /** Set when another instance gave the reading. */
  relayed?: RelayedProof
}

/** What a relay tells of a reading besides its rows. */
export interface RelayedProof {
  /** Milliseconds before the question at which the store itself showed that the rows are the newest ones. */
  age: number
  /** Milliseconds before the answer after which the rows were written; undefined when the relay does not know. */
  unseenFor: number | undefined
  /** The relay had just come back from an outage of the store. */
  afterOutage: boolean
}

/** Another instance. */
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

/** The platform's store. Calls reject with `PlatformUnavailableError` or, for lost answers, `OutcomeUnknownError`. */
export interface Store {
  read: (table: string) => Promise<StoreReading>
  /** Waits up to `wait` milliseconds for changes after a version. Rejects with `HistoryLostError` when it is too old. */
  follow: (table: string, after: number, wait: number) => Promise<StoreReading>
  commit: (commit: StoreCommit) => Promise<CommitResult>
  close: () => void
}

export interface EngineReport {
  /** Orders accepted since the engine started. */
  orders: number
  /** An order is being carried out. */
  busy: boolean
  weights: readonly ModelWeights[]
}

export const OrderOutcome = {
  accepted: 'accepted',
  /** The engine is already in the state that was ordered. */
  done: 'done',
  /** Another order is in progress, or orders came in between. */
  conflict: 'conflict',
  rejected: 'rejected',
  /** No answer: the order may be carried out, also later. */
  unknown: 'unknown'
} as const
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome]

export interface WeightsOrder extends ModelWeights {
  holder: string
  fencingToken: number
  /** Orders that the engine must have accepted before this one. */
  expectedOrders: number
}

export interface CacheEvent {
  /** The part came in; otherwise it was dropped. */
  added: boolean
  scope: string
  part: string
}

export interface CacheEvents {
  /** Changes when the store or engine restarts. */
  epoch: number
  /** Number of the first event that is not in this batch. */
  next: number
  /** Events before this batch are gone. */
  lost: boolean
  events: readonly CacheEvent[]
}

/** Called with what any answer of an engine says of the engine itself, before the call ends. */
export type OnWord = (word: UpstreamWord) => void

/** Calls to engines besides requests. */
export interface EngineControl {
  /** Events of a store of kept cache from a number on; waits up to `wait` milliseconds for some. */
  cacheEvents: (endpoint: Endpoint, since: number, wait: number) => Promise<CacheEvents>
  report: (upstream: UpstreamEntry, onWord: OnWord) => Promise<EngineReport>
  orderWeights: (upstream: UpstreamEntry, order: WeightsOrder, onWord: OnWord) => Promise<OrderOutcome>
}

/** Decodes what the platform's store holds. Functions return undefined for values that cannot be used. */
export interface StoreRecords {
  /** Tables with the operator's rows, with the upstreams' entries, and with what the router reports to the operator. */
  tables: { operator: string, upstreams: string, statuses: string }
  /** Key of the configuration among the operator's rows. */
  configurationKey: string
  configuration: (value: Buffer) => EdgeConfiguration
  upstream: (key: string, value: Buffer) => UpstreamEntry | undefined
  /** The weights that a row of the operator names. */
  wantedWeights: (key: string, value: Buffer) => ModelWeights | undefined
  /** The move of a service that a row of the operator asks for. */
  serviceMove: (key: string, value: Buffer) => ServiceMoveRequest | undefined
  /** Key of the report on a service's move. */
  moveStatusKey: (service: string) => string
  readMoveStatus: (service: string, value: Buffer) => ServiceMoveStatus | undefined
  writeMoveStatus: (status: ServiceMoveStatus) => string
}

/** Both clocks of an instance. Neither alone sees all elapsed time: the steady clock stops in a freeze, the wall clock jumps. */
export interface Instant {
  steady: MonotonicMilliseconds
  wall: WallClockMilliseconds
}
