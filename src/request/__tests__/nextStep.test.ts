import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EndReason } from '../endReason'
import { decideNextStep, LOST_AFTER_PAUSES, MAXIMUM_ATTEMPTS, mayRunBeside } from '../nextStep'
import type { RequestProgress } from '../nextStep'
import { executionOf } from '../execution'
import { createRetryBudget } from '../retryBudget'
import { ExecutionStatus } from '../../types'

const notSent = { upstream: 'a', progress: 'notSent' as const, reportedFailure: false }
const outcomeUnknown = { upstream: 'b', progress: 'maybeStarted' as const, reportedFailure: false }
const failureReported = { upstream: 'c', progress: 'started' as const, reportedFailure: true }
const cancelled = { ...outcomeUnknown, cancelled: true }
const lostAt = (upstream: string) => ({ ...outcomeUnknown, upstream })
const base: RequestProgress = {
  idempotent: true, failures: [notSent], deliveredChunks: 0, deadline: 1000, callerDisconnected: false, crashing: false
}

describe('execution status', () => {
  it.each([
    ['nothing was sent', [notSent, notSent], ExecutionStatus.notRun],
    ['one attempt may have run', [notSent, outcomeUnknown], ExecutionStatus.unknown],
    ['the upstream reported failure', [notSent, failureReported], ExecutionStatus.failed],
    ['one failure reported, one lost', [outcomeUnknown, failureReported], ExecutionStatus.unknown],
    ['no attempt was made', [], ExecutionStatus.notRun]
  ])('%s', (_, failures, expected) => {
    expect(executionOf(failures)).toBe(expected)
  })
})

describe('next step after a failed attempt', () => {
  it.each<[string, Partial<RequestProgress>, boolean, object]>([
    ['restarts on another upstream', {}, true, { kind: 'restart', exclude: ['a'] }],
    ['resumes a started stream', { deliveredChunks: 3, failures: [outcomeUnknown] }, true, { kind: 'resume', exclude: ['b'] }],
    ['resumes without a retry token', { deliveredChunks: 3, failures: [outcomeUnknown] }, false, { kind: 'resume' }],
    // Guards against a stream that is cut because upstreams are full, with time left.
    ['resumes a started stream after any number of refusals, with a pause',
      { deliveredChunks: 3, failures: [outcomeUnknown, ...Array(9).fill(notSent)] }, true,
      { kind: 'resume', exclude: ['b', 'a'], pauseMilliseconds: 900 }],
    ['resumes without a pause after a lost connection', { deliveredChunks: 3, failures: [notSent, outcomeUnknown] }, true,
      { kind: 'resume', pauseMilliseconds: 0 }],
    ['does not return to an upstream that failed the stream after one refusal', { deliveredChunks: 3, failures: [outcomeUnknown, notSent] }, true,
      { kind: 'resume', excludeStrictly: ['b'] }],
    ['may return to it after two', { deliveredChunks: 3, failures: [outcomeUnknown, notSent, notSent] }, true,
      { kind: 'resume', excludeStrictly: [] }],
    ['keeps the last attempt for another upstream',
      { deliveredChunks: 3, failures: [lostAt('b'), lostAt('c'), lostAt('d'), notSent, notSent] }, true,
      { kind: 'resume', excludeStrictly: ['b', 'c', 'd'] }],
    ['stops a started stream after the last attempt that was sent',
      { deliveredChunks: 3, failures: Array(MAXIMUM_ATTEMPTS).fill(outcomeUnknown) }, true,
      { kind: 'giveUp', reason: EndReason.attemptsUsed, execution: 'unknown' }],
    // Guards against a stream that is cut because of attempts beside pauses after which its upstream went on.
    ['resumes a started stream after any number of cancelled attempts',
      {
        deliveredChunks: 3,
        failures: [...Array(9).fill(cancelled), ...Array(MAXIMUM_ATTEMPTS - 1).fill(outcomeUnknown)]
      }, true, { kind: 'resume' }],
    ['stops a started stream after the last attempt that has failed, beside cancelled ones',
      { deliveredChunks: 3, failures: [cancelled, ...Array(MAXIMUM_ATTEMPTS).fill(outcomeUnknown)] }, true,
      { kind: 'giveUp', reason: EndReason.attemptsUsed, execution: 'unknown' }],
    ['does not restart without a retry token', {}, false, { kind: 'giveUp', reason: EndReason.retryBudget, execution: 'not_run' }],
    ['never repeats a non-idempotent request that may have run', { idempotent: false, failures: [outcomeUnknown] }, true,
      { kind: 'giveUp', reason: EndReason.notRepeatable, execution: 'unknown' }],
    ['repeats a non-idempotent request that was not sent', { idempotent: false }, true, { kind: 'restart' }],
    ['stops at the deadline', { deadline: 10 }, true, { kind: 'giveUp', reason: EndReason.deadline }],
    ['stops for a crashing request', { crashing: true, failures: [outcomeUnknown, outcomeUnknown] }, true,
      { kind: 'giveUp', reason: EndReason.crashing, execution: 'unknown' }],
    ['stops when the caller has disconnected', { callerDisconnected: true }, true, { kind: 'giveUp', reason: EndReason.callerDisconnected }],
    ['stops after the last attempt', { failures: Array(MAXIMUM_ATTEMPTS).fill(notSent) }, true,
      { kind: 'giveUp', reason: EndReason.attemptsUsed, execution: 'not_run' }]
  ])('%s', (_, change, token, expected) => {
    expect(decideNextStep({ ...base, ...change }, () => token, 10)).toMatchObject(expected)
  })
})

