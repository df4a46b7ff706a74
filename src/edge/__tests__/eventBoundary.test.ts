import { describe, expect, it } from 'vitest'
import { createEventBoundary, MAX_EVENT_BYTES, countData } from '../eventBoundary'

function feed (chunks: readonly string[]): { forwarded: string, partialEvent: string, last: string | undefined } {
  const boundary = createEventBoundary()
  const forwarded = chunks.map((chunk) => boundary.push(Buffer.from(chunk))?.toString() ?? '').join('')
  return { forwarded, partialEvent: boundary.partialEvent().toString(), last: boundary.lastEvent() }
}

describe('createEventBoundary', () => {
  it.each([
    ['a complete event', ['id: 1\ndata: a\n\n'], 'id: 1\ndata: a\n\n', '', '1'],
    ['an event split into several chunks', ['id: 1\nda', 'ta: a\n', '\n'], 'id: 1\ndata: a\n\n', '', '1'],
    ['the end of one event and the start of the next', ['id: 1\ndata: a\n\nid: 2\nda'], 'id: 1\ndata: a\n\n', 'id: 2\nda', '1'],
    ['several events in one chunk', ['id:1\ndata:a\n\nid:2\ndata:b\n\n'], 'id:1\ndata:a\n\nid:2\ndata:b\n\n', '', '2'],
    ['ignores id: within data', ['id: 7\ndata: id: 9\n\n'], 'id: 7\ndata: id: 9\n\n', '', '7'],
    ['keeps the last identifier after an event without one', ['id: 3\n\n', 'data: x\n\n'], 'id: 3\n\ndata: x\n\n', '', '3'],
    ['an event with a line before the identifier', ['weights: 2\nid: 4\ndata: x\n\n'], 'weights: 2\nid: 4\ndata: x\n\n', '', '4'],
    // A stream whose last blank line came alone was cut off as if it ended within an event.
    ['a blank line after an event, in a chunk of its own', ['id: 1\ndata: a\n\n', '\n'], 'id: 1\ndata: a\n\n\n', '', '1'],
    ['blank lines before an event, in chunks of their own', ['\n', 'id: 1\ndata: a\n\n'], '\nid: 1\ndata: a\n\n', '', '1'],
    ['a blank line before any event', ['\n'], '', '\n', undefined],
    ['a blank line and the start of an event', ['id: 1\n\n', '\nid: 2'], 'id: 1\n\n\n', 'id: 2', '1'],
    // A stream with these line ends, which text/event-stream permits, had no event and was refused with 502.
    ['line ends of two bytes', ['id: 1\r\ndata: a\r\n\r\nid: 2\r\nda'], 'id: 1\r\ndata: a\r\n\r\n', 'id: 2\r\nda', '1'],
    ['line ends of two bytes, each byte in a chunk', [...'id: 1\r\ndata: a\r\n\r\n'], 'id: 1\r\ndata: a\r\n\r\n', '', '1'],
    ['a blank line of two bytes after an event', ['id: 1\n\n', '\r', '\n'], 'id: 1\n\n\r\n', '', '1'],
    ['a blank line of which one byte is missing', ['id: 1\r\ndata: a\r\n\r'], '', 'id: 1\r\ndata: a\r\n\r', undefined],
    ['a line of a carriage return and more', ['id: 1\n\rdata: a\n'], '', 'id: 1\n\rdata: a\n', undefined],
    ['only a partial event', ['id: 1\ndata: a\n'], '', 'id: 1\ndata: a\n', undefined]
  ])('%s', (_title, chunks, forwarded, partialEvent, last) => {
    expect(feed(chunks)).toEqual({ forwarded, partialEvent, last })
  })

  it('continues after a partial event was discarded', () => {
    const boundary = createEventBoundary()
    boundary.push(Buffer.from('id: 1\n\nid: 2\nda'))
    boundary.discardPartialEvent()
    expect(boundary.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString()).toBe('id: 2\ndata: b\n\n')
    expect(boundary.lastEvent()).toBe('2')
  })

  it('reports an event that does not end', () => {
    const boundary = createEventBoundary()
    boundary.push(Buffer.alloc(1_048_577, 'x'))
    expect(boundary.isOversized()).toBe(true)
  })

  it.each([
    ['accepts an event of the maximum size', MAX_EVENT_BYTES, false],
    ['reports an event beyond the maximum size', MAX_EVENT_BYTES + 1, true]
  ])('%s', (_title, bytes, overflowed) => {
    const boundary = createEventBoundary()
    for (let sent = 0; sent < bytes; sent += 65_536) boundary.push(Buffer.alloc(Math.min(65_536, bytes - sent), 'x'))
    expect(boundary.isOversized()).toBe(overflowed)
  })

  it.each([
    ['an event with content', 'id: 1\ndata: a\n\n', 1],
    ['a comment', ': still here\n\n', 0],
    ['an empty event', '\n\n', 0],
    ['a comment before an event', ': still here\n\nid: 1\ndata: a\n\n', 1],
    ['two events at once', 'data: a\n\ndata: b\n\n', 2]
  ])('%s', (_title, events, expected) => {
    expect(countData(Buffer.from(events))).toBe(expected)
  })

  it.each([
    ['a control character', 'id: \u0001\ndata: x\n\n', true],
    ['a null character', 'id: 2\u0000\ndata: x\n\n', true],
    ['other bytes', 'id: \u00e9\ndata: x\n\n', false]
  ])('discards events after which no request can resume the stream: %s', (_title, text, isMalformed) => {
    const boundary = createEventBoundary()
    boundary.push(Buffer.from('id: 1\ndata: x\n\n'))
    const events = boundary.push(Buffer.from(text, 'latin1'))
    expect(boundary.isMalformed()).toBe(isMalformed)
    expect(events === undefined).toBe(isMalformed)
    expect(boundary.lastEvent() === '1').toBe(isMalformed)
    expect(createEventBoundary(false).push(Buffer.from(text, 'latin1'))).toBeDefined()
  })
})
