/** Carries one request from its caller to an upstream and the answer back. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { EdgeEvent, type EdgeLog } from './events'
import { AttemptEnd, decideAfter, type AttemptHistory } from './attemptDecision'
import { admit } from './admission'
import { createCallerAnswer, hasBody, readBody, type CallerAnswer, type Refusal } from './callerAnswer'
import { createEventBoundary, type EventBoundary } from './eventBoundary'
import type { Freshness } from './freshness'
import { orderUpstreams } from './placement'
import { directCache, planPrompt, urgencyOf, type KeptParts, type PromptPlan } from './promptPlan'
import { costOf, type QuotaShares } from './quotaShare'
import type { RetryAllowance } from './retryAllowance'
import type { RouteTable } from './routeTable'
import { chooseService } from './serviceChoice'
import { ExecutionStatus, type RandomSource } from '../types'
import { RepeatRule } from './types'
import type { CallerRequest, Dialect, EdgeCustomer, EdgeRoute, Instant } from './types'
import { callUpstream, type UpstreamCall } from './upstreamCall'
import type { UpstreamConnections } from './upstreamConnections'
import {
  attemptBegan, attemptEnded, heardFrom, isSilent, learnWeights, observeWait, pauseAfterFailure, pauseAfterRefusal
} from './upstreamDirectory'
import type { Upstream, UpstreamDirectory } from './upstreamDirectory'

/** Milliseconds to open a connection; several round trips between data centres. */
const CONNECT_LIMIT_MS = 400
/** Part of the time left that may pass until a connection is open, so that there is time for another upstream. */
const CONNECT_SHARE = 0.25
/** Part of the time left after which a repeatable call without an answer is repeated. */
const REPEAT_SHARE = 0.5
/** Milliseconds without a byte after which a resumable stream goes on elsewhere although its engine serves others. */
const STUCK_STREAM_MS = 1500
/** Milliseconds until a caller may come back when nothing better is known. */
const DEFAULT_RETRY_MS = 150
/** Bounds of the time until a caller may come back, in milliseconds. */
const SHORTEST_RETRY_MS = 50
const LONGEST_RETRY_MS = 1000
/** Milliseconds for which weights that were just named do not count against engines that still have older ones. */
const OLD_WEIGHTS_GRACE_MS = 1200
/** Part of the limit on old weights after which they are not used; the rest is time in the engine's queue. */
const OLD_WEIGHTS_SHARE = 0.85

/** Statuses that promise that a request has not run; an upstream's own are passed on only with that proof. */
const PROMISING_STATUSES = new Set([408, 421, 429, 503])

export interface ExchangeContext {
  dialect: Dialect
  table: () => RouteTable | undefined
  freshness: Freshness
  directory: UpstreamDirectory
  connections: UpstreamConnections
  quotas: QuotaShares
  retries: RetryAllowance
  kept: KeptParts
  dataCentre: string
  /** Instances that share quotas and retries. */
  instances: () => number
  /** Milliseconds after which no request may begin on weights older than the newest ones named. */
  oldWeightsLimit: number
  /** Newest weights named for a model and when this instance heard of them. */
  wantedWeights: (model: string) => { version: number, since: number } | undefined
  isStopping: () => boolean
  log: EdgeLog
  now: () => Instant
  random: RandomSource
}

export interface Exchange {
  start: () => void
  /** Looks for silence; called a few times a second. */
  check: (now: Instant) => void
}

interface Attempt {
  upstream: Upstream
  call: UpstreamCall
  startedAt: number
  lastByteAt: number
  answered: boolean
  unreadTokens: number
}

