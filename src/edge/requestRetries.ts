/** The retries that one request takes from the allowance of the instance. */
import type { MonotonicMilliseconds } from '../types'
import type { ExchangeContext } from './exchangeContext'

export interface RequestRetries {
  /** Records that an upstream has received the request, regardless of whether it ran it. Each later attempt is a retry. */
  recordArrival: () => void
  /** Whether the allowance permits another attempt. */
  canSend: (now: MonotonicMilliseconds) => boolean
  /** Takes another attempt from the allowance if it is a retry; returns false if the allowance does not permit it. */
  take: (now: MonotonicMilliseconds) => boolean
}

export function createRequestRetries (
  { retryAllowance, share }: Pick<ExchangeContext, 'retryAllowance' | 'share'>, service: string
): RequestRetries {
  let hasArrived = false
  return {
    recordArrival () { hasArrived = true },
    canSend: (now) => !hasArrived || retryAllowance.canRetry(service, share(), now),
    take: (now) => !hasArrived || retryAllowance.tryRetry(service, share(), now)
  }
}
