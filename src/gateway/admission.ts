/**
 * Admission by quota: asks the accounts, borrows from peers for a bounded time, and turns refusals into errors. The
 * rules are in `src/quota/`; this module only waits.
 */
import { BurstExceededError, OverloadedError, RateLimitError } from '../errors'
import type { AdmissionResult, Charge, QuotaAccounts } from '../quota/types'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'

/**
 * Longest wait for loans and for the refill of a bucket. It applies only while one of them can still admit the request;
 * without a wait, 0.4% of the requests inside the rate were refused in a steady run, with a wait of 1 s 0.1%
 * (experiments/quota).
 */
const LONGEST_WAIT_MS = 900

/** Shortest time between two attempts to admit the same request. */
const SHORTEST_STEP_MS = 5

/** Requests of one customer that may wait at the same time; more only add load to the refusal of each. */
const MAXIMUM_WAITING = 200

const NOT_RUN = ExecutionStatus.notRun

/** Loans that were asked for to admit one request. */
export interface Borrowing {
  /** How long to wait for the replies. */
  waitMilliseconds: number
  /** Gives back what the request did not need. Called once the request has been admitted or refused. */
  finish: () => void
}

export interface AdmissionOptions {
  accounts: Pick<QuotaAccounts, 'admit'>
  /**
   * Asks peers for loans; the answers show as wake-ups. Returns undefined when there is nobody to ask.
   */
  borrow: (customer: string, tokens: number) => Borrowing | undefined
  now: () => MonotonicMilliseconds
}

export interface Admission {
  /**
   * Charges the tokens. Rejects with `RateLimitError`, `BurstExceededError` or `OverloadedError`, all `not_run`, or with
   * the signal's reason.
   */
  admit: (identifier: string, customer: string, tokens: number, signal: AbortSignal) => Promise<Charge>
  /** A loan or a grant arrived: waiting requests are tried again, in order of arrival. */
  wake: () => void
  waiting: () => number
}

export function createAdmission (options: AdmissionOptions): Admission {
  const { accounts, borrow, now } = options
  /** Continuations of waiting requests, the oldest first. */
  const waiting = new Set<() => void>()
  const waitingByCustomer = new Map<string, number>()

  /** Resolves on a wake-up, after the time, or on abort. */
  async function pause (milliseconds: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        waiting.delete(finish)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      waiting.add(finish)
      signal.addEventListener('abort', finish)
    })
  }

  async function admitLater (
    identifier: string, customer: string, tokens: number, signal: AbortSignal,
    first: AdmissionResult & { admitted: false }, borrowings: Borrowing[]
  ): Promise<Charge> {
    const end = now() + LONGEST_WAIT_MS
    let result: AdmissionResult = first
    let repliesUntil = 0
    while (!result.admitted) {
      if (result.reason !== 'rate') throw refusal(result, customer, tokens)
      const time = now()
      if (time >= end) throw refusal(result, customer, tokens)
      if (time >= repliesUntil) {
        const borrowing = borrow(customer, tokens)
        if (borrowing !== undefined) borrowings.push(borrowing)
        // Without a lender only the bucket's own refill can help, and its time is known.
        else if (time + result.waitMilliseconds > end) throw refusal(result, customer, tokens)
        repliesUntil = time + (borrowing?.waitMilliseconds ?? 0)
      }
      const until = Math.min(end, Math.max(repliesUntil, time + SHORTEST_STEP_MS), time + result.waitMilliseconds)
      await pause(Math.max(SHORTEST_STEP_MS, until - time), signal)
      signal.throwIfAborted()
      result = accounts.admit(identifier, customer, tokens, now())
    }
    return result.charge
  }

  return {
    async admit (identifier, customer, tokens, signal) {
      signal.throwIfAborted()
      const count = waitingByCustomer.get(customer) ?? 0
      const first = accounts.admit(identifier, customer, tokens, now())
      if (first.admitted) return first.charge
      if (count >= MAXIMUM_WAITING) throw refusal(first, customer, tokens)
      waitingByCustomer.set(customer, count + 1)
      const borrowings: Borrowing[] = []
      try {
        return await admitLater(identifier, customer, tokens, signal, first, borrowings)
      } finally {
        for (const borrowing of borrowings) borrowing.finish()
        const left = (waitingByCustomer.get(customer) ?? 1) - 1
        if (left === 0) waitingByCustomer.delete(customer)
        else waitingByCustomer.set(customer, left)
      }
    },
    wake () {
      for (const finish of [...waiting]) finish()
    },
    waiting: () => waiting.size
  }
}

function refusal (result: AdmissionResult & { admitted: false }, customer: string, tokens: number): Error {
  switch (result.reason) {
    case 'burst':
      return new BurstExceededError(`the request costs ${tokens} tokens, more than the burst of ${customer}`, {
        execution: NOT_RUN
      })
    case 'unknownCustomer':
      return new OverloadedError(`no limits are known for ${customer}`, { execution: NOT_RUN, retryAfterSeconds: 1 })
    case 'rate':
      return new RateLimitError(`${Math.ceil(result.missingTokens)} tokens over the rate of ${customer}`, {
        execution: NOT_RUN, retryAfterSeconds: result.waitMilliseconds / 1000
      })
  }
}
