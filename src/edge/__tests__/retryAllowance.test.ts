import { describe, expect, it } from 'vitest'
import { createRetryAllowance, RetryPurpose, type GrantedRetry, type RetryAllowance } from '../retryAllowance'

function grant (allowance: RetryAllowance, service: string, now: number): GrantedRetry | undefined {
  return allowance.tryRetry(service, RetryPurpose.continuation, 1, now)
}

/** Takes a retry that arrives at once; returns whether it was granted. */
function send (allowance: RetryAllowance, service: string, now: number): boolean {
  const retry = grant(allowance, service, now)
  retry?.recordArrival(now)
  return retry !== undefined
}

describe('createRetryAllowance', () => {
  it.each([
    ['grants the fixed allowance to a single instance', 0, 1, RetryPurpose.continuation, 46],
    ['grants half of the fixed allowance to one of two instances', 0, 0.5, RetryPurpose.continuation, 23],
    ['adds the ratio of the requests', 100, 1, RetryPurpose.continuation, 62],
    ['keeps a tenth of it from requests whose response has not begun', 100, 1, RetryPurpose.repetition, 56],
    ['keeps half of it from requests that have an attempt', 100, 1, RetryPurpose.takeover, 31]
  ])('%s', (_title, requests, share, purpose, expected) => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0.2, extra: 58 })
    for (let index = 0; index < requests; index += 1) allowance.recordRequest('engines', 0)
    let retries = 0
    while (allowance.tryRetry('engines', purpose, share, 0) !== undefined) retries += 1
    expect(retries).toBe(expected)
  })

  it('tells whether a retry would be granted without taking it', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    for (let index = 0; index < 5; index += 1) expect(allowance.canRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(true)
    expect(send(allowance, 'engines', 0)).toBe(true)
    expect(allowance.canRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(false)
  })

  it('counts retries per service and window', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    expect(send(allowance, 'engines', 0)).toBe(true)
    expect(send(allowance, 'engines', 0)).toBe(false)
    expect(send(allowance, 'orders', 0)).toBe(true)
    expect(send(allowance, 'engines', 8999)).toBe(false)
    expect(send(allowance, 'engines', 10_000)).toBe(true)
  })

  it('counts a retry for the whole window', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    expect(send(allowance, 'engines', 999)).toBe(true)
    expect(send(allowance, 'engines', 10_500)).toBe(false)
    expect(send(allowance, 'engines', 10_999)).toBe(true)
  })

  /** Guards against more arrivals in a window than are permitted, because a connection opens late. */
  it.each<[string, (retry: GrantedRetry) => void, number, boolean]>([
    ['until a window after its arrival', (retry) => { retry.recordArrival(400) }, 10_399, false],
    ['no longer than that', (retry) => { retry.recordArrival(400) }, 10_400, true],
    ['by its first arrival', (retry) => {
      retry.recordArrival(400)
      retry.recordArrival(800)
    }, 10_400, true],
    ['while it has neither arrived nor ended', () => {}, 10_399, false],
    ['for two windows if neither is ever recorded', () => {}, 20_000, true],
    ['no longer once it ended unsent', (retry) => { retry.release() }, 400, true],
    ['although its attempt ended, once it has arrived', (retry) => {
      retry.recordArrival(400)
      retry.release()
    }, 10_399, false]
  ])('counts a retry that was granted at 0 ms %s', (_title, settle, now, expected) => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    settle(grant(allowance, 'engines', 0)!)
    expect(send(allowance, 'engines', now)).toBe(expected)
  })
})
