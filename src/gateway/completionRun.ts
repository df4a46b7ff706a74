/** Runs one admitted completion: makes attempts, relays chunks, resumes interrupted streams and retries. */
import { setTimeout as sleep } from 'node:timers/promises'
import { CrashingRequestError, InternalError, RouterError } from '../errors'
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import { cacheSaltOf } from '../prefix/blockKeys'
import type { BlockIndex, BlockKeyFunction } from '../prefix/types'
import type { AttemptFailure } from '../request/execution'
import { decideNextStep } from '../request/nextStep'
import type { NextStep } from '../request/nextStep'
import type { RetryBudget } from '../request/retryBudget'
import { createStreamAssembler } from '../request/streamAssembler'
import type { RequestOutcome } from '../rollout/sampler'
import type { CrashLedger } from '../upstream/crashLedger'
import type { AttemptTimeouts, CompletionChunk, UpstreamClient } from '../upstream/types'
import { BLOCK_TOKENS } from '../prefix/routing'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'
import { finalError } from './attemptOutcome'
import type { AttemptOutcomes } from './attemptOutcome'
import type { CompletionJob, CompletionPiece } from './completionTypes'
import type { Dispatcher, Placement } from './dispatcher'
import type { ExternalCacheTransfer } from './externalCacheTransfer'

