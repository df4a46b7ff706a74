/** Runs one call to a plain service: chooses instances, makes attempts, and asks another instance beside silent ones. */
import { NoUpstreamError } from '../errors'
import { LogEvent } from '../observability/events'
import type { EventLog, Metrics } from '../observability/events'
import { MetricName } from '../observability/metrics'
import type { AttemptFailure } from '../request/execution'
import { EndReason } from '../request/endReason'
import { decideNextStep, mayRunBeside, refusalPause, upstreamsOf } from '../request/nextStep'
import type { RetryBudget } from '../request/retryBudget'
import { connectionError } from '../upstream/attempt'
import type { AttemptHandle, CrashLedger } from '../upstream/crashLedger'
import type { UpstreamRegistry, UpstreamView } from '../upstream/registryTypes'
import { SilenceLimit } from '../upstream/types'
import type { AttemptTimeouts, ServiceResponse, UpstreamClient } from '../upstream/types'
import { ExecutionStatus } from '../types'
import type { MonotonicMilliseconds } from '../types'
import { failureOf, finalError, Liveness, SILENCE_CHECK_INTERVAL_MS } from './attemptOutcome'
import type { AttemptOutcomes, AttemptTarget } from './attemptOutcome'
import { createAttemptRace } from './attemptRace'
import type { AttemptRace, AttemptSource } from './attemptRace'
import type { ServiceJob } from './serviceExecutor'

/** Retry-After in seconds if no instance serves the route. */
const RETRY_SECONDS = 1

export interface ServiceRunOptions {
  crashes: CrashLedger
  registry: UpstreamRegistry
  retryBudget: RetryBudget
  outcomes: AttemptOutcomes
  client: Pick<UpstreamClient, 'call'>
  timeouts: AttemptTimeouts
  log: EventLog
  metrics: Metrics
  now: () => MonotonicMilliseconds
}

interface Attempt {
  number: number
  target: AttemptTarget
  handle: AttemptHandle
  /** Name under which the registry counts the attempt. */
  workIdentifier: string
  /** Time and result of the last probe during a silence. */
  checkedAt: MonotonicMilliseconds
  liveness: Liveness
}

interface RunState {
  job: ServiceJob
  startedAt: MonotonicMilliseconds
  isIdempotent: boolean
  failures: AttemptFailure[]
  attempts: number
  /** No attempt is sent beside a silent one before this time, because others have just refused. */
  besideAfter: MonotonicMilliseconds
}

