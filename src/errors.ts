/** Error classes. Every failure that crosses a module boundary is an instance of one of them. */
import type { EndReason } from './request/endReason'
import type { ExecutionStatus } from './types'

export interface RouterErrorOptions {
  /** Execution status of the request, as far as it is known. @default undefined */
  execution?: ExecutionStatus
  /** Time in seconds after which a retry is reasonable. @default undefined */
  retryAfterSeconds?: number
  cause?: unknown
  /** Limit or rule that ended the request, for the log. @default undefined */
  reason?: EndReason
}

/** Base class with a stable machine-readable code, an HTTP status, and a human-readable message. */
export abstract class RouterError extends Error {
  abstract readonly code: string
  abstract readonly httpStatus: number
  readonly execution: ExecutionStatus | undefined
  readonly retryAfterSeconds: number | undefined
  readonly reason: EndReason | undefined

  constructor (message: string, options: RouterErrorOptions = {}) {
    super(message, options.cause === undefined ? undefined : { cause: options.cause })
    this.name = new.target.name
    this.execution = options.execution
    this.retryAfterSeconds = options.retryAfterSeconds
    this.reason = options.reason
  }
}

/** The request is malformed: invalid JSON, a missing field, or a value out of range. */
export class InvalidRequestError extends RouterError {
  readonly code: string = 'invalid_request'
  readonly httpStatus: number = 400
}

/** The request line and the header fields exceed their limit. */
export class HeaderTooLargeError extends InvalidRequestError {
  override readonly httpStatus = 431
}

/** The `Expect` header asks for something that the router does not know. */
export class ExpectationFailedError extends InvalidRequestError {
  override readonly httpStatus = 417
}

/** The body or header exceeds its limit. */
export class RequestTooLargeError extends RouterError {
  readonly code = 'request_too_large'
  readonly httpStatus = 413
}

/** The key is missing, unknown or withdrawn. */
export class AuthenticationError extends RouterError {
  readonly code = 'invalid_key'
  readonly httpStatus = 401
}

/** The key was withdrawn while its stream was running. */
export class KeyWithdrawnError extends RouterError {
  readonly code = 'key_withdrawn'
  readonly httpStatus = 401
}

export class NotFoundError extends RouterError {
  readonly code: string = 'not_found'
  readonly httpStatus = 404
}

export class UnknownModelError extends NotFoundError {
  override readonly code = 'model_not_found'
}

export class MethodNotAllowedError extends RouterError {
  readonly code = 'method_not_allowed'
  readonly httpStatus = 405
}

/** The customer's rate or burst limit does not currently allow the request. */
export class RateLimitError extends RouterError {
  readonly code = 'rate_limited'
  readonly httpStatus = 429
}

/** The request costs more tokens than the customer's total burst and can never be admitted. */
export class BurstExceededError extends RouterError {
  readonly code = 'burst_exceeded'
  readonly httpStatus = 400
}

/** The queues are full, or the expected wait exceeds the deadline. */
export class OverloadedError extends RouterError {
  readonly code = 'overloaded'
  readonly httpStatus = 503
}

/** The instance has no configuration yet, or is stopping. */
export class NotReadyError extends RouterError {
  readonly code = 'not_ready'
  readonly httpStatus = 503
}

/** No live upstream serves the model version or the route. */
export class NoUpstreamError extends RouterError {
  readonly code = 'no_upstream'
  readonly httpStatus = 503
}

/** All permitted attempts failed. */
export class UpstreamFailedError extends RouterError {
  readonly code = 'upstream_failed'
  readonly httpStatus = 502
}

/** A timeout was exceeded: connection, first byte, between chunks, or total. */
export class UpstreamTimeoutError extends RouterError {
  readonly code = 'upstream_timeout'
  readonly httpStatus = 504
}

/** A response does not match its request, or its chunks are missing or out of order. */
export class StreamIntegrityError extends RouterError {
  readonly code = 'stream_integrity'
  readonly httpStatus = 502
}

/** The request crashed several upstreams and is not retried. */
export class CrashingRequestError extends RouterError {
  readonly code = 'crashing_request'
  readonly httpStatus = 422
}

/** Another request with this idempotency key is running, or its outcome is unknown. */
export class IdempotencyConflictError extends RouterError {
  readonly code = 'idempotency_conflict'
  readonly httpStatus = 409
}

/** The platform did not respond. A write has definitely not taken effect. */
export class PlatformUnavailableError extends RouterError {
  readonly code = 'platform_unavailable'
  readonly httpStatus = 503
}

/** The response to a write was lost, so the write may have taken effect. Read before writing again. */
export class OutcomeUnknownError extends RouterError {
  readonly code = 'outcome_unknown'
  readonly httpStatus = 503
}

/** The platform no longer has the changes since the requested version. All rows must be read again. */
export class HistoryLostError extends RouterError {
  readonly code = 'history_lost'
  readonly httpStatus = 503
}

/** A condition of a transaction failed, because another writer changed the row first. */
export class TransactionConflictError extends RouterError {
  readonly code: string = 'transaction_conflict'
  readonly httpStatus = 409
}

/** `apply` was planned against a revision that is no longer current. */
export class RevisionConflictError extends TransactionConflictError {
  override readonly code = 'revision_conflict'
}

/** The fencing token of a command is lower than one that was already seen. */
export class StaleFencingTokenError extends RouterError {
  readonly code = 'stale_fencing_token'
  readonly httpStatus = 409
}

/** A peer sent a frame that cannot be decoded or exceeds the limit. */
export class PeerProtocolError extends RouterError {
  readonly code = 'peer_protocol'
  readonly httpStatus = 500
}

/** One finding in a settings or configuration file. */
export interface FileFinding {
  file: string
  /** Line number, starting at 1. 0 if the finding applies to the entire file. */
  line: number
  key: string
  message: string
  /** The closest known name, if the key or section is unknown. */
  suggestion?: string
}

/** A settings or configuration file has errors. `findings` contains all of them. */
export class ConfigurationError extends RouterError {
  readonly code = 'invalid_configuration'
  readonly httpStatus = 400
  readonly findings: readonly FileFinding[]

  constructor (findings: readonly FileFinding[], options: RouterErrorOptions = {}) {
    super(findings.map(formatFinding).join('\n'), options)
    this.findings = findings
  }
}

function formatFinding (finding: FileFinding): string {
  const suggestion = finding.suggestion === undefined ? '' : ` (did you mean '${finding.suggestion}'?)`
  return `${finding.file}:${finding.line}: ${finding.key}: ${finding.message}${suggestion}`
}

/** The command line is invalid: an unknown command or flag, or a missing argument. */
export class UsageError extends RouterError {
  readonly code = 'usage'
  readonly httpStatus = 400
}

/** An invariant of the program was violated. Indicates a bug. */
export class InternalError extends RouterError {
  readonly code = 'internal'
  readonly httpStatus = 500
}
