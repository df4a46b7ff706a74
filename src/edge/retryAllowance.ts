/**
 * Limits the retries of this instance at each service: a ratio of its own requests plus its share of a fixed allowance
 * of the fleet, counted in a sliding window. A retry counts from when it is granted, and leaves the window by the time of
 * its arrival at the upstream, which is later if a connection has to be opened for it.
 */
import type { MonotonicMilliseconds } from '../types'

/** Share of the allowance that is used; the rest covers retries that arrive late and instances that join. */
const USABLE_SHARE = 0.8
/** What a retry is for, from the least to the most important. */
export const RetryPurpose = {
  /** Another upstream gets the request while an attempt goes on that may only have paused. */
  takeover: 'takeover',
  /** The attempt of the request has ended or is probably lost. */
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

/** Number of slices in which the requests of the window are counted; the oldest slice expires at once. */
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
  /** Whether `tryRetry` would grant a retry. */
  canRetry: (service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds) => boolean
  /**
   * Takes one retry from the allowance; returns undefined when the part for the purpose is exhausted.
   * @param share this instance's share, between 0 and 1, of the additional retries
   */
  tryRetry: (
    service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds
  ) => GrantedRetry | undefined
}

/** A retry that was taken from the allowance. Calls after the first one have no effect. */
export interface GrantedRetry {
  /** Records that the connection to the upstream is open, so that the request arrives there. */
  recordArrival: (now: MonotonicMilliseconds) => void
  /** Returns the retry to the allowance, because it ended without having been sent. */
  release: () => void
}

/** Stands for the first attempt of a request, which takes nothing from the allowance. */
export const NO_RETRY: GrantedRetry = { recordArrival () {}, release () {} }

interface Slice { index: number, requests: number }

interface Retry {
  isPending: boolean
  /** Time of the arrival. Of a pending retry, a bound that holds even if neither its arrival nor its end is recorded. */
  arrivesAt: MonotonicMilliseconds
}

interface ServiceCounts {
  requests: Slice[]
  /** The retries in the window and the pending ones; there are few. */
  retries: Retry[]
}

export function createRetryAllowance ({ window, ratio, extra }: RetryAllowanceOptions): RetryAllowance {
  const services = new Map<string, ServiceCounts>()
  const sliceLength = window / SLICE_COUNT

  /** Returns the counts of the window that ends now. The last slice of the requests is the present one. */
  function countsOf (service: string, now: MonotonicMilliseconds): ServiceCounts {
    const index = Math.floor(now / sliceLength)
    const { requests, retries } = services.get(service) ?? { requests: [], retries: [] }
    const counts = {
      requests: requests.filter((slice) => slice.index > index - SLICE_COUNT),
      retries: retries.filter(({ arrivesAt }) => arrivesAt > now - window)
    }
    if (counts.requests.at(-1)?.index !== index) counts.requests.push({ index, requests: 0 })
    services.set(service, counts)
    return counts
  }

  function settle (retry: Retry, arrivesAt: MonotonicMilliseconds): void {
    if (!retry.isPending) return
    retry.isPending = false
    retry.arrivesAt = arrivesAt
  }

  function canRetry (service: string, purpose: RetryPurpose, share: number, now: MonotonicMilliseconds): boolean {
    const counts = countsOf(service, now)
    const requests = counts.requests.reduce((sum, slice) => sum + slice.requests, 0)
    return counts.retries.length + 1 <= SHARE_BY_PURPOSE[purpose] * USABLE_SHARE * (ratio * requests + extra * share)
  }

  return {
    recordRequest (service, now) {
      countsOf(service, now).requests.at(-1)!.requests += 1
    },
    canRetry,
    tryRetry (service, purpose, share, now) {
      if (!canRetry(service, purpose, share, now)) return undefined
      const retry: Retry = { isPending: true, arrivesAt: now + window }
      countsOf(service, now).retries.push(retry)
      return {
        recordArrival (time) { settle(retry, time) },
        release () { settle(retry, -Infinity) }
      }
    }
  }
}
