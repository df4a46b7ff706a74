/** Types shared by all modules: identifiers, the applied configuration, and the sources of time and randomness. */

/** Names one process run of an instance; a restart gets a higher number (wall-clock milliseconds at start). */
export type Incarnation = number

/** Milliseconds of a monotonic clock. Only differences are meaningful, and only within one process. */
export type MonotonicMilliseconds = number

/** Milliseconds since the Unix epoch. */
export type WallClockMilliseconds = number

/** Source of uniform random numbers in [0, 1), passed in so that decisions can be replayed from a seed. */
export type RandomSource = () => number

/** What is known about the execution of a request that did not get an answer. */
export const ExecutionStatus = {
  /** No upstream can have begun the request. */
  notRun: 'not_run',
  /** An upstream may have run it. */
  unknown: 'unknown',
  /** An upstream reported that it ran and failed. */
  failed: 'failed'
} as const
export type ExecutionStatus = typeof ExecutionStatus[keyof typeof ExecutionStatus]

/** Address of a TCP endpoint. */
export interface Endpoint {
  host: string
  port: number
}

/** One customer of the applied configuration. */
export interface CustomerConfiguration {
  name: string
  /** Tokens per second over the whole fleet. */
  rate: number
  /** Tokens that may be admitted at once over the whole fleet. */
  burst: number
  /** Share in the fair queue relative to others. @default 1 */
  weight: number
}

/** One model and the version that its traffic must reach. */
export interface ModelConfiguration {
  name: string
  /** Version that all traffic must reach. */
  version: string
  /** Time by which the rollout to `version` must finish; undefined when no deadline was given. */
  finishBy: WallClockMilliseconds | undefined
  /** Largest number of output tokens, used as the reserve when the caller names none. */
  maximumOutputTokens: number
  /** How many upstreams may load weights at the same time. */
  parallelLoads: number
}

export const RouteKind = { model: 'model', service: 'service' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A plain service or a model endpoint that is reached under a path prefix. */
export interface RouteConfiguration {
  name: string
  /** Path prefix, for example `/orders`. */
  path: string
  /** Name of the upstream group: the `service` of the instances in the platform's list. */
  service: string
  methods: readonly string[]
  /** Methods that may be repeated after a failure. */
  idempotentMethods: readonly string[]
  /** A route open to all needs no key. @default false */
  open: boolean
  /** Tokens charged for one call. @default 1 */
  cost: number
}

/** One data centre and its part of the quota. */
export interface DataCentreConfiguration {
  name: string
  /** Part of the quota relative to the other data centres. @default 1 */
  weight: number
}

/** The declarative configuration, applied as a whole. */
export interface FleetConfiguration {
  dataCentres: readonly DataCentreConfiguration[]
  customers: readonly CustomerConfiguration[]
  models: readonly ModelConfiguration[]
  routes: readonly RouteConfiguration[]
}

/** An accepted configuration with its revision number, which only grows. */
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
  /** Where callers or the router connect to (HTTP). For a router, its control port. */
  endpoint: Endpoint
  /** TCP port for peers; routers only. */
  peerEndpoint?: Endpoint
  state: InstanceState
  /** Plain services: the name that routes refer to. */
  service?: string
}

/** A key after lookup: which customer it belongs to and whether it still works. */
export interface KeyRecord {
  /** SHA-256 of the key in lower-case hexadecimal. */
  hash: string
  customer: string
  state: 'granted' | 'withdrawn'
  /** Number of the change in the platform's table; a higher number replaces a lower one. */
  version: number
}