/** `onOver` is called once, when the caller has its answer or has left. */
export function createExchange (
  context: ExchangeContext, request: IncomingMessage, response: ServerResponse, onOver: () => void
): Exchange {
  const { dialect, directory, log } = context
  const started = context.now()
  const facts: CallerRequest = dialect.readRequest(request.headers)
  const identifier = facts.identifier ?? ''
  const answer: CallerAnswer = createCallerAnswer({
    response, dialect, identifier: facts.identifier, mustClose: context.isStopping
  })
  let route: EdgeRoute
  let customer: EdgeCustomer | undefined
  let service = ''
  let plan: PromptPlan
  let body: Buffer | undefined
  let boundary: EventBoundary | undefined
  let history: AttemptHistory
  let attempt: Attempt | undefined
  let limitTimer: NodeJS.Timeout | undefined
  let charged = 0
  let over = false
  const tried = new Set<string>()

  function timeLeft (): number {
    const elapsed = context.now().steady - started.steady
    return Math.min(route.timeout || Infinity, facts.patience ?? Infinity) - elapsed
  }

  function finish (): void {
    if (over) return
    over = true
    clearTimeout(limitTimer)
    if (charged > 0 && customer !== undefined) {
      context.quotas.settle(customer.name, identifier, charged, history.runs > 0)
    }
    onOver()
  }

  function refuse (refusal: Refusal, reason: string): void {
    log(EdgeEvent.requestRefused, {
      requestIdentifier: identifier,
      status: refusal.status,
      errorCode: refusal.code,
      reason,
      retryAfter: refusal.retryAfter,
      customer: customer?.name,
      runs: history?.runs,
      rejections: history?.rejections,
      configurationVersion: context.table()?.configuration.version,
      configurationAge: Math.round(context.freshness.age(context.now()))
    })
    answer.refuse(refusal)
    finish()
  }

  function retryAfter (): number {
    const now = context.now().steady
    const until = Math.min(...directory.listed(service).map(({ pausedUntil }) => pausedUntil))
    const wait = Number.isFinite(until) && until > now ? until - now : DEFAULT_RETRY_MS
    return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, wait))
  }

  function giveUp (execution: ExecutionStatus, reason: string, status = 502): void {
    if (answer.hasBegun()) {
      breakOff(reason)
    } else if (execution === ExecutionStatus.notRun) {
      refuse({ status: 503, code: 'overloaded', message: 'no upstream could take the request', retryAfter: retryAfter() }, reason)
    } else {
      refuse({ status, code: 'upstream_failed', message: 'the request was sent on and its outcome is not known' }, reason)
    }
  }

  function breakOff (reason: string): void {
    log(EdgeEvent.answerBrokenOff, { requestIdentifier: identifier, reason, lastEvent: boundary?.lastEvent() })
    answer.breakOff()
    finish()
  }

  function onTimeLimit (): void {
    cancelAttempt()
    if (answer.hasBegun()) breakOff('the time limit passed')
    else if (history.runs === 0) giveUp(ExecutionStatus.notRun, 'the time limit passed before the request was sent')
    else giveUp(ExecutionStatus.unknown, 'the time limit passed', 504)
  }

  function leaveAttempt (ended: Attempt): void {
    if (attempt === ended) attempt = undefined
    readFirstByte(ended)
    attemptEnded(ended.upstream)
  }

  function cancelAttempt (): void {
    if (attempt === undefined) return
    attempt.call.cancel()
    leaveAttempt(attempt)
  }

  /** The prompt has been read, or never will be. */
  function readFirstByte (current: Attempt): void {
    current.upstream.unreadTokens -= current.unreadTokens
    current.unreadTokens = 0
  }

  /** Milliseconds since newer weights were named than the upstream has; undefined when it has the newest. */
  function oldWeightsAge (upstream: Upstream): number | undefined {
    const wanted = facts.model === undefined ? undefined : context.wantedWeights(facts.model)
    if (wanted === undefined || (upstream.weights.get(facts.model!) ?? wanted.version) >= wanted.version) return undefined
    return context.now().steady - wanted.since
  }

  function choose (): Upstream | undefined {
    const now = context.now().steady
    const tooOld = context.oldWeightsLimit * OLD_WEIGHTS_SHARE
    const candidates = directory.usable(service, now).filter((upstream) => (
      !tried.has(upstream.entry.identifier) && (oldWeightsAge(upstream) ?? 0) < tooOld
    ))
    const hasOldWeights = (upstream: Upstream): boolean => (oldWeightsAge(upstream) ?? 0) > OLD_WEIGHTS_GRACE_MS
    const sharedSubject = plan.subject
    return orderUpstreams(
      { sharedSubject, sharedTokens: plan.sharedTokens, dataCentre: context.dataCentre, hasOldWeights }, candidates, now
    )[0]
  }

  function send (): void {
    const now = context.now()
    const left = timeLeft()
    if (left <= 0) return onTimeLimit()
    // The body may have taken a while: a key may be gone since.
    if (customer !== undefined && !mayStillRun(now)) {
      return giveUp(history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown, 'the key could not be checked again')
    }
    const upstream = choose()
    if (upstream === undefined) {
      return giveUp(history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown, 'no upstream is usable')
    }
    tried.add(upstream.entry.identifier)
    const cache = directCache({
      plan,
      customer,
      model: facts.model,
      upstream,
      store: context.table()?.cacheStore,
      kept: context.kept,
      uniqueScope: identifier
    }, now.steady)
    const resumeAfter = boundary?.lastEvent() ?? (route.resumable ? facts.resumeAfter : undefined)
    const repeatable = history.repeat === RepeatRule.safe || (history.repeat === RepeatRule.stream && history.resumable)
    const headers = dialect.upstreamHeaders(request.rawHeaders, body?.length, {
      timeLeft: left,
      upstream: upstream.entry.identifier,
      customer: customer?.name,
      urgency: urgencyOf(route, customer),
      resumeAfter,
      ...cache
    })
    log(EdgeEvent.requestRouted, {
      requestIdentifier: identifier,
      upstream: upstream.entry.identifier,
      service,
      customer: customer?.name,
      attempt: history.runs + history.rejections + 1,
      resumeAfter,
      scope: cache.cacheScope,
      timeLeft: Math.round(left),
      wait: Math.round(upstream.wait),
      configurationAge: Math.round(context.freshness.age(now))
    })
    history.runs += 1
    attemptBegan(upstream, plan.promptTokens, now.steady)
    const current: Attempt = {
      upstream,
      startedAt: now.steady,
      lastByteAt: now.steady,
      answered: false,
      unreadTokens: plan.promptTokens,
      call: callUpstream({
        endpoint: upstream.entry.endpoint,
        agent: context.connections.agentFor(upstream, !repeatable),
        method: request.method!,
        path: request.url!,
        headers,
        body,
        connectTimeout: Math.min(CONNECT_LIMIT_MS, left * CONNECT_SHARE)
      }, {
        onHead: (head) => { onHead(current, head) },
        onData: (chunk) => { onData(current, chunk) },
        onEnd: () => { onEnd(current) },
        onFailure: (reason, sent) => { onFailure(current, reason, sent) }
      })
    }
    attempt = current
  }

  function mayStillRun (now: Instant): boolean {
    const present = context.table()?.customerOfKey(facts.key ?? '')
    return present?.name === customer?.name && context.freshness.permitsKeys(now)
  }

  /** Goes on after an attempt that gave no whole answer. */
  function next (end: AttemptEnd, reason: string, passOn: (() => void) | undefined): void {
    const step = decideAfter(end, { ...history, begun: answer.hasBegun() })
    const now = context.now().steady
    if (step.kind === 'retry' && timeLeft() > 0 && context.retries.tryRetry(service, context.instances(), now)) return send()
    if (step.kind === 'answer' && passOn !== undefined) return passOn()
    if (step.kind === 'breakOff') return breakOff(reason)
    if (end === AttemptEnd.failed && passOn !== undefined) return passOn()
    giveUp(history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown, reason)
  }

  function onFailure (current: Attempt, reason: string, sent: boolean): void {
    leaveAttempt(current)
    if (over) return
    const now = context.now().steady
    const { upstream } = current
    log(EdgeEvent.attemptFailed, { requestIdentifier: identifier, upstream: upstream.entry.identifier, reason, sent })
    pauseAfterFailure(upstream, now)
    context.connections.abandon(upstream)
    boundary?.dropRest()
    if (sent) return next(AttemptEnd.unknown, reason, undefined)
    history.runs -= 1
    history.rejections += 1
    next(AttemptEnd.notRun, reason, undefined)
  }

  let head: IncomingMessage | undefined
  let pieces: Buffer[] = []

  function onHead (current: Attempt, incoming: IncomingMessage): void {
    const now = context.now().steady
    const { upstream } = current
    heardFrom(upstream, now)
    current.lastByteAt = now
    const status = incoming.statusCode ?? 0
    const facts = dialect.readAnswer(status, incoming.headers)
    if (facts.notRun) return onRejected(current, status, facts.answeredBy, facts.misdirected)
    if (facts.identifier !== identifier || !facts.signed) {
      current.call.cancel()
      return onFailure(current, 'the answer belongs to another request or bears no signature', true)
    }
    learnVersion(upstream, facts.weightsVersion)
    head = incoming
    pieces = []
    if (status !== 200 || history.repeat !== RepeatRule.stream) return
    if (answer.hasBegun()) return
    boundary = createEventBoundary()
    answer.begin(status, incoming.statusMessage, incoming.rawHeaders)
  }

  function learnVersion (upstream: Upstream, version: number | undefined): void {
    if (version !== undefined && facts.model !== undefined) learnWeights(upstream, { model: facts.model, version })
  }

  /** The upstream states that it has not run the request. */
  function onRejected (
    current: Attempt, status: number, answeredBy: string | undefined, misdirected: boolean
  ): void {
    current.call.cancel()
    leaveAttempt(current)
    const { upstream } = current
    const now = context.now().steady
    const wanted = facts.model === undefined ? undefined : context.wantedWeights(facts.model)?.version
    const isBehind = wanted !== undefined && (upstream.weights.get(facts.model!) ?? 0) < wanted
    const isOther = misdirected && answeredBy !== undefined && answeredBy !== upstream.entry.identifier
    if (misdirected && !isOther && isBehind) learnWeights(upstream, { model: facts.model!, version: wanted })
    else pauseAfterRefusal(upstream, isBehind || isOther, now)
    log(EdgeEvent.attemptRejected, {
      requestIdentifier: identifier, upstream: upstream.entry.identifier, status, answeredBy, isBehind
    })
    history.runs -= 1
    history.rejections += 1
    next(AttemptEnd.notRun, `the upstream answered ${status} without running the request`, undefined)
  }

  function onData (current: Attempt, chunk: Buffer): void {
    const now = context.now().steady
    heardFrom(current.upstream, now)
    current.lastByteAt = now
    if (!current.answered) {
      current.answered = true
      readFirstByte(current)
      observeWait(current.upstream, now - current.startedAt, now)
    }
    if (boundary === undefined || head?.statusCode !== 200) {
      pieces.push(chunk)
      return
    }
    const events = boundary.push(chunk)
    if (events !== undefined && !answer.write(events)) current.call.pause()
    if (boundary.overflowed()) {
      current.call.cancel()
      onFailure(current, 'an event is too long', true)
    }
  }

  function onEnd (current: Attempt): void {
    leaveAttempt(current)
    if (over || head === undefined) return
    const status = head.statusCode ?? 0
    if (boundary !== undefined && status === 200) {
      if (boundary.rest().length > 0) return onBrokenStream(current)
      answer.end()
      return succeeded(current, status)
    }
    const incoming = head
    const passOn = (): void => {
      if (answer.hasBegun()) return breakOff(`the upstream answered ${status} to a resumed stream`)
      // A status that promises that nothing ran is not passed on without that proof.
      if (PROMISING_STATUSES.has(status)) return giveUp(ExecutionStatus.unknown, `the upstream answered ${status} after it may have run the request`)
      answer.begin(status, incoming.statusMessage, incoming.rawHeaders)
      answer.end(Buffer.concat(pieces))
      succeeded(current, status)
    }
    if (status >= 500 || PROMISING_STATUSES.has(status)) return next(AttemptEnd.failed, `the upstream answered ${status}`, passOn)
    passOn()
  }

  function onBrokenStream (current: Attempt): void {
    attemptBegan(current.upstream, 0, context.now().steady)
    onFailure(current, 'the stream ended within an event', true)
  }

  function succeeded (current: Attempt, status: number): void {
    const now = context.now().steady
    log(EdgeEvent.requestFinished, {
      requestIdentifier: identifier,
      upstream: current.upstream.entry.identifier,
      status,
      duration: Math.round(now - started.steady),
      runs: history.runs,
      rejections: history.rejections
    })
    finish()
  }

  function onCallerGone (): void {
    if (over) return
    log(EdgeEvent.requestCancelled, { requestIdentifier: identifier, runs: history?.runs })
    cancelAttempt()
    finish()
  }

  function admitted (): void {
    const now = context.now().steady
    if (customer !== undefined) {
      const cost = costOf(facts, customer)
      const decision = context.quotas.admit(customer, identifier, cost, context.instances(), now)
      if (!decision.admitted) {
        return refuse({
          status: 429, code: 'rate_limited', message: 'the customer is beyond its rate', retryAfter: decision.retryAfter
        }, `cost ${cost} is beyond the share of ${context.instances()} instances`)
      }
      charged = cost
    }
    context.retries.recordRequest(service, now)
    limitTimer = setTimeout(onTimeLimit, Math.max(0, timeLeft()))
    send()
  }

  function start (): void {
    response.on('close', () => {
      if (!response.writableFinished) onCallerGone()
    })
    answer.onDrained(() => { attempt?.call.resume() })
    const admission = admit(context.table(), context.freshness, request.headers.host, request.url ?? '', facts, started)
    if (!admission.admitted) return refuseUnread(admission.refusal)
    route = admission.route
    customer = admission.customer
    service = chooseService(route, context.random())
    plan = planPrompt(facts, customer)
    history = {
      repeat: route.repeat,
      resumable: route.resumable,
      maximumAttempts: route.maximumAttempts,
      runs: 0,
      rejections: 0,
      begun: false
    }
    if (!hasBody(request)) return admitted()
    readBody(request, context.table()!.configuration.limits.bodyBytes, (whole) => {
      body = whole
      if (!over) admitted()
    }, () => {
      refuse({ status: 413, code: 'request_too_large', message: 'the body is too long' }, 'the body is too long')
    })
  }

  /** Closing a connection with unread bytes would reset it, and the caller might lose the answer. */
  function refuseUnread (refusal: Refusal): void {
    if (!hasBody(request)) return refuse(refusal, 'admission')
    request.resume()
    request.on('end', () => { if (!over) refuse(refusal, 'admission') })
  }

  return {
    start,
    check (now) {
      if (over || attempt === undefined) return
      const { repeat, resumable, runs, maximumAttempts } = history
      if (repeat === RepeatRule.unsafe || (repeat === RepeatRule.stream && !resumable)) return
      if (runs >= maximumAttempts) return
      const quiet = now.steady - attempt.lastByteAt
      const limit = repeat === RepeatRule.safe ? timeLeft() * REPEAT_SHARE : STUCK_STREAM_MS
      if (quiet < limit && !(isSilent(attempt.upstream, now.steady) && quiet > CONNECT_LIMIT_MS)) return
      const current = attempt
      current.call.cancel()
      onFailure(current, `no byte for ${Math.round(quiet)} ms`, true)
    }
  }
}
