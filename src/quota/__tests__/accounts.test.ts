import { describe, expect, it } from 'vitest'
import { QUOTA_UNITS } from '../../constants'
import { createQuotaAccounts } from '../accounts'
import { LOAN_LIFETIME_BOUND_MS } from '../loans'
import { GrantTier } from '../types'

const limit = { customer: 'acme', rate: 1000, burst: 2000 }

/** Creates accounts that hold a fraction of the units until `expiresAt`. */
function createAccountsWith (fraction: number, expiresAt = 1e6) {
  const accounts = createQuotaAccounts({ driftBound: 0 })
  accounts.setLimits([limit], 0)
  accounts.setGrant(GrantTier.floor, fraction * QUOTA_UNITS, expiresAt, 0)
  return accounts
}

describe('quota accounts', () => {
  it('starts a new grant at level 0 and keeps the level on renewal', () => {
    const accounts = createAccountsWith(0.5)
    expect(accounts.inspect('acme', 0)).toEqual({ rate: 500, capacity: 1000, level: 0 })
    accounts.setGrant(GrantTier.floor, 0.5 * QUOTA_UNITS, 2e6, 1000)
    expect(accounts.inspect('acme', 1000).level).toBeCloseTo(500)
  })

  it('admits nothing on a lease that expired while the process was suspended', () => {
    const accounts = createAccountsWith(0.5, 10_000)
    expect(accounts.admit('a', 'acme', 100, 10_000_000)).toMatchObject({ admitted: false, reason: 'rate' })
  })

  it.each([
    ['unknown', 1, { admitted: false, reason: 'unknownCustomer' }],
    ['acme', 2001, { admitted: false, reason: 'burst' }],
    ['acme', 700, { admitted: false, reason: 'rate', missingTokens: 200, waitMilliseconds: 400 }]
  ])('rejects customer %s with %d tokens for the correct reason', (customer, tokens, expected) => {
    expect(createAccountsWith(0.5).admit('a', customer, tokens, 1000)).toEqual(expected)
  })

  it('refunds unused tokens once, and none that have been replaced by refill', () => {
    const accounts = createAccountsWith(0.5)
    const result = accounts.admit('a', 'acme', 400, 10_000)
    if (!result.admitted) throw new Error('expected an admission')
    accounts.settle(result.charge, 100, 10_000)
    accounts.settle(result.charge, 0, 10_000)
    expect(accounts.inspect('acme', 10_000).level).toBeCloseTo(900)
    expect(accounts.inspect('acme', 20_000).level).toBeCloseTo(1000)
  })

  it('does not refund an older charge from the refundable portion of a newer one', () => {
    const accounts = createAccountsWith(1)
    const first = accounts.admit('a', 'acme', 2000, 10_000)
    const second = accounts.admit('b', 'acme', 2000, 20_000)
    if (!first.admitted || !second.admitted) throw new Error('expected admissions')
    accounts.settle(first.charge, 0, 20_000)
    expect(accounts.inspect('acme', 20_000).level).toBeCloseTo(0)
  })

  it('admits a prompt above its own capacity with a loan, and restores both capacities when the loan ends', () => {
    const lender = createAccountsWith(0.5)
    const borrower = createAccountsWith(0.5)
    expect(borrower.admit('a', 'acme', 1800, 10_000).admitted).toBe(false)
    const request = borrower.requestLoan('loan', 'acme', 1800, 10_000)
    const reply = lender.lend(request, 'borrower', 10_001)
    expect(lender.lend(request, 'borrower', 10_002)).toBe(reply)
    borrower.acceptLoan(reply, 10_003)
    borrower.acceptLoan(reply, 10_003)
    expect(borrower.admit('a', 'acme', 1800, 10_003).admitted).toBe(true)
    expect(lender.inspect('acme', 10_003).level).toBeLessThan(203)
    expect(borrower.inspect('acme', 10_000 + request.duration).capacity).toBeCloseTo(1000)
    expect(lender.inspect('acme', 10_001 + LOAN_LIFETIME_BOUND_MS).capacity).toBeCloseTo(1000)
  })

  it('credits a returned loan once, with the tokens that were deducted, however often the return arrives', () => {
    const lender = createAccountsWith(0.5)
    const borrower = createAccountsWith(0.5)
    const request = borrower.requestLoan('loan', 'acme', 1800, 10_000)
    const reply = lender.lend(request, 'borrower', 10_001)
    borrower.acceptLoan(reply, 10_002)
    const returned = borrower.returnLoan('return', 'acme', 'loan', 10_003)!
    expect(returned).toMatchObject({ renews: 'loan', duration: 0 })
    expect(borrower.inspect('acme', 10_003)).toMatchObject({ capacity: 1000, level: 1000 })
    lender.lend(returned, 'borrower', 10_004)
    const { level, capacity } = lender.inspect('acme', 10_004)
    expect(capacity).toBe(1000)
    expect(level).toBeCloseTo(1000, 0)
    // After the stored reply has expired, both the request and the message that returns the loan arrive again.
    lender.lend(request, 'borrower', 15_000)
    lender.lend(returned, 'borrower', 15_000)
    lender.lend(returned, 'borrower', 15_000)
    expect(lender.inspect('acme', 15_000)).toMatchObject({ capacity: 1000, level: 1000 })
  })

  it('scales borrowed and lent loans when a limit is lowered', () => {
    const lender = createAccountsWith(0.5)
    const borrower = createAccountsWith(0.5)
    borrower.acceptLoan(lender.lend(borrower.requestLoan('loan', 'acme', 1500, 10_000), 'borrower', 10_000), 10_000)
    for (const accounts of [lender, borrower]) accounts.setLimits([{ ...limit, burst: 1000 }], 10_000)
    const total = lender.inspect('acme', 10_000).capacity + borrower.inspect('acme', 10_000).capacity
    expect(total).toBeLessThanOrEqual(1000 + 1e-6)
  })

  it('does not lend beyond the lease of the underlying grant', () => {
    const lender = createAccountsWith(0.5, 12_000)
    const request = { identifier: 'l', customer: 'acme', rate: 100, capacity: 100, tokens: 100, duration: 5000 }
    expect(lender.lend(request, 'borrower', 10_000).duration).toBe(2000)
    expect(lender.lend({ ...request, identifier: 'm' }, 'borrower', 13_000))
      .toMatchObject({ rate: 0, capacity: 0, tokens: 0 })
  })
})
