/** Borrower's side of the loans of one customer. The account must have been advanced to the present time. */
import type { MonotonicMilliseconds } from '../types'
import { isAmount, shareOf } from './allowance'
import type { Account } from './allowance'
import { refreshAllowance } from './bucket'
import { MAXIMUM_LOANS_PER_CUSTOMER, forgetEnded, seriesOf } from './loans'
import type { LoanReply, LoanRequest } from './types'

/** Remembers when a request was sent. False when too many requests are under way. */
export function expectPart ({ bucket, loans }: Account, request: LoanRequest, now: MonotonicMilliseconds): boolean {
  forgetEnded(loans, bucket.time)
  if (loans.pending.size >= MAXIMUM_LOANS_PER_CUSTOMER) return false
  loans.pending.set(request.identifier, { request, sentAt: now })
  return true
}

/** Takes in a reply. Late, unknown and repeated replies have no effect. */
export function acceptPart ({ bucket, limit, loans, allowanceAt }: Account, reply: LoanReply): void {
  forgetEnded(loans, bucket.time)
  const pending = loans.pending.get(reply.identifier)
  if (pending === undefined) return
  loans.pending.delete(reply.identifier)
  if (![reply.rate, reply.capacity, reply.tokens, reply.duration].every(isAmount)) return
  const expiresAt = pending.sentAt + Math.min(reply.duration, pending.request.duration)
  if (expiresAt <= bucket.time) return
  const series = seriesOf(pending.request)
  const earlier = loans.borrowed.get(series)
  // Replies of one series are taken in the order of their requests only; an older one would bring its tokens on top of
  // a level that the newer one has filled.
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
  bucket.level += Math.max(0, Math.min(reply.tokens, reply.capacity - (earlier?.capacity ?? 0)))
  refreshAllowance(bucket, allowanceAt)
}

/** Ends a part before its time and builds the message for its lender. */
export function returnPart (
  { bucket, limit, loans, allowanceAt }: Account, identifier: string, series: string
): LoanRequest | undefined {
  const part = loans.borrowed.get(series)
  if (part === undefined) return undefined
  loans.borrowed.delete(series)
  // A renewal under way must not bring the part back after the lender has begun to use it again.
  for (const [pending, { request }] of loans.pending) if (seriesOf(request) === series) loans.pending.delete(pending)
  const { level } = bucket
  refreshAllowance(bucket, allowanceAt)
  const tokens = Math.min(part.capacity, level - bucket.level)
  return { identifier, customer: limit.customer, rate: 0, capacity: 0, tokens, duration: 0, renews: series }
}
