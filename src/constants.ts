/** Constants that are shared by several modules. Constants of a single module are declared there. */

/** Total number of quota units in the fleet. One unit is 1/10000 of every customer's rate and burst. */
export const QUOTA_UNITS = 10_000

/** Maximum relative drift between the monotonic clocks of two instances that the lease rules tolerate. */
export const CLOCK_DRIFT_BOUND = 0.001

/** Size of one cache block in bytes of prompt text. */
export const BLOCK_BYTES = 4096

/** Number of bytes of text that count as one token, because the router has no tokenizer. */
export const BYTES_PER_TOKEN = 4

/** Time limit in milliseconds within which the router must stop sending new requests to a leaving upstream. */
export const LEAVING_LIMIT_MS = 3000

/** Number of upstreams that one request may crash before all instances reject it. */
export const CRASH_LIMIT = 2

/** Time in milliseconds for which a crashing request is rejected. */
export const CRASH_MEMORY_MS = 600_000

/** Header with the request identifier that router and engine share. */
export const REQUEST_IDENTIFIER_HEADER = 'x-request-id'

/** Header with the number of the attempt, starting at 1. */
export const ATTEMPT_HEADER = 'x-attempt'

/** Names of the platform's tables. */
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
 * Header with which an upstream or the platform reports the execution status of a rejected request. The value `not_run`
 * states that no part of the request was executed, so that it can be sent to another upstream.
 */
export const EXECUTION_HEADER = 'x-execution'

/** Response header that an upstream sets to `true` when it accepts no new requests. */
export const LEAVING_HEADER = 'x-leaving'

/** Response header with the incarnation of the upstream. */
export const INCARNATION_HEADER = 'x-incarnation'

/** Longest time in milliseconds that a timer of Node.js can wait; a longer one fires at once. */
export const MAX_TIMER_MS = 2_147_483_647
