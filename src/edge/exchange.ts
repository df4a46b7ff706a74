/** One request of a caller, from its header to its final response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { admit, AdmissionRejection } from './admission'
import { describeRefusal } from './admissionOrder/refusalResponse'
import { Obstacle } from './attemptDecision'
import { createCallerResponse, hasBody, type Rejection } from './callerResponse'
import { createDispatch } from './dispatch'
import type { Dispatch } from './dispatchTypes'
import { EdgeEvent } from './events'
import { createFaultContainment } from './faultContainment'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import { createExchangeShare, describeShareRefusal, SHARE_EXCEEDED } from './memoryAccount/exchangeShare'
import { planPrompt } from './promptPlan'
import { costOf } from './quotaShare'
import { chooseService } from './serviceChoice'
import { MAX_TIMER_MS } from '../constants'
import { countHeaderBytes } from '../http/headSize'
import { isKnownExpectation, isSendableRequest } from '../http/headText'
import { readBoundedBody, skipBody } from '../http/memoryAccount/bodyReader'
import { heldFor } from '../http/memoryAccount/connectionMemory'
import type { RefusedShare } from '../http/memoryAccount/requestGroups'
import { ExecutionStatus } from '../types'
import type { EdgeCustomer, EdgeRoute, Instant } from './types'
import { availableAt } from './upstreamDirectory'

/** Default retry-after in milliseconds, used without a better estimate; about the time of a few plain service calls. */
const DEFAULT_RETRY_MS = 150
/** Bounds of the estimated retry-after in milliseconds. */
const MIN_RETRY_MS = 50
const MAX_RETRY_MS = 1000
/** Retry-after in milliseconds of a request that is refused for memory, which is free once the largest holders have ended. */
const MEMORY_RETRY_MS = 1000
/** Bytes of the body of a refused request that are read before the refusal; a caller may not read it before it has sent them. */
const MAX_SKIPPED_BODY_BYTES = 4 * 1024 * 1024

function clampRetryAfter (milliseconds: number): number {
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, milliseconds))
}

export interface Exchange {
  start: () => void
  /** Aborts an attempt that makes no progress; called several times per second. */
  check: (now: Instant) => void
  /** Ends the exchange, because the instance exits. */
  close: () => void
}

/**
 * Creates the exchange of one request.
 * @param onFinished called once, when the response is complete or aborted, or the caller has disconnected
 */
