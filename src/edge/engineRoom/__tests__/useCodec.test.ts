import { describe, expect, it } from 'vitest'
import { decodeUses, encodeUses } from '../useCodec'

describe('what requests use, in a message', () => {
  it('is decoded as it was encoded, in units of 16 tokens and within ten bytes per engine', () => {
    const bytes = encodeUses(new Map([
      [1, { prefillTokens: 2890, heldTokens: 9200, requests: 3 }],
      [2, { prefillTokens: -5, heldTokens: 99_999_999, requests: 99_999_999 }]
    ]))
    expect(bytes.length).toBe(20)
    expect(decodeUses(bytes, new Map())).toEqual(new Map([
      [1, { prefillTokens: 2896, heldTokens: 9200, requests: 3 }],
      [2, { prefillTokens: 0, heldTokens: 0xffff * 16, requests: 0xffff }]
    ]))
  })

  it.each([[undefined], ['text'], [Buffer.alloc(9)], [{}]])('is derived from the load for %o', (value) => {
    expect(decodeUses(value, new Map([[7, 1600]]))).toEqual(
      new Map([[7, { prefillTokens: 1600, heldTokens: 1600, requests: 0 }]])
    )
  })
})
