/**
 * Keys of cached blocks: a chained 64-bit hash over the scope (customer, model, adapter, version) and the content of
 * each full block of prompt text. The hash is not cryptographic; engines isolate customers from each other by the cache
 * salt.
 */
import { createHash } from 'node:crypto'
import xxhash from 'xxhash-wasm'
import { BLOCK_BYTES } from '../constants'
import type { BlockKeyFunction, BlockScope } from './types'

const PARENT_BYTES = 8
const KEY_DIGITS = 16

/** Loads the hash function once and returns a synchronous function. Rejects when WebAssembly is not available. */
export async function createBlockKeyFunction (): Promise<BlockKeyFunction> {
  const { h64Raw } = await xxhash()
  const scratch = new Uint8Array(PARENT_BYTES + BLOCK_BYTES)
  const scratchView = new DataView(scratch.buffer)
  return (scope, prompt) => {
    // A UTF-16 unit takes at most 3 bytes in UTF-8. This skips the encoding of prompts too short to fill a block.
    if (prompt.length * 3 < BLOCK_BYTES) return []
    const bytes = Buffer.from(prompt, 'utf8')
    const keys: string[] = []
    let parent = h64Raw(encodeScope(scope))
    for (let start = 0; start + BLOCK_BYTES <= bytes.length; start += BLOCK_BYTES) {
      scratchView.setBigUint64(0, parent)
      scratch.set(bytes.subarray(start, start + BLOCK_BYTES), PARENT_BYTES)
      parent = h64Raw(scratch)
      keys.push(parent.toString(16).padStart(KEY_DIGITS, '0'))
    }
    return keys
  }
}

/**
 * Returns the salt that isolates a customer's cache entries in the engine. Uses SHA-256, so that no customer can
 * construct the salt of another.
 */
export function cacheSaltOf (customer: string): string {
  return createHash('sha256').update('waxwingspoke cache salt\n').update(customer, 'utf8').digest('hex')
}

/** Encodes each field with its length as a prefix, so that ('ab', 'c') and ('a', 'bc') result in different bytes. */
function encodeScope (scope: BlockScope): Uint8Array {
  const parts: Buffer[] = []
  for (const field of [scope.customer, scope.model, scope.adapter, scope.version]) {
    const content = Buffer.from(field, 'utf8')
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    parts.push(length, content)
  }
  return Buffer.concat(parts)
}
