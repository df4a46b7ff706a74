/** Executes a parsed completion request: validation, quota admission, run and quota settlement. */
import { BYTES_PER_TOKEN } from '../constants'
import { CrashingRequestError, RouterError, UnknownModelError } from '../errors'
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import type { QuotaAccounts } from '../quota/types'
import { EndReason } from '../request/endReason'
import type { CrashLedger } from '../upstream/crashLedger'
import { ExecutionStatus } from '../types'
import type { FleetConfiguration, ModelConfiguration, MonotonicMilliseconds } from '../types'
import type { Admission } from './admission'
import type { RunUsage } from './completionAttempt'
import type { createCompletionRun } from './completionRun'
import type { CompletionExecutor, CompletionJob } from './completionTypes'

export interface CompletionExecutorOptions {
  /** @throws NotReadyError before the first configuration. */
  configuration: () => FleetConfiguration
  admission: Admission
  accounts: Pick<QuotaAccounts, 'settle'>
  crashes: CrashLedger
  run: ReturnType<typeof createCompletionRun>
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

export function createCompletionExecutor (options: CompletionExecutorOptions): CompletionExecutor {
  const { accounts, admission, crashes, log, metrics, now } = options

  return async function * execute (job) {
    const startedAt = now()
    const { identifier, caller: { customer }, request } = job
    metrics.increment(MetricName.requests, { customer, model: request.model })
    log(LogEvent.requestReceived, {
      requestIdentifier: identifier, customer, model: request.model, stream: request.stream
    })
    let isSettled = false
    try {
      const model = findModel(options.configuration(), request.model)
      rejectCrashingRequest(crashes, job, now())
      const promptTokens = Math.ceil(Buffer.byteLength(request.prompt) / BYTES_PER_TOKEN)
      const maximumOutputTokens = Math.min(request.maximumOutputTokens ?? Infinity, model.maximumOutputTokens)
      const charge = await admission.admit(identifier, customer, promptTokens + maximumOutputTokens, job.signal)
      const usage: RunUsage = { sent: false, outputTokens: 0 }
      try {
        for await (const piece of options.run({ job, promptTokens, maximumOutputTokens, startedAt }, usage)) {
          if (piece.end !== undefined) isSettled = true
          yield piece
        }
      } finally {
        // Refunds the unused part of the charge, also if the caller disconnected or every attempt failed.
        accounts.settle(charge, usage.sent ? promptTokens + usage.outputTokens : 0, now())
        metrics.timing(MetricName.requestDuration, now() - startedAt, { customer, model: request.model })
      }
    } catch (error) {
      isSettled = true
      reportError(job, error)
      throw error
    } finally {
      // The consumer has ended the generator, because the caller disconnected or did not read.
      if (!isSettled) reportUnread(job)
    }
  }

  function reportUnread (job: CompletionJob): void {
    const { identifier, caller: { customer }, request, signal } = job
    log(LogEvent.requestCancelled, {
      requestIdentifier: identifier,
      customer,
      model: request.model,
      reason: signal.aborted ? EndReason.callerDisconnected : EndReason.callerNotReading
    })
  }

  function reportError (job: CompletionJob, error: unknown): void {
    const { identifier, caller: { customer }, request, signal } = job
    const fields = { requestIdentifier: identifier, customer, model: request.model }
    if (signal.aborted && !(error instanceof RouterError)) {
      log(LogEvent.requestCancelled, { ...fields, reason: EndReason.callerDisconnected })
      return
    }
    const code = error instanceof RouterError ? error.code : 'internal'
    const execution = error instanceof RouterError ? error.execution : undefined
    const rejected = execution === ExecutionStatus.notRun
    log(rejected ? LogEvent.requestRefused : LogEvent.requestFailed, {
      ...fields,
      errorCode: code,
      execution,
      // Errors without a reason come from one place each, which their code names.
      reason: error instanceof RouterError ? error.reason ?? code : code,
      message: error instanceof Error ? error.message : ''
    }, rejected ? 'info' : 'warn')
    metrics.increment(MetricName.refusals, { customer, code })
  }
}

function findModel (configuration: FleetConfiguration, name: string): ModelConfiguration {
  const model = configuration.models.find((candidate) => candidate.name === name)
  if (model !== undefined) return model
  throw new UnknownModelError(`model ${name} is not configured`, { execution: ExecutionStatus.notRun })
}

export function rejectCrashingRequest (
  crashes: CrashLedger, { fingerprint }: { fingerprint: string }, now: MonotonicMilliseconds
): void {
  const verdict = crashes.verdict(fingerprint, now)
  if (verdict.kind !== 'refused') return
  throw new CrashingRequestError('the request crashed the upstreams that ran it', {
    execution: ExecutionStatus.notRun,
    retryAfterSeconds: verdict.retryAfterMilliseconds / 1000,
    reason: EndReason.crashing
  })
}
