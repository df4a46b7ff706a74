/** Sends an admitted request to upstreams until one returns a complete response or no further attempt is permitted. */
import type { IncomingMessage } from 'node:http'
import { MAX_RESPONSE_BYTES } from './responseBuffers'
import { createAttemptAccounting, type Attempt } from './attempt'
import { openAttempt } from './attemptOpening'
import { createAttemptPreparation } from './attemptPreparation'
import {
  AttemptOutcome, createAttemptHistory, executionStatus, isFailure, mayRepeat, NOT_EXECUTED_STATUSES,
  Obstacle, provesSurvival
} from './attemptDecision'
import type { CallerResponse } from './callerResponse'
import { createContinuation } from './continuation'
import { createCrashGuard } from './crashGuard'
import { countData, createEventBoundary, type EventBoundary } from './eventBoundary'
import { EdgeEvent } from './events'
import { createFaultContainment } from './faultContainment'
import type { AdmittedRequest, ExchangeContext } from './exchangeContext'
import type { AttemptFailure, Dispatch, DispatchCallbacks } from './dispatchTypes'
import { urgencyOf } from './promptPlan'
import type { GrantedRetry } from './retryAllowance'
import { createTargetSelection, urgencyRank } from './targetSelection'
import { isFinalResponseHead } from '../http/headText'
import { ExecutionStatus, type MonotonicMilliseconds } from '../types'
import type { RefusedVerdict } from '../upstream/crashAttribution'
import { RepeatRule, RequestLimitKind, type Instant } from './types'
import { isFramed } from './upstreamCall'
import {
  recordActivity, isQuiet, isSilent, recordWeights, pauseAfterFailure,
  recordRejection, SILENCE_TIMEOUT_MS, type Upstream
} from './upstreamDirectory'

/** Retry-after in milliseconds of a request that waited for a trial in vain. */
const TRIAL_RETRY_MS = 300

/** Reason in the log for a response that exceeds the buffer limit of one response or of all responses. */
const RESPONSE_TOO_LONG = 'the answer is too long'
/** Reason in the log for a request that was stopped because such requests crash upstreams. */
const CRASHES_UPSTREAMS = 'such requests crash upstreams'

