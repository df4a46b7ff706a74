/**
 * Limits the retries of this instance at each service: a ratio of its own requests plus its share of a fixed allowance
 * of the fleet, counted in a sliding window.
 */
import type { MonotonicMilliseconds } from '../types'

/** Share of the allowance that is used; the rest covers retries that arrive late and instances that join. */
const USABLE_SHARE = 0.8
/** What a retry is for, from the least to the most important. */
export const RetryPurpose = {
  /** Another upstream gets the request while an attempt without progress goes on. */
  takeover: 'takeover',
  /** The request has no attempt in progress, and no part of its response has been sent. */
  repetition: 'repetition',
  /** The response is cut off unless the request goes on at another upstream. */
  continuation: 'continuation'
} as const
export type RetryPurpose = typeof RetryPurpose[keyof typeof RetryPurpose]

/** Share of the usable allowance up to which retries are granted; the rest is left for more important ones. */
const SHARE_BY_PURPOSE: Readonly<Record<RetryPurpose, number>> = {
  [RetryPurpose.takeover]: 0.5,
  [RetryPurpose.repetition]: 0.9,
  [RetryPurpose.continuation]: 1
}

/** Number of slices of the sliding window; the oldest slice expires at once. */
const SLICE_COUNT = 10

export interface RetryAllowanceOptions {
  /** Length of the window in milliseconds. */
  window: number
  /** Retries permitted per request. */
  ratio: number
  /** Additional retries permitted per window, over all instances. */
  extra: number
}

export interface RetryAllowance {
  recordRequest: (service: string, now: MonotonicMilliseconds) => void
  /** Whether `tryRetry` would return true. */
  canRetry: (service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds) => boolean
  /**
   * Takes one retry from the allowance; returns false when the part for the purpose is exhausted.
   * @param share this instance's share, between 0 and 1, of the additional retries
   */
  tryRetry: (service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds) => boolean
}

interface Slice { index: number, requests: number, retries: number }

export function createRetryAllowance ({ window, ratio, extra }: RetryAllowanceOptions): RetryAllowance {
  const services = new Map<string, Slice[]>()
  const sliceLength = window / SLICE_COUNT

  function currentSlices (service: string, now: MonotonicMilliseconds): Slice[] {
    const index = Math.floor(now / sliceLength)
    const slices = (services.get(service) ?? []).filter((slice) => slice.index > index - SLICE_COUNT)
    if (slices.at(-1)?.index !== index) slices.push({ index, requests: 0, retries: 0 })
    services.set(service, slices)
    return slices
  }

  function canRetry (service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds): boolean {
    const slices = currentSlices(service, now)
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0)
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0)
    return retries + 1 <= SHARE_BY_PURPOSE[purpose] * USABLE_SHARE * (ratio * requests + extra * share)
  }

  return {
    recordRequest (service, now) {
      currentSlices(service, now).at(-1)!.requests += 1
    },
    canRetry,
    tryRetry (service, purpose, share, now) {
      if (!canRetry(service, purpose, share, now)) return false
      currentSlices(service, now).at(-1)!.retries += 1
      return true
    }
  }
}
