/** Handling of failed attempts: updates the registry and the crash ledger, and builds the final error for the caller. */
import { setTimeout as sleep } from 'node:timers/promises'
import {
  CrashingRequestError, RouterError, UpstreamFailedError, UpstreamTimeoutError
} from '../errors'
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import type { CrashNotice } from '../peer/messages'
import type { AttemptFailure } from '../request/execution'
import { EndReason } from '../request/endReason'
import type { NextStep } from '../request/nextStep'
import type { AttemptHandle, CrashLedger } from '../upstream/crashLedger'
import type { UpstreamRegistry } from '../upstream/registryTypes'
import type { UpstreamClient } from '../upstream/types'
import { progressOf, reportsLeaving } from '../upstream/engineClient'
import { ExecutionStatus } from '../types'
import type { Endpoint, Incarnation, MonotonicMilliseconds } from '../types'

/**
 * Maximum time in milliseconds for which a request waits for the liveness check of its upstream. After a lost
 * connection, a refused reconnect usually reveals a crash within milliseconds, on a busy machine within a few hundred.
 * With a limit of 150 ms, a request that crashes engines was sent to a third engine before the second crash was counted.
 * An upstream that does not respond has a shorter limit, because the request would otherwise wait for the probe's
 * complete timeout.
 */
const LIVENESS_CHECK_TIMEOUT_MS = 1000
const SILENT_UPSTREAM_CHECK_TIMEOUT_MS = 150

/** Interval in milliseconds between probes that were reset. A dying process closes its listener within milliseconds. */
const RESET_PROBE_INTERVAL_MS = 20

/** Interval in milliseconds between probes of an upstream that stays silent. */
export const SILENCE_CHECK_INTERVAL_MS = 5000

/** Retry-After in seconds for a request whose attempts have all failed. */
const FAILED_RETRY_SECONDS = 1

/** What a probe on a new connection tells about an upstream. */
export const Liveness = {
  /** The process that runs the attempt responds. */
  alive: 'alive',
  /** The process has ended: connections are refused, or another process responds. */
  ended: 'ended',
  unknown: 'unknown'
} as const
export type Liveness = typeof Liveness[keyof typeof Liveness]

export interface AttemptTarget {
  upstream: string
  endpoint: Endpoint
  incarnation: Incarnation
}