export interface CompletionRunOptions {
  dispatcher: Dispatcher
  client: Pick<UpstreamClient, 'complete' | 'cancel'>
  outcomes: AttemptOutcomes
  crashes: CrashLedger
  retryBudget: RetryBudget
  index: BlockIndex
  /** @default the external KV cache is not used */
  externalCache?: ExternalCacheTransfer
  blockKeys: BlockKeyFunction
  /**
   * Returns the version for a new or restarted request. `failed` is the version that failed before its first byte, if
   * any.
   */
  chooseVersion: (model: string, failed: string | undefined) => string
  /** Records the outcome of an attempt for the evaluation of a rollout. */
  recordOutcome: (outcome: RequestOutcome) => void
  timeouts: AttemptTimeouts
  /** Maximum time in the queue, in milliseconds. */
  maximumWait: number
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

/** Token usage of the run so far. Read when the request ends, whether it succeeded or not. */
export interface RunUsage {
  /** False until an attempt may have reached an upstream. */
  sent: boolean
  outputTokens: number
}

type FurtherStep = Exclude<NextStep, { kind: 'giveUp' }>

/** Properties of the request that are the same for all attempts. */
export interface RunContext {
  job: CompletionJob
  promptTokens: number
  maximumOutputTokens: number
  startedAt: MonotonicMilliseconds
}

/** An attempt and its measurements. */
interface Attempt {
  number: number
  version: string
  blockKeys: readonly string[]
  placement: Placement
  sentAt: MonotonicMilliseconds
  firstTokenAt: MonotonicMilliseconds | undefined
  lastTokenAt: MonotonicMilliseconds
  chunks: number
}

export function createCompletionRun (options: CompletionRunOptions) {
  const { dispatcher, client, outcomes, crashes, log, metrics, now } = options

  /** Yields the pieces of the complete response and updates `usage` as they arrive. */
  return async function * run (context: RunContext, usage: RunUsage): AsyncGenerator<CompletionPiece, void, undefined> {
    const { job } = context
    const { identifier, fingerprint, signal } = job
    const assembler = createStreamAssembler(identifier)
    const failures: AttemptFailure[] = []
    let version = options.chooseVersion(job.request.model, undefined)
    let step: FurtherStep | undefined

    for (let number = 1; ; number += 1) {
      const attempt = await startAttempt(
        context, number, version, step, failures
      )
      const handle = crashes.started(fingerprint, attempt.placement.upstream, attempt.placement.incarnation)
      let handleOpen = true
      let failure: unknown
      try {
        await options.externalCache?.importBeforeAttempt(attempt.placement, attempt.blockKeys)
        usage.sent = true
        for await (const chunk of client.complete(
          attempt.placement.endpoint, createCommand(context, attempt, assembler.beginAttempt(number)),
          options.timeouts, signal
        )) {
          assembler.accept(chunk)
          usage.outputTokens = assembler.deliveredChunks()
          handle.progressed(usage.outputTokens)
          recordChunk(context, attempt, chunk)
          if (chunk.final) {
            handleOpen = false
            handle.ended(true)
            recordCompletion(context, attempt, chunk, usage)
            yield createFinalPiece(context, chunk, usage)
            return
          }
          yield { text: chunk.text }
        }
        throw new InternalError('the attempt ended without a final chunk')
      } catch (error) {
        failure = error
      } finally {
        attempt.placement.release(failure !== undefined && !signal.aborted)
        // The handle is still open without a failure if the consumer has stopped reading.
        if (failure === undefined && handleOpen) handle.ended(false)
      }
      if (signal.aborted) {
        handle.ended(false)
        client.cancel(attempt.placement.endpoint, identifier, number).catch(() => {})
        throw signal.reason
      }
      failures.push(await outcomes.handleFailure(identifier, number, attempt.placement, handle, failure))
      usage.sent = failures.some(({ progress }) => progress !== 'notSent')
      recordAttempt(context, attempt, true, 0)
      const next = decideNextStep({
        idempotent: true,
        failures,
        deliveredChunks: assembler.deliveredChunks(),
        deadline: context.startedAt + options.timeouts.whole,
        callerDisconnected: signal.aborted,
        crashing: crashes.verdict(fingerprint, now()).kind === 'refused'
      }, () => options.retryBudget.tryRetry(job.caller.customer, attempt.placement.upstream, now()), now())
      if (next.kind === 'giveUp') throw finalError(next, failure)
      step = next
      if (step.kind === 'restart') version = options.chooseVersion(job.request.model, version)
      else recordResume(context, attempt, assembler.deliveredChunks())
    }
  }

  async function startAttempt (
    context: RunContext, number: number, version: string, step: FurtherStep | undefined,
    failures: readonly AttemptFailure[]
  ): Promise<Attempt> {
    const { job, promptTokens, maximumOutputTokens } = context
    const { request, caller, identifier } = job
    const scope = { customer: caller.customer, model: request.model, adapter: request.adapter, version }
    const blockKeys = options.blockKeys(scope, request.prompt)
    const isResumption = step?.kind === 'resume'
    if (isResumption) await pause(step.pauseMilliseconds, job.signal)
    const placement = await dispatcher.place({
      identifier,
      customer: caller.customer,
      model: request.model,
      version,
      adapter: request.adapter,
      routing: { blockKeys, promptTokens },
      cost: promptTokens + maximumOutputTokens,
      // The wait of new work is limited, that of a stream which has begun only by the time limit of its request.
      deadline: isResumption ? context.startedAt + options.timeouts.whole : now() + options.maximumWait,
      exclude: step?.exclude ?? [],
      excludeStrictly: isResumption ? step.excludeStrictly : [],
      fingerprint: job.fingerprint,
      verdict: () => crashes.verdict(job.fingerprint, now()),
      isResumption
    }, job.signal).catch((error: unknown) => { throw adjustExecutionStatus(error, failures) })
    if (number === 1) options.retryBudget.recordRequest(caller.customer, placement.upstream, now())
    const time = now()
    log(LogEvent.requestRouted, {
      requestIdentifier: identifier,
      attempt: number,
      customer: caller.customer,
      upstream: placement.upstream,
      model: request.model,
      version,
      blocks: blockKeys.length,
      expectedBlocks: placement.expectedBlocks,
      waitedMilliseconds: Math.round(placement.queueWaitMilliseconds)
    })
    metrics.increment(MetricName.attempts, { upstream: placement.upstream })
    metrics.timing(MetricName.timeInQueue, placement.queueWaitMilliseconds, { customer: caller.customer })
    return {
      number, version, blockKeys, placement, sentAt: time, firstTokenAt: undefined, lastTokenAt: time, chunks: 0
    }
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

  function recordChunk (context: RunContext, attempt: Attempt, chunk: CompletionChunk): void {
    const time = now()
    attempt.chunks += 1
    attempt.lastTokenAt = time
    if (attempt.firstTokenAt !== undefined) return
    attempt.firstTokenAt = time
    attempt.placement.recordFirstToken(chunk.cachedTokens ?? attempt.placement.expectedBlocks * BLOCK_TOKENS)
    if (attempt.number === 1) {
      metrics.timing(MetricName.timeToFirstToken, time - context.startedAt, { model: context.job.request.model })
    }
  }

  function recordCompletion (context: RunContext, attempt: Attempt, chunk: CompletionChunk, usage: RunUsage): void {
    const { job: { identifier, caller, request }, promptTokens } = context
    const cachedTokens = chunk.cachedTokens ?? 0
    const cachedBlocks = Math.floor(cachedTokens / BLOCK_TOKENS)
    options.index.recordOutcome(attempt.placement.upstream, attempt.blockKeys, cachedBlocks, now())
    options.externalCache?.exportAfterResponse(attempt.placement, attempt.blockKeys)
    recordAttempt(context, attempt, false, Math.max(0, promptTokens - cachedTokens))
    log(LogEvent.requestFinished, {
      requestIdentifier: identifier,
      attempt: attempt.number,
      customer: caller.customer,
      upstream: attempt.placement.upstream,
      model: request.model,
      version: attempt.version,
      promptTokens: chunk.promptTokens ?? promptTokens,
      cachedTokens,
      outputTokens: usage.outputTokens,
      milliseconds: Math.round(now() - context.startedAt)
    })
    metrics.increment(MetricName.promptTokens, { customer: caller.customer }, promptTokens)
    metrics.increment(MetricName.cachedTokens, { customer: caller.customer }, cachedTokens)
    metrics.increment(MetricName.outputTokens, { customer: caller.customer }, usage.outputTokens)
  }

  function recordAttempt (context: RunContext, attempt: Attempt, failed: boolean, computedTokens: number): void {
    const { firstTokenAt, lastTokenAt, sentAt, chunks } = attempt
    options.recordOutcome({
      model: context.job.request.model,
      version: attempt.version,
      route: context.job.request.style,
      failed,
      firstToken: failed || firstTokenAt === undefined ? undefined : firstTokenAt - sentAt,
      betweenTokens: failed || chunks < 2 || firstTokenAt === undefined
        ? undefined
        : (lastTokenAt - firstTokenAt) / (chunks - 1),
      computedTokens
    })
  }

  function recordResume (context: RunContext, attempt: Attempt, from: number): void {
    const { job: { identifier, caller } } = context
    log(LogEvent.attemptResumed, {
      requestIdentifier: identifier, attempt: attempt.number + 1, customer: caller.customer, chunks: from
    })
    metrics.increment(MetricName.resumes)
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

/** Replaces `not_run` by `unknown` in the error of a rejected attempt if an earlier attempt may have run. */
function adjustExecutionStatus (error: unknown, failures: readonly AttemptFailure[]): unknown {
  if (!(error instanceof RouterError) || failures.every(({ progress }) => progress === 'notSent')) return error
  if (error.execution !== ExecutionStatus.notRun) return error
  const options = {
    execution: ExecutionStatus.unknown,
    cause: error,
    ...(error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds })
  }
  if (error instanceof CrashingRequestError) return new CrashingRequestError(error.message, options)
  const ErrorClass = error.constructor as new (message: string, options: object) => RouterError
  return new ErrorClass(error.message, options)
}