export function createExchange (
  context: ExchangeContext, request: IncomingMessage, response: ServerResponse, onFinished: () => void
): Exchange {
  const { dialect, directory, log } = context
  const startedAt = context.now()
  const callerRequest = dialect.readRequest(request.headers)
  const identifier = callerRequest.identifier ?? ''
  const held = heldFor(request)
  const share = createExchangeShare(held, callerRequest, () => context.now().steady)
  const callerResponse = createCallerResponse({
    response,
    dialect,
    identifier: callerRequest.identifier,
    held,
    isMemoryTight: context.isMemoryTight,
    now: () => context.now().steady
  })
  let dispatch: Dispatch | undefined
  let admittedRequest: AdmittedRequest | undefined
  let timeoutTimer: NodeJS.Timeout | undefined
  /** Returns the remaining time of the request in milliseconds, once it has been admitted. */
  let timeLeft: (() => number) | undefined
  let chargedCost = 0
  let isFinished = false
  const contain = createFaultContainment(endAfterFault)

  function finish (): void {
    if (isFinished) return
    isFinished = true
    clearTimeout(timeoutTimer)
    dispatch?.release()
    const customer = admittedRequest?.customer
    if (chargedCost > 0 && customer !== undefined) {
      context.quotas.settle(customer.name, identifier, chargedCost, (dispatch?.counts().runs ?? 0) > 0)
    }
    onFinished()
  }

  /** Returns the configuration in force and its age in milliseconds, for the log. */
  function describeConfiguration (): { configurationVersion: number | undefined, configurationAge: number } {
    return {
      configurationVersion: context.routeTable()?.configuration.version,
      configurationAge: Math.round(context.freshness.age(context.now()))
    }
  }

  function reject (
    rejection: Rejection, reason: string, obstacle?: Obstacle, explanation?: Readonly<Record<string, unknown>>
  ): void {
    log(EdgeEvent.requestRejected, {
      requestIdentifier: identifier,
      status: rejection.status,
      errorCode: rejection.code,
      reason,
      obstacle,
      retryAfter: rejection.retryAfter === undefined ? undefined : Math.round(rejection.retryAfter),
      customer: admittedRequest?.customer?.name,
      service: admittedRequest?.service,
      ...explanation,
      ...dispatch?.counts(),
      ...describeConfiguration()
    })
    callerResponse.reject(rejection)
    finish()
  }

  function abort (reason: string, obstacle?: Obstacle): void {
    log(EdgeEvent.responseAborted, {
      requestIdentifier: identifier,
      reason,
      obstacle,
      lastEvent: dispatch?.lastEvent(),
      timeLeft: timeLeft === undefined ? undefined : Math.round(timeLeft()),
      ...dispatch?.counts(),
      ...describeConfiguration()
    })
    callerResponse.abort()
    finish()
  }

  /** Ends the request after an error of the program, with a refusal if nothing was sent to an upstream. */
  function endAfterFault (error: unknown): void {
    context.reportFault(error)
    if (isFinished) return
    const reason = 'a fault of the instance'
    dispatch?.cancel(false)
    if (callerResponse.hasStarted()) return abort(reason)
    const message = 'the instance could not process the request'
    if ((dispatch?.counts().runs ?? 0) > 0) return reject({ status: 502, code: 'internal', message }, reason)
    reject({ status: 503, code: 'internal', message, retryAfter: DEFAULT_RETRY_MS }, reason)
  }

  /** Estimates the time in milliseconds until an upstream of the service is available again. */
  function estimateRetryAfter (service: string): number {
    const now = context.now().steady
    const listed = context.destinations.selectPermitted(directory.listed(service), admittedRequest!)
    const until = Math.min(...listed.map((upstream) => (
      context.sendPermits.isNeeded(upstream.entry)
        ? Math.max(availableAt(upstream), upstream.nextPermitAt)
        : availableAt(upstream)
    )))
    const wait = Number.isFinite(until) && until > now ? until - now : DEFAULT_RETRY_MS
    // Back-off times requested by the upstreams themselves are exact and therefore not clamped.
    const backOff = Math.min(...listed.map(({ backOffUntil }) => backOffUntil - now))
    const retryAfter = context.admissionOrder?.spread(clampRetryAfter(wait), timeLeft?.() ?? 0) ?? clampRetryAfter(wait)
    return Math.max(retryAfter, Number.isFinite(backOff) ? backOff : 0)
  }

  /** Rejects a request that no upstream has completed. */
  function rejectUnserved (
    service: string, execution: ExecutionStatus, reason: string, unknownStatus: number, obstacle?: Obstacle
  ): void {
    if (execution === ExecutionStatus.notRun) {
      const message = 'no upstream could take the request'
      return reject({ status: 503, code: 'overloaded', message, retryAfter: estimateRetryAfter(service) }, reason, obstacle)
    }
    const message = 'the request was sent on and its outcome is not known'
    reject({ status: unknownStatus, code: 'upstream_failed', message }, reason, obstacle)
  }

  function onTimeout (service: string): void {
    dispatch?.cancel(true)
    const reason = 'the time limit passed'
    if (callerResponse.hasStarted()) return abort(reason, Obstacle.timeLimit)
    const hasRun = (dispatch?.counts().runs ?? 0) > 0
    rejectUnserved(service, hasRun ? ExecutionStatus.unknown : ExecutionStatus.notRun, reason, 504, Obstacle.timeLimit)
  }

  function onCallerDisconnected (): void {
    if (isFinished) return
    dispatch?.cancel(false)
    log(EdgeEvent.requestCancelled, { requestIdentifier: identifier, ...dispatch?.counts() })
    finish()
  }

  /**
   * Rejects the request once its body has been received. Closing a connection with unread bytes would reset it, and the
   * caller might lose the response.
   */
  function rejectAfterBody (rejection: Rejection): void {
    if (!hasBody(request)) return reject(rejection, 'admission')
    const refusedShare = share.joinRejected()
    if (refusedShare !== undefined) return rejectBeyondShare(refusedShare)
    skipBody(request, MAX_SKIPPED_BODY_BYTES, contain(() => { if (!isFinished) reject(rejection, 'admission') }))
  }

  /** Refuses the request after those that arrived with it are known, as the refusal may announce the end of the connection. */
  function rejectStopping (): void {
    setImmediate(contain(() => { if (!isFinished) rejectAfterBody(AdmissionRejection.stopping) }))
  }

  /**
   * Charges the request to the quota of the customer, borrowing from other instances if needed. Resolves to false if the
   * request was rejected or the caller has disconnected.
   */
  async function chargeQuota (customer: EdgeCustomer, cost: number): Promise<boolean> {
    const { quotas, peerQuota } = context
    const request = { customer, identifier, cost, share: context.share(), allowDebt: false }
    let decision = quotas.admit(request, context.now().steady)
    let respondingPeers = 0
    if (!decision.admitted) {
      const borrowed = await peerQuota.acquire(customer, cost, decision.missing)
      if (isFinished) return false
      respondingPeers = borrowed.responses
      // A request whose cost exceeds the capacity of all instances together would never be admitted otherwise.
      const allowDebt = respondingPeers === 0 || cost > quotas.capacity(customer, 1)
      decision = quotas.admit({ ...request, receivedUnits: borrowed.units, allowDebt }, context.now().steady)
    }
    if (decision.admitted) {
      chargedCost = cost
      return true
    }
    const reason = `${Math.round(decision.missing)} of ${cost} units are missing at ${respondingPeers + 1} instances`
    // The missing units are refilled at all of these instances in parallel.
    const retryAfter = decision.retryAfter / (respondingPeers + 1)
    reject({ status: 429, code: 'rate_limited', message: 'the customer is beyond its rate', retryAfter }, reason)
    return false
  }

  /** Refuses the request, which has not run, without waiting for its body. */
  function rejectBeyondShare (refusal: RefusedShare): void {
    if (hasBody(request) && !request.complete) {
      // Its objects would stay until the caller has read the refusal and closed the connection.
      if (refusal.mustRelease && response.socket !== null) return abort(SHARE_EXCEEDED)
      if (!response.headersSent) response.shouldKeepAlive = false
    }
    reject(describeShareRefusal(refusal), SHARE_EXCEEDED)
  }

  function processRequest (route: EdgeRoute, customer: EdgeCustomer | undefined, body: Buffer | undefined): void {
    const refusedShare = share.forward()
    if (refusedShare !== undefined) return rejectBeyondShare(refusedShare)
    const service = chooseService(route, context.random())
    admittedRequest = {
      request, callerRequest, route, customer, service, plan: planPrompt(callerRequest, customer), body
    }
    const cost = customer === undefined || customer.rate === 0 ? 0 : costOf(callerRequest, customer)
    if (customer === undefined || cost === 0) return dispatchRequest(admittedRequest)
    chargeQuota(customer, cost).then((isCharged) => {
      if (isCharged) dispatchRequest(admittedRequest!)
    }).catch(endAfterFault)
  }

  function dispatchRequest (admitted: AdmittedRequest): void {
    const { route, service } = admitted
    const routeTimeout = route.timeout > 0 ? route.timeout : MAX_TIMER_MS
    const limitMs = Math.min(MAX_TIMER_MS, routeTimeout, callerRequest.callerTimeout ?? MAX_TIMER_MS)
    const remainingTime = (): number => limitMs - (context.now().steady - startedAt.steady)
    timeLeft = remainingTime
    dispatch = createDispatch(context, admitted, callerResponse, remainingTime, {
      onSuccess (upstream, status) {
        const firstByteAt = dispatch?.firstByteAt()
        log(EdgeEvent.requestFinished, {
          requestIdentifier: identifier,
          service,
          upstream: upstream.entry.identifier,
          status,
          firstByte: firstByteAt === undefined ? undefined : Math.round(firstByteAt - startedAt.steady),
          duration: Math.round(context.now().steady - startedAt.steady),
          ...dispatch?.counts()
        })
        finish()
      },
      onShed (wait, retryAfter) {
        const message = 'the engines cannot keep up'
        const reason = `expected wait of ${Math.round(wait)} ms`
        reject({ status: 503, code: 'overloaded', message, retryAfter: clampRetryAfter(retryAfter) }, reason)
      },
      onRefusedInOrder (refusal) {
        const { status, code, message, retryAfter, reason, explanation } = describeRefusal(refusal)
        reject({ status, code, message, retryAfter }, reason, undefined, explanation)
      },
      onConvicted (trait, retryAfter) {
        const message = 'upstreams crash when they answer such requests'
        reject({ status: 503, code: 'crashes_upstreams', message, retryAfter }, `crashes are attributed to ${trait}`)
      },
      onSuspected (trait, retryAfter) {
        const message = 'upstreams may crash when they answer such requests, and another one is being tried'
        reject({ status: 503, code: 'trial_pending', message, retryAfter }, `crashes may be caused by ${trait}`)
      },
      onFailure: (execution, reason, obstacle) => { rejectUnserved(service, execution, reason, 502, obstacle) },
      onAborted: abort,
      onFault: endAfterFault
    })
    // After the process was busy, timers come before the answers that have arrived meanwhile; these are read first.
    const endIfUnanswered = contain(() => { if (!isFinished) onTimeout(service) })
    timeoutTimer = setTimeout(() => { setImmediate(endIfUnanswered) }, Math.max(0, remainingTime()))
    dispatch.send()
  }

  function start (): void {
    response.on('close', contain(() => { if (!response.writableFinished) onCallerDisconnected() }))
    callerResponse.onDrain(contain(() => { dispatch?.resume() }))
    if (context.isRejecting()) return rejectStopping()
    if (!isSendableRequest(request.url ?? '', request.rawHeaders)) return rejectAfterBody(AdmissionRejection.malformed)
    const { host, expect } = request.headers
    if (!isKnownExpectation(expect)) return rejectAfterBody(AdmissionRejection.unknownExpectation)
    if (host === undefined && request.httpVersion === '1.1') return rejectAfterBody(AdmissionRejection.missingHost)
    const admission = admit(
      context.routeTable(), context.freshness, host, request.url ?? '', callerRequest, startedAt
    )
    if (!admission.admitted) return rejectAfterBody(admission.rejection)
    const { route, customer } = admission
    const { headerBytes, bodyBytes } = context.routeTable()!.configuration.limits
    if (countHeaderBytes(request) > headerBytes) return rejectAfterBody(AdmissionRejection.headerTooLarge)
    const refusedShare = share.join(customer)
    if (refusedShare !== undefined) return rejectBeyondShare(refusedShare)
    if (!hasBody(request)) return processRequest(route, customer, undefined)
    readBoundedBody(request, bodyBytes, held, {
      onBody: contain((body: Buffer) => { if (!isFinished) processRequest(route, customer, body) }),
      onTooLong: contain(() => {
        reject({ status: 413, code: 'request_too_large', message: 'the body is too long' }, 'the body is too long')
      }),
      onNoMemory: contain(rejectForMemory)
    })
  }

  /** Refuses the request, whose body is being read, and closes its connection. */
  function rejectForMemory (): void {
    if (isFinished) return
    const message = 'the instance has no memory left for the body'
    // The rest of the body would be read before the next request.
    if (!response.headersSent) response.shouldKeepAlive = false
    reject({ status: 503, code: 'overloaded', message, retryAfter: MEMORY_RETRY_MS }, 'memory')
  }

  return {
    start: contain(start),
    check: contain((now: Instant) => { if (!isFinished) dispatch?.check(now) }),
    close: contain(() => {
      if (isFinished) return
      dispatch?.cancel(false)
      const reason = 'the instance exits'
      if (callerResponse.hasStarted()) return abort(reason, Obstacle.stopping)
      if ((dispatch?.counts().runs ?? 0) === 0) return reject(AdmissionRejection.stopping, reason, Obstacle.stopping)
      const message = 'the request was sent on and its outcome is not known'
      reject({ status: 502, code: 'upstream_failed', message }, reason, Obstacle.stopping)
    })
  }
}
