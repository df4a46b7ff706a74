/** Text of the model engine: a deterministic function of model, version, prompt and index. */
import { createHash } from 'node:crypto'
import { BYTES_PER_TOKEN } from '../../src/constants'

export interface GeneratedText {
  /** Text of the token with this index; always `BYTES_PER_TOKEN` bytes. */
  token: (index: number) => string
  /** Text of all tokens before the index. */
  textBefore: (index: number) => string
}

/** Prepares the text that one model version generates for a prompt. */
export function generateText (model: string, version: string, prompt: string): GeneratedText {
  const seed = createHash('sha256').update(JSON.stringify([model, version, prompt])).digest()
  function token (index: number): string {
    // A multiplicative hash of seed and index; the constants are those of the MurmurHash3 finalizer.
    let value = (seed.readUInt32LE((index % 7) * 4) ^ Math.imul(index + 1, 0x85ebca6b)) >>> 0
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35) >>> 0
    return `${(value % 36 ** (BYTES_PER_TOKEN - 1)).toString(36).padStart(BYTES_PER_TOKEN - 1, '0')} `
  }
  return {
    token,
    textBefore: (index) => Array.from({ length: index }, (_, position) => token(position)).join('')
  }
}

/** Tokens of a text; the stand-in counts bytes as the router does. */
export function countTokens (text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN)
}