export function createDispatch (
  context: ExchangeContext, admittedRequest: AdmittedRequest, callerResponse: CallerResponse, timeLeft: () => number,
  callbacks: DispatchCallbacks
): Dispatch {
  const { dialect, directory, log } = context
  const { request, callerRequest, route, customer, service, plan, body } = admittedRequest
  const identifier = callerRequest.identifier ?? ''
  /** Whether the other instances are told of calls without a prompt, which take places of plain upstreams. */
  const reportsCalls = context.admissionOrder !== undefined && plan.promptTokens === 0
  const history = createAttemptHistory(route)
  const targets = createTargetSelection(context, admittedRequest, timeLeft)
  let attempt: Attempt | undefined
  /** Attempt at another upstream that replaces the present one as soon as that upstream begins to answer. */
  let successor: Attempt | undefined
  /** Whether the caller disconnected or the request timed out. */
  let cancelled = false
  let eventBoundary: EventBoundary | undefined
  const urgency = urgencyOf(route, customer)
  const backlog = context.backlog(`${service}/${urgency ?? ''}`)
  const rank = urgencyRank(urgency)
  const accounting = createAttemptAccounting(context, backlog, rank, reportsCalls)
  const crashGuard = createCrashGuard(context, {
    callerRequest, customer: customer?.name, method: request.method!, path: request.url!, body
  })
  const continuation = createContinuation(context, {
    admittedRequest, callerResponse, history, targets, crashGuard, timeLeft, attempt: () => attempt
  })
  let firstByteAt: MonotonicMilliseconds | undefined
  const contain = createFaultContainment(callbacks.onFault)
  const preparation = createAttemptPreparation(context, {
    admittedRequest,
    targets,
    crashGuard,
    backlog,
    timeLeft,
    hasRun: () => history.runs > 0,
    canSend: continuation.canSend,
    findEnd: continuation.findEnd
  }, {
    onReady (upstream, now) {
      if (continuation.isProgressing(now)) return
      const retry = continuation.takeRetry(now.steady)
      if (retry !== undefined) sendTo(upstream, retry, now)
      else if (attempt === undefined) preparation.start()
    },
    onUnavailable (reason, obstacle) { fail(executionStatus(history), reason, obstacle) },
    onConvicted: rejectConvicted,
    onSuspected (trait) {
      if (history.runs === 0) callbacks.onSuspected(trait, TRIAL_RETRY_MS)
      else fail(ExecutionStatus.unknown, CRASHES_UPSTREAMS, Obstacle.crashes)
    },
    onShed: callbacks.onShed,
    onRefusedInOrder: callbacks.onRefusedInOrder,
    onFault: callbacks.onFault
  })

  /** Removes an attempt and undoes its accounting at the upstream. A successor takes its place. */
  function detachAttempt (current: Attempt): void {
    if (current !== attempt && current !== successor) return
    if (current === attempt) {
      attempt = successor
      eventBoundary?.discardPartialEvent()
    }
    successor = undefined
    current.retry.release()
    accounting.end(current, context.now().steady)
  }

  function cancelAttempt (current: Attempt): void {
    current.call.cancel()
    detachAttempt(current)
  }

  /** Cancels what is in progress besides the attempt that goes on or has ended the request. */
  function endTakeover (): void {
    if (successor === undefined) return
    const { upstream, connectedAt } = successor
    log(EdgeEvent.takeoverCancelled, { requestIdentifier: identifier, upstream: upstream.entry.identifier })
    cancelAttempt(successor)
    if (connectedAt === undefined) takeBackRun(upstream)
    else history.cancellations += 1
  }

  /** Records that the request was not sent to the upstream after all. */
  function takeBackRun (upstream: Upstream): void {
    history.runs -= 1
    targets.markUnsent(upstream)
  }

  /** Ends all work on the request, which has got its final response. */
  function settle (): void {
    preparation.cancel()
    endTakeover()
  }

  /** Rejects the request because upstreams crash when they answer such requests, unless an attempt is in progress. */
  function rejectConvicted ({ trait, retryAfter }: RefusedVerdict): void {
    if (history.runs === 0) callbacks.onConvicted(trait, retryAfter)
    else fail(ExecutionStatus.unknown, CRASHES_UPSTREAMS, Obstacle.crashes)
  }

  function sendTo (upstream: Upstream, retry: GrantedRetry, now: Instant): void {
    targets.markTried(upstream)
    // The attempt comes before its accounting, which would have to be undone if it could not be created.
    const tokens = targets.tokens()
    const current = openAttempt(context, admittedRequest, {
      upstream,
      urgency,
      tokens,
      knownUncachedTokens: history.runs === 0 ? targets.knownUncachedTokens() : undefined,
      history,
      retry,
      timeLeft: timeLeft(),
      lastEvent: eventBoundary?.lastEvent(),
      suspectTrait: crashGuard.suspectTrait(now.steady),
      replicas: targets.replicas(),
      hasOtherUpstream: targets.canMove,
      replaces: attempt?.upstream.entry.identifier
    }, {
      onConnected () { current.connectedAt = context.now().steady },
      onHead: contain((head) => { onHead(current, head) }),
      onData: contain((chunk) => { onData(current, chunk) }),
      onEnd: contain(() => { onEnd(current) }),
      onFailure: contain((reason, sent) => {
        if (sent) crashGuard.recordLoss(current, context.now().steady)
        onAttemptFailed(current, { reason, sent })
      })
    }, now)
    history.runs += 1
    accounting.start(upstream, tokens, now.steady)
    if (attempt === undefined) attempt = current
    else successor = current
    if (plan.promptTokens > 0 || reportsCalls) context.engineLoads.promptSent()
  }

  /** Reports that the request failed, unless an attempt is still in progress. */
  function fail (execution: ExecutionStatus, reason: string, obstacle: Obstacle): void {
    if (attempt !== undefined) return
    settle()
    if (callerResponse.hasStarted()) callbacks.onAborted(reason, obstacle)
    else callbacks.onFailure(execution, reason, obstacle)
  }

  /**
   * Sends the request to another upstream if the attempt makes no progress. The attempt goes on until that upstream
   * begins to answer: it may still turn the request away, and the present one may only have paused.
   */
  function takeOver (current: Attempt, now: Instant): void {
    if (successor !== undefined || preparation.isInProgress()) return
    if (!continuation.mayTakeOver() || !continuation.isStalledAt(current, now)) return
    targets.restrictToFormer(history.runs >= history.maximumAttempts)
    if (!targets.canMove(now)) targets.permitAgain(current.upstream)
    const isUpstreamSilent = isSilent(current.upstream, now.steady)
    continuation.recordArrival()
    if (!continuation.canMove(now, isUpstreamSilent ? current : undefined)) return
    if (isUpstreamSilent) {
      crashGuard.recordSilence(current, now.steady)
      context.reportUnreachable(current.upstream)
    }
    preparation.start()
  }

  /** Gives up the attempt, because the upstream of its successor has begun to answer. */
  function replaceAttempt (current: Attempt, now: Instant): void {
    const idleMs = Math.round(now.steady - current.lastProgressAt)
    history.cancellations += 1
    abortAttempt(current, `no progress for ${idleMs} ms`, !isSilent(current.upstream, now.steady))
  }

  /** Ends an attempt that can no longer succeed; returns whether it did. */
  function endHopeless (current: Attempt, now: MonotonicMilliseconds): boolean {
    if (crashGuard.mustWithdraw(current, now)) {
      abortAttempt(current, CRASHES_UPSTREAMS, true)
      return true
    }
    const isIdle = now - current.lastProgressAt > SILENCE_TIMEOUT_MS
    if (!isIdle || !directory.hasNewerRun(current.upstream.entry)) return false
    crashGuard.recordSilence(current, now)
    abortAttempt(current, 'another run has replaced the upstream', true)
    return true
  }

  /**
   * Continues after an attempt that ended without a complete response.
   * @param forward forwards the upstream's error response if the request is not retried
   */
  function continueAfter (attemptOutcome: AttemptOutcome, reason: string, forward?: () => void): void {
    if (attempt !== undefined) return takeOver(attempt, context.now())
    targets.restrictToFormer(history.runs >= history.maximumAttempts)
    const end = continuation.findEndAfter(attemptOutcome, context.now().steady)
    if (end === undefined) return preparation.isInProgress() ? undefined : preparation.start()
    if (forward !== undefined && !callerResponse.hasStarted()) return forward()
    fail(executionStatus(history), reason, end)
  }

  function onAttemptFailed (current: Attempt, { reason, sent, isStalled, isGivenUp }: AttemptFailure): void {
    const { upstream } = current
    const now = context.now().steady
    if (isGivenUp !== true) context.coldLimits.recordLoss(upstream.entry, now)
    // Evaluated before the attempt is detached: an upstream without requests in flight never counts as silent.
    const isUnreachable = !sent || isSilent(upstream, now)
    detachAttempt(current)
    log(EdgeEvent.attemptFailed, {
      requestIdentifier: identifier,
      upstream: upstream.entry.identifier,
      reason,
      sent,
      isGivenUp,
      hasBegun: current.firstByteAt !== undefined,
      timeLeft: Math.round(timeLeft()),
      traits: crashGuard.traits()
    })
    if (isStalled !== true) pauseAfterFailure(upstream, now)
    if (isUnreachable) context.reportUnreachable(upstream)
    context.connections.closeIdle(upstream)
    if (sent) {
      continuation.recordArrival()
      current.sample.recordEnd(true, context.now().steady)
      return continueAfter(AttemptOutcome.unknown, reason)
    }
    takeBackRun(upstream)
    history.rejections += 1
    continueAfter(AttemptOutcome.notRun, reason)
  }

  /** Aborts an attempt that cannot yield a complete response, because of an invalid response or missing progress. */
  function abortAttempt (current: Attempt, reason: string, isStalled = false): void {
    current.call.cancel()
    onAttemptFailed(current, { reason, sent: true, isStalled, isGivenUp: true })
  }

  function onHead (current: Attempt, head: IncomingMessage): void {
    const now = context.now().steady
    const { upstream } = current
    recordActivity(upstream, now)
    current.lastProgressAt = now
    const status = head.statusCode ?? 0
    if (!isFinalResponseHead(status, head.statusMessage ?? '', head.rawHeaders)) {
      return abortAttempt(current, 'the response head is malformed')
    }
    const metadata = dialect.readResponse(status, head.headers)
    // Another upstream may respond at the address of the selected one.
    const isOtherUpstream = metadata.misdirected && metadata.answeredBy !== upstream.entry.identifier
    if (!isOtherUpstream) context.upstreamHints.apply(upstream, metadata.upstreamHint, now)
    // A rejection without an identifier may repeat that of an earlier request on the connection.
    const isOwn = metadata.identifier === identifier ||
      (metadata.notRun && metadata.identifier === undefined && !current.call.isConnectionReused())
    if (isOwn && metadata.notRun) return onRejected(current, status, metadata.answeredBy, metadata.misdirected)
    if (!isOwn || !metadata.signed) {
      return abortAttempt(current, 'the response belongs to another request or is not signed')
    }
    const isSuccess = status >= 200 && status < 300
    if (isSuccess && metadata.upstreamHint.requestLimit.kind === RequestLimitKind.none) {
      context.requestLimits.applyAbsence(upstream.entry, current.startedAt)
    }
    if (metadata.weightsVersion !== undefined && callerRequest.model !== undefined) {
      recordWeights(upstream, { model: callerRequest.model, version: metadata.weightsVersion })
    }
    current.head = head
    const isStream = status === 200 && history.repeat === RepeatRule.stream
    const length = Number(head.headers['content-length'] ?? 0)
    if (!isStream && length > MAX_RESPONSE_BYTES) return abortAttempt(current, RESPONSE_TOO_LONG)
    if (isStream) eventBoundary ??= createEventBoundary(mayRepeat(history), context.recordPartialEvents)
    if (current === successor) return onSuccessorHead(current, status)
    if (!isFailure(status)) endTakeover()
  }

  /** Replaces the attempt by its successor, unless that one's response is of no use. */
  function onSuccessorHead (current: Attempt, status: number): void {
    const isUsable = callerResponse.hasStarted() ? status === 200 : !isFailure(status)
    if (isUsable) replaceAttempt(attempt!, context.now())
    else abortAttempt(current, `the upstream answered ${status} while another attempt was in progress`, true)
  }

  /** Forwards the head of a stream. It waits for the first event: until then, the request can still be refused. */
  function startStream ({ head }: Attempt): void {
    if (callerResponse.hasStarted()) return
    callerResponse.writeHead(200, head!.statusMessage, head!.rawHeaders, true)
  }

  /** Handles a response that states that the upstream has not run the request. */
  function onRejected (current: Attempt, status: number, answeredBy: string | undefined, misdirected: boolean): void {
    cancelAttempt(current)
    continuation.recordArrival()
    const { upstream } = current
    const isBehind = recordRejection(upstream, {
      model: callerRequest.model, misdirected, answeredBy, targetVersion: context.weightsRollout.target
    }, context.now().steady)
    log(EdgeEvent.attemptRejected, {
      requestIdentifier: identifier, upstream: upstream.entry.identifier, status, answeredBy, isBehind
    })
    if (!misdirected) context.admissionOrder?.places.recordTurnedAway(upstream, context.now().steady)
    takeBackRun(upstream)
    history.rejections += 1
    if (history.runs > 0) targets.markTurnedAway(upstream, history.rejections, context.now().steady)
    continueAfter(AttemptOutcome.notRun, `the upstream answered ${status} without running the request`)
  }

  /** Whether the response is forwarded event by event. */
  function isStreamed (current: Attempt): boolean {
    return eventBoundary !== undefined && current.head?.statusCode === 200
  }

  function onData (current: Attempt, chunk: Buffer): void {
    const now = context.now().steady
    recordActivity(current.upstream, now)
    if (current.firstByteAt === undefined) {
      firstByteAt ??= now
      accounting.recordFirstByte(current, now)
      current.sample.recordFirstByte(now)
    }
    crashGuard.recordProgress(current, now)
    if (!isStreamed(current)) {
      current.lastProgressAt = now
      if (!current.buffer.push(chunk)) abortAttempt(current, RESPONSE_TOO_LONG)
      return
    }
    const events = eventBoundary!.push(chunk)
    if (eventBoundary!.isMalformed()) return abortAttempt(current, 'the identifier of an event is malformed')
    const eventCount = events === undefined ? 0 : countData(events)
    if (eventCount > 0) {
      current.lastProgressAt = now
      current.sample.recordEvents(eventCount, now)
      endTakeover()
    }
    if (events !== undefined) {
      startStream(current)
      if (!callerResponse.write(events)) accounting.pause(current)
    }
    if (eventBoundary!.isOversized()) abortAttempt(current, 'an event is too long')
  }

  function onEnd (current: Attempt): void {
    const { head, upstream } = current
    if (isStreamed(current)) {
      // An upstream that crashes may close its connections without resetting them.
      const isEmpty = current.firstByteAt === undefined && !isFramed(head!)
      if (isEmpty || eventBoundary!.partialEvent().length > 0) {
        crashGuard.recordLoss(current, context.now().steady)
        const reason = isEmpty ? 'the stream has no event' : 'the stream ended within an event'
        return onAttemptFailed(current, { reason, sent: true })
      }
      settle()
      detachAttempt(current)
      const now = context.now().steady
      current.sample.recordEnd(false, now)
      crashGuard.recordAnswer(current, now)
      startStream(current)
      callerResponse.end()
      return callbacks.onSuccess(upstream, 200)
    }
    const bytes = current.buffer.take()
    const status = head?.statusCode ?? 0
    if (!isFailure(status)) settle()
    detachAttempt(current)
    continuation.recordArrival()
    const now = context.now().steady
    current.sample.recordEnd(status >= 500, now)
    if (provesSurvival(status)) crashGuard.recordAnswer(current, now)
    if (isFailure(status)) {
      return continueAfter(AttemptOutcome.failed, `the upstream answered ${status}`, () => { forwardResponse(current, status, bytes) })
    }
    forwardResponse(current, status, bytes)
  }

  function forwardResponse ({ head, upstream }: Attempt, status: number, bytes: Buffer): void {
    settle()
    if (callerResponse.hasStarted()) return callbacks.onAborted(`the upstream answered ${status} to a resumed stream`)
    if (NOT_EXECUTED_STATUSES.has(status)) {
      return callbacks.onFailure(ExecutionStatus.unknown, `the upstream answered ${status} after it may have run the request`)
    }
    callerResponse.writeHead(status, head?.statusMessage, head?.rawHeaders ?? [])
    callerResponse.end(bytes)
    callbacks.onSuccess(upstream, status)
  }

  return {
    send () {
      const now = context.now().steady
      const conviction = crashGuard.findConviction(false, now)
      if (conviction !== undefined) return rejectConvicted(conviction)
      targets.start(now)
      context.retryAllowance.recordRequest(service, now)
      if (plan.promptTokens === 0 && !reportsCalls) return preparation.start()
      context.engineLoads.refresh().catch(context.reportFault)
        .then(() => { if (!cancelled) preparation.start() }).catch(callbacks.onFault)
    },
    check (now) {
      if (attempt === undefined) return
      if (successor !== undefined) endHopeless(successor, now.steady)
      if (attempt.isPaused || endHopeless(attempt, now.steady)) return
      attempt.sample.recordRunning(now.steady)
      takeOver(attempt, now)
    },
    cancel (isOverdue) {
      cancelled = true
      preparation.cancel()
      const now = context.now().steady
      for (const current of [successor, attempt]) {
        if (current === undefined) continue
        if (isQuiet(current.upstream, now)) crashGuard.recordSilence(current, now)
        if (isOverdue) current.sample.recordEnd(true, now)
        cancelAttempt(current)
      }
    },
    release () {
      crashGuard.releasePermits(history.runs > 0)
      eventBoundary?.discardPartialEvent()
    },
    resume () {
      if (attempt === undefined) return
      accounting.resume(attempt, context.now().steady)
      attempt.call.resume()
    },
    counts: () => ({ runs: history.runs, rejections: history.rejections }),
    lastEvent: () => eventBoundary?.lastEvent(),
    firstByteAt: () => firstByteAt
  }
}
