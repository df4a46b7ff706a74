/**
 * Runs one admitted completion: makes attempts, relays chunks, resumes interrupted streams, retries, and replaces silent
 * attempts once another one has begun to answer.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { CrashingRequestError, RouterError, UpstreamTimeoutError } from '../errors'
import { LogEvent } from '../observability/events'
import { MetricName } from '../observability/metrics'
import { cacheSaltOf } from '../prefix/blockKeys'
import type { BlockKeyFunction } from '../prefix/types'
import type { AttemptFailure } from '../request/execution'
import { EndReason } from '../request/endReason'
import { decideNextStep, LOST_AFTER_PAUSES, mayRunBeside, refusalPause, upstreamsOf } from '../request/nextStep'
import type { NextStep } from '../request/nextStep'
import type { RetryBudget } from '../request/retryBudget'
import { createStreamAssembler } from '../request/streamAssembler'
import { connectionError } from '../upstream/attempt'
import type { CrashLedger } from '../upstream/crashLedger'
import type { AttemptTimeouts, CompletionChunk, UpstreamClient } from '../upstream/types'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'
import { failureOf, finalError, Liveness, SILENCE_CHECK_INTERVAL_MS } from './attemptOutcome'
import type { AttemptOutcomes } from './attemptOutcome'
import { createAttemptRace } from './attemptRace'
import type { AttemptRace, AttemptSource } from './attemptRace'
import type { Attempt, FailedAttempt, RunContext, RunState, RunUsage } from './completionAttempt'
import { createCompletionRecords } from './completionRecords'
import type { CompletionRecordsOptions } from './completionRecords'
import type { CompletionPiece } from './completionTypes'
import type { Dispatcher, DispatchWork, Placement } from './dispatcher'

export interface CompletionRunOptions extends CompletionRecordsOptions {
  dispatcher: Dispatcher
  client: Pick<UpstreamClient, 'complete' | 'cancel'>
  outcomes: AttemptOutcomes
  crashes: CrashLedger
  retryBudget: RetryBudget
  blockKeys: BlockKeyFunction
  /**
   * Returns the version for a new or restarted request. `failed` is the version that failed before its first byte, if
   * any.
   */
  chooseVersion: (model: string, failed: string | undefined) => string
  timeouts: AttemptTimeouts
  /** Maximum time in the queue, in milliseconds. */
  maximumWait: number
}

type FurtherStep = Exclude<NextStep, { kind: 'giveUp' }>

