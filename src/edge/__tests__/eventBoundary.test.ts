import { describe, expect, it } from 'vitest'
import { createEventBoundary, EVENT_LIMIT_BYTES, hasContent } from '../eventBoundary'

function feed (chunks: readonly string[]): { forwarded: string, rest: string, last: string | undefined } {
  const boundary = createEventBoundary()
  const forwarded = chunks.map((chunk) => boundary.push(Buffer.from(chunk))?.toString() ?? '').join('')
  return { forwarded, rest: boundary.rest().toString(), last: boundary.lastEvent() }
}

describe('createEventBoundary', () => {
  it.each([
    ['a whole event', ['id: 1\ndata: a\n\n'], 'id: 1\ndata: a\n\n', '', '1'],
    ['an event in pieces', ['id: 1\nda', 'ta: a\n', '\n'], 'id: 1\ndata: a\n\n', '', '1'],
    ['the end of one and the start of the next', ['id: 1\ndata: a\n\nid: 2\nda'], 'id: 1\ndata: a\n\n', 'id: 2\nda', '1'],
    ['several events in one chunk', ['id:1\ndata:a\n\nid:2\ndata:b\n\n'], 'id:1\ndata:a\n\nid:2\ndata:b\n\n', '', '2'],
    ['id: within data is no identifier', ['id: 7\ndata: id: 9\n\n'], 'id: 7\ndata: id: 9\n\n', '', '7'],
    ['an event without identifier keeps the last one', ['id: 3\n\n', 'data: x\n\n'], 'id: 3\n\ndata: x\n\n', '', '3'],
    ['a first line before the identifier', ['weights: 2\nid: 4\ndata: x\n\n'], 'weights: 2\nid: 4\ndata: x\n\n', '', '4'],
    ['only a partial event', ['id: 1\ndata: a\n'], '', 'id: 1\ndata: a\n', undefined]
  ])('%s', (_title, chunks, forwarded, rest, last) => {
    expect(feed(chunks)).toEqual({ forwarded, rest, last })
  })

  it('goes on after a partial event was dropped', () => {
    const boundary = createEventBoundary()
    boundary.push(Buffer.from('id: 1\n\nid: 2\nda'))
    boundary.dropRest()
    expect(boundary.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString()).toBe('id: 2\ndata: b\n\n')
    expect(boundary.lastEvent()).toBe('2')
  })

  it('reports an event without end', () => {
    const boundary = createEventBoundary()
    boundary.push(Buffer.alloc(1_048_577, 'x'))
    expect(boundary.overflowed()).toBe(true)
  })

  it.each([
    ['at the limit', EVENT_LIMIT_BYTES, false],
    ['beyond it', EVENT_LIMIT_BYTES + 1, true]
  ])('%s', (_title, bytes, overflowed) => {
    const boundary = createEventBoundary()
    for (let sent = 0; sent < bytes; sent += 65_536) boundary.push(Buffer.alloc(Math.min(65_536, bytes - sent), 'x'))
    expect(boundary.overflowed()).toBe(overflowed)
  })

  it.each([
    ['an event with content', 'id: 1\ndata: a\n\n', true],
    ['a comment', ': still here\n\n', false],
    ['an empty event', '\n\n', false],
    ['a comment before an event', ': still here\n\nid: 1\ndata: a\n\n', true]
  ])('%s', (_title, events, expected) => {
    expect(hasContent(Buffer.from(events))).toBe(expected)
  })
})
