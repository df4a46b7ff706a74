import { describe, expect, it } from 'vitest'
import { createResponseBuffers, MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES } from '../responseBuffers'

const CHUNK = Buffer.alloc(65_536, 'x')

/** Pushes up to `limit` chunks until one does not fit; returns the number of chunks that did. */
function fill (buffer: ReturnType<ReturnType<typeof createResponseBuffers>['open']>, limit: number): number {
  let chunks = 0
  while (chunks < limit && buffer.push(CHUNK)) chunks += 1
  return chunks
}

describe('createAnswerBuffers', () => {
  it('returns a response unchanged and empties the buffer', () => {
    const buffers = createResponseBuffers()
    const buffer = buffers.open()
    expect(buffer.push(Buffer.from('one '))).toBe(true)
    expect(buffer.push(Buffer.from('answer'))).toBe(true)
    expect(buffers.bufferedBytes()).toBeGreaterThanOrEqual(10)
    expect(buffer.take().toString()).toBe('one answer')
    expect(buffers.bufferedBytes()).toBe(0)
  })

  it('limits the size of one response and discards one that exceeds it', () => {
    const buffers = createResponseBuffers()
    expect(fill(buffers.open(), 10_000)).toBe(MAX_RESPONSE_BYTES / CHUNK.length)
    expect(buffers.bufferedBytes()).toBe(0)
  })

  it('limits the number of tiny chunks', () => {
    const buffer = createResponseBuffers().open()
    let chunks = 0
    while (chunks < 100_000 && buffer.push(Buffer.from('tiny'))) chunks += 1
    expect(chunks).toBeLessThan(20_000)
  })

  it('limits the size of all responses together', () => {
    const buffers = createResponseBuffers()
    const chunksPerResponse = MAX_RESPONSE_BYTES / CHUNK.length
    for (let response = 0; response < MAX_TOTAL_BYTES / MAX_RESPONSE_BYTES; response += 1) {
      expect(fill(buffers.open(), chunksPerResponse)).toBe(chunksPerResponse)
    }
    expect(buffers.bufferedBytes()).toBe(MAX_TOTAL_BYTES)
    expect(buffers.open().push(CHUNK)).toBe(false)
  })

  it('releases the space of a discarded response exactly once', () => {
    const buffers = createResponseBuffers()
    const [one, other] = [buffers.open(), buffers.open()]
    one.push(CHUNK)
    other.push(CHUNK)
    one.discard()
    one.discard()
    expect(buffers.bufferedBytes()).toBe(CHUNK.length)
  })
})
