/** Splits a stream of server-sent events at event boundaries, so that only complete events are sent to the caller. */
import { isHeaderValue } from '../http/headText'
import { createByteAccumulator } from './byteAccumulator'

/** Maximum size of one event in bytes. A larger one indicates a faulty upstream, which may affect all its requests. */
export const MAX_EVENT_BYTES = 262_144

/** Lines end with a line feed, or with a carriage return before it. */
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = Buffer.from('id:')
const DATA_FIELD = Buffer.from('data:')

export interface EventBoundary {
  /** Returns the bytes up to the end of the last complete event; undefined if there is none yet. */
  push: (chunk: Buffer) => Buffer | undefined
  /** Returns the bytes after the last complete event. */
  partialEvent: () => Buffer
  /** Returns the identifier of the last complete event; undefined before the first one. */
  lastEvent: () => string | undefined
  /** Discards a partial event, before the stream is resumed at another upstream. */
  discardPartialEvent: () => void
  /** Whether the partial event exceeds the maximum size. */
  isOversized: () => boolean
  /**
   * Whether the events pushed last have an identifier after which the stream cannot be resumed, because no header can
   * carry it. They are discarded.
   */
  isMalformed: () => boolean
}

/**
 * Returns the number of data fields in complete events. Comments do not count as progress, because they could keep a
 * stalled stream open indefinitely.
 */
export function countData (events: Buffer): number {
  let count = 0
  for (let position = events.indexOf(DATA_FIELD); position >= 0; position = events.indexOf(DATA_FIELD, position + 1)) {
    count += 1
  }
  return count
}

/** Returns the value of the last line that starts with `id:`. */
function lastEventIdentifier (events: Buffer): string | undefined {
  let position = events.length
  for (;;) {
    position = events.lastIndexOf(ID_FIELD, position - 1)
    if (position < 0) return undefined
    if (position === 0 || events[position - 1] === LINE_FEED) break
    if (position === 1) return undefined
  }
  const end = events.indexOf(LINE_FEED, position)
  return events.toString('latin1', position + ID_FIELD.length, end < 0 ? events.length : end).trim()
}

/**
 * @param isResumable whether the identifiers of events are needed
 * @param recordPending called with the change in bytes of the partial event
 */
export function createEventBoundary (isResumable = true, recordPending?: (bytes: number) => void): EventBoundary {
  const pending = createByteAccumulator()
  let lastEvent: string | undefined
  let malformed = false
  /** Whether an event is complete. Before the first one, blank lines wait for it, because the request may still fail. */
  let hasEvent = false

  /** Returns the byte at a position in the chunk, or in the pending bytes before it for a negative one. */
  function byteAt (chunk: Buffer, position: number): number | undefined {
    return position >= 0 ? chunk[position] : pending.view().at(position)
  }

  /** Whether the line that ends at this position of the chunk is blank, and thus ends an event or follows one. */
  function endsEvent (chunk: Buffer, lineEnd: number): boolean {
    const lineStart = byteAt(chunk, lineEnd - 1) === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd
    const previous = byteAt(chunk, lineStart - 1)
    return previous === LINE_FEED || (previous === undefined && hasEvent)
  }

  /** Returns the position after the last complete event in the pending bytes followed by the chunk; 0 if there is none. */
  function endOfEvents (chunk: Buffer): number {
    for (let end = chunk.lastIndexOf(LINE_FEED); end >= 0; end = chunk.subarray(0, end).lastIndexOf(LINE_FEED)) {
      if (endsEvent(chunk, end)) return pending.length() + end + 1
    }
    return 0
  }

  let recordedBytes = 0

  function recordPartialEvent (): void {
    const bytes = pending.cost()
    if (bytes === recordedBytes) return
    recordPending?.(bytes - recordedBytes)
    recordedBytes = bytes
  }

  /** Returns complete events of the pending bytes and the chunk, and keeps the rest. */
  function splitEvents (chunk: Buffer): Buffer | undefined {
    const end = endOfEvents(chunk)
    if (end === 0) {
      pending.push(chunk)
      return undefined
    }
    let bytes = chunk
    if (pending.length() > 0) {
      pending.push(chunk)
      bytes = pending.view()
      pending.clear()
    }
    if (end < bytes.length) pending.push(bytes.subarray(end))
    const events = bytes.subarray(0, end)
    const identifier = lastEventIdentifier(events)
    malformed = isResumable && identifier !== undefined && !isHeaderValue(identifier)
    if (malformed) return undefined
    hasEvent = true
    lastEvent = identifier ?? lastEvent
    return events
  }

  return {
    push (chunk) {
      const events = splitEvents(chunk)
      recordPartialEvent()
      return events
    },
    partialEvent: pending.view,
    lastEvent: () => lastEvent,
    discardPartialEvent () {
      pending.clear()
      recordPartialEvent()
    },
    isOversized: () => pending.cost() > MAX_EVENT_BYTES,
    isMalformed: () => malformed
  }
}
