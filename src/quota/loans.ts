/** Loans of one customer at one instance: parts lent to peers, parts borrowed from them, and requests under way. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'
import type { LoanReply, LoanRequest } from './types'

/** Milliseconds that a lender waits beyond the drift-corrected duration before it uses the part again. */
export const LOAN_MARGIN_MS = 250

/**
 * Longest loan in milliseconds. Nobody but the lender knows its loans, so that the grants of a lender that ended are
 * safe to reuse only after this time.
 */
export const LOAN_MAXIMUM_MS = 2000

/** Requests under way and replies remembered for one customer; a bound on memory that normal work does not reach. */
export const MAXIMUM_LOANS_PER_CUSTOMER = 1024

/** Milliseconds on any clock within the drift bound after which a loan of the longest duration has ended. */
export const LOAN_SETTLED_MS = LOAN_MAXIMUM_MS * (1 + CLOCK_DRIFT_BOUND) + LOAN_MARGIN_MS

/** A part of this instance's grants that a peer may be using. */
export interface LentPart {
  borrower: string
  rate: number
  capacity: number
  /** Parts of the customer's limits, so that a raised limit does not shrink what is set aside. */
  rateShare: number
  capacityShare: number
  /** Tokens deducted with the part, and when the first of the series was given. */
  tokens: number
  since: MonotonicMilliseconds
  /** When the lender may use the part again. */
  returnsAt: MonotonicMilliseconds
}

/** A part of a peer's grants that this instance may use. */
export interface BorrowedPart {
  rate: number
  capacity: number
  /** Parts of the customer's limits, so that a lowered limit lowers the borrowed part as well. */
  rateShare: number
  capacityShare: number
  expiresAt: MonotonicMilliseconds
}

/** Request that this instance has sent and that may still be answered. */
export interface PendingLoan {
  request: LoanRequest
  sentAt: MonotonicMilliseconds
}

/** Reply that was given, kept so that a repeated request gets the same one. */
export interface AnsweredLoan {
  borrower: string
  reply: LoanReply
  forgetAt: MonotonicMilliseconds
}

/**
 * A series is a loan and the loans that renew it; its identifier is that of the first loan. The borrower uses at most one
 * loan of a series at a time, so that the lender sets aside the largest of them and not their sum.
 */
export interface LoanBook {
  /** By series. */
  lent: Map<string, LentPart>
  /** By series. */
  borrowed: Map<string, BorrowedPart>
  /** By loan identifier. */
  pending: Map<string, PendingLoan>
  /** By loan identifier. */
  answered: Map<string, AnsweredLoan>
}

export function createLoanBook (): LoanBook {
  return { lent: new Map(), borrowed: new Map(), pending: new Map(), answered: new Map() }
}

/** Instant on the lender's clock at which a loan with this duration, given now, has certainly ended. */
export function loanReturnsAt (
  duration: number, now: MonotonicMilliseconds, driftBound = CLOCK_DRIFT_BOUND
): MonotonicMilliseconds {
  return now + duration * (1 + driftBound) + LOAN_MARGIN_MS
}

/** Drops entries that have ended. Call only after the bucket has been advanced to `now`. */
export function forgetEnded (book: LoanBook, now: MonotonicMilliseconds): void {
  for (const [series, part] of book.lent) if (part.returnsAt <= now) book.lent.delete(series)
  for (const [series, part] of book.borrowed) if (part.expiresAt <= now) book.borrowed.delete(series)
  for (const [identifier, { forgetAt }] of book.answered) if (forgetAt <= now) book.answered.delete(identifier)
  for (const [identifier, { request, sentAt }] of book.pending) {
    if (sentAt + request.duration <= now) book.pending.delete(identifier)
  }
}

/** Series that a loan belongs to. */
export function seriesOf (request: LoanRequest): string {
  return request.renews ?? request.identifier
}

/** True for a message that gives a loan back before its end. */
export function isReturn (request: LoanRequest): boolean {
  return request.renews !== undefined && request.duration === 0
}

/** A loan request from the network is usable when all its numbers are finite and not negative. */
export function isUsableRequest (request: LoanRequest): boolean {
  return [request.rate, request.capacity, request.tokens, request.duration]
    .every((value) => Number.isFinite(value) && value >= 0)
}

export function emptyReply (request: LoanRequest): LoanReply {
  return { identifier: request.identifier, customer: request.customer, rate: 0, capacity: 0, tokens: 0, duration: 0 }
}
