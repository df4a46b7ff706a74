/** What the executors do after a failed attempt: tell the decision modules, and build the final error. */
import { setTimeout as sleep } from 'node:timers/promises'
import {
  CrashingRequestError, RouterError, UpstreamFailedError, UpstreamTimeoutError
} from '../errors'
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import type { CrashNotice } from '../peer/messages'
import type { AttemptFailure } from '../request/execution'
import { GiveUpReason } from '../request/nextStep'
import type { NextStep } from '../request/nextStep'
import type { AttemptHandle, CrashLedger } from '../upstream/crashLedger'
import type { UpstreamRegistry } from '../upstream/registryTypes'
import type { UpstreamClient } from '../upstream/types'
import { progressOf, reportsLeaving } from '../upstream/engineClient'
import { ExecutionStatus } from '../types'
import type { Endpoint, Incarnation, MonotonicMilliseconds } from '../types'

/**
 * Longest time for which a request waits for the answer to whether its upstream died. After a lost connection a refused
 * one tells within milliseconds, on a busy machine within some hundred; with 150 ms a request that crashes engines was
 * sent to a third one before the second crash was counted. A silent upstream would cost the whole limit of the probe.
 */
const DEATH_CHECK_MS = 1000
const SILENT_DEATH_CHECK_MS = 150

/** Milliseconds between probes that were reset; a process that ends closes its listener within some milliseconds. */
const RESET_PROBE_INTERVAL_MS = 20

/** Seconds after which a caller may repeat a request whose attempts have all failed. */
const FAILED_RETRY_SECONDS = 1

export interface AttemptPlace {
  upstream: string
  endpoint: Endpoint
  incarnation: Incarnation
}

export interface AttemptOutcomeOptions {
  client: Pick<UpstreamClient, 'probe' | 'cancel'>
  registry: UpstreamRegistry
  crashes: CrashLedger
  /** Sends crash notices to all peers. */
  publishCrashes: (notices: readonly CrashNotice[]) => void
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

export interface AttemptOutcomes {
  /**
   * Takes in a failed attempt: updates the registry and, after a lost connection, finds out whether the upstream died and
   * counts the crash. Ends the crash ledger's handle.
   */
  failed: (
    requestIdentifier: string, attempt: number, place: AttemptPlace, handle: AttemptHandle, error: unknown
  ) => Promise<AttemptFailure>
}

export function createAttemptOutcomes (options: AttemptOutcomeOptions): AttemptOutcomes {
  const { client, registry, crashes, log, metrics, now } = options

  /**
   * Probes on a new connection. An upstream that refuses it, or answers as another process, has died. A connection that
   * is reset tells nothing yet: the system may close a dying process's connections before its listener.
   */
  async function isDead ({ upstream, endpoint, incarnation }: AttemptPlace): Promise<boolean> {
    const until = now() + DEATH_CHECK_MS
    while (true) {
      try {
        const present = await client.probe(endpoint)
        registry.recordSuccess(upstream, now(), present)
        return present !== incarnation && incarnation !== 0
      } catch (error) {
        const isTimeout = error instanceof UpstreamTimeoutError
        const wasRefused = progressOf(error) === 'notSent' && !isTimeout
        if (wasRefused || isTimeout || now() + RESET_PROBE_INTERVAL_MS >= until) {
          registry.recordFailure(upstream, now())
          return wasRefused
        }
      }
      await sleep(RESET_PROBE_INTERVAL_MS)
    }
  }

  async function checkDeath (place: AttemptPlace): Promise<void> {
    const { upstream, incarnation } = place
    if (!await isDead(place)) return
    const notices = crashes.upstreamDied(upstream, incarnation, now())
    if (notices.length === 0) return
    log(LogEvent.crashCounted, { upstream, incarnation, requests: notices.length }, 'warn')
    options.publishCrashes(notices)
  }

  return {
    async failed (requestIdentifier, attempt, place, handle, error) {
      const { upstream, endpoint, incarnation } = place
      const progress = progressOf(error)
      const reportedFailure = error instanceof RouterError && error.execution === ExecutionStatus.failed
      const code = error instanceof RouterError ? error.code : 'internal'
      log(LogEvent.attemptFailed, {
        requestIdentifier, attempt, upstream, errorCode: code, progress, message: String((error as Error).message)
      }, 'warn')
      metrics.increment(MetricName.attemptFailures, { upstream, code })
      if (reportsLeaving(error)) registry.markLeaving(upstream, incarnation, now())
      const refused = progress === 'notSent' && error instanceof UpstreamFailedError && error.retryAfterSeconds !== undefined
      if (reportedFailure || refused || reportsLeaving(error)) {
        handle.ended(false)
      } else {
        registry.recordFailure(upstream, now())
        // A request that was never sent cannot have brought the upstream down.
        if (progress === 'notSent') handle.ended(false)
        if (error instanceof UpstreamTimeoutError) client.cancel(endpoint, requestIdentifier, attempt).catch(() => {})
        const check = checkDeath(place).finally(() => { handle.ended(false) })
        const limit = error instanceof UpstreamTimeoutError ? SILENT_DEATH_CHECK_MS : DEATH_CHECK_MS
        let timer: NodeJS.Timeout | undefined
        await Promise.race([check, new Promise<void>((resolve) => { timer = setTimeout(resolve, limit) })])
        clearTimeout(timer)
      }
      return { upstream, progress, reportedFailure }
    }
  }
}

/** Error for the caller after the last attempt. */
export function finalError (step: NextStep & { kind: 'giveUp' }, last: unknown): RouterError {
  const options = { execution: step.execution, cause: last }
  if (step.reason === GiveUpReason.crashing) {
    return new CrashingRequestError('the request brought down the upstreams that ran it', options)
  }
  const message = last instanceof RouterError ? last.message : 'upstream failed'
  const retryAfterSeconds = (last instanceof RouterError ? last.retryAfterSeconds : undefined) ?? FAILED_RETRY_SECONDS
  const retry = { ...options, retryAfterSeconds }
  if (last instanceof UpstreamTimeoutError) return new UpstreamTimeoutError(message, retry)
  return new UpstreamFailedError(message, retry)
}
