/** Records the progress of completions in the log, the metrics, the block index and the samples of rollouts. */
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import { BLOCK_TOKENS } from '../prefix/routing'
import type { BlockIndex } from '../prefix/types'
import type { RequestOutcome } from '../rollout/sampler'
import type { CompletionChunk } from '../upstream/types'
import type { MonotonicMilliseconds } from '../types'
import { Liveness } from './attemptOutcome'
import type { Attempt, RunContext, RunState, RunUsage } from './completionAttempt'
import type { ExternalCacheTransfer } from './externalCacheTransfer'

export interface CompletionRecordsOptions {
  index: BlockIndex
  /** @default the external KV cache is not used */
  externalCache?: ExternalCacheTransfer
  /** Records the outcome of an attempt for the evaluation of a rollout. */
  recordOutcome: (outcome: RequestOutcome) => void
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

export function createCompletionRecords (options: CompletionRecordsOptions) {
  const { log, metrics, now } = options

  function recordChunk (context: RunContext, attempt: Attempt, chunk: CompletionChunk): void {
    const time = now()
    attempt.chunks += 1
    attempt.lastTokenAt = time
    attempt.isSilent = false
    attempt.liveness = Liveness.unknown
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

  function recordResume ({ context, assembler }: RunState, attempt: number): void {
    const { job: { identifier, caller } } = context
    log(LogEvent.attemptResumed, {
      requestIdentifier: identifier, attempt, customer: caller.customer, chunks: assembler.deliveredChunks()
    })
    metrics.increment(MetricName.resumes)
  }

  return { recordChunk, recordCompletion, recordAttempt, recordResume }
}
