/** Incremental parser for server-sent events. */
import { StringDecoder } from 'node:string_decoder'

/**
 * Maximum length of an event in characters. Chunks are a few hundred bytes; far longer events indicate a faulty
 * upstream.
 */
const EVENT_LIMIT = 1_048_576

export interface ServerSentEvent {
  /** Event type. @default 'message' */
  type: string
  data: string
}

export interface ServerSentEventParser {
  /** Parses bytes. Returns the events completed by them, or `tooLong` when an event exceeds the limit. */
  push: (bytes: Uint8Array) => ServerSentEvent[] | 'tooLong'
}

/** Creates a parser for a new stream. Comments and the fields `id` and `retry` are ignored. */
export function createServerSentEventParser (): ServerSentEventParser {
  const decoder = new StringDecoder('utf8')
  let remainder = ''
  let type = ''
  let data: string[] = []
  let length = 0

  function processLine (line: string): ServerSentEvent | undefined {
    if (line === '') {
      const event = data.length === 0 ? undefined : { type: type === '' ? 'message' : type, data: data.join('\n') }
      type = ''
      data = []
      length = 0
      return event
    }
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    const value = colon < 0 ? '' : line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    if (field === 'event') type = value
    if (field === 'data') {
      data.push(value)
      length += value.length
    }
    return undefined
  }

  return {
    push (bytes) {
      const events: ServerSentEvent[] = []
      remainder += decoder.write(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength))
      const lines = remainder.split('\n')
      remainder = lines.pop() ?? ''
      for (const line of lines) {
        const event = processLine(line.endsWith('\r') ? line.slice(0, -1) : line)
        if (event !== undefined) events.push(event)
        if (length > EVENT_LIMIT) return 'tooLong'
      }
      return remainder.length > EVENT_LIMIT ? 'tooLong' : events
    }
  }
}
