/**
 * Holds answers that are passed on only when they are whole.
 *
 * Load pattern: an upstream in trouble sends bytes that are no answer until its connection is closed, to every request
 * that it has, in pieces of any size. One such answer must not take the instance's memory or processor, nor may many of
 * them at once: tiny pieces count for more than their bytes.
 */
import { costOfPiece, createGrowingBytes } from './growingBytes'

/** Bytes of one answer; plain services answer with a few KB. */
export const LONGEST_ANSWER_BYTES = 1_048_576
/** Bytes of all answers of an instance together; the smallest instances have 88 MB for everything. */
export const MOST_ANSWER_BYTES = 8_388_608

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
      total -= bytes.cost()
      bytes.clear()
    }

    return {
      push (chunk) {
        const cost = costOfPiece(chunk)
        if (bytes.cost() + cost > LONGEST_ANSWER_BYTES || total + cost > MOST_ANSWER_BYTES) {
          drop()
          return false
        }
        bytes.push(chunk)
        total += cost
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
