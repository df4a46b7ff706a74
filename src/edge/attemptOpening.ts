/** Sends one attempt of a request to an upstream and logs it. */
import { findKeyObstacle } from './admission'
import { createAttempt, type Attempt, type RequestTokens } from './attempt'
import { mayRepeat, maySendAgain, type AttemptHistory } from './attemptDecision'
import { composeAttemptRequest } from './attemptRequest'
import { EdgeEvent } from './events'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { RetryPurpose, type GrantedRetry } from './retryAllowance'
import { urgencyRank } from './targetSelection'
import type { Instant } from './types'
import { callUpstream, type UpstreamCallEvents } from './upstreamCall'
import { currentWait, type Upstream } from './upstreamDirectory'

/** Connect timeout in milliseconds; allows several round trips between data centres. */
const CONNECT_TIMEOUT_MS = 400
/** Share of the remaining time that connecting may take, so that there is time left for another upstream. */
const CONNECT_TIME_SHARE = 0.25
/**
 * Milliseconds for which the end of a kept connection may cross the request on its way; allows several round trips. A later
 * end may be a crash of the upstream.
 */
const CLOSE_CROSSING_MS = 400

export interface AttemptOpeningOptions {
  upstream: Upstream
  urgency: number | undefined
  /** Tokens that the request uses at the upstream. */
  tokens: RequestTokens
  /** Tokens of the request that are certainly not in the upstream's cache; undefined if that is not known. */
  knownUncachedTokens: number | undefined
  /** Attempts before this one. */
  history: AttemptHistory
  /** What was taken from the allowance for this attempt. */
  retry: GrantedRetry
  /** Remaining time of the request in milliseconds. */
  timeLeft: number
  /** Identifier of the last event that the caller has received in this exchange. */
  lastEvent: string | undefined
  /** Trait of the request that may crash upstreams, for the log. */
  suspectTrait: string | undefined
  /** Number of engines that should hold the shared prefix, for the log. */
  replicas: number
  /** Whether another upstream could get the request. */
  hasOtherUpstream: (now: Instant) => boolean
  /** Identifier of the upstream of the attempt that this one takes over, for the log. */
  replaces: string | undefined
}

export function openAttempt (
  context: ExchangeContext, admittedRequest: AdmittedRequest, options: AttemptOpeningOptions,
  events: UpstreamCallEvents, now: Instant
): Attempt {
  const { request, callerRequest, route, customer, service, plan, body } = admittedRequest
  const { upstream, urgency, history, timeLeft, lastEvent } = options
  const { headers, resumeAfter, cache } = composeAttemptRequest(context, admittedRequest, {
    upstream, timeLeft, urgency, lastEvent
  }, now.steady)
  /**
   * Whether the request is sent to the upstream once more; takes a retry from the allowance, because the upstream may have
   * received it. A request that may still go to another upstream does that instead.
   */
  function mayResend (present: Instant): boolean {
    const isCrossing = present.steady - now.steady <= CLOSE_CROSSING_MS
    const purpose = lastEvent === undefined ? RetryPurpose.repetition : RetryPurpose.continuation
    const mayGoElsewhere = maySendAgain(history) && options.hasOtherUpstream(present)
    const isPermitted = isCrossing && mayRepeat(history) && !mayGoElsewhere &&
      options.suspectTrait === undefined && !context.sendPermits.isNeeded(upstream.entry) &&
      findKeyObstacle(context, admittedRequest, present) === undefined
    const retry = isPermitted
      ? context.retryAllowance.tryRetry(service, purpose, context.share(), present.steady)
      : undefined
    if (retry === undefined) return false
    attempt.retry = retry
    context.log(EdgeEvent.requestResent, {
      requestIdentifier: callerRequest.identifier ?? '', upstream: upstream.entry.identifier
    })
    return true
  }
  const call = callUpstream({
    endpoint: upstream.entry.endpoint,
    agent: context.connections.agentFor(upstream, !mayRepeat(history)),
    newConnectionAgent: context.connections.agentFor(upstream, true),
    mayResend: () => mayResend(context.now()),
    method: request.method!,
    path: request.url!,
    headers,
    body,
    connectTimeout: Math.min(CONNECT_TIMEOUT_MS, timeLeft * CONNECT_TIME_SHARE)
  }, {
    ...events,
    onConnected () {
      attempt.retry.recordArrival(context.now().steady)
      events.onConnected?.()
    }
  })
  context.log(EdgeEvent.requestRouted, {
    requestIdentifier: callerRequest.identifier ?? '',
    upstream: upstream.entry.identifier,
    service,
    customer: customer?.name,
    attempt: history.runs + history.rejections + 1,
    replaces: options.replaces,
    resumeAfter,
    scope: cache.cacheScope,
    sharedPart: plan.lastSharedSegment,
    keeps: cache.exportTo === undefined ? undefined : true,
    timeLeft: Math.round(timeLeft),
    wait: Math.round(currentWait(upstream, urgencyRank(urgency), now.steady)),
    requestLimit: context.requestLimits.limitOf(upstream.entry),
    suspectTrait: options.suspectTrait,
    holders: options.replicas,
    configurationAge: Math.round(context.freshness.age(now))
  })
  const sample = context.rolloutSampler.startAttempt({
    service, route: route.name, isNew: () => context.serviceRollouts.hasTargetVersion(upstream)
  }, now.steady)
  const buffer = context.responseBuffers.open()
  const speedProbe = context.engineSpeeds.probe(upstream, options.knownUncachedTokens, now.steady)
  const attempt = createAttempt(
    { upstream, call, sample, retry: options.retry, buffer, speedProbe }, options.tokens, now.steady
  )
  return attempt
}
