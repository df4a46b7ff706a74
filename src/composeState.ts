/** Creates the decision state of one instance and connects its modules. Owns no sockets or timers. */
import type { Settings } from './configuration/settings'
import { createRevisionTracker } from './configuration/revisionTracker'
import { createKeySet } from './customer/keys'
import { createConcurrencyLimit } from './fairness/concurrencyLimit'
import { createFairQueue } from './fairness/fairQueue'
import type { ConcurrencyLimit } from './fairness/types'
import { LogEvent } from './observability/events'
import type { EventLog } from './observability/events'
import type { CrashNotice } from './peer/messages'
import { createBlockIndex } from './prefix/blockIndex'
import { createBlockKeyFunction } from './prefix/blockKeys'
import { createColdPrefixGate } from './prefix/coldPrefix'
import { createQuotaAccounts } from './quota/accounts'
import { createLoanPlanner } from './quota/borrowing'
import { createRetryBudget } from './request/retryBudget'
import { createVersionCircuitBreaker } from './rollout/versionCircuitBreaker'
import { createRolloutSampler } from './rollout/sampler'
import type { RequestOutcome } from './rollout/sampler'
import { RolloutPhase } from './rollout/types'
import type { RolloutRecord } from './rollout/types'
import { createRolloutView } from './rollout/view'
import { createCrashLedger } from './upstream/crashLedger'
import { createUpstreamRegistry } from './upstream/registry'
import type { UpstreamEvent } from './upstream/registryTypes'
import type { FleetConfiguration, Incarnation, MonotonicMilliseconds, RandomSource } from './types'

/** Maximum number of entries in the block index. Each takes 20 bytes, which is 20 MB in total. */
const MAX_INDEX_ENTRIES = 1_000_000

/**
 * Upper bound of the adaptive concurrency limit: eight accelerators of one engine with 512 slots each. The default of
 * 256 rejected requests at 500 streams to an engine with 2,000 slots.
 */
const MAX_CONCURRENCY = 4096

/**
 * Parameters of the adaptive concurrency limit. Engines batch dozens of requests, and the limit grows by one for each
 * round of them, so that it took minutes to fill six engines with 500 streams from the default initial limit of 16.
 * Waits below `slack` (in milliseconds) do not indicate overload: one decode step of a full batch takes about 40 ms, and
 * the prefill of another prompt takes several hundred.
 */
const CONCURRENCY_LIMIT_OPTIONS = { initial: 64, minimum: 4, maximum: MAX_CONCURRENCY, slack: 300, probe: 1 }

export interface InstanceIdentity {
  name: string
  incarnation: Incarnation
  dataCentre: string
}

export interface StateOptions {
  settings: Settings
  identity: InstanceIdentity
  log: EventLog
  now: () => MonotonicMilliseconds
  random: RandomSource
  /** Sends crash notifications to all peers. */
  publishCrashes: (notices: readonly CrashNotice[]) => void
}

export type InstanceState = Awaited<ReturnType<typeof createInstanceState>>

const UPSTREAM_EVENTS = {
  found: LogEvent.upstreamFound,
  lost: LogEvent.upstreamLost,
  leaving: LogEvent.upstreamLeaving,
  restarted: LogEvent.upstreamRestarted
} as const

