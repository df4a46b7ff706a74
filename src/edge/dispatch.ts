/** Sends one admitted request to upstreams until one gives a whole answer or no further attempt may be made. */
import type { IncomingMessage } from 'node:http'
import { LONGEST_ANSWER_BYTES, type AnswerBuffer } from './answerBuffers'
import { AttemptOutcome, decideNextStep, mayRepeat, type AttemptHistory } from './attemptDecision'
import type { CallerAnswer } from './callerAnswer'
import { createEventBoundary, hasContent, type EventBoundary } from './eventBoundary'
import { EdgeEvent } from './events'
import type { ExchangeContext } from './exchangeContext'
import { decideShedding } from './loadShedding'
import { orderUpstreams, type PlacementRequest } from './placement'
import { directCache, urgencyOf, type PromptPlan } from './promptPlan'
import { ExecutionStatus, type MonotonicMilliseconds } from '../types'
import { RepeatRule } from './types'
import type { CallerRequest, EdgeCustomer, EdgeRoute, Instant } from './types'
import { callUpstream, type UpstreamCall } from './upstreamCall'
import {
  attemptBegan, attemptEnded, attemptHeld, attemptReleased, currentWait, heardFrom, isSilent, learnWeights,
  observeLeastWait, observeWait, pauseAfterFailure, pauseAfterRefusal
} from './upstreamDirectory'
import type { Upstream } from './upstreamDirectory'

/** Milliseconds to open a connection; several round trips between data centres. */
const CONNECT_LIMIT_MS = 400
/** Part of the time left that may pass until a connection is open, so that there is time for another upstream. */
const CONNECT_SHARE = 0.25
/** Part of the time left after which a repeatable call without an answer is repeated. */
const REPEAT_SHARE = 0.5
/** Milliseconds without an event after which a resumable stream goes on elsewhere although its engine serves others. */
const STUCK_STREAM_MS = 1500
/** Milliseconds for which weights that were just named do not count against engines that still have older ones. */
const OLD_WEIGHTS_GRACE_MS = 1200
/** Part of the limit on old weights after which they are not used; the rest is time in the engine's queue. */
const OLD_WEIGHTS_SHARE = 0.85

/** Why an attempt is ended whose answer exceeds what is held of one, or of all. */
const TOO_LONG = 'the answer is too long'

/** Statuses that promise that a request has not run; an upstream's own are passed on only with that proof. */
const PROMISING_STATUSES = new Set([408, 421, 429, 503])

/** An admitted request. */
export interface Job {
  request: IncomingMessage
  facts: CallerRequest
  route: EdgeRoute
  customer: EdgeCustomer | undefined
  service: string
  plan: PromptPlan
  body: Buffer | undefined
}

/** What the dispatch tells its exchange; exactly one of these is called, once. */
export interface DispatchOutcome {
  succeeded: (upstream: Upstream, status: number) => void
  /** The engines cannot keep up: nothing was sent. */
  shed: (wait: number, retryAfter: number) => void
  /** No answer has begun. */
  gaveUp: (execution: ExecutionStatus, reason: string) => void
  /** Part of an answer has gone out and cannot be completed. */
  brokenOff: (reason: string) => void
}

export interface Dispatch {
  send: () => void
  /** Looks for silence; called a few times a second. */
  check: (now: Instant) => void
  /** Ends the running attempt, because its caller has left or its time is over. */
  cancel: () => void
  /** Goes on reading after the caller has caught up. */
  resume: () => void
  /** Attempts that may have run, and those that certainly did not. */
  counts: () => { runs: number, rejections: number }
  lastEvent: () => string | undefined
  /** When the first byte of the answer that goes to the caller came. */
  firstByteAt: () => MonotonicMilliseconds | undefined
}

interface Attempt {
  upstream: Upstream
  call: UpstreamCall
  startedAt: number
  /** When the last byte of a plain answer came, or the last event with content of a stream. */
  lastProgressAt: number
  /** Undefined until the first byte of the answer's body. */
  firstByteAt: MonotonicMilliseconds | undefined
  /** The caller does not keep up; nothing is read of the answer until it does. */
  isHeld: boolean
  unreadTokens: number
  head: IncomingMessage | undefined
  /** Answer that is passed on only when it is complete. */
  buffer: AnswerBuffer
}