export function createServiceRun (options: ServiceRunOptions) {
  const { client, crashes, log, metrics, now, outcomes, registry, retryBudget, timeouts } = options

  return async function run (job: ServiceJob): Promise<ServiceResponse> {
    const state: RunState = {
      job,
      startedAt: now(),
      isIdempotent: job.route.idempotentMethods.includes(job.method),
      failures: [],
      attempts: 0,
      besideAfter: -Infinity
    }
    const race = createRace(state)
    let exclude: readonly string[] = []
    try {
      while (true) {
        const instance = chooseInstance(state, exclude)
        if (state.attempts === 0) retryBudget.recordRequest(job.customer ?? '', instance.name, now())
        race.lead(sourceOf(state, createAttempt(state, instance, undefined)))
        const result = await awaitResponse(state, race)
        if ('response' in result) return result.response
        exclude = await decideAfterFailure(state, result.attempt, result.error)
      }
    } finally {
      // Attempts are left only if the caller has disconnected.
      for (const attempt of race.close()) {
        endWork(attempt)
        attempt.handle.ended(false)
      }
    }
  }

  function createRace (state: RunState): AttemptRace<Attempt, ServiceResponse> {
    const race: AttemptRace<Attempt, ServiceResponse> = createAttemptRace<Attempt, ServiceResponse>({
      signal: state.job.signal,
      onSilence (attempt) {
        log(LogEvent.attemptSilent, attemptFields(state, attempt))
        checkSilent(state.job.identifier, attempt, race)
      },
      onProgress ({ target }) { outcomes.handleProgress(target) },
      startBeside (leader, beside) {
        const silent = [leader, ...beside]
        for (const attempt of silent) {
          if (now() - attempt.checkedAt >= SILENCE_CHECK_INTERVAL_MS) checkSilent(state.job.identifier, attempt, race)
        }
        return startBeside(state, leader, silent)
      },
      onBesideFailed (attempt, error) {
        recordFailure(state, attempt, error)
        state.besideAfter = now() + refusalPause(state.failures)
      },
      onBesideCancelled (attempt, answering) { cancelAttempt(state, attempt, answering.number) },
      onReplaced (replaced, successor) { cancelAttempt(state, replaced, successor.number) }
    })
    return race
  }

  /** Returns the first response, or the failure of the last attempt if none is left. */
  async function awaitResponse (
    state: RunState, race: AttemptRace<Attempt, ServiceResponse>
  ): Promise<{ response: ServiceResponse } | { attempt: Attempt, error: unknown }> {
    const { signal, route } = state.job
    while (true) {
      const event = await race.next()
      const { attempt } = event
      if (event.kind === 'value') {
        race.finish()
        endWork(attempt)
        attempt.handle.ended(true)
        log(LogEvent.requestFinished, {
          ...attemptFields(state, attempt), route: route.name, status: event.value.status
        })
        return { response: event.value }
      }
      if (signal.aborted) {
        endWork(attempt)
        attempt.handle.ended(false)
        throw event.error
      }
      if (race.promote() === undefined) return event
      recordFailure(state, attempt, event.error)
    }
  }

  /** Returns the instances to exclude from the next attempt. Throws the final error if there is none. */
  async function decideAfterFailure (
    state: RunState, attempt: Attempt, error: unknown
  ): Promise<readonly string[]> {
    const { job, failures, isIdempotent } = state
    const { identifier, customer = '', signal } = job
    const { number, target, handle } = attempt
    failures.push(await outcomes.handleFailure(identifier, number, target, handle, error))
    endWork(attempt)
    const step = decideNextStep({
      idempotent: isIdempotent,
      failures,
      deliveredChunks: 0,
      deadline: deadlineOf(state),
      callerDisconnected: signal.aborted,
      crashing: isCrashing(job)
    }, () => retryBudget.tryRetry(customer, target.upstream, now()), now())
    if (step.kind === 'giveUp') throw finalError(step, error)
    return step.exclude
  }

  function recordFailure (state: RunState, attempt: Attempt, error: unknown): void {
    const { number, target, handle } = attempt
    state.failures.push(failureOf(target.upstream, error))
    const { identifier } = state.job
    outcomes.handleFailure(identifier, number, target, handle, error)
      .catch((fault: unknown) => { outcomes.reportFault(fault, identifier) })
    endWork(attempt)
  }

  function cancelAttempt (state: RunState, attempt: Attempt, replacedBy: number): void {
    const { number, target, handle } = attempt
    state.failures.push(outcomes.handleCancelled(state.job.identifier, number, target, handle, replacedBy))
    endWork(attempt)
  }

  /** Probes the instance of a silent attempt, and ends the attempt if the instance's process has ended. */
  function checkSilent (
    identifier: string, attempt: Attempt, race: AttemptRace<Attempt, ServiceResponse>
  ): void {
    attempt.checkedAt = now()
    outcomes.checkSilent(attempt.target).then((liveness) => {
      attempt.liveness = liveness
      if (liveness === Liveness.ended) race.fail(attempt, connectionError('the process has ended', 'maybeStarted'))
    }).catch((fault: unknown) => { outcomes.reportFault(fault, identifier) })
  }

  function deadlineOf ({ startedAt }: RunState): MonotonicMilliseconds {
    return startedAt + timeouts.whole
  }

  function isCrashing (job: ServiceJob): boolean {
    return crashes.verdict(job.fingerprint, now()).kind === 'refused'
  }

  /** Returns an attempt to run beside the silent ones, if the call may be repeated and the retry budget permits it. */
  function startBeside (
    state: RunState, leader: Attempt, silent: readonly Attempt[]
  ): AttemptSource<Attempt, ServiceResponse> | undefined {
    const { job, failures } = state
    const time = now()
    const progress = { failures, deadline: deadlineOf(state), crashing: isCrashing(job) }
    if (!state.isIdempotent || time < state.besideAfter) return undefined
    // A call has ended once an attempt was cancelled, so that the length of the silence does not matter.
    if (!mayRunBeside(progress, { running: silent.length, pauses: 0 }, time)) return undefined
    const failed = upstreamsOf(failures)
    const silentNames = silent.map(({ target }) => target.upstream)
    const responsive = silent.filter(({ liveness }) => liveness === Liveness.alive).map(({ target }) => target.upstream)
    const all = registry.services(job.route.service, time)
    const others = all.filter(({ name }) => !silentNames.includes(name))
    const instance = others.find(({ name }) => !failed.includes(name)) ?? others[0] ??
      all.find(({ name }) => responsive.includes(name))
    if (instance === undefined) return undefined
    if (!retryBudget.tryRetry(job.customer ?? '', leader.target.upstream, time)) return undefined
    return sourceOf(state, createAttempt(state, instance, leader.number))
  }

  function chooseInstance ({ job: { route }, failures }: RunState, exclude: readonly string[]): UpstreamView {
    const all = registry.services(route.service, now())
    const found = all.find((view) => !exclude.includes(view.name)) ?? all[0]
    if (found !== undefined) return found
    const sent = failures.some(({ progress }) => progress !== 'notSent')
    throw new NoUpstreamError(`no instance of ${route.service} is available`, {
      execution: sent ? ExecutionStatus.unknown : ExecutionStatus.notRun,
      retryAfterSeconds: RETRY_SECONDS,
      reason: EndReason.noUpstream
    })
  }

  function createAttempt (state: RunState, instance: UpstreamView, replaces: number | undefined): Attempt {
    const { identifier, fingerprint, route } = state.job
    const { name: upstream, endpoint, incarnation } = instance
    state.attempts += 1
    const number = state.attempts
    const attempt: Attempt = {
      number,
      target: { upstream, endpoint, incarnation },
      handle: crashes.started(fingerprint, upstream, incarnation),
      workIdentifier: `${identifier}/${number}`,
      checkedAt: -Infinity,
      liveness: Liveness.unknown
    }
    log(LogEvent.requestRouted, {
      ...attemptFields(state, attempt), route: route.name, ...(replaces === undefined ? {} : { replaces })
    })
    metrics.increment(MetricName.attempts, { upstream })
    registry.startWork(upstream, attempt.workIdentifier, 0, now())
    return attempt
  }

  function endWork ({ target, workIdentifier }: Attempt): void {
    registry.finishWork(target.upstream, workIdentifier, now())
  }

  function attemptFields ({ job }: RunState, { number, target }: Attempt) {
    return {
      requestIdentifier: job.identifier, attempt: number, customer: job.customer ?? '', upstream: target.upstream
    }
  }

  function sourceOf (state: RunState, attempt: Attempt): AttemptSource<Attempt, ServiceResponse> {
    const { identifier, method, target: path, headers, body, reserve } = state.job
    const call = {
      requestIdentifier: identifier,
      attempt: attempt.number,
      method,
      path,
      headers,
      body,
      ...(reserve === undefined ? {} : { reserve })
    }
    return {
      details: attempt,
      async * open (onSilence, signal) {
        const limits = { ...timeouts, whole: Math.max(1, deadlineOf(state) - now()) }
        yield await client.call(attempt.target.endpoint, call, limits, signal, (limit) => {
          // A call that may not be repeated has the limit of the first byte as its time limit. Once its response has
          // begun, it is only waited for.
          if (!state.isIdempotent) return limit === SilenceLimit.betweenChunks
          onSilence()
          return true
        })
      }
    }
  }
}