/** Creates the state of one instance. Rejects if WebAssembly, which the block hash requires, is not available. */
export async function createInstanceState (options: StateOptions) {
  const { settings, identity, log, now, random } = options
  const tracker = createRevisionTracker()
  const keys = createKeySet({ maximumAge: settings.keys.maximumAge })
  const accounts = createQuotaAccounts()
  const loans = createLoanPlanner({
    accounts, dataCentre: identity.dataCentre, identifierPrefix: `${identity.name}/${identity.incarnation}`
  })
  const queue = createFairQueue({
    maximumRequests: settings.queue.requests,
    maximumTokens: settings.queue.tokens,
    maximumRequestsPerCustomer: settings.queue.customerRequests,
    maximumTokensPerCustomer: settings.queue.customerTokens
  })
  const limits = new Map<string, ConcurrencyLimit>()
  const index = createBlockIndex({ maximumEntries: MAX_INDEX_ENTRIES })
  const crashes = createCrashLedger()
  /** Last known incarnation of each upstream, used to identify the ended incarnation after a restart. */
  const incarnations = new Map<string, Incarnation>()

  function limitOf (upstream: string): ConcurrencyLimit {
    let limit = limits.get(upstream)
    if (limit === undefined) {
      limit = createConcurrencyLimit(CONCURRENCY_LIMIT_OPTIONS)
      limits.set(upstream, limit)
    }
    return limit
  }

  function onUpstreamEvent ({ kind, upstream, incarnation }: UpstreamEvent): void {
    log(UPSTREAM_EVENTS[kind], { upstream, incarnation })
    if (kind === 'lost') {
      index.dropUpstream(upstream)
      limits.delete(upstream)
      incarnations.delete(upstream)
    } else if (kind === 'restarted') {
      const ended = incarnations.get(upstream)
      incarnations.set(upstream, incarnation)
      if (ended !== undefined && ended !== incarnation) reportCrashes(crashes.upstreamDied(upstream, ended, now()))
    }
  }

  function reportCrashes (notices: readonly CrashNotice[]): void {
    if (notices.length === 0) return
    log(LogEvent.crashCounted, { upstream: notices[0]?.upstream ?? '', requests: notices.length }, 'warn')
    options.publishCrashes(notices)
  }

  const registry = createUpstreamRegistry({
    dataCentre: identity.dataCentre,
    hasRoom: (upstream) => limitOf(upstream).inFlight() < limitOf(upstream).limit(),
    onEvent: onUpstreamEvent
  })
  const brake = createVersionCircuitBreaker()
  const rollouts = createRolloutView({ isCircuitOpen: (model, version) => brake.isOpen(model, version, now()) })
  const sampler = createRolloutSampler({
    referenceVersion: (model) => comparedRollout(rollouts.record(model))?.fromVersion,
    isCircuitOpen: (model, version, route) => brake.isOpenForRoute(model, version, route, now())
  })

  function recordOutcome (outcome: RequestOutcome): void {
    const { model, version, route, failed } = outcome
    sampler.record(outcome)
    if (comparedRollout(rollouts.record(model))?.toVersion !== version) return
    if (brake.record(model, version, route, failed, now())) {
      log(LogEvent.rolloutLocalBrake, { rollout: model, model, version, route }, 'warn')
    }
  }

  function chooseVersion (model: string, failed: string | undefined): string {
    const fallbackVersion = failed === undefined ? undefined : rollouts.fallbackVersion(model, failed)
    const configuredVersion = tracker.current()?.configuration.models.find(({ name }) => name === model)?.version
    return fallbackVersion ?? rollouts.chooseVersion(model, random) ?? configuredVersion ?? ''
  }

  tracker.onAccepted(({ configuration }) => { applyConfiguration(configuration) })
  function applyConfiguration ({ customers }: FleetConfiguration): void {
    accounts.setLimits(customers.map(({ name, rate, burst }) => ({ customer: name, rate, burst })), now())
    queue.setWeights(new Map(customers.map(({ name, weight }) => [name, weight])))
  }

  return {
    tracker,
    keys,
    accounts,
    loans,
    queue,
    limitOf,
    index,
    crashes,
    registry,
    rollouts,
    brake,
    sampler,
    gate: createColdPrefixGate(),
    retryBudget: createRetryBudget(),
    blockKeys: await createBlockKeyFunction(),
    recordOutcome,
    chooseVersion,
    /** Records the current incarnation of each upstream. Called about once per second. */
    recordIncarnations () {
      for (const { name, incarnation } of registry.upstreams(now())) {
        if (incarnation !== 0) incarnations.set(name, incarnation)
      }
    }
  }
}

/** Returns the record if its rollout is in a phase that compares the two versions, otherwise undefined. */
function comparedRollout (record: RolloutRecord | undefined): RolloutRecord | undefined {
  if (record === undefined || record.fromVersion === undefined) return undefined
  const isCompared = record.phase === RolloutPhase.canary || record.phase === RolloutPhase.completeShare
  return isCompared ? record : undefined
}
