/** Types that are shared by all modules: identifiers, the applied configuration, and sources of time and randomness. */

/** Identifies one process run of an instance: the wall-clock milliseconds at its start, so that a restart is higher. */
export type Incarnation = number

/** Time of a monotonic clock in milliseconds. Only differences within one process are meaningful. */
export type MonotonicMilliseconds = number

/** Milliseconds since the Unix epoch. */
export type WallClockMilliseconds = number

/** Returns uniform random numbers in [0, 1). Injected so that decisions can be replayed from a seed. */
export type RandomSource = () => number

/** Execution status of a request that did not receive a response. */
export const ExecutionStatus = {
  /** No upstream can have started to execute the request. */
  notRun: 'not_run',
  /** An upstream may have executed the request. */
  unknown: 'unknown',
  /** An upstream reported that the request was executed and failed. */
  failed: 'failed'
} as const
export type ExecutionStatus = typeof ExecutionStatus[keyof typeof ExecutionStatus]

/** Address of a TCP endpoint. */
export interface Endpoint {
  host: string
  port: number
}

/** One customer in the applied configuration. */
export interface CustomerConfiguration {
  name: string
  /** Rate limit in tokens per second across the fleet. */
  rate: number
  /** Maximum number of tokens that may be admitted at once across the fleet. */
  burst: number
  /** Share of the fair queue relative to other customers. @default 1 */
  weight: number
}

/** One model and the target version of its traffic. */
export interface ModelConfiguration {
  name: string
  /** Target version of all traffic. */
  version: string
  /** Deadline of the rollout to `version`, or undefined if there is none. */
  finishBy: WallClockMilliseconds | undefined
  /** Maximum number of output tokens, reserved when the caller specifies no limit. */
  maximumOutputTokens: number
  /** Maximum number of upstreams that may load weights at the same time. */
  parallelLoads: number
}

export const RouteKind = { model: 'model', service: 'service' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A plain service or a model endpoint that is served under a path prefix. */
export interface RouteConfiguration {
  name: string
  /** Path prefix, for example `/orders`. */
  path: string
  /** Name of the upstream group: the `service` of the instances in the platform's list. */
  service: string
  methods: readonly string[]
  /** Methods that may be retried after a failure. */
  idempotentMethods: readonly string[]
  /** Whether the route can be called without a key. @default false */
  open: boolean
  /** Tokens charged for one call. @default 1 */
  cost: number
}

/** One data centre and its share of the quota. */
export interface DataCentreConfiguration {
  name: string
  /** Share of the quota relative to the other data centres. @default 1 */
  weight: number
}

/** The declarative configuration, which is applied atomically. */
export interface FleetConfiguration {
  dataCentres: readonly DataCentreConfiguration[]
  customers: readonly CustomerConfiguration[]
  models: readonly ModelConfiguration[]
  routes: readonly RouteConfiguration[]
}

/** An accepted configuration with its monotonically increasing revision number. */
export interface ConfigurationRevision {
  revision: number
  configuration: FleetConfiguration
}

export const UpstreamKind = { engine: 'engine', service: 'service' } as const
export type UpstreamKind = typeof UpstreamKind[keyof typeof UpstreamKind]

export const InstanceState = { live: 'live', leaving: 'leaving' } as const
export type InstanceState = typeof InstanceState[keyof typeof InstanceState]

/** One entry of the platform's instance list. */
export interface ListedInstance {
  name: string
  kind: 'router' | UpstreamKind
  dataCentre: string
  /** HTTP endpoint. For a router, the endpoint of its control server. */
  endpoint: Endpoint
  /** TCP endpoint for peers. Only set for routers. */
  peerEndpoint?: Endpoint
  state: InstanceState
  /** Name that routes refer to. Only set for plain services. */
  service?: string
}

/** A stored key with its customer and state. */
export interface KeyRecord {
  /** SHA-256 of the key in lower-case hexadecimal. */
  hash: string
  customer: string
  state: 'granted' | 'withdrawn'
  /** Version of the row in the platform's table. A higher version replaces a lower one. */
  version: number
}
