/**
 * Identity of cached blocks: a chained 64-bit hash over the scope (customer, model, adapter, version) and the content
 * of each full block of prompt text. The hash is not cryptographic; engines keep customers apart by the cache salt.
 */
import { createHash } from 'node:crypto'
import xxhash from 'xxhash-wasm'
import { BLOCK_BYTES } from '../constants'
import type { BlockKeyFunction, BlockScope } from './types'

const PARENT_BYTES = 8
const KEY_DIGITS = 16

/** Loads the hash once; the returned function is synchronous. Rejects when WebAssembly is not available. */
export async function createBlockKeyFunction (): Promise<BlockKeyFunction> {
  const { h64Raw } = await xxhash()
  const scratch = new Uint8Array(PARENT_BYTES + BLOCK_BYTES)
  const scratchView = new DataView(scratch.buffer)
  return (scope, prompt) => {
    // Text shorter than a block in UTF-16 units times 3 cannot fill a block; this skips the encoding of short prompts.
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

/** Text that separates the engine's cache entries of customers. SHA-256, so that no customer can aim at another's. */
export function cacheSaltOf (customer: string): string {
  return createHash('sha256').update('waxwingspoke cache salt\n').update(customer, 'utf8').digest('hex')
}

/** Each field is preceded by its length, so that ('ab', 'c') and ('a', 'bc') give different bytes. */
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