export function createCompletionRun (options: CompletionRunOptions) {
  const { dispatcher, client, outcomes, crashes, log, metrics, now } = options
  const { recordChunk, recordCompletion, recordAttempt, recordResume } = createCompletionRecords(options)

  /** Yields the pieces of the complete response and updates `usage` as they arrive. */
  return async function * run (context: RunContext, usage: RunUsage): AsyncGenerator<CompletionPiece, void, undefined> {
    const { job } = context
    const state: RunState = {
      context,
      usage,
      assembler: createStreamAssembler(job.identifier),
      assembledAttempt: 0,
      failures: [],
      attempts: 0,
      besideAfter: -Infinity
    }
    const race = createAttemptRace<Attempt, CompletionChunk>({
      signal: job.signal,
      onSilence (attempt) {
        attempt.isSilent = true
        log(LogEvent.attemptSilent, { ...attemptFields(state, attempt), chunks: attempt.chunks })
        attempt.placement.releasePrefix()
        checkSilent(job.identifier, attempt, race)
      },
      onProgress: ({ placement }) => { outcomes.handleProgress(placement) },
      startBeside (leader, beside) {
        const silent = [leader, ...beside]
        for (const attempt of silent) {
          if (now() - attempt.checkedAt >= SILENCE_CHECK_INTERVAL_MS) checkSilent(job.identifier, attempt, race)
        }
        return startBeside(state, leader, silent)
      },
      onBesideFailed (attempt, error) {
        attempt.placement.release(true)
        recordFailure(state, attempt, error)
        state.besideAfter = now() + refusalPause(state.failures)
      },
      onBesideCancelled (attempt, answering) {
        attempt.placement.release(false)
        cancelAttempt(state, attempt, answering.number)
      },
      onReplaced (replaced, successor) {
        replaced.placement.release(true)
        cancelAttempt(state, replaced, successor.number)
        recordAttempt(context, replaced, true, 0)
        if (state.assembler.deliveredChunks() > 0) recordResume(state, successor.number)
      }
    })
    let version = options.chooseVersion(job.request.model, undefined)
    let step: FurtherStep | undefined
    try {
      while (true) {
        race.lead(sourceOf(state, await startAttempt(state, version, step)))
        const failed = yield * relay(state, race)
        if (failed === undefined) return
        step = await decideAfterFailure(state, failed)
        if (step.kind === 'restart') version = options.chooseVersion(job.request.model, version)
        else recordResume(state, state.attempts + 1)
      }
    } finally {
      // Attempts are left only if the caller has disconnected or stopped reading.
      for (const attempt of race.close()) abandonAttempt(state, attempt)
    }
  }

  /** Relays chunks to the end of the completion. Returns the last attempt if it has failed and none is left. */
  async function * relay (
    state: RunState, race: AttemptRace<Attempt, CompletionChunk>
  ): AsyncGenerator<CompletionPiece, FailedAttempt | undefined, undefined> {
    const { context, assembler, usage } = state
    const { signal } = context.job
    while (true) {
      const event = await race.next()
      const { attempt } = event
      if (event.kind === 'failed') {
        attempt.placement.release(!signal.aborted)
        if (signal.aborted) {
          abandonAttempt(state, attempt)
          throw signal.reason
        }
        if (race.promote() === undefined) return event
        recordFailure(state, attempt, event.error)
        continue
      }
      const chunk = event.value
      try {
        accept(state, attempt, chunk)
      } catch (error) {
        race.fail(attempt, error)
        continue
      }
      usage.outputTokens = assembler.deliveredChunks()
      attempt.handle.progressed(usage.outputTokens)
      recordChunk(context, attempt, chunk)
      if (!chunk.final) {
        yield { text: chunk.text }
        continue
      }
      race.finish()
      attempt.handle.ended(true)
      attempt.placement.release(false)
      recordCompletion(context, attempt, chunk, usage)
      yield createFinalPiece(context, chunk, usage)
      return undefined
    }
  }

  function accept (state: RunState, attempt: Attempt, chunk: CompletionChunk): void {
    if (attempt.number !== state.assembledAttempt) state.assembler.beginAttempt(attempt.number)
    state.assembledAttempt = attempt.number
    state.assembler.accept(chunk)
  }

  /** Decides the next step after the failure of the only attempt. Throws the final error if there is none. */
  async function decideAfterFailure (state: RunState, { attempt, error }: FailedAttempt): Promise<FurtherStep> {
    const { context, failures, usage } = state
    const { identifier, caller, signal } = context.job
    failures.push(await outcomes.handleFailure(identifier, attempt.number, attempt.placement, attempt.handle, error))
    usage.sent = failures.some(({ progress }) => progress !== 'notSent')
    recordAttempt(context, attempt, true, 0)
    const next = decideNextStep({
      idempotent: true,
      failures,
      deliveredChunks: state.assembler.deliveredChunks(),
      deadline: deadlineOf(context),
      callerDisconnected: signal.aborted,
      crashing: isCrashing(context)
    }, () => options.retryBudget.tryRetry(caller.customer, attempt.placement.upstream, now()), now())
    if (next.kind === 'giveUp') throw finalError(next, error)
    return next
  }

  /** Records the failure of an attempt while another one is running. */
  function recordFailure (state: RunState, attempt: Attempt, error: unknown): void {
    const { identifier } = state.context.job
    state.failures.push(failureOf(attempt.placement.upstream, error))
    outcomes.handleFailure(identifier, attempt.number, attempt.placement, attempt.handle, error)
      .catch((fault: unknown) => { outcomes.reportFault(fault, identifier) })
    recordAttempt(state.context, attempt, true, 0)
  }

  function cancelAttempt (state: RunState, attempt: Attempt, replacedBy: number): void {
    const { identifier } = state.context.job
    const { number, placement, handle } = attempt
    state.failures.push(outcomes.handleCancelled(identifier, number, placement, handle, replacedBy))
    client.cancel(placement.endpoint, identifier, number).catch(() => {})
  }

  function abandonAttempt ({ context }: RunState, { number, placement, handle }: Attempt): void {
    const { identifier, signal } = context.job
    placement.release(false)
    handle.ended(false)
    if (signal.aborted) client.cancel(placement.endpoint, identifier, number).catch(() => {})
  }

  /** Probes the upstream of a silent attempt, and ends the attempt if the upstream's process has ended. */
  function checkSilent (
    identifier: string, attempt: Attempt, race: AttemptRace<Attempt, CompletionChunk>
  ): void {
    attempt.checkedAt = now()
    outcomes.checkSilent(attempt.placement).then((liveness) => {
      if (!attempt.isSilent) return
      attempt.liveness = liveness
      if (liveness !== Liveness.ended) return
      const progress = attempt.chunks > 0 ? 'started' : 'maybeStarted'
      race.fail(attempt, connectionError('the process has ended', progress))
    }).catch((fault: unknown) => { outcomes.reportFault(fault, identifier) })
  }

  function deadlineOf (context: RunContext): MonotonicMilliseconds {
    return context.startedAt + options.timeouts.whole
  }

  function isCrashing ({ job }: RunContext): boolean {
    return crashes.verdict(job.fingerprint, now()).kind === 'refused'
  }

  async function startAttempt (state: RunState, version: string, step: FurtherStep | undefined): Promise<Attempt> {
    const { context, failures } = state
    const { job } = context
    const isResumption = step?.kind === 'resume'
    if (isResumption) await pause(step.pauseMilliseconds, job.signal)
    const work: DispatchWork = {
      ...workOf(context, version, blockKeysOf(context, version)),
      // The wait of new work is limited, that of a stream which has begun only by the time limit of its request.
      deadline: isResumption ? deadlineOf(context) : now() + options.maximumWait,
      exclude: step?.exclude ?? [],
      excludeStrictly: isResumption ? step.excludeStrictly : [],
      isResumption
    }
    const placement = await dispatcher.place(work, job.signal)
      .catch((error: unknown) => {
        if (isResumption && now() >= work.deadline) throw waitExceeded(error)
        throw adjustExecutionStatus(error, failures)
      })
    const attempt = createAttempt(state, work, placement, undefined)
    if (attempt.number === 1) options.retryBudget.recordRequest(job.caller.customer, placement.upstream, now())
    return attempt
  }

  /**
   * Returns an attempt to run beside the silent ones, if the retry budget permits it and an upstream has room now. A
   * silent upstream is used again only if it answers on new connections and no other upstream is usable.
   */
  function startBeside (
    state: RunState, leader: Attempt, silent: readonly Attempt[]
  ): AttemptSource<Attempt, CompletionChunk> | undefined {
    const { context, failures } = state
    const { job } = context
    const time = now()
    const progress = { failures, deadline: deadlineOf(context), crashing: isCrashing(context) }
    const pauses = (time - leader.lastTokenAt) / options.timeouts.betweenChunks
    if (time < state.besideAfter || !mayRunBeside(progress, { running: silent.length, pauses }, time)) return undefined
    const { upstream } = leader.placement
    const upstreams = silent.map(({ placement }) => placement.upstream)
    const unresponsive = silent.filter(({ liveness }) => liveness !== Liveness.alive)
    const work: DispatchWork = {
      ...workOf(context, leader.version, leader.blockKeys),
      identifier: `${job.identifier}/${state.attempts + 1}`,
      deadline: time,
      exclude: [...upstreamsOf(failures), ...upstreams],
      excludeStrictly: upstreams,
      avoid: unresponsive.map(({ placement }) => placement.upstream),
      isResumption: state.assembler.deliveredChunks() > 0
    }
    if (!dispatcher.canPlaceNow(work)) return undefined
    const hasToken = options.retryBudget.tryRetry(job.caller.customer, upstream, time)
    // A begun stream at an engine that is probably lost needs no token, as after a lost connection.
    if (!hasToken && !(work.isResumption && pauses > LOST_AFTER_PAUSES)) return undefined
    const placement = dispatcher.placeNow(work)
    return placement === undefined ? undefined : sourceOf(state, createAttempt(state, work, placement, leader.number))
  }

  function blockKeysOf ({ job: { request, caller: { customer } } }: RunContext, version: string): readonly string[] {
    return options.blockKeys({ customer, model: request.model, adapter: request.adapter, version }, request.prompt)
  }

  function workOf (context: RunContext, version: string, blockKeys: readonly string[]) {
    const { job, promptTokens, maximumOutputTokens } = context
    const { request, caller, identifier, fingerprint } = job
    return {
      identifier,
      customer: caller.customer,
      model: request.model,
      version,
      adapter: request.adapter,
      routing: { blockKeys, promptTokens },
      cost: promptTokens + maximumOutputTokens,
      fingerprint,
      verdict: () => crashes.verdict(fingerprint, now())
    }
  }

  function createAttempt (
    state: RunState, work: DispatchWork, placement: Placement, replaces: number | undefined
  ): Attempt {
    const { job } = state.context
    const { version, routing: { blockKeys } } = work
    const time = now()
    state.attempts += 1
    const attempt: Attempt = {
      number: state.attempts,
      version,
      blockKeys,
      placement,
      handle: crashes.started(job.fingerprint, placement.upstream, placement.incarnation),
      sentAt: time,
      firstTokenAt: undefined,
      lastTokenAt: time,
      chunks: 0,
      isSilent: false,
      checkedAt: -Infinity,
      liveness: Liveness.unknown
    }
    log(LogEvent.requestRouted, {
      ...attemptFields(state, attempt),
      model: job.request.model,
      version,
      blocks: blockKeys.length,
      expectedBlocks: placement.expectedBlocks,
      waitedMilliseconds: Math.round(placement.queueWaitMilliseconds),
      ...(replaces === undefined ? {} : { replaces })
    })
    metrics.increment(MetricName.attempts, { upstream: placement.upstream })
    metrics.timing(MetricName.timeInQueue, placement.queueWaitMilliseconds, { customer: job.caller.customer })
    return attempt
  }

  function attemptFields ({ context: { job } }: RunState, { number, placement }: Attempt) {
    return {
      requestIdentifier: job.identifier, attempt: number, customer: job.caller.customer, upstream: placement.upstream
    }
  }

  function sourceOf (state: RunState, attempt: Attempt): AttemptSource<Attempt, CompletionChunk> {
    return { details: attempt, open: (onSilence, signal) => openAttempt(state, attempt, onSilence, signal) }
  }

  async function * openAttempt (
    state: RunState, attempt: Attempt, onSilence: () => void, signal: AbortSignal
  ): AsyncGenerator<CompletionChunk, void, undefined> {
    const { assembler, context, usage } = state
    await options.externalCache?.importBeforeAttempt(attempt.placement, attempt.blockKeys)
    usage.sent = true
    const resume = { resumeFrom: assembler.deliveredChunks(), resumeText: assembler.text() }
    const command = createCommand(context, attempt, resume)
    const timeouts = { ...options.timeouts, whole: Math.max(1, deadlineOf(context) - now()) }
    yield * client.complete(attempt.placement.endpoint, command, timeouts, signal, () => {
      onSilence()
      return true
    })
  }

  function createCommand (context: RunContext, attempt: Attempt, resume: { resumeFrom: number, resumeText: string }) {
    const { job: { identifier, request, caller } } = context
    return {
      requestIdentifier: identifier,
      attempt: attempt.number,
      model: request.model,
      version: attempt.version,
      adapter: request.adapter,
      prompt: request.prompt,
      maximumOutputTokens: context.maximumOutputTokens,
      priority: 0,
      blockKeys: attempt.blockKeys,
      cacheSalt: cacheSaltOf(caller.customer),
      ...resume
    }
  }
}

