import { describe, expect, it } from 'vitest'
import { createAnswerBuffers, LONGEST_ANSWER_BYTES, MOST_ANSWER_BYTES } from '../answerBuffers'

const PIECE = Buffer.alloc(65_536, 'x')

/** Pushes pieces until one does not fit; returns how many did, at most `limit`. */
function fill (buffer: ReturnType<ReturnType<typeof createAnswerBuffers>['open']>, limit: number): number {
  let pieces = 0
  while (pieces < limit && buffer.push(PIECE)) pieces += 1
  return pieces
}

describe('createAnswerBuffers', () => {
  it('gives an answer out as it came, and holds nothing of it then', () => {
    const buffers = createAnswerBuffers()
    const buffer = buffers.open()
    expect(buffer.push(Buffer.from('one '))).toBe(true)
    expect(buffer.push(Buffer.from('answer'))).toBe(true)
    expect(buffers.held()).toBeGreaterThanOrEqual(10)
    expect(buffer.take().toString()).toBe('one answer')
    expect(buffers.held()).toBe(0)
  })

  it('holds no more of one answer than the limit, and nothing of one that exceeds it', () => {
    const buffers = createAnswerBuffers()
    expect(fill(buffers.open(), 10_000)).toBe(LONGEST_ANSWER_BYTES / PIECE.length)
    expect(buffers.held()).toBe(0)
  })

  it('takes no endless number of tiny pieces', () => {
    const buffer = createAnswerBuffers().open()
    let pieces = 0
    while (pieces < 100_000 && buffer.push(Buffer.from('tiny'))) pieces += 1
    expect(pieces).toBeLessThan(20_000)
  })

  it('holds no more of all answers together than the limit', () => {
    const buffers = createAnswerBuffers()
    const each = LONGEST_ANSWER_BYTES / PIECE.length
    for (let answer = 0; answer < MOST_ANSWER_BYTES / LONGEST_ANSWER_BYTES; answer += 1) {
      expect(fill(buffers.open(), each)).toBe(each)
    }
    expect(buffers.held()).toBe(MOST_ANSWER_BYTES)
    expect(buffers.open().push(PIECE)).toBe(false)
  })

  it('has room again when an answer is dropped, once for each', () => {
    const buffers = createAnswerBuffers()
    const [one, other] = [buffers.open(), buffers.open()]
    one.push(PIECE)
    other.push(PIECE)
    one.drop()
    one.drop()
    expect(buffers.held()).toBe(PIECE.length)
  })
})
