/**
 * Bytes that arrive in pieces of any size. They are copied into one buffer that doubles as it fills: thousands of tiny
 * pieces held as they came would take many times their own size, and joining all at each piece would take seconds.
 */

const FIRST_CAPACITY_BYTES = 1024
/** Bytes that a piece counts for at least; each costs the processor about as much as one of this size. */
const LEAST_PIECE_BYTES = 64

export function costOfPiece (piece: Buffer): number {
  return Math.max(LEAST_PIECE_BYTES, piece.length)
}

export interface GrowingBytes {
  push: (piece: Buffer) => void
  length: () => number
  /** The length, with tiny pieces counted for more. */
  cost: () => number
  /** The bytes as they are now; valid until the next call. */
  view: () => Buffer
  clear: () => void
}

export function createGrowingBytes (): GrowingBytes {
  let buffer: Buffer = Buffer.alloc(0)
  let length = 0
  let cost = 0

  function reserve (needed: number): void {
    if (needed <= buffer.length) return
    const larger = Buffer.allocUnsafeSlow(Math.max(FIRST_CAPACITY_BYTES, buffer.length * 2, needed))
    buffer.copy(larger, 0, 0, length)
    buffer = larger
  }

  return {
    push (piece) {
      reserve(length + piece.length)
      piece.copy(buffer, length)
      length += piece.length
      cost += costOfPiece(piece)
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
