/** Loans of one customer at one instance: lent to peers, borrowed from peers, and requested but not answered yet. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'
import type { LoanReply, LoanRequest } from './types'

/** Milliseconds that a lender waits beyond the drift-corrected duration before it reuses what it has lent. */
export const LOAN_MARGIN_MS = 250

/**
 * Longest duration of a loan in milliseconds. Only the lender knows its loans, so after its process has ended, its
 * grants can be reused safely only after this time.
 */
export const LOAN_MAXIMUM_MS = 2000

/** Maximum pending requests and stored replies per customer. Bounds memory; not reached in normal operation. */
export const MAXIMUM_LOANS_PER_CUSTOMER = 1024

/** Milliseconds after which a loan of the longest duration has ended, on any clock within the drift bound. */
export const LOAN_LIFETIME_BOUND_MS = LOAN_MAXIMUM_MS * (1 + CLOCK_DRIFT_BOUND) + LOAN_MARGIN_MS

/** Loan from this instance's grants that a peer may be using. */
export interface LentLoan {
  borrower: string
  rate: number
  capacity: number
  /** Fractions of the customer's limits, so that the reservation grows with a raised limit. */
  rateShare: number
  capacityShare: number
  /** Tokens deducted for all loans of the series. */
  tokens: number
  /** When the first loan of the series was given. */
  since: MonotonicMilliseconds
  /** When the lender may reuse what it has lent. */
  returnsAt: MonotonicMilliseconds
}

/** Loan from a peer's grants that this instance may use. */
export interface BorrowedLoan {
  rate: number
  capacity: number
  /** Fractions of the customer's limits, so that a lowered limit also reduces the loan. */
  rateShare: number
  capacityShare: number
  expiresAt: MonotonicMilliseconds
}

/** Request sent by this instance whose reply may still arrive. */
export interface PendingLoanRequest {
  request: LoanRequest
  sentAt: MonotonicMilliseconds
}

/** Reply that was sent; stored so that a repeated request gets the same one. */
export interface SentReply {
  borrower: string
  reply: LoanReply
  expiresAt: MonotonicMilliseconds
}

/**
 * Loans of one customer. A series consists of a loan and its renewals and is identified by the first loan. The borrower
 * uses at most one loan of a series at a time, so the lender reserves the largest of them rather than their sum.
 */
export interface CustomerLoans {
  /** By series. */
  lent: Map<string, LentLoan>
  /** By series. */
  borrowed: Map<string, BorrowedLoan>
  /** By loan identifier. */
  pending: Map<string, PendingLoanRequest>
  /** By loan identifier. */
  sentReplies: Map<string, SentReply>
}

export function createCustomerLoans (): CustomerLoans {
  return { lent: new Map(), borrowed: new Map(), pending: new Map(), sentReplies: new Map() }
}

/** Returns the time on the lender's clock at which a loan given at `now` has certainly ended at the borrower. */
export function loanReturnsAt (
  duration: number, now: MonotonicMilliseconds, driftBound = CLOCK_DRIFT_BOUND
): MonotonicMilliseconds {
  return now + duration * (1 + driftBound) + LOAN_MARGIN_MS
}

/** Removes expired entries. The bucket must have been advanced to `now` before. */
export function removeExpired (loans: CustomerLoans, now: MonotonicMilliseconds): void {
  for (const [series, loan] of loans.lent) if (loan.returnsAt <= now) loans.lent.delete(series)
  for (const [series, loan] of loans.borrowed) if (loan.expiresAt <= now) loans.borrowed.delete(series)
  for (const [key, { expiresAt }] of loans.sentReplies) if (expiresAt <= now) loans.sentReplies.delete(key)
  for (const [identifier, { request, sentAt }] of loans.pending) {
    if (sentAt + request.duration <= now) loans.pending.delete(identifier)
  }
}

/** Returns the identifier of the series that a loan belongs to. */
export function seriesOf (request: LoanRequest): string {
  return request.renews ?? request.identifier
}

/** Returns whether a message returns a loan before its expiry. */
export function isReturn (request: LoanRequest): boolean {
  return request.renews !== undefined && request.duration === 0
}

/** Returns whether all amounts of a loan request received from the network are finite and not negative. */
export function isValidRequest (request: LoanRequest): boolean {
  return [request.rate, request.capacity, request.tokens, request.duration]
    .every((value) => Number.isFinite(value) && value >= 0)
}

export function emptyReply (request: LoanRequest): LoanReply {
  return { identifier: request.identifier, customer: request.customer, rate: 0, capacity: 0, tokens: 0, duration: 0 }
}
