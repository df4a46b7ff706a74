/**
 * Decides what a process gives up when the bytes that it holds for callers exceed their bound.
 *
 * Load pattern: callers that nobody controls send heads or bodies that stop just short of their end, send requests ahead, or do
 * not read their answers, on many connections at once. Ordinary callers use little memory for a short time, so that giving up
 * what holds the most and makes no progress leaves them room.
 */
import type { MonotonicMilliseconds } from '../../types'

/** A request whose body is being read, so that it has not run. */
export interface IncompleteRequest {
  openedAt: MonotonicMilliseconds
  bytes: number
}

/** A connection and all that is held for it. */
export interface HeldConnection {
  bytes: number
  /** Those of the bytes that have been received and belong to no request in progress. */
  unwantedBytes: number
  /** Time when bytes were last read from the caller for an incomplete request, or last taken by a caller that reads. */
  progressAt: MonotonicMilliseconds
}

/** Requests that hold less are not worth refusing for memory; ordinary bodies of callers are smaller. */
export const MIN_RELIEF_BYTES = 65_536
/** Input of fewer bytes is not worth refusing; ordinary heads are shorter. */
export const MIN_INPUT_RELIEF_BYTES = 4096
/** Time in milliseconds without progress after which a connection may be closed at the bound. */
export const STALLED_MS = 1000
/** Time in milliseconds without progress after which a connection may be closed under pressure. */
export const STALLED_UNDER_PRESSURE_MS = 3000

/** Returns the newest incomplete request that holds enough to matter; undefined if there is none. */
export function newestIncomplete<Request extends IncompleteRequest> (requests: Iterable<Request>): Request | undefined {
  let newest: Request | undefined
  for (const request of requests) {
    if (request.bytes < MIN_RELIEF_BYTES) continue
    if (newest === undefined || request.openedAt >= newest.openedAt) newest = request
  }
  return newest
}

/** Returns the connection with the most bytes that belong to no request, if they are enough to matter. */
export function longestInput<Connection extends HeldConnection> (
  connections: Iterable<Connection>
): Connection | undefined {
  let longest: Connection | undefined
  for (const connection of connections) {
    if (connection.unwantedBytes < MIN_INPUT_RELIEF_BYTES) continue
    if (longest === undefined || connection.unwantedBytes > longest.unwantedBytes) longest = connection
  }
  return longest
}

/** Returns the connection that holds the most and has made no progress for so many milliseconds; undefined if none has. */
export function largestStalled<Connection extends HeldConnection> (
  connections: Iterable<Connection>, now: MonotonicMilliseconds, stalledMs: number
): Connection | undefined {
  let largest: Connection | undefined
  for (const connection of connections) {
    if (connection.bytes === 0 || now - connection.progressAt < stalledMs) continue
    if (largest === undefined || connection.bytes > largest.bytes) largest = connection
  }
  return largest
}
