import { describe, expect, it } from 'vitest'
import { createRetryAllowance, RetryPurpose } from '../retryAllowance'

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
    while (allowance.tryRetry('engines', purpose, share, 0)) retries += 1
    expect(retries).toBe(expected)
  })

  it('tells whether a retry would be granted without taking it', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    for (let index = 0; index < 5; index += 1) expect(allowance.canRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(true)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(true)
    expect(allowance.canRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(false)
  })

  it('counts retries per service and window', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(true)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 0)).toBe(false)
    expect(allowance.tryRetry('orders', RetryPurpose.continuation, 1, 0)).toBe(true)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 8999)).toBe(false)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 10_000)).toBe(true)
  })

  it('counts a retry for the whole window', () => {
    const allowance = createRetryAllowance({ window: 10_000, ratio: 0, extra: 2 })
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 999)).toBe(true)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 10_500)).toBe(false)
    expect(allowance.tryRetry('engines', RetryPurpose.continuation, 1, 10_999)).toBe(true)
  })
})
