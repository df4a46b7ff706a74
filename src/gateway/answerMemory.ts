/**
 * Bounds the memory of long answers of plain services, which are buffered until they are complete.
 *
 * Load pattern: callers ask for many long answers at once, and read them slowly or not at all. An answer waits at its upstream
 * while the process holds much. The oldest one goes on until its caller has read it, so that answers that have begun cannot
 * block each other. An answer behind others on its connection is not read further, as it would hold memory until they are sent.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { HeldKind, type MemoryAccount } from '../http/memoryAccount/account'
import { heldFor } from '../http/memoryAccount/connectionMemory'
import type { MonotonicMilliseconds } from '../types'
import type { Exchange } from './exchange'

/** Part of the account's bound beyond which only the oldest answer goes on. */
const BUSY_PART = 0.75
/** Interval in milliseconds at which an answer looks for memory. */
const POLL_MS = 20

export interface AnswerUse {
  heldBytes: number
  bound: number
  /** Whether the answer is the first one on its connection. */
  isNext: boolean
  /** Whether no other answer that is the first one on its connection began earlier. */
  isOldest: boolean
}

/** Returns whether an answer may use more bytes. */
export function mayGrow ({ heldBytes, bound, isNext, isOldest }: AnswerUse, bytes: number): boolean {
  return isNext && (isOldest || heldBytes + bytes <= bound * BUSY_PART)
}

/** The memory of one answer. */
export interface HeldAnswer {
  /** Resolves when more bytes may be used. Rejects with an `AbortError` when the signal is aborted. */
  reserve: (bytes: number, signal: AbortSignal) => Promise<void>
  /** The answer has been read, or will not be. It is counted as an answer of the caller from then on. */
  release: () => void
}

export interface AnswerMemory {
  open: (exchange: Exchange) => HeldAnswer
}

export function createAnswerMemory (
  account: Pick<MemoryAccount, 'heldBytes' | 'bound' | 'shedStalled'>, now: () => MonotonicMilliseconds
): AnswerMemory {
  /** Exchanges whose long answers are the first ones on their connections and have not been sent, oldest first. */
  const longAnswers = new Set<Exchange>()

  function open (exchange: Exchange): HeldAnswer {
    const { request, response } = exchange
    const held = heldFor(request)
    let reserved = 0

    function mayGrowNow (bytes: number): boolean {
      const isNext = response.socket !== null
      if (isNext && !longAnswers.has(exchange)) {
        longAnswers.add(exchange)
        response.once('close', () => { longAnswers.delete(exchange) })
      }
      const isOldest = longAnswers.values().next().value === exchange
      return mayGrow({ heldBytes: account.heldBytes(), bound: account.bound, isNext, isOldest }, bytes)
    }

    return {
      async reserve (bytes, signal) {
        // The response of a caller that has left is not closed again.
        signal.throwIfAborted()
        while (!mayGrowNow(bytes)) {
          // Answers that nobody reads would hold the memory for as long as their connections are open.
          account.shedStalled(now())
          await sleep(POLL_MS, undefined, { signal })
        }
        reserved += bytes
        held?.add(HeldKind.upstreamAnswer, bytes, now())
      },
      release () {
        held?.add(HeldKind.upstreamAnswer, -reserved, now())
        reserved = 0
      }
    }
  }

  return { open }
}
