/** Constants shared by several modules, with their units. Constants of one module stay in that module. */

/** Units of quota over the whole fleet; one unit is 1/10000 of every customer's rate and burst. */
export const QUOTA_UNITS = 10_000

/** Largest relative difference between two instances' monotonic clocks that the lease rules allow for. */
export const CLOCK_DRIFT_BOUND = 0.001

/** Bytes of prompt text in one cache block. */
export const BLOCK_BYTES = 4096

/** Bytes of text counted as one token; the router has no tokenizer. */
export const BYTES_PER_TOKEN = 4

/** Milliseconds within which a leaving upstream gets no new work. */
export const LEAVING_LIMIT_MS = 3000

/** Upstreams that one request may bring down before it is refused on every instance. */
export const CRASH_LIMIT = 2

/** Milliseconds for which a crashing request stays refused. */
export const CRASH_MEMORY_MS = 600_000

/** Header with which router and engine identify a request. */
export const REQUEST_IDENTIFIER_HEADER = 'x-request-id'

/** Header with the number of the attempt, counted from 1. */
export const ATTEMPT_HEADER = 'x-attempt'

/** Platform tables. */
export const PlatformTable = {
  /** Rows: `current` -> { revision, operation }. */
  configuration: 'configuration',
  /** Rows: key hash -> KeyRecord. */
  keys: 'keys',
  /** Rows: `_fleet` and one for each data centre. */
  quota: 'quota',
  /** Rows: model name -> rollout record. */
  rollout: 'rollout',
  /** Rows: `<customer>/<hash of idempotency key>` -> reservation. */
  idempotency: 'idempotency'
} as const

/**
 * Header with which an upstream or the platform tells what became of a refused request. The value `not_run` states
 * that no part of the request was executed, so that it can be sent elsewhere.
 */
export const EXECUTION_HEADER = 'x-execution'

/** Header of an upstream's answer that is set to `true` when it takes no new work. */
export const LEAVING_HEADER = 'x-leaving'

/** Header with the incarnation of the upstream that answered. */
export const INCARNATION_HEADER = 'x-incarnation'
