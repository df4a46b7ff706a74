/** Guards against bodies that cost many times their bytes, and against bodies that change on their way. */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createBodyBlocks } from '../bodyReader'

describe('blocks of a body', () => {
  it('return the bytes of chunks of any sizes', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 9000 }), { maxLength: 40 }), (chunks) => {
      const blocks = createBodyBlocks()
      for (const chunk of chunks) blocks.push(Buffer.from(chunk))
      const expected = Buffer.concat(chunks)
      expect(blocks.length()).toBe(expected.length)
      expect(blocks.take().equals(expected)).toBe(true)
      expect([blocks.length(), blocks.capacity()]).toEqual([0, 0])
    }), { seed: 7, numRuns: 100 })
  })

  it.each([[1, 4096], [65_000, 131_072], [4_194_304, 4_325_376]])('of %d bytes use at most %d', (bytes, capacity) => {
    const blocks = createBodyBlocks()
    const chunk = Buffer.from('x')
    for (let count = 0; count < bytes; count += 1) blocks.push(chunk)
    expect(blocks.length()).toBe(bytes)
    expect(blocks.capacity()).toBeLessThanOrEqual(capacity)
  })
})
