/** Parser for server-sent events, fed with bytes as they come. */
import { StringDecoder } from 'node:string_decoder'

/** Characters of one event. Chunks are a few hundred bytes; more points to a broken upstream. */
const EVENT_LIMIT = 1_048_576

export interface ServerSentEvent {
  /** Event type; `message` when none was sent. */
  type: string
  data: string
}

export interface ServerSentEventParser {
  /** Returns the events completed by these bytes, or `tooLong` when an event exceeds the limit. */
  push: (bytes: Uint8Array) => ServerSentEvent[] | 'tooLong'
}

/** Creates a parser at the start of a stream. Comments, `id` and `retry` fields are ignored. */
export function createServerSentEventParser (): ServerSentEventParser {
  const decoder = new StringDecoder('utf8')
  let rest = ''
  let type = ''
  let data: string[] = []
  let length = 0

  function takeLine (line: string): ServerSentEvent | undefined {
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
      rest += decoder.write(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength))
      const lines = rest.split('\n')
      rest = lines.pop() ?? ''
      for (const line of lines) {
        const event = takeLine(line.endsWith('\r') ? line.slice(0, -1) : line)
        if (event !== undefined) events.push(event)
        if (length > EVENT_LIMIT) return 'tooLong'
      }
      return rest.length > EVENT_LIMIT ? 'tooLong' : events
    }
  }
}