export function createDispatch (
  context: ExchangeContext, job: Job, answer: CallerAnswer, timeLeft: () => number, outcome: DispatchOutcome
): Dispatch {
  const { dialect, directory, log } = context
  const { request, facts, route, customer, service, plan, body } = job
  const identifier = facts.identifier ?? ''
  const history: AttemptHistory = {
    repeat: route.repeat,
    resumable: route.resumable,
    maximumAttempts: route.maximumAttempts,
    runs: 0,
    rejections: 0,
    responseStarted: false
  }
  const tried = new Set<string>()
  /** An upstream has received the request, whether it ran it or not. */
  let arrived = false
  let attempt: Attempt | undefined
  /** The caller has left, or its time is over. */
  let cancelled = false
  let boundary: EventBoundary | undefined
  const urgency = urgencyOf(route, customer)
  const backlog = context.backlog(`${service}/${urgency ?? ''}`)
  /** Plain calls all have one rank. */
  const rank = urgency ?? 0
  let holders = 1
  /** All attempts go to the same version of a service that moves to a new one. */
  const versionDraw = context.random()
  let firstByteAt: MonotonicMilliseconds | undefined

  function executionSoFar (): ExecutionStatus {
    return history.runs === 0 ? ExecutionStatus.notRun : ExecutionStatus.unknown
  }

  /** The prompt has been read, or never will be. */
  function forgetUnread (current: Attempt): void {
    if (current.firstByteAt === undefined) backlog.requestEnded()
    if (current.unreadTokens === 0) return
    current.upstream.unreadTokens -= current.unreadTokens
    current.unreadTokens = 0
    context.engineLoads.read()
  }

  function hold (current: Attempt): void {
    if (current.isHeld) return
    current.isHeld = true
    attemptHeld(current.upstream)
    current.call.pause()
  }

  function release (current: Attempt): void {
    if (!current.isHeld) return
    const now = context.now().steady
    current.isHeld = false
    current.lastProgressAt = now
    attemptReleased(current.upstream, now)
  }

  function leave (current: Attempt): void {
    if (attempt !== current) return
    attempt = undefined
    const now = context.now().steady
    if (current.firstByteAt === undefined) observeLeastWait(current.upstream, rank, now - current.startedAt, now)
    forgetUnread(current)
    current.buffer.drop()
    release(current)
    attemptEnded(current.upstream)
  }

  /** Most milliseconds that newer weights than the upstream's may have been named for. */
  function oldWeightsAge (upstream: Upstream): number {
    const version = facts.model === undefined ? undefined : upstream.weights.get(facts.model)
    return version === undefined ? 0 : context.weights.age(facts.model!, version, context.now())
  }

  function choose (now: number): Upstream | undefined {
    const tooOld = context.oldWeightsLimit * OLD_WEIGHTS_SHARE
    const candidates = directory.usable(service, now).filter((upstream) => (
      !tried.has(upstream.entry.identifier) && oldWeightsAge(upstream) < tooOld
    ))
    const placement: PlacementRequest = {
      sharedSubject: plan.subject,
      sharedTokens: plan.sharedTokens,
      dataCentre: context.dataCentre,
      urgency: rank,
      holders,
      draw: context.random(),
      underOrder: context.underOrder(),
      hasOldWeights: (upstream) => oldWeightsAge(upstream) > OLD_WEIGHTS_GRACE_MS
    }
    return orderUpstreams(placement, context.moves.permitted(service, candidates, versionDraw, now), now)[0]
  }

  /** A key may have been taken away since the request was admitted. */
  function mayStillRun (now: Instant): boolean {
    if (customer === undefined) return true
    const present = context.table()?.customerOfKey(facts.key ?? '')
    return present?.name === customer.name && context.freshness.permitsKeys(now)
  }

  function send (): void {
    const now = context.now()
    if (!mayStillRun(now)) return giveUp(executionSoFar(), 'the key could not be checked again')
    const upstream = choose(now.steady)
    if (upstream === undefined) return giveUp(executionSoFar(), 'no upstream is usable')
    const wait = currentWait(upstream, rank, now.steady)
    if (history.repeat === RepeatRule.stream && history.runs === 0) {
      const expectedWait = backlog.expectedWait(now.steady)
      const shedding = decideShedding(expectedWait, route.latencyTarget, context.random())
      if (shedding.shed) return outcome.shed(expectedWait, shedding.retryAfter)
    }
    tried.add(upstream.entry.identifier)
    const left = timeLeft()
    const cache = directCache({
      plan,
      customer,
      model: facts.model,
      upstream,
      storeFor: context.cacheStoreFor,
      kept: context.kept,
      uniqueScope: identifier
    }, now.steady)
    const resumeAfter = boundary?.lastEvent() ?? (route.resumable ? facts.resumeAfter : undefined)
    const headers = dialect.upstreamHeaders(request.rawHeaders, body?.length, {
      timeLeft: left,
      upstream: upstream.entry.identifier,
      customer: customer?.name,
      urgency,
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
      sharedPart: plan.lastShared,
      keeps: cache.exportTo === undefined ? undefined : true,
      timeLeft: Math.round(left),
      wait: Math.round(wait),
      holders,
      configurationAge: Math.round(context.freshness.age(now))
    })
    history.runs += 1
    attemptBegan(upstream, plan.promptTokens, now.steady)
    backlog.requestStarted()
    const current: Attempt = {
      upstream,
      startedAt: now.steady,
      lastProgressAt: now.steady,
      firstByteAt: undefined,
      isHeld: false,
      unreadTokens: plan.promptTokens,
      head: undefined,
      buffer: context.answers.open(),
      call: callUpstream({
        endpoint: upstream.entry.endpoint,
        agent: context.connections.agentFor(upstream, !mayRepeat(history)),
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
    if (plan.promptTokens > 0) context.engineLoads.sent()
  }

  function giveUp (execution: ExecutionStatus, reason: string): void {
    if (answer.hasBegun()) outcome.brokenOff(reason)
    else outcome.gaveUp(execution, reason)
  }

  /** Requests that no upstream has received yet are no retries. */
  function mayRetry (): boolean {
    if (timeLeft() <= 0) return false
    return !arrived || context.retries.tryRetry(service, context.share(), context.now().steady)
  }

  /** Counts an attempt that ran for the judgement of the version that the service moves to. */
  function countForMove ({ upstream, startedAt, firstByteAt }: Attempt, failed: boolean): void {
    if (!context.moves.isMoving(service)) return
    context.sampler.record({
      service,
      route: route.name,
      isNew: context.moves.isNew(upstream),
      failed,
      firstByte: firstByteAt === undefined ? undefined : firstByteAt - startedAt
    })
  }

  /** Goes on after an attempt that gave no whole answer. */
  function next (end: AttemptOutcome, reason: string, passOn?: () => void): void {
    const step = decideNextStep(end, { ...history, responseStarted: answer.hasBegun() })
    if (step.kind === 'retry' && mayRetry()) return send()
    if (passOn !== undefined) return passOn()
    giveUp(executionSoFar(), reason)
  }

  /** @param isStuck the upstream lives, and only this attempt makes no progress */
  function onFailure (current: Attempt, reason: string, sent: boolean, isStuck = false): void {
    const { upstream } = current
    const now = context.now().steady
    // Judged while the attempt is still in flight: without one no upstream counts as silent.
    const isUnreachable = !sent || isSilent(upstream, now)
    leave(current)
    log(EdgeEvent.attemptFailed, { requestIdentifier: identifier, upstream: upstream.entry.identifier, reason, sent })
    if (!isStuck) pauseAfterFailure(upstream, now)
    if (isUnreachable) context.tellFailure(upstream)
    context.connections.abandon(upstream)
    boundary?.dropRest()
    arrived ||= sent
    if (sent) {
      countForMove(current, true)
      return next(AttemptOutcome.unknown, reason)
    }
    history.runs -= 1
    history.rejections += 1
    next(AttemptOutcome.notRun, reason)
  }

  /** Ends an attempt whose answer or silence shows that no whole answer will come. */
  function abandon (current: Attempt, reason: string, isStuck = false): void {
    current.call.cancel()
    onFailure(current, reason, true, isStuck)
  }

  function onHead (current: Attempt, head: IncomingMessage): void {
    const now = context.now().steady
    const { upstream } = current
    heardFrom(upstream, now)
    current.lastProgressAt = now
    const status = head.statusCode ?? 0
    const stated = dialect.readAnswer(status, head.headers)
    // At the upstream's address another one may answer.
    const isOther = stated.misdirected && stated.answeredBy !== upstream.entry.identifier
    if (!isOther) context.words.note(upstream, stated.word, now)
    if (stated.notRun) return onRejected(current, status, stated.answeredBy, stated.misdirected)
    if (stated.identifier !== identifier || !stated.signed) {
      return abandon(current, 'the answer belongs to another request or bears no signature')
    }
    if (stated.weightsVersion !== undefined && facts.model !== undefined) {
      learnWeights(upstream, { model: facts.model, version: stated.weightsVersion })
    }
    current.head = head
    const isStream = status === 200 && history.repeat === RepeatRule.stream
    const length = Number(head.headers['content-length'] ?? 0)
    if (!isStream && length > LONGEST_ANSWER_BYTES) return abandon(current, TOO_LONG)
    if (!isStream || answer.hasBegun()) return
    boundary = createEventBoundary()
    answer.begin(status, head.statusMessage, head.rawHeaders, true)
  }

  /** The upstream states that it has not run the request. */
  function onRejected (
    current: Attempt, status: number, answeredBy: string | undefined, misdirected: boolean
  ): void {
    current.call.cancel()
    leave(current)
    arrived = true
    const { upstream } = current
    const now = context.now().steady
    const wanted = facts.model === undefined ? undefined : context.weights.wanted(facts.model)
    const isBehind = wanted !== undefined && (upstream.weights.get(facts.model!) ?? 0) < wanted
    const isOther = misdirected && answeredBy !== undefined && answeredBy !== upstream.entry.identifier
    if (misdirected && !isOther && isBehind) learnWeights(upstream, { model: facts.model!, version: wanted })
    else pauseAfterRefusal(upstream, isBehind || isOther, now)
    log(EdgeEvent.attemptRejected, {
      requestIdentifier: identifier, upstream: upstream.entry.identifier, status, answeredBy, isBehind
    })
    history.runs -= 1
    history.rejections += 1
    next(AttemptOutcome.notRun, `the upstream answered ${status} without running the request`)
  }

  function isStreamed (current: Attempt): boolean {
    return boundary !== undefined && current.head?.statusCode === 200
  }

  function onData (current: Attempt, chunk: Buffer): void {
    const now = context.now().steady
    heardFrom(current.upstream, now)
    if (current.firstByteAt === undefined) {
      current.firstByteAt = now
      firstByteAt ??= now
      backlog.firstByteReceived(now)
      forgetUnread(current)
      observeWait(current.upstream, rank, now - current.startedAt, now)
    }
    if (!isStreamed(current)) {
      current.lastProgressAt = now
      if (!current.buffer.push(chunk)) abandon(current, TOO_LONG)
      return
    }
    const events = boundary!.push(chunk)
    if (events !== undefined && hasContent(events)) current.lastProgressAt = now
    if (events !== undefined && !answer.write(events)) hold(current)
    if (boundary!.overflowed()) abandon(current, 'an event is too long')
  }

  function onEnd (current: Attempt): void {
    const { head, upstream } = current
    if (isStreamed(current)) {
      if (boundary!.rest().length > 0) return onFailure(current, 'the stream ended within an event', true)
      leave(current)
      countForMove(current, false)
      answer.end()
      return outcome.succeeded(upstream, 200)
    }
    const bytes = current.buffer.take()
    leave(current)
    arrived = true
    const status = head?.statusCode ?? 0
    countForMove(current, status >= 500)
    if (status >= 500 || PROMISING_STATUSES.has(status)) {
      return next(AttemptOutcome.failed, `the upstream answered ${status}`, () => { passOn(current, status, bytes) })
    }
    passOn(current, status, bytes)
  }

  function passOn ({ head, upstream }: Attempt, status: number, bytes: Buffer): void {
    if (answer.hasBegun()) return outcome.brokenOff(`the upstream answered ${status} to a resumed stream`)
    if (PROMISING_STATUSES.has(status)) {
      return outcome.gaveUp(ExecutionStatus.unknown, `the upstream answered ${status} after it may have run the request`)
    }
    answer.begin(status, head?.statusMessage, head?.rawHeaders ?? [])
    answer.end(bytes)
    outcome.succeeded(upstream, status)
  }

  return {
    send () {
      if (plan.subject !== undefined) {
        const ownTokens = Math.max(0, plan.promptTokens - plan.sharedTokens)
        holders = context.demand.holders(plan.subject, ownTokens, context.instances(), context.now().steady)
      }
      context.retries.recordRequest(service, context.now().steady)
      if (plan.promptTokens === 0) return send()
      context.engineLoads.refresh().catch(context.fault).then(() => { if (!cancelled) send() }).catch(context.fault)
    },
    check (now) {
      if (attempt === undefined || attempt.isHeld) return
      if (!mayRepeat(history) || history.runs >= history.maximumAttempts) return
      const quiet = now.steady - attempt.lastProgressAt
      const limit = history.repeat === RepeatRule.safe ? timeLeft() * REPEAT_SHARE : STUCK_STREAM_MS
      const isQuiet = isSilent(attempt.upstream, now.steady)
      const isLost = isQuiet && quiet > CONNECT_LIMIT_MS
      if (quiet >= limit || isLost) abandon(attempt, `no progress for ${Math.round(quiet)} ms`, !isQuiet)
    },
    cancel () {
      cancelled = true
      if (attempt === undefined) return
      attempt.call.cancel()
      leave(attempt)
    },
    resume () {
      if (attempt === undefined) return
      release(attempt)
      attempt.call.resume()
    },
    counts: () => ({ runs: history.runs, rejections: history.rejections }),
    lastEvent: () => boundary?.lastEvent(),
    firstByteAt: () => firstByteAt
  }
}
