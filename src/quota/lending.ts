/** Lender's side of the loans of one customer. The account must have been advanced to the current time. */
import { computeLoanReply, lendableGrants, shareOf } from './allowance'
import type { Account, HeldGrants } from './allowance'
import { refreshAllowance } from './bucket'
import {
  LOAN_MAXIMUM_MS, MAXIMUM_LOANS_PER_CUSTOMER, emptyReply, isReturn, loanReturnsAt, removeExpired, seriesOf
} from './loans'
import type { LoanReply, LoanRequest } from './types'

export interface LendingContext {
  grants: HeldGrants
  /** False while the instance is returning its grants. */
  isLending: boolean
  driftBound: number
}

/** Decides on a request and deducts the loan before the reply is sent. A repeated request gets the same reply. */
export function handleLoanRequest (
  account: Account, request: LoanRequest, borrower: string, { grants, isLending, driftBound }: LendingContext
): LoanReply {
  const { bucket, limit, loans } = account
  const now = bucket.time
  removeExpired(loans, now)
  const sentReply = loans.sentReplies.get(request.identifier)
  if (sentReply !== undefined) return sentReply.borrower === borrower ? sentReply.reply : emptyReply(request)
  const series = seriesOf(request)
  const renewedLoan = loans.lent.get(series)
  if (renewedLoan !== undefined && renewedLoan.borrower !== borrower) return emptyReply(request)
  if (isReturn(request)) {
    applyReturn(account, series, request.tokens)
    return emptyReply(request)
  }
  if (loans.sentReplies.size >= MAXIMUM_LOANS_PER_CUSTOMER) return emptyReply(request)

  const requestedDuration = Math.min(request.duration, LOAN_MAXIMUM_MS)
  const { units, duration } = lendableGrants(grants, requestedDuration, now)
  const reply = isLending && duration > 0
    ? computeLoanReply(account, request, renewedLoan, units, duration, now)
    : emptyReply(request)
  loans.sentReplies.set(request.identifier, {
    borrower, reply, expiresAt: loanReturnsAt(requestedDuration, now, driftBound)
  })
  if (reply.duration === 0) return reply
  loans.lent.set(series, {
    borrower,
    rate: reply.rate,
    capacity: reply.capacity,
    rateShare: Math.max(renewedLoan?.rateShare ?? 0, shareOf(reply.rate, limit.rate)),
    capacityShare: Math.max(renewedLoan?.capacityShare ?? 0, shareOf(reply.capacity, limit.burst)),
    tokens: (renewedLoan?.tokens ?? 0) + reply.tokens,
    since: renewedLoan?.since ?? now,
    returnsAt: Math.max(renewedLoan?.returnsAt ?? 0, loanReturnsAt(reply.duration, now, driftBound))
  })
  bucket.level -= reply.tokens
  refreshAllowance(bucket, account.allowanceAt)
  return reply
}

/**
 * Applies the early return of a loan. At most the deducted tokens and the refill since are credited: a return that
 * arrives twice can match a loan that was deducted again by a duplicated request.
 */
function applyReturn ({ bucket, loans, allowanceAt }: Account, series: string, tokens: number): void {
  const loan = loans.lent.get(series)
  if (loan === undefined) return
  loans.lent.delete(series)
  const deducted = loan.tokens + loan.rate * (bucket.time - loan.since) / 1000
  bucket.level += Math.min(tokens, loan.capacity, deducted)
  refreshAllowance(bucket, allowanceAt)
}
