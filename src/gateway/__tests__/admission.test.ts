import { describe, expect, it } from 'vitest'
import type { AdmissionResult } from '../../quota/types'
import { createAdmission } from '../admission'

const neverAborted = new AbortController().signal
const overRate = (waitMilliseconds: number): AdmissionResult => {
  return { admitted: false, reason: 'rate', missingTokens: 5, waitMilliseconds }
}
const admitted: AdmissionResult = { admitted: true, charge: { identifier: 'r', customer: 'c', tokens: 10 } }

function createTestAdmission (results: AdmissionResult[], canBorrow = false) {
  const borrowed: number[] = []
  const finished: number[] = []
  const admission = createAdmission({
    accounts: { admit: () => results.length > 1 ? results.shift()! : results[0]! },
    borrow (customer, tokens) {
      borrowed.push(tokens)
      return canBorrow ? { waitMilliseconds: 250, finish: () => { finished.push(tokens) } } : undefined
    },
    now: () => performance.now()
  })
  return { admission, borrowed, finished }
}

describe('createAdmission', () => {
  it.each([
    ['over the rate', overRate(5000), 'rate_limited', 5],
    ['over the burst', { admitted: false, reason: 'burst' }, 'burst_exceeded', undefined],
    ['an unknown customer', { admitted: false, reason: 'unknownCustomer' }, 'overloaded', 1]
  ] as const)('rejects %s immediately when there is no lender', async (_, result, code, retryAfterSeconds) => {
    const { admission } = createTestAdmission([result as AdmissionResult])
    const startedAt = performance.now()
    await expect(admission.admit('r', 'c', 10, neverAborted)).rejects.toMatchObject({ code, execution: 'not_run', retryAfterSeconds })
    expect(performance.now() - startedAt).toBeLessThan(100)
  })

  // Guards against rejecting a request within the rate because the share of one instance is exhausted for a moment.
  it('admits after a loan has arrived', async () => {
    const { admission, borrowed, finished } = createTestAdmission([overRate(60_000), admitted], true)
    const pendingAdmission = admission.admit('r', 'c', 10, neverAborted)
    await expect.poll(() => admission.waiting()).toBe(1)
    admission.wake()
    await expect(pendingAdmission).resolves.toMatchObject({ tokens: 10 })
    expect(borrowed).toEqual([10])
    // Borrowing that is not finished reserves the lenders' shares for another second.
    expect(finished).toEqual([10])
    expect(admission.waiting()).toBe(0)
  })

  it('admits after a short refill without a lender', async () => {
    const { admission } = createTestAdmission([overRate(20), admitted])
    await expect(admission.admit('r', 'c', 10, neverAborted)).resolves.toMatchObject({ tokens: 10 })
  })

  // Guards against delaying a request over the rate until its caller times out.
  it('rejects within a second when no loan arrives', async () => {
    const { admission } = createTestAdmission([overRate(60_000)], true)
    const startedAt = performance.now()
    await expect(admission.admit('r', 'c', 10, neverAborted)).rejects.toMatchObject({ code: 'rate_limited' })
    expect(performance.now() - startedAt).toBeLessThan(1000)
  })

  it('stops waiting when the caller disconnects', async () => {
    const { admission } = createTestAdmission([overRate(60_000)], true)
    const abort = new AbortController()
    const waiting = admission.admit('r', 'c', 10, abort.signal)
    await expect.poll(() => admission.waiting()).toBe(1)
    abort.abort(new Error('gone'))
    await expect(waiting).rejects.toThrow('gone')
    expect(admission.waiting()).toBe(0)
  })
})
