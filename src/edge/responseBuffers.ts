/**
 * Buffers responses that are forwarded only when they are complete.
 *
 * Load pattern: a faulty upstream responds to each of its requests with garbage in chunks of any size until the
 * connection is closed. Neither one such response nor many of them at once may exhaust the memory or CPU of the instance,
 * so tiny chunks count for more than their size.
 */
import { chunkCost, createByteAccumulator } from './byteAccumulator'

/** Maximum size in bytes of one buffered response; plain services respond with a few KB. */
export const MAX_RESPONSE_BYTES = 1_048_576
/** Maximum size in bytes of all buffered responses; the smallest instances have 88 MB of memory in total. */
export const MAX_TOTAL_BYTES = 8_388_608

export interface ResponseBuffer {
  /** Appends a chunk. Returns false and discards the response if it exceeds a limit. */
  push: (chunk: Buffer) => boolean
  /** Returns the buffered bytes and empties the buffer. */
  take: () => Buffer
  discard: () => void
}

export interface ResponseBuffers {
  open: () => ResponseBuffer
  /** Size of all buffered responses in bytes, with tiny chunks counted for more. */
  bufferedBytes: () => number
}

/** Part of the size of a response by which its buffer may be larger; the rest would be held until the caller has read it. */
const MAX_SPARE_PART = 0.25

function withoutSpareCapacity (view: Buffer): Buffer {
  return view.buffer.byteLength > view.length * (1 + MAX_SPARE_PART) ? Buffer.from(view) : view
}

/** @param record called with each change of the buffered bytes */
export function createResponseBuffers (record?: (bytes: number) => void): ResponseBuffers {
  let total = 0

  function change (bytes: number): void {
    total += bytes
    if (bytes !== 0) record?.(bytes)
  }

  function open (): ResponseBuffer {
    const bytes = createByteAccumulator()

    function discard (): void {
      change(-bytes.cost())
      bytes.clear()
    }

    return {
      push (chunk) {
        const cost = chunkCost(chunk)
        if (bytes.cost() + cost > MAX_RESPONSE_BYTES || total + cost > MAX_TOTAL_BYTES) {
          discard()
          return false
        }
        bytes.push(chunk)
        change(cost)
        return true
      },
      take () {
        const view = bytes.view()
        discard()
        return withoutSpareCapacity(view)
      },
      discard
    }
  }

  return { open, bufferedBytes: () => total }
}
