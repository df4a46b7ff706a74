/** Encodes speeds of engines for messages between instances. */

/** Bytes per engine: the key of its run, the milliseconds for 1,000 tokens, and the number of samples behind them. */
const ENTRY_BYTES = 7
/** Resolution of the milliseconds for 1,000 tokens. */
const UNITS_PER_MILLISECOND = 32
const MAX_UNITS = 0xffff
const MAX_COUNT = 0xff

export interface SpeedEntry {
  /** Identifies the run of an engine. */
  key: number
  /** Milliseconds for 1,000 prompt tokens. */
  milliseconds: number
  samples: number
}

export function encodeSpeeds (entries: readonly SpeedEntry[]): Buffer {
  const bytes = Buffer.alloc(entries.length * ENTRY_BYTES)
  for (const [index, { key, milliseconds, samples }] of entries.entries()) {
    const offset = index * ENTRY_BYTES
    bytes.writeUInt32LE(key, offset)
    bytes.writeUInt16LE(Math.min(MAX_UNITS, Math.round(milliseconds * UNITS_PER_MILLISECOND)), offset + 4)
    bytes.writeUInt8(Math.min(MAX_COUNT, samples), offset + 6)
  }
  return bytes
}

/** Returns no entries for a value of another shape; an instance of an earlier release sends none. */
export function decodeSpeeds (value: unknown): SpeedEntry[] {
  if (!(value instanceof Uint8Array) || value.length % ENTRY_BYTES !== 0) return []
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length)
  return Array.from({ length: bytes.length / ENTRY_BYTES }, (_, index) => {
    const offset = index * ENTRY_BYTES
    return {
      key: bytes.readUInt32LE(offset),
      milliseconds: bytes.readUInt16LE(offset + 4) / UNITS_PER_MILLISECOND,
      samples: bytes.readUInt8(offset + 6)
    }
  })
}
