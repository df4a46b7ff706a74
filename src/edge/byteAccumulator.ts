/**
 * Accumulates bytes that arrive in chunks of any size. They are copied into one buffer that doubles its capacity as it
 * fills: thousands of tiny chunks kept separately would use many times their size in memory, and concatenating all of
 * them for each new chunk would take seconds.
 */

const INITIAL_CAPACITY_BYTES = 1024
/** Minimum cost of a chunk in bytes; even the smallest chunk takes about as much CPU time as one of this size. */
const MIN_CHUNK_COST_BYTES = 64

export function chunkCost (chunk: Buffer): number {
  return Math.max(MIN_CHUNK_COST_BYTES, chunk.length)
}

export interface ByteAccumulator {
  push: (chunk: Buffer) => void
  length: () => number
  /** Returns the length in bytes, with tiny chunks counted for more. */
  cost: () => number
  /** Returns a view of the current bytes, valid until the next call. */
  view: () => Buffer
  clear: () => void
}

export function createByteAccumulator (): ByteAccumulator {
  let buffer: Buffer = Buffer.alloc(0)
  let length = 0
  let cost = 0

  function ensureCapacity (capacity: number): void {
    if (capacity <= buffer.length) return
    const larger = Buffer.allocUnsafeSlow(Math.max(INITIAL_CAPACITY_BYTES, buffer.length * 2, capacity))
    buffer.copy(larger, 0, 0, length)
    buffer = larger
  }

  return {
    push (chunk) {
      ensureCapacity(length + chunk.length)
      chunk.copy(buffer, length)
      length += chunk.length
      cost += chunkCost(chunk)
    },
    length: () => length,
    cost: () => cost,
    view: () => buffer.subarray(0, length),
    clear () {
      buffer = Buffer.alloc(0)
      length = 0
      cost = 0
    }
  }
}
