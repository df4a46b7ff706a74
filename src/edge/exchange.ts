/** One request of a caller, from its head to its final answer. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { admit, AdmissionRejection } from './admission'
import { countHeaderBytes, createCallerAnswer, hasBody, readBody, type Refusal } from './callerAnswer'
import { createDispatch, type Dispatch, type Job } from './dispatch'
import { EdgeEvent } from './events'
import type { ExchangeContext } from './exchangeContext'
import { planPrompt } from './promptPlan'
import { costOf } from './quotaShare'
import { chooseService } from './serviceChoice'
import { ExecutionStatus } from '../types'
import type { EdgeCustomer, EdgeRoute, Instant } from './types'
import { availableAt } from './upstreamDirectory'

/** Milliseconds until a caller may come back when nothing better is known; a few calls of a plain service. */
const DEFAULT_RETRY_MS = 150
/** Bounds of the time until a caller may come back, in milliseconds. */
const SHORTEST_RETRY_MS = 50
const LONGEST_RETRY_MS = 1000

function clampRetry (milliseconds: number): number {
  return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, milliseconds))
}

export interface Exchange {
  start: () => void
  /** Looks for silence; called a few times a second. */
  check: (now: Instant) => void
}

/** `onOver` is called once, when the caller has its answer or has left. */
export function createExchange (
  context: ExchangeContext, request: IncomingMessage, response: ServerResponse, onOver: () => void
): Exchange {
  const { dialect, directory, log } = context
  const started = context.now()
  const facts = dialect.readRequest(request.headers)
  const identifier = facts.identifier ?? ''
  const answer = createCallerAnswer({
    response, dialect, identifier: facts.identifier, mustClose: context.isStopping
  })
  let dispatch: Dispatch | undefined
  let job: Job | undefined
  let limitTimer: NodeJS.Timeout | undefined
  let charged = 0
  let over = false

  function finish (): void {
    if (over) return
    over = true
    clearTimeout(limitTimer)
    const customer = job?.customer
    if (charged > 0 && customer !== undefined) {
      context.quotas.settle(customer.name, identifier, charged, (dispatch?.counts().runs ?? 0) > 0)
    }
    onOver()
  }

  function refuse (refusal: Refusal, reason: string): void {
    log(EdgeEvent.requestRefused, {
      requestIdentifier: identifier,
      status: refusal.status,
      errorCode: refusal.code,
      reason,
      retryAfter: refusal.retryAfter === undefined ? undefined : Math.round(refusal.retryAfter),
      customer: job?.customer?.name,
      service: job?.service,
      ...dispatch?.counts(),
      configurationVersion: context.table()?.configuration.version,
      configurationAge: Math.round(context.freshness.age(context.now()))
    })
    answer.refuse(refusal)
    finish()
  }

  function breakOff (reason: string): void {
    log(EdgeEvent.answerBrokenOff, {
      requestIdentifier: identifier, reason, lastEvent: dispatch?.lastEvent(), ...dispatch?.counts()
    })
    answer.breakOff()
    finish()
  }

  /** Milliseconds until an upstream of the service is tried again. */
  function retryAfter (service: string): number {
    const now = context.now().steady
    const listed = directory.listed(service)
    const until = Math.min(...listed.map(availableAt))
    const wait = Number.isFinite(until) && until > now ? until - now : DEFAULT_RETRY_MS
    // A time that the upstreams have named themselves is no estimate.
    const rest = Math.min(...listed.map(({ restsUntil }) => restsUntil - now))
    return Math.max(clampRetry(wait), Number.isFinite(rest) ? rest : 0)
  }

  function refuseUnserved (service: string, execution: ExecutionStatus, reason: string, unknownStatus: number): void {
    if (execution === ExecutionStatus.notRun) {
      const message = 'no upstream could take the request'
      return refuse({ status: 503, code: 'overloaded', message, retryAfter: retryAfter(service) }, reason)
    }
    const message = 'the request was sent on and its outcome is not known'
    refuse({ status: unknownStatus, code: 'upstream_failed', message }, reason)
  }

  function onTimeLimit (service: string): void {
    dispatch?.cancel()
    const reason = 'the time limit passed'
    if (answer.hasBegun()) return breakOff(reason)
    const hasRun = (dispatch?.counts().runs ?? 0) > 0
    refuseUnserved(service, hasRun ? ExecutionStatus.unknown : ExecutionStatus.notRun, reason, 504)
  }

  function onCallerGone (): void {
    if (over) return
    dispatch?.cancel()
    log(EdgeEvent.requestCancelled, { requestIdentifier: identifier, ...dispatch?.counts() })
    finish()
  }

  /** Closing a connection with unread bytes would reset it, and the caller might lose the answer. */
  function refuseUnread (refusal: Refusal): void {
    if (!hasBody(request)) return refuse(refusal, 'admission')
    request.resume()
    request.on('end', () => { if (!over) refuse(refusal, 'admission') })
  }

  /** False when the request was refused or the caller has left. */
  async function charge (customer: EdgeCustomer, cost: number): Promise<boolean> {
    const { quotas, tokens } = context
    const request = { customer, identifier, cost, share: context.share(), mayOwe: false }
    let decision = quotas.admit(request, context.now().steady)
    let answers = 0
    if (!decision.admitted) {
      const gathered = await tokens.gather(customer, cost, decision.missing)
      if (over) return false
      answers = gathered.answers
      // A request above what all instances can hold would never be admitted otherwise.
      const mayOwe = answers === 0 || cost > quotas.capacity(customer, 1)
      decision = quotas.admit({ ...request, given: gathered.units, mayOwe }, context.now().steady)
    }
    if (decision.admitted) {
      charged = cost
      return true
    }
    const reason = `${Math.round(decision.missing)} of ${cost} units are missing at ${answers + 1} instances`
    // What is missing comes back at all instances that were asked.
    const retryAfter = decision.retryAfter / (answers + 1)
    refuse({ status: 429, code: 'rate_limited', message: 'the customer is beyond its rate', retryAfter }, reason)
    return false
  }

  function begin (route: EdgeRoute, customer: EdgeCustomer | undefined, body: Buffer | undefined): void {
    const service = chooseService(route, context.random())
    job = { request, facts, route, customer, service, plan: planPrompt(facts, customer), body }
    const cost = customer === undefined || customer.rate === 0 ? 0 : costOf(facts, customer)
    if (customer === undefined || cost === 0) return send(job)
    charge(customer, cost).then((isCharged) => { if (isCharged) send(job!) }, (error: unknown) => {
      context.fault(error)
      refuse({ status: 503, code: 'internal', message: 'the rate of the customer could not be checked' }, 'a fault')
    })
  }

  function send (job: Job): void {
    const { route, service } = job
    const limit = Math.min(route.timeout > 0 ? route.timeout : Infinity, facts.patience ?? Infinity)
    const timeLeft = (): number => limit - (context.now().steady - started.steady)
    dispatch = createDispatch(context, job, answer, timeLeft, {
      succeeded (upstream, status) {
        const firstByteAt = dispatch?.firstByteAt()
        log(EdgeEvent.requestFinished, {
          requestIdentifier: identifier,
          service,
          upstream: upstream.entry.identifier,
          status,
          firstByte: firstByteAt === undefined ? undefined : Math.round(firstByteAt - started.steady),
          duration: Math.round(context.now().steady - started.steady),
          ...dispatch?.counts()
        })
        finish()
      },
      shed (wait, retryAfter) {
        const message = 'the engines cannot keep up'
        const reason = `expected wait of ${Math.round(wait)} ms`
        refuse({ status: 503, code: 'overloaded', message, retryAfter: clampRetry(retryAfter) }, reason)
      },
      gaveUp: (execution, reason) => { refuseUnserved(service, execution, reason, 502) },
      brokenOff: breakOff
    })
    if (Number.isFinite(limit)) limitTimer = setTimeout(() => { onTimeLimit(service) }, Math.max(0, timeLeft()))
    dispatch.send()
  }

  return {
    start () {
      response.on('close', () => { if (!response.writableFinished) onCallerGone() })
      answer.onDrained(() => { dispatch?.resume() })
      if (context.isRefusing()) return refuseUnread(AdmissionRejection.stopping)
      const { host } = request.headers
      const admission = admit(context.table(), context.freshness, host, request.url ?? '', facts, started)
      if (!admission.admitted) return refuseUnread(admission.rejection)
      const { route, customer } = admission
      const { headerBytes, bodyBytes } = context.table()!.configuration.limits
      if (countHeaderBytes(request) > headerBytes) return refuseUnread(AdmissionRejection.headerTooLarge)
      if (!hasBody(request)) return begin(route, customer, undefined)
      readBody(request, bodyBytes, (body) => {
        if (!over) begin(route, customer, body)
      }, () => {
        refuse({ status: 413, code: 'request_too_large', message: 'the body is too long' }, 'the body is too long')
      })
    },
    check: (now) => { if (!over) dispatch?.check(now) }
  }
}