export interface AttemptOutcomeOptions {
  client: Pick<UpstreamClient, 'probe' | 'cancel'>
  registry: UpstreamRegistry
  crashes: CrashLedger
  /** Called for internal errors that no request waits for. */
  reportFault: (error: unknown, identifier: string) => void
  /** Sends crash notices to all peers. */
  publishCrashes: (notices: readonly CrashNotice[]) => void
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

export interface AttemptOutcomes {
  /**
   * Updates the registry after a failed attempt. After a lost connection, also checks whether the upstream has died and,
   * if so, counts the crash. Closes the crash ledger's handle.
   */
  handleFailure: (
    requestIdentifier: string, attempt: number, place: AttemptTarget, handle: AttemptHandle, error: unknown
  ) => Promise<AttemptFailure>
  /** Probes the upstream of an attempt that is silent and updates the registry. Never rejects. */
  checkSilent: (target: AttemptTarget) => Promise<Liveness>
  /** Updates the registry after an upstream that was silent has gone on. */
  handleProgress: (target: AttemptTarget) => void
  /** Reports an internal error that the request does not wait for. */
  reportFault: (error: unknown, requestIdentifier: string) => void
  /** Ends an attempt that was replaced by another one, or was sent beside one that has gone on. */
  handleCancelled: (
    requestIdentifier: string, attempt: number, target: AttemptTarget, handle: AttemptHandle, replacedBy: number
  ) => AttemptFailure
}

export function createAttemptOutcomes (options: AttemptOutcomeOptions): AttemptOutcomes {
  const { client, registry, crashes, log, metrics, now } = options

  /**
   * Probes the upstream on a new connection. If the connection is refused or another process responds, the upstream's
   * process has ended. A connection reset is inconclusive, because the operating system may close the connections of a dying process
   * before its listener, so the probe is repeated.
   */
  async function probe ({ upstream, endpoint, incarnation }: AttemptTarget): Promise<Liveness> {
    const deadline = now() + LIVENESS_CHECK_TIMEOUT_MS
    while (true) {
      try {
        const currentIncarnation = await client.probe(endpoint)
        registry.recordSuccess(upstream, now(), currentIncarnation)
        return currentIncarnation !== incarnation && incarnation !== 0 ? Liveness.ended : Liveness.alive
      } catch (error) {
        const isTimeout = error instanceof UpstreamTimeoutError
        const wasRefused = progressOf(error) === 'notSent' && !isTimeout
        if (wasRefused || isTimeout || now() + RESET_PROBE_INTERVAL_MS >= deadline) {
          registry.recordFailure(upstream, now())
          return wasRefused ? Liveness.ended : Liveness.unknown
        }
      }
      await sleep(RESET_PROBE_INTERVAL_MS)
    }
  }

  /** Probes of silent upstreams in progress. All streams of an upstream fall silent at the same time. */
  const silentProbes = new Map<string, Promise<Liveness>>()

  async function probeOnce (target: AttemptTarget): Promise<Liveness> {
    const key = `${target.upstream}/${target.incarnation}`
    let running = silentProbes.get(key)
    if (running === undefined) {
      running = probe(target).finally(() => { silentProbes.delete(key) })
      silentProbes.set(key, running)
    }
    return await running
  }

  async function reportIfDead (target: AttemptTarget): Promise<void> {
    const { upstream, incarnation } = target
    if (await probe(target) !== Liveness.ended) return
    const notices = crashes.upstreamDied(upstream, incarnation, now())
    if (notices.length === 0) return
    log(LogEvent.crashCounted, { upstream, incarnation, requests: notices.length }, 'warn')
    options.publishCrashes(notices)
  }

  return {
    async handleFailure (requestIdentifier, attempt, target, handle, error) {
      const { upstream, endpoint, incarnation } = target
      const failure = failureOf(upstream, error)
      const { progress, reportedFailure } = failure
      const code = error instanceof RouterError ? error.code : 'internal'
      log(LogEvent.attemptFailed, {
        requestIdentifier, attempt, upstream, errorCode: code, progress, message: String((error as Error).message)
      }, 'warn')
      metrics.increment(MetricName.attemptFailures, { upstream, code })
      if (reportsLeaving(error)) registry.markLeaving(upstream, incarnation, now())
      const rejected = progress === 'notSent' && error instanceof UpstreamFailedError && error.retryAfterSeconds !== undefined
      if (reportedFailure || rejected || reportsLeaving(error)) {
        handle.ended(false)
      } else {
        registry.recordFailure(upstream, now())
        // A request that was never sent cannot have crashed the upstream.
        if (progress === 'notSent') handle.ended(false)
        if (error instanceof UpstreamTimeoutError) client.cancel(endpoint, requestIdentifier, attempt).catch(() => {})
        const check = reportIfDead(target).finally(() => { handle.ended(false) })
        const limit = error instanceof UpstreamTimeoutError
          ? SILENT_UPSTREAM_CHECK_TIMEOUT_MS
          : LIVENESS_CHECK_TIMEOUT_MS
        let timer: NodeJS.Timeout | undefined
        await Promise.race([check, new Promise<void>((resolve) => { timer = setTimeout(resolve, limit) })])
        clearTimeout(timer)
      }
      return failure
    },
    async checkSilent (target) {
      registry.recordFailure(target.upstream, now())
      const liveness = await probeOnce(target)
      // A process that is leaving may have closed its listener while its streams go on.
      const isLeaving = registry.upstream(target.upstream, now())?.leaving ?? false
      return liveness === Liveness.ended && isLeaving ? Liveness.unknown : liveness
    },
    reportFault: options.reportFault,
    handleProgress ({ upstream, incarnation }) {
      registry.recordSuccess(upstream, now(), incarnation)
    },
    handleCancelled (requestIdentifier, attempt, { upstream }, handle, replacedBy) {
      log(LogEvent.attemptCancelled, { requestIdentifier, attempt, upstream, replacedBy })
      handle.ended(false)
      return { upstream, progress: 'maybeStarted', reportedFailure: false, cancelled: true }
    }
  }
}

export function failureOf (upstream: string, error: unknown): AttemptFailure {
  const reportedFailure = error instanceof RouterError && error.execution === ExecutionStatus.failed
  return { upstream, progress: progressOf(error), reportedFailure }
}

/** Returns the error that the caller receives after the last attempt. */
export function finalError (step: NextStep & { kind: 'giveUp' }, last: unknown): RouterError {
  const options = { execution: step.execution, cause: last, reason: step.reason }
  if (step.reason === EndReason.crashing) {
    return new CrashingRequestError('the request crashed the upstreams that ran it', options)
  }
  const message = last instanceof RouterError ? last.message : 'upstream failed'
  const retryAfterSeconds = (last instanceof RouterError ? last.retryAfterSeconds : undefined) ?? FAILED_RETRY_SECONDS
  const retry = { ...options, retryAfterSeconds }
  if (last instanceof UpstreamTimeoutError) return new UpstreamTimeoutError(message, retry)
  return new UpstreamFailedError(message, retry)
}
