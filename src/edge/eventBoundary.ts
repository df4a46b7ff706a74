/** Splits a stream of server-sent events so that only whole events go to the caller. */
import { createGrowingBytes } from './growingBytes'

/** Bytes of one event; more points to a broken upstream, which may send them to all its requests at once. */
export const EVENT_LIMIT_BYTES = 262_144

const LINE_FEED = 0x0a
const EVENT_END = Buffer.from('\n\n')
const IDENTIFIER_FIELD = Buffer.from('id:')
const CONTENT_FIELD = Buffer.from('data:')

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

/** Whether any of the whole events bears content; comments and single bytes keep a stalled stream open for ever. */
export function hasContent (events: Buffer): boolean {
  return events.includes(CONTENT_FIELD)
}

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
  const rest = createGrowingBytes()
  let lastEvent: string | undefined

  /** Position after the last whole event in the rest and the chunk together; 0 when there is none. */
  function endOfEvents (chunk: Buffer): number {
    const end = chunk.lastIndexOf(EVENT_END)
    if (end >= 0) return rest.length() + end + EVENT_END.length
    const crosses = chunk[0] === LINE_FEED && rest.view().at(-1) === LINE_FEED
    return crosses ? rest.length() + 1 : 0
  }

  return {
    push (chunk) {
      const end = endOfEvents(chunk)
      if (end === 0) {
        rest.push(chunk)
        return undefined
      }
      let bytes = chunk
      if (rest.length() > 0) {
        rest.push(chunk)
        bytes = rest.view()
        rest.clear()
      }
      if (end < bytes.length) rest.push(bytes.subarray(end))
      const events = bytes.subarray(0, end)
      lastEvent = lastIdentifier(events) ?? lastEvent
      return events
    },
    rest: rest.view,
    lastEvent: () => lastEvent,
    dropRest: rest.clear,
    overflowed: () => rest.cost() > EVENT_LIMIT_BYTES
  }
}
