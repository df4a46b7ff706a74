/**
 * Holds answers that are passed on only when they are whole.
 *
 * Load pattern: an upstream in trouble sends bytes that are no answer until its connection is closed, to every request
 * that it has. One such answer must not take the instance's memory, nor may many of them at once.
 */

import { createGrowingBytes } from './growingBytes'

/** Bytes of one answer; plain services answer with a few KB. */
export const LONGEST_ANSWER_BYTES = 2_097_152
/** Bytes of all answers of an instance together; the smallest instances have 88 MB for everything. */
export const MOST_ANSWER_BYTES = 16_777_216

export interface AnswerBuffer {
  /** False when the answer does not fit; nothing of it is held then. */
  push: (chunk: Buffer) => boolean
  /** Gives the bytes out and holds them no longer. */
  take: () => Buffer
  drop: () => void
}

export interface AnswerBuffers {
  open: () => AnswerBuffer
  /** Bytes that are held. */
  held: () => number
}

export function createAnswerBuffers (): AnswerBuffers {
  let total = 0

  function open (): AnswerBuffer {
    const bytes = createGrowingBytes()

    function drop (): void {
      total -= bytes.length()
      bytes.clear()
    }

    return {
      push (chunk) {
        if (bytes.length() + chunk.length > LONGEST_ANSWER_BYTES || total + chunk.length > MOST_ANSWER_BYTES) {
          drop()
          return false
        }
        bytes.push(chunk)
        total += chunk.length
        return true
      },
      take () {
        const answer = bytes.view()
        drop()
        return answer
      },
      drop
    }
  }

  return { open, held: () => total }
}
