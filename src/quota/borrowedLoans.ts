/** Borrower's side of the loans of one customer. The account must have been advanced to the current time. */
import type { MonotonicMilliseconds } from '../types'
import { isAmount, shareOf } from './allowance'
import type { Account } from './allowance'
import { refreshAllowance } from './bucket'
import { MAXIMUM_LOANS_PER_CUSTOMER, removeExpired, seriesOf } from './loans'
import type { LoanReply, LoanRequest } from './types'

/** Records the send time of a request. Returns false when too many requests are pending. */
export function registerPendingRequest (
  { bucket, loans }: Account, request: LoanRequest, now: MonotonicMilliseconds
): boolean {
  removeExpired(loans, bucket.time)
  if (loans.pending.size >= MAXIMUM_LOANS_PER_CUSTOMER) return false
  loans.pending.set(request.identifier, { request, sentAt: now })
  return true
}

/** Applies a reply. Late, unknown and repeated replies have no effect. */
export function applyLoanReply ({ bucket, limit, loans, allowanceAt }: Account, reply: LoanReply): void {
  removeExpired(loans, bucket.time)
  const pending = loans.pending.get(reply.identifier)
  if (pending === undefined) return
  loans.pending.delete(reply.identifier)
  if (![reply.rate, reply.capacity, reply.tokens, reply.duration].every(isAmount)) return
  const expiresAt = pending.sentAt + Math.min(reply.duration, pending.request.duration)
  if (expiresAt <= bucket.time) return
  const series = seriesOf(pending.request)
  const renewedLoan = loans.borrowed.get(series)
  // Replies of one series are accepted only in the order of their requests: tokens of an older reply would be added to
  // a level that a newer one has already filled.
  for (const [identifier, other] of loans.pending) {
    if (seriesOf(other.request) === series && other.sentAt <= pending.sentAt) loans.pending.delete(identifier)
  }
  loans.borrowed.set(series, {
    rate: reply.rate,
    capacity: reply.capacity,
    rateShare: shareOf(reply.rate, limit.rate),
    capacityShare: shareOf(reply.capacity, limit.burst),
    expiresAt
  })
  bucket.level += Math.max(0, Math.min(reply.tokens, reply.capacity - (renewedLoan?.capacity ?? 0)))
  refreshAllowance(bucket, allowanceAt)
}

/** Ends a loan before it expires and builds the message that returns it to the lender. */
export function returnBorrowedLoan (
  { bucket, limit, loans, allowanceAt }: Account, identifier: string, series: string
): LoanRequest | undefined {
  const loan = loans.borrowed.get(series)
  if (loan === undefined) return undefined
  loans.borrowed.delete(series)
  // A pending renewal must not restore the loan after the lender has started to reuse it.
  for (const [pending, { request }] of loans.pending) if (seriesOf(request) === series) loans.pending.delete(pending)
  const { level } = bucket
  refreshAllowance(bucket, allowanceAt)
  const tokens = Math.min(loan.capacity, level - bucket.level)
  return { identifier, customer: limit.customer, rate: 0, capacity: 0, tokens, duration: 0, renews: series }
}
