import fc from 'fast-check'
import { beforeAll, describe, expect, it } from 'vitest'
import { BLOCK_BYTES } from '../../constants'
import { cacheSaltOf, createBlockKeyFunction } from '../blockKeys'
import type { BlockKeyFunction } from '../types'

const scope = { customer: 'bakery', model: 'large', adapter: '', version: '1' }

describe('block keys', () => {
  let blockKeys: BlockKeyFunction
  beforeAll(async () => {
    blockKeys = await createBlockKeyFunction()
  })

  it.each([
    { bytes: 0, blocks: 0 },
    { bytes: BLOCK_BYTES - 1, blocks: 0 },
    { bytes: BLOCK_BYTES, blocks: 1 },
    { bytes: 3 * BLOCK_BYTES + 5, blocks: 3 }
  ])('creates keys for full blocks only: $bytes bytes', ({ bytes, blocks }) => {
    const keys = blockKeys(scope, 'x'.repeat(bytes))
    expect(keys).toHaveLength(blocks)
    expect(keys.every(key => /^[0-9a-f]{16}$/.test(key))).toBe(true)
  })

  it('counts bytes, not UTF-16 units', () => {
    expect(blockKeys(scope, '€'.repeat(BLOCK_BYTES / 2))).toHaveLength(1)
  })

  it('returns equal keys for a shared prefix and different keys from the first different block onwards', () => {
    const prefix = 'p'.repeat(2 * BLOCK_BYTES)
    const left = blockKeys(scope, prefix + 'l'.repeat(BLOCK_BYTES) + 's'.repeat(BLOCK_BYTES))
    const right = blockKeys(scope, prefix + 'r'.repeat(BLOCK_BYTES) + 's'.repeat(BLOCK_BYTES))
    expect(left.slice(0, 2)).toEqual(right.slice(0, 2))
    expect(left[2]).not.toBe(right[2])
    // Equal content after different parents must not look cached.
    expect(left[3]).not.toBe(right[3])
  })

  it('returns different keys for different scopes, even when their concatenated fields are equal', () => {
    const field = fc.constantFrom('', 'a', 'b', 'ab', 'ba', 'a\u0000b')
    const scopes = fc.record({ customer: field, model: field, adapter: field, version: field })
    const prompt = 'x'.repeat(BLOCK_BYTES)
    fc.assert(fc.property(scopes, scopes, (left, right) => {
      const same = JSON.stringify(left) === JSON.stringify(right)
      expect(blockKeys(left, prompt)[0] === blockKeys(right, prompt)[0]).toBe(same)
    }))
  })

  it('returns different cache salts for different customers', () => {
    expect(cacheSaltOf('bakery')).not.toBe(cacheSaltOf('bakery '))
  })
})
