import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decideNextStep, GiveUpReason, MAXIMUM_ATTEMPTS } from '../nextStep'
import type { RequestProgress } from '../nextStep'
import { executionOf } from '../execution'
import { createRetryBudget } from '../retryBudget'
import { ExecutionStatus } from '../../types'

const refused = { upstream: 'a', progress: 'notSent' as const, reportedFailure: false }
const lost = { upstream: 'b', progress: 'maybeStarted' as const, reportedFailure: false }
const reported = { upstream: 'c', progress: 'started' as const, reportedFailure: true }
const base: RequestProgress = {
  idempotent: true, failures: [refused], deliveredChunks: 0, deadline: 1000, callerGone: false, crashing: false
}

describe('execution status', () => {
  it.each([
    ['nothing was sent', [refused, refused], ExecutionStatus.notRun],
    ['one attempt may have run', [refused, lost], ExecutionStatus.unknown],
    ['the upstream reported failure', [refused, reported], ExecutionStatus.failed],
    ['one failure reported, one lost', [lost, reported], ExecutionStatus.unknown],
    ['no attempt was made', [], ExecutionStatus.notRun]
  ])('%s', (_, failures, expected) => {
    expect(executionOf(failures)).toBe(expected)
  })
})

describe('next step after a failed attempt', () => {
  it.each<[string, Partial<RequestProgress>, boolean, object]>([
    ['restarts elsewhere', {}, true, { kind: 'restart', exclude: ['a'] }],
    ['resumes a stream that has begun', { deliveredChunks: 3, failures: [lost] }, true, { kind: 'resume', exclude: ['b'] }],
    ['resumes without a retry token', { deliveredChunks: 3, failures: [lost] }, false, { kind: 'resume' }],
    ['does not restart without a retry token', {}, false, { kind: 'giveUp', reason: GiveUpReason.retryBudget, execution: 'not_run' }],
    ['never repeats a non-idempotent request that may have run', { idempotent: false, failures: [lost] }, true,
      { kind: 'giveUp', reason: GiveUpReason.notRepeatable, execution: 'unknown' }],
    ['repeats a non-idempotent request that was not sent', { idempotent: false }, true, { kind: 'restart' }],
    ['stops at the deadline', { deadline: 10 }, true, { kind: 'giveUp', reason: GiveUpReason.deadline }],
    ['stops for a crashing request', { crashing: true, failures: [lost, lost] }, true,
      { kind: 'giveUp', reason: GiveUpReason.crashing, execution: 'unknown' }],
    ['stops when the caller has gone', { callerGone: true }, true, { kind: 'giveUp', reason: GiveUpReason.callerGone }],
    ['stops after the last attempt', { failures: Array(MAXIMUM_ATTEMPTS).fill(refused) }, true,
      { kind: 'giveUp', reason: GiveUpReason.attemptsUsed, execution: 'not_run' }]
  ])('%s', (_, change, token, expected) => {
    expect(decideNextStep({ ...base, ...change }, () => token, 10)).toMatchObject(expected)
  })
})

describe('retry budget', () => {
  it('keeps retries to the initial tokens plus the ratio of requests plus the refill, against retry storms', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.boolean(), fc.nat(200)), { maxLength: 400 }), (steps) => {
      const budget = createRetryBudget({ ratio: 0.1, capacity: 5, refillPerSecond: 1 })
      let [now, requests, retries] = [0, 0, 0]
      for (const [retry, pause] of steps) {
        now += pause
        if (!retry) {
          budget.recordRequest('customer', 'upstream', now)
          requests += 1
        } else if (budget.tryRetry('customer', 'upstream', now)) retries += 1
      }
      expect(retries).toBeLessThanOrEqual(5 + 0.1 * requests + now / 1000 + 1e-6)
    }))
  })

  it('takes no token of the customer when the upstream has none, and drops idle buckets', () => {
    const budget = createRetryBudget({ capacity: 1, refillPerSecond: 0, idleLimit: 50 })
    expect([budget.tryRetry('x', 'busy', 0), budget.tryRetry('y', 'busy', 0), budget.tryRetry('y', 'idle', 0)])
      .toEqual([true, false, true])
    budget.prune(100)
    expect(budget.bucketCount()).toBe(0)
  })
})