async function pause (milliseconds: number, signal: AbortSignal): Promise<void> {
  if (milliseconds > 0) await sleep(milliseconds, undefined, { signal }).catch(() => { throw signal.reason })
}

function createFinalPiece (context: RunContext, chunk: CompletionChunk, usage: RunUsage): CompletionPiece {
  return {
    text: chunk.text,
    end: {
      finishReason: chunk.finishReason ?? 'stop',
      usage: {
        promptTokens: chunk.promptTokens ?? context.promptTokens,
        completionTokens: usage.outputTokens,
        cachedTokens: chunk.cachedTokens ?? 0
      }
    }
  }
}

/** Returns the error for a stream that has begun and found no engine within its time limit. */
function waitExceeded (cause: unknown): UpstreamTimeoutError {
  return new UpstreamTimeoutError('no engine took the stream over within its time limit', {
    execution: ExecutionStatus.unknown, cause, reason: EndReason.deadline
  })
}

/** Replaces `not_run` by `unknown` in the error of a rejected attempt if an earlier attempt may have run. */
function adjustExecutionStatus (error: unknown, failures: readonly AttemptFailure[]): unknown {
  if (!(error instanceof RouterError) || failures.every(({ progress }) => progress === 'notSent')) return error
  if (error.execution !== ExecutionStatus.notRun) return error
  const options = {
    execution: ExecutionStatus.unknown,
    cause: error,
    ...(error.reason === undefined ? {} : { reason: error.reason }),
    ...(error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds })
  }
  if (error instanceof CrashingRequestError) return new CrashingRequestError(error.message, options)
  const ErrorClass = error.constructor as new (message: string, options: object) => RouterError
  return new ErrorClass(error.message, options)
}
