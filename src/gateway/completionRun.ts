/** Runs one admitted completion: attempts, relay of the chunks, resumption and retries. */
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
import type { KeptCacheUse } from './keptCacheUse'

export interface CompletionRunOptions {
  dispatcher: Dispatcher
  client: Pick<UpstreamClient, 'complete' | 'cancel'>
  outcomes: AttemptOutcomes
  crashes: CrashLedger
  retryBudget: RetryBudget
  index: BlockIndex
  /** @default the kept-cache store is not used */
  keptCache?: KeptCacheUse
  blockKeys: BlockKeyFunction
  /** Version for a new request or a restart; `failed` is the version that failed before its first byte, if any. */
  chooseVersion: (model: string, failed: string | undefined) => string
  /** Counts an attempt for the judgement of a rollout. */
  recordOutcome: (outcome: RequestOutcome) => void
  timeouts: AttemptTimeouts
  /** Longest time in the queue in milliseconds. */
  maximumWait: number
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

/** What the run consumed so far; read at the end of the request, however it ends. */
export interface RunUsage {
  /** False until an attempt may have reached an upstream. */
  sent: boolean
  outputTokens: number
}

/** Facts about the request that do not change between attempts. */
export interface RunPlan {
  job: CompletionJob
  promptTokens: number
  maximumOutputTokens: number
  startedAt: MonotonicMilliseconds
}

/** One attempt and what was measured in it. */
interface Attempt {
  number: number
  version: string
  blockKeys: readonly string[]
  place: Placement
  sentAt: MonotonicMilliseconds
  firstTokenAt: MonotonicMilliseconds | undefined
  lastTokenAt: MonotonicMilliseconds
  chunks: number
}

export function createCompletionRun (options: CompletionRunOptions) {
  const { dispatcher, client, outcomes, crashes, log, metrics, now } = options

  /** Yields the pieces of the whole answer. `usage` is kept up to date. */
  return async function * run (plan: RunPlan, usage: RunUsage): AsyncGenerator<CompletionPiece, void, undefined> {
    const { job } = plan
    const { identifier, fingerprint, signal } = job
    const assembler = createStreamAssembler(identifier)
    const failures: AttemptFailure[] = []
    let version = options.chooseVersion(job.request.model, undefined)
    let step: Exclude<NextStep, { kind: 'giveUp' }> | undefined

    for (let number = 1; ; number += 1) {
      const begun = step?.kind === 'resume'
      const attempt = await begin(plan, number, version, step === undefined ? [] : step.exclude, begun, failures)
      const handle = crashes.started(fingerprint, attempt.place.upstream, attempt.place.incarnation)
      let handleOpen = true
      let failure: unknown
      try {
        await options.keptCache?.beforeAttempt(attempt.place, attempt.blockKeys)
        usage.sent = true
        for await (const chunk of client.complete(
          attempt.place.endpoint, orderOf(plan, attempt, assembler.beginAttempt(number)), options.timeouts, signal
        )) {
          assembler.accept(chunk)
          usage.outputTokens = assembler.deliveredChunks()
          handle.progressed(usage.outputTokens)
          noteChunk(plan, attempt, chunk)
          if (chunk.final) {
            handleOpen = false
            handle.ended(true)
            finish(plan, attempt, chunk, usage)
            yield lastPiece(plan, chunk, usage)
            return
          }
          yield { text: chunk.text }
        }
        throw new InternalError('the attempt ended without a final chunk')
      } catch (error) {
        failure = error
      } finally {
        attempt.place.release(failure !== undefined && !signal.aborted)
        // Reached without a failure when the consumer has stopped reading.
        if (failure === undefined && handleOpen) handle.ended(false)
      }
      if (signal.aborted) {
        handle.ended(false)
        client.cancel(attempt.place.endpoint, identifier, number).catch(() => {})
        throw signal.reason
      }
      failures.push(await outcomes.failed(identifier, number, attempt.place, handle, failure))
      usage.sent = failures.some(({ progress }) => progress !== 'notSent')
      record(plan, attempt, true, 0)
      const next = decideNextStep({
        idempotent: true,
        failures,
        deliveredChunks: assembler.deliveredChunks(),
        deadline: plan.startedAt + options.timeouts.whole,
        callerGone: signal.aborted,
        crashing: crashes.verdict(fingerprint, now()).kind === 'refused'
      }, () => options.retryBudget.tryRetry(job.caller.customer, attempt.place.upstream, now()), now())
      if (next.kind === 'giveUp') throw finalError(next, failure)
      step = next
      if (step.kind === 'restart') version = options.chooseVersion(job.request.model, version)
      else noteResume(plan, attempt, assembler.deliveredChunks())
    }
  }

  async function begin (
    plan: RunPlan, number: number, version: string, exclude: readonly string[], begun: boolean,
    failures: readonly AttemptFailure[]
  ): Promise<Attempt> {
    const { job, promptTokens, maximumOutputTokens } = plan
    const { request, caller, identifier } = job
    const scope = { customer: caller.customer, model: request.model, adapter: request.adapter, version }
    const blockKeys = options.blockKeys(scope, request.prompt)
    const place = await dispatcher.place({
      identifier,
      customer: caller.customer,
      model: request.model,
      version,
      adapter: request.adapter,
      routing: { blockKeys, promptTokens },
      cost: promptTokens + maximumOutputTokens,
      deadline: now() + options.maximumWait,
      exclude,
      fingerprint: job.fingerprint,
      verdict: () => crashes.verdict(job.fingerprint, now()),
      begun
    }, job.signal).catch((error: unknown) => { throw afterFailures(error, failures) })
    if (number === 1) options.retryBudget.recordRequest(caller.customer, place.upstream, now())
    const time = now()
    log(LogEvent.requestRouted, {
      requestIdentifier: identifier,
      attempt: number,
      customer: caller.customer,
      upstream: place.upstream,
      model: request.model,
      version,
      blocks: blockKeys.length,
      expectedBlocks: place.expectedBlocks,
      waitedMilliseconds: Math.round(place.waited)
    })
    metrics.increment(MetricName.attempts, { upstream: place.upstream })
    metrics.timing(MetricName.timeInQueue, place.waited, { customer: caller.customer })
    return {
      number, version, blockKeys, place, sentAt: time, firstTokenAt: undefined, lastTokenAt: time, chunks: 0
    }
  }

  function orderOf (plan: RunPlan, attempt: Attempt, resume: { resumeFrom: number, resumeText: string }) {
    const { job: { identifier, request, caller } } = plan
    return {
      requestIdentifier: identifier,
      attempt: attempt.number,
      model: request.model,
      version: attempt.version,
      adapter: request.adapter,
      prompt: request.prompt,
      maximumOutputTokens: plan.maximumOutputTokens,
      priority: 0,
      blockKeys: attempt.blockKeys,
      cacheSalt: cacheSaltOf(caller.customer),
      ...resume
    }
  }

  function noteChunk (plan: RunPlan, attempt: Attempt, chunk: CompletionChunk): void {
    const time = now()
    attempt.chunks += 1
    attempt.lastTokenAt = time
    if (attempt.firstTokenAt !== undefined) return
    attempt.firstTokenAt = time
    attempt.place.firstToken(chunk.cachedTokens ?? attempt.place.expectedBlocks * BLOCK_TOKENS)
    if (attempt.number === 1) {
      metrics.timing(MetricName.timeToFirstToken, time - plan.startedAt, { model: plan.job.request.model })
    }
  }

  function finish (plan: RunPlan, attempt: Attempt, chunk: CompletionChunk, usage: RunUsage): void {
    const { job: { identifier, caller, request }, promptTokens } = plan
    const cachedTokens = chunk.cachedTokens ?? 0
    const cachedBlocks = Math.floor(cachedTokens / BLOCK_TOKENS)
    options.index.recordOutcome(attempt.place.upstream, attempt.blockKeys, cachedBlocks, now())
    options.keptCache?.afterAnswer(attempt.place, attempt.blockKeys)
    record(plan, attempt, false, Math.max(0, promptTokens - cachedTokens))
    log(LogEvent.requestFinished, {
      requestIdentifier: identifier,
      attempt: attempt.number,
      customer: caller.customer,
      upstream: attempt.place.upstream,
      model: request.model,
      version: attempt.version,
      promptTokens: chunk.promptTokens ?? promptTokens,
      cachedTokens,
      outputTokens: usage.outputTokens,
      milliseconds: Math.round(now() - plan.startedAt)
    })
    metrics.increment(MetricName.promptTokens, { customer: caller.customer }, promptTokens)
    metrics.increment(MetricName.cachedTokens, { customer: caller.customer }, cachedTokens)
    metrics.increment(MetricName.outputTokens, { customer: caller.customer }, usage.outputTokens)
  }

  function record (plan: RunPlan, attempt: Attempt, failed: boolean, computedTokens: number): void {
    const { firstTokenAt, lastTokenAt, sentAt, chunks } = attempt
    options.recordOutcome({
      model: plan.job.request.model,
      version: attempt.version,
      route: plan.job.request.style,
      failed,
      firstToken: failed || firstTokenAt === undefined ? undefined : firstTokenAt - sentAt,
      betweenTokens: failed || chunks < 2 || firstTokenAt === undefined
        ? undefined
        : (lastTokenAt - firstTokenAt) / (chunks - 1),
      computedTokens
    })
  }

  function noteResume (plan: RunPlan, attempt: Attempt, from: number): void {
    const { job: { identifier, caller } } = plan
    log(LogEvent.attemptResumed, {
      requestIdentifier: identifier, attempt: attempt.number + 1, customer: caller.customer, chunks: from
    })
    metrics.increment(MetricName.resumes)
  }
}

function lastPiece (plan: RunPlan, chunk: CompletionChunk, usage: RunUsage): CompletionPiece {
  return {
    text: chunk.text,
    end: {
      finishReason: chunk.finishReason ?? 'stop',
      usage: {
        promptTokens: chunk.promptTokens ?? plan.promptTokens,
        completionTokens: usage.outputTokens,
        cachedTokens: chunk.cachedTokens ?? 0
      }
    }
  }
}

/** A refusal to place another attempt is not `not_run` when an earlier attempt may have run. */
function afterFailures (error: unknown, failures: readonly AttemptFailure[]): unknown {
  if (!(error instanceof RouterError) || failures.every(({ progress }) => progress === 'notSent')) return error
  if (error.execution !== ExecutionStatus.notRun) return error
  const options = {
    execution: ExecutionStatus.unknown,
    cause: error,
    ...(error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds })
  }
  if (error instanceof CrashingRequestError) return new CrashingRequestError(error.message, options)
  const Same = error.constructor as new (message: string, options: object) => RouterError
  return new Same(error.message, options)
}
