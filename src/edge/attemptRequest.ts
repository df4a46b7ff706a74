/** Composes the head of the request that one attempt sends to an upstream. */
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { planCache, type CacheDirections } from './promptPlan'
import type { MonotonicMilliseconds } from '../types'
import type { Upstream } from './upstreamDirectory'

export interface AttemptRequestOptions {
  upstream: Upstream
  /** Remaining time of the request in milliseconds. */
  timeLeft: number
  urgency: number | undefined
  /** Identifier of the last event that the caller has received in this exchange. */
  lastEvent: string | undefined
}

export interface AttemptRequest {
  /** Raw headers (name, value, name, value). */
  headers: string[]
  /** Identifier of the event after which the stream goes on. */
  resumeAfter: string | undefined
  cache: CacheDirections
}

export function composeAttemptRequest (
  context: Pick<ExchangeContext, 'dialect' | 'cacheStoreFor' | 'exportTracker' | 'destinations'>, admittedRequest: AdmittedRequest,
  { upstream, timeLeft, urgency, lastEvent }: AttemptRequestOptions, now: MonotonicMilliseconds
): AttemptRequest {
  const { request, callerRequest, route, customer, plan, body } = admittedRequest
  const cache = planCache({
    plan,
    customer,
    model: callerRequest.model,
    upstream,
    storeFor (scope, segment) {
      const store = context.cacheStoreFor(scope, segment)
      const isAllowed = store !== undefined && context.destinations.isAllowed(store.dataCentre, admittedRequest)
      return isAllowed ? store : undefined
    },
    exportTracker: context.exportTracker,
    uniqueScope: callerRequest.identifier ?? ''
  }, now)
  const resumeAfter = lastEvent ?? (route.resumable ? callerRequest.resumeAfter : undefined)
  const headers = context.dialect.upstreamHeaders(request.rawHeaders, body?.length, {
    timeLeft, upstream: upstream.entry.identifier, customer: customer?.name, urgency, resumeAfter, ...cache
  })
  return { headers, resumeAfter, cache }
}
