/**
 * This instance's part of the fleet's retries at one service: a share of its requests and of a fixed allowance, counted
 * in a sliding window.
 */
import type { MonotonicMilliseconds } from '../types'

/** Part of the allowance that is used; the rest covers late arrivals and instances that join. */
const USED_SHARE = 0.8
/** Slices of the window; the oldest slice leaves as a whole. */
const SLICES = 10

export interface RetryAllowanceOptions {
  /** Milliseconds of the window. */
  window: number
  /** Retries permitted for each request. */
  ratio: number
  /** Retries permitted besides, over all instances. */
  extra: number
}

export interface RetryAllowance {
  recordRequest: (service: string, now: MonotonicMilliseconds) => void
  /** Takes one retry; false when none is left. `share` is this instance's part, 0 to 1, of the retries besides. */
  tryRetry: (service: string, share: number, now: MonotonicMilliseconds) => boolean
}

interface Slice { number: number, requests: number, retries: number }

export function createRetryAllowance ({ window, ratio, extra }: RetryAllowanceOptions): RetryAllowance {
  const services = new Map<string, Slice[]>()
  const length = window / SLICES

  function slicesOf (service: string, now: MonotonicMilliseconds): Slice[] {
    const number = Math.floor(now / length)
    const slices = (services.get(service) ?? []).filter((slice) => slice.number > number - SLICES)
    if (slices.at(-1)?.number !== number) slices.push({ number, requests: 0, retries: 0 })
    services.set(service, slices)
    return slices
  }

  return {
    recordRequest (service, now) {
      slicesOf(service, now).at(-1)!.requests += 1
    },
    tryRetry (service, share, now) {
      const slices = slicesOf(service, now)
      const requests = slices.reduce((sum, slice) => sum + slice.requests, 0)
      const retries = slices.reduce((sum, slice) => sum + slice.retries, 0)
      if (retries + 1 > USED_SHARE * (ratio * requests + extra * share)) return false
      slices.at(-1)!.retries += 1
      return true
    }
  }
}
