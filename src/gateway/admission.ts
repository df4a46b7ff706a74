/**
 * Quota admission: charges the accounts, borrows from peers for a limited time and converts rejections into errors. The
 * quota policy is implemented in `src/quota/`. This module only does the waiting.
 */
import { BurstExceededError, OverloadedError, RateLimitError } from '../errors'
import type { AdmissionResult, Charge, QuotaAccounts } from '../quota/types'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'

/**
 * Maximum wait in milliseconds for loans and for the refill of a bucket. Applies only while one of them can still admit
 * the request. At a steady load, 0.4% of the requests within the rate were rejected without a wait, and 0.1% with a wait
 * of 1 s (experiments/quota).
 */
const MAXIMUM_WAIT_MS = 900

/** Minimum interval in milliseconds between two attempts to admit the same request. */
const MINIMUM_RETRY_INTERVAL_MS = 5

/** Maximum number of waiting requests per customer. A higher limit would only add load to each rejection. */
const MAXIMUM_WAITING_PER_CUSTOMER = 200

const NOT_RUN = ExecutionStatus.notRun

/** Loans that have been requested to admit a request. */
export interface Borrowing {
  /** Maximum wait for the replies, in milliseconds. */
  waitMilliseconds: number
  /** Returns unused loans. Called after the request has been admitted or rejected. */
  finish: () => void
}

export interface AdmissionOptions {
  accounts: Pick<QuotaAccounts, 'admit'>
  /** Requests loans from peers, whose replies trigger `wake`. Returns undefined if there is no peer to borrow from. */
  borrow: (customer: string, tokens: number) => Borrowing | undefined
  now: () => MonotonicMilliseconds
}

export interface Admission {
  /**
   * Charges the tokens. Rejects with `RateLimitError`, `BurstExceededError` or `OverloadedError`, all `not_run`, or with
   * the signal's reason.
   */
  admit: (identifier: string, customer: string, tokens: number, signal: AbortSignal) => Promise<Charge>
  /** Retries waiting requests in order of arrival. Called when a loan or a grant has arrived. */
  wake: () => void
  /** Returns the number of waiting requests. */
  waiting: () => number
}

export function createAdmission (options: AdmissionOptions): Admission {
  const { accounts, borrow, now } = options
  /** Continuations of waiting requests, oldest first. */
  const waiting = new Set<() => void>()
  const waitingByCustomer = new Map<string, number>()

  /** Resolves on `wake`, after the given time or on abort. */
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

  async function waitForAdmission (
    identifier: string, customer: string, tokens: number, signal: AbortSignal,
    first: AdmissionResult & { admitted: false }, borrowings: Borrowing[]
  ): Promise<Charge> {
    const deadline = now() + MAXIMUM_WAIT_MS
    let result: AdmissionResult = first
    let replyDeadline = 0
    while (!result.admitted) {
      if (result.reason !== 'rate') throw rejectionError(result, customer, tokens)
      const time = now()
      if (time >= deadline) throw rejectionError(result, customer, tokens)
      if (time >= replyDeadline) {
        const borrowing = borrow(customer, tokens)
        if (borrowing !== undefined) borrowings.push(borrowing)
        // Without a lender, the request depends on the refill of the local bucket, whose time is known.
        else if (time + result.waitMilliseconds > deadline) throw rejectionError(result, customer, tokens)
        replyDeadline = time + (borrowing?.waitMilliseconds ?? 0)
      }
      const until = Math.min(
        deadline, Math.max(replyDeadline, time + MINIMUM_RETRY_INTERVAL_MS), time + result.waitMilliseconds
      )
      await pause(Math.max(MINIMUM_RETRY_INTERVAL_MS, until - time), signal)
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
      if (count >= MAXIMUM_WAITING_PER_CUSTOMER) throw rejectionError(first, customer, tokens)
      waitingByCustomer.set(customer, count + 1)
      const borrowings: Borrowing[] = []
      try {
        return await waitForAdmission(identifier, customer, tokens, signal, first, borrowings)
      } finally {
        for (const borrowing of borrowings) borrowing.finish()
        const remaining = (waitingByCustomer.get(customer) ?? 1) - 1
        if (remaining === 0) waitingByCustomer.delete(customer)
        else waitingByCustomer.set(customer, remaining)
      }
    },
    wake () {
      for (const finish of [...waiting]) finish()
    },
    waiting: () => waiting.size
  }
}

function rejectionError (result: AdmissionResult & { admitted: false }, customer: string, tokens: number): Error {
  switch (result.reason) {
    case 'burst':
      return new BurstExceededError(`the request costs ${tokens} tokens, more than the burst of ${customer}`, {
        execution: NOT_RUN
      })
    case 'unknownCustomer':
      return new OverloadedError(`no limits are configured for ${customer}`, { execution: NOT_RUN, retryAfterSeconds: 1 })
    case 'rate':
      return new RateLimitError(`the request is ${Math.ceil(result.missingTokens)} tokens over the rate of ${customer}`, {
        execution: NOT_RUN, retryAfterSeconds: result.waitMilliseconds / 1000
      })
  }
}
