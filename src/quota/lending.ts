/** Lender's side of the loans of one customer. The account must have been advanced to the present time. */
import { lendableGrants, loanFrom, shareOf } from './allowance'
import type { Account, HeldGrants } from './allowance'
import { refreshAllowance } from './bucket'
import {
  LOAN_MAXIMUM_MS, MAXIMUM_LOANS_PER_CUSTOMER, emptyReply, forgetEnded, isReturn, loanReturnsAt, seriesOf
} from './loans'
import type { LoanReply, LoanRequest } from './types'

export interface LendingTerms {
  grants: HeldGrants
  /** False when the instance gives its grants back. */
  isLending: boolean
  driftBound: number
}

/** Decides on a request and deducts the part before the reply is sent. A repeated request gets the same reply. */
export function lendPart (
  account: Account, request: LoanRequest, borrower: string, { grants, isLending, driftBound }: LendingTerms
): LoanReply {
  const { bucket, limit, loans } = account
  const now = bucket.time
  forgetEnded(loans, now)
  const known = loans.answered.get(request.identifier)
  if (known !== undefined) return known.borrower === borrower ? known.reply : emptyReply(request)
  const series = seriesOf(request)
  const earlier = loans.lent.get(series)
  if (earlier !== undefined && earlier.borrower !== borrower) return emptyReply(request)
  if (isReturn(request)) {
    takeBack(account, series, request.tokens)
    return emptyReply(request)
  }
  if (loans.answered.size >= MAXIMUM_LOANS_PER_CUSTOMER) return emptyReply(request)

  const wanted = Math.min(request.duration, LOAN_MAXIMUM_MS)
  const { units, duration } = lendableGrants(grants, wanted, now)
  const reply = isLending && duration > 0
    ? loanFrom(account, request, earlier, units, duration, now)
    : emptyReply(request)
  loans.answered.set(request.identifier, { borrower, reply, forgetAt: loanReturnsAt(wanted, now, driftBound) })
  if (reply.duration === 0) return reply
  loans.lent.set(series, {
    borrower,
    rate: reply.rate,
    capacity: reply.capacity,
    rateShare: Math.max(earlier?.rateShare ?? 0, shareOf(reply.rate, limit.rate)),
    capacityShare: Math.max(earlier?.capacityShare ?? 0, shareOf(reply.capacity, limit.burst)),
    tokens: (earlier?.tokens ?? 0) + reply.tokens,
    since: earlier?.since ?? now,
    returnsAt: Math.max(earlier?.returnsAt ?? 0, loanReturnsAt(reply.duration, now, driftBound))
  })
  bucket.level -= reply.tokens
  refreshAllowance(bucket, account.allowanceAt)
  return reply
}

/**
 * Uses a part again that its borrower has given back. No more tokens come back than were deducted with the part: a return
 * that arrives twice can meet a part that a doubled request deducted a second time.
 */
function takeBack ({ bucket, loans, allowanceAt }: Account, series: string, tokens: number): void {
  const part = loans.lent.get(series)
  if (part === undefined) return
  loans.lent.delete(series)
  const deducted = part.tokens + part.rate * (bucket.time - part.since) / 1000
  bucket.level += Math.min(tokens, part.capacity, deducted)
  refreshAllowance(bucket, allowanceAt)
}