describe('an attempt beside silent ones', () => {
  const lost = LOST_AFTER_PAUSES + 0.1

  it.each<[string, boolean, object[], number, number]>([
    ['is permitted at once', true, [], 1, 1],
    ['is permitted after refusals', true, Array(9).fill(notSent), 1, 1],
    ['is permitted beside two', true, [], 2, 1],
    ['is not permitted if the last one would be missing', false, [], 3, 1000],
    ['is not permitted if the last one would be missing after failures', false, [outcomeUnknown, outcomeUnknown], 1, 1000],
    ['is not permitted at once after two that were cancelled', false, [cancelled, cancelled], 1, LOST_AFTER_PAUSES],
    ['is permitted after two that were cancelled if the upstream is probably lost', true, [cancelled, cancelled], 1, lost],
    ['is permitted after four only after a silence four times as long', false, Array(4).fill(cancelled), 1, 4 * LOST_AFTER_PAUSES],
    ['is permitted after four after a silence four times as long', true, Array(4).fill(cancelled), 1, 4 * lost],
    ['counts failures beside those that were cancelled', false, [cancelled, outcomeUnknown, outcomeUnknown], 1, 1000]
  ])('%s', (_, expected, failures, running, pauses) => {
    const progress = { ...base, failures: failures as RequestProgress['failures'] }
    expect(mayRunBeside(progress, { running, pauses }, 10)).toBe(expected)
    expect(mayRunBeside({ ...progress, crashing: true }, { running, pauses }, 10)).toBe(false)
    expect(mayRunBeside(progress, { running, pauses }, base.deadline)).toBe(false)
  })

  // Guards against a stream with many pauses that is sent on at each of them.
  it('is permitted a bounded number of times, however long the silences are', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 100 }), (silences) => {
      const failures: Array<typeof cancelled> = []
      for (const silence of silences) {
        for (let [running, pauses] = [1, 1]; pauses <= silence; pauses += 1) {
          if (mayRunBeside({ ...base, failures }, { running, pauses }, 10)) running += 1
          if (pauses === silence) failures.push(...Array(running - 1).fill(cancelled))
        }
      }
      const total = silences.reduce((sum, silence) => sum + silence, 0)
      expect(failures.length).toBeLessThanOrEqual(MAXIMUM_ATTEMPTS + Math.log2(Math.max(1, total)))
    }))
  })
})

describe('retry budget', () => {
  it('limits retries to the initial tokens, the ratio of requests and the refill, to prevent retry storms', () => {
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

  it('takes no token from the customer when the upstream has none, and removes idle buckets', () => {
    const budget = createRetryBudget({ capacity: 1, refillPerSecond: 0, idleLimit: 50 })
    expect([budget.tryRetry('x', 'busy', 0), budget.tryRetry('y', 'busy', 0), budget.tryRetry('y', 'idle', 0)])
      .toEqual([true, false, true])
    budget.prune(100)
    expect(budget.bucketCount()).toBe(0)
  })
})
