/** Encodes what requests use at engines for messages between instances. */
import type { EngineUse } from './engineUse'

/** What requests use, by engine key. */
export type EngineUses = ReadonlyMap<number, EngineUse>

/** Bytes per engine: its key, uncached and held tokens in units of `TOKEN_UNIT`, and requests. */
const ENTRY_BYTES = 10
const TOKEN_UNIT = 16
const MAX_UNITS = 0xffff

function tokenUnits (tokens: number): number {
  return Math.min(MAX_UNITS, Math.ceil(Math.max(0, tokens) / TOKEN_UNIT))
}

export function encodeUses (uses: EngineUses): Buffer {
  const bytes = Buffer.alloc(uses.size * ENTRY_BYTES)
  let offset = 0
  for (const [key, { prefillTokens, heldTokens, requests }] of uses) {
    bytes.writeUInt32LE(key, offset)
    bytes.writeUInt16LE(tokenUnits(prefillTokens), offset + 4)
    bytes.writeUInt16LE(tokenUnits(heldTokens), offset + 6)
    bytes.writeUInt16LE(Math.min(MAX_UNITS, Math.max(0, requests)), offset + 8)
    offset += ENTRY_BYTES
  }
  return bytes
}

/**
 * Decodes uses.
 * @param load prompt tokens pending prefill, from which the use is derived if the value is not an encoded use: an
 * instance of an earlier release sends only these
 */
export function decodeUses (value: unknown, load: ReadonlyMap<number, number>): EngineUses {
  if (!(value instanceof Uint8Array) || value.length % ENTRY_BYTES !== 0) {
    return new Map([...load].map(([key, tokens]) => [key, { prefillTokens: tokens, heldTokens: tokens, requests: 0 }]))
  }
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length)
  const uses = new Map<number, EngineUse>()
  for (let offset = 0; offset < bytes.length; offset += ENTRY_BYTES) {
    uses.set(bytes.readUInt32LE(offset), {
      prefillTokens: bytes.readUInt16LE(offset + 4) * TOKEN_UNIT,
      heldTokens: bytes.readUInt16LE(offset + 6) * TOKEN_UNIT,
      requests: bytes.readUInt16LE(offset + 8)
    })
  }
  return uses
}
