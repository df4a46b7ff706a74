/** Splits a stream of server-sent events so that only whole events go to the caller. */

/** Bytes of one event; more points to a broken upstream. */
const EVENT_LIMIT_BYTES = 1_048_576

const LINE_FEED = 0x0a
const EVENT_END = Buffer.from('\n\n')
const IDENTIFIER_FIELD = Buffer.from('id:')

export interface EventBoundary {
  /** Returns the bytes up to the end of the last whole event; undefined when there is none yet. */
  push: (chunk: Buffer) => Buffer | undefined
  /** Bytes after the last whole event. */
  rest: () => Buffer
  /** Identifier of the last whole event; undefined before the first. */
  lastEvent: () => string | undefined
  /** Drops a partial event, before the stream goes on from another upstream. */
  dropRest: () => void
  /** An event is longer than any upstream sends. */
  overflowed: () => boolean
}

const EMPTY = Buffer.alloc(0)

/** The last line of the bytes that begins with `id:`. */
function lastIdentifier (events: Buffer): string | undefined {
  let position = events.length
  for (;;) {
    position = events.lastIndexOf(IDENTIFIER_FIELD, position - 1)
    if (position < 0) return undefined
    if (position === 0 || events[position - 1] === LINE_FEED) break
    if (position === 1) return undefined
  }
  const end = events.indexOf(LINE_FEED, position)
  return events.toString('latin1', position + IDENTIFIER_FIELD.length, end < 0 ? events.length : end).trim()
}

export function createEventBoundary (): EventBoundary {
  let rest: Buffer = EMPTY
  let lastEvent: string | undefined
  return {
    push (chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const end = bytes.lastIndexOf(EVENT_END)
      if (end < 0) {
        rest = bytes
        return undefined
      }
      const events = bytes.subarray(0, end + EVENT_END.length)
      rest = end + EVENT_END.length === bytes.length ? EMPTY : bytes.subarray(end + EVENT_END.length)
      lastEvent = lastIdentifier(events) ?? lastEvent
      return events
    },
    rest: () => rest,
    lastEvent: () => lastEvent,
    dropRest () {
      rest = EMPTY
    },
    overflowed: () => rest.length > EVENT_LIMIT_BYTES
  }
}
