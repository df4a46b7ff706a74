/** Periodic tasks of one instance: polling the platform and the upstreams, grants, loans, and heartbeats. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import type { InstanceIdentity, InstanceState } from './composeState'
import { createRolloutTasks } from './composeRollouts'
import { createConfigurationTask } from './configuration/configurationTask'
import { createKeyTask } from './customer/keyTask'
import { RouterError } from './errors'
import type { Member, Membership } from './membership/membership'
import { LogEvent } from './observability/events'
import type { EventLog, Metrics } from './observability/events'
import { MetricName } from './observability/metrics'
import { keyNotices } from './peer/handlers'
import type { PeerNode } from './peer/node'
import { rankByRendezvous } from './rendezvous'
import type { InstanceList, PlatformClient } from './platform/types'
import type { Borrowing } from './gateway/admission'
import { BORROWING_INTERVAL_MS } from './quota/borrowing'
import type { PlannedLoan } from './quota/borrowing'
import { createGrantTask } from './quota/grantTask'
import { reservationOwner } from './request/idempotency'
import type { IdempotencyGuard } from './request/idempotency'
import type { Timers } from './timers'
import { createUpstreamPolling } from './upstream/upstreamPolling'
import type { UpstreamClient } from './upstream/types'
import { InstanceState as ListedState } from './types'
import type { Endpoint, ListedInstance, MonotonicMilliseconds, RandomSource, WallClockMilliseconds } from './types'

const SECOND_MS = 1000

/** Sampling interval of the event loop delay in milliseconds. The histogram includes it in each recorded delay. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 20

/** An instance that is not a relay polls the platform only once in this many rounds. */
const NON_RELAY_POLL_ROUNDS = 30

/** Interval in milliseconds, per known upstream, between polls of the engines' reports and cache events. */
const POLL_INTERVAL_PER_UPSTREAM_MS = 20
const MIN_POLL_INTERVAL_MS = 250

/** Interval in milliseconds between sweeps of old idempotency rows. Each sweep handles one owner. */
const SWEEP_INTERVAL_MS = 60_000

/** Interval in milliseconds between rounds of probes. The registry decides which upstreams are due. */
const PROBE_INTERVAL_MS = 250

/** Delay in milliseconds from a peer's greeting to the redistribution of grants, shared by peers that start together. */
const PEER_START_DELAY_MS = 500

/** Interval in milliseconds at which the queue is processed without an event. Limits the delay of deadline checks. */
const PUMP_INTERVAL_MS = 50

export interface TasksOptions {
  identity: InstanceIdentity
  peerEndpoint: Endpoint
  state: InstanceState
  platform: PlatformClient
  client: UpstreamClient
  node: PeerNode
  timers: Timers
  /** Applies a new instance list and connects to its routers. */
  applyInstances: (instances: readonly ListedInstance[]) => void
  membership: Pick<Membership, 'alive' | 'aliveInDataCentre' | 'isRelay' | 'members'>
  isStopping: () => boolean
  /** Called when a grant or a loan may have been received. */
  onQuotaChanged: () => void
  pump: () => void
  /** Maintains the rows of idempotency keys. */
  guard: Pick<IdempotencyGuard, 'tick' | 'sweep'>
  tickClock: () => string
  log: EventLog
  metrics: Metrics
  reportFault: (error: unknown) => void
  now: () => MonotonicMilliseconds
  wallClock: () => WallClockMilliseconds
  random: RandomSource
}

interface GrantRenewal {
  /** Whether the grants are known to have been renewed or to be up to date. */
  settled: boolean
  /** Delay in milliseconds until the next call is due. */
  delay: number
}

const isActive = ({ state }: Member): boolean => state === ListedState.live

export type Tasks = ReturnType<typeof createTasks>

export function createTasks (options: TasksOptions) {
  const { identity, state, platform, client, node, membership, timers, log, metrics, now, wallClock, random } = options
  const eventLoopDelay = monitorEventLoopDelay({ resolution: EVENT_LOOP_SAMPLE_INTERVAL_MS })
  eventLoopDelay.enable()
  let instanceList: InstanceList | undefined
  let instanceListError: RouterError | undefined
  let isPlatformUnavailable = false
  let pollRounds = 0

  const configurationTask = createConfigurationTask({ platform, tracker: state.tracker, log })
  const keyTask = createKeyTask({
    platform,
    keys: state.keys,
    log,
    onChanged (changed) { for (const part of keyNotices(changed)) node.broadcast(part) }
  })
  const polling = createUpstreamPolling({
    client, registry: state.registry, index: state.index, onChanged: options.pump, log, now
  })
  const grants = createGrantTask({
    platform,
    accounts: state.accounts,
    self: {
      instance: identity.name,
      incarnation: identity.incarnation,
      address: `${options.peerEndpoint.host}:${options.peerEndpoint.port}`,
      dataCentre: identity.dataCentre
    },
    weights: () => new Map(
      state.tracker.current()?.configuration.dataCentres.map(({ name, weight }) => [name, weight])
    ),
    liveInstances: () => membership.aliveInDataCentre(now()).filter(isActive).map(({ name }) => name),
    clock: now,
    random
  })
  const activeInstances = (): string[] => {
    return [...new Set([identity.name, ...membership.alive(now()).filter(isActive).map(({ name }) => name)])]
  }
  const rollouts = createRolloutTasks({
    identity, state, platform, client, node, activeInstances, log, now, wallClock
  })

  function applyInstanceList (newer: InstanceList): void {
    if (instanceList !== undefined && newer.asOf < instanceList.asOf) return
    instanceList = newer
    state.registry.applyList(newer.instances, newer.asOf, now())
    options.applyInstances(newer.instances)
  }

  async function pollConfiguration (): Promise<void> {
    const previousRevision = state.tracker.revision()
    await configurationTask.tick(now())
    const configuration = state.tracker.current()
    if (configuration === undefined || configuration.revision === previousRevision) return
    node.broadcast({ kind: 'configurationNotice', configuration })
  }

  async function pollInstanceList (): Promise<void> {
    try {
      applyInstanceList(await platform.listInstances())
      instanceListError = undefined
    } catch (error) {
      if (!(error instanceof RouterError)) throw error
      instanceListError = error
    }
  }

  const platformError = (): RouterError | undefined =>
    instanceListError ?? configurationTask.lastError() ?? keyTask.lastError()

  function reportPlatformState (): void {
    const error = platformError()
    if (isPlatformUnavailable === (error !== undefined)) return
    isPlatformUnavailable = error !== undefined
    if (error === undefined) log(LogEvent.platformAvailable)
    else log(LogEvent.platformUnavailable, { errorCode: error.code }, 'warn')
    if (error !== undefined) metrics.increment(MetricName.platformFailures)
  }

  async function renewGrants (): Promise<GrantRenewal> {
    if (state.tracker.revision() === 0) return { settled: false, delay: SECOND_MS / 4 }
    const { outcome, delay, units, reclaimed } = await grants.tick(now())
    if (outcome === 'renewed') log(LogEvent.quotaGranted, { floor: units.floor, pool: units.pool }, 'debug')
    for (const { instance, tier, units: count } of reclaimed) {
      log(LogEvent.quotaReclaimed, { peer: instance, tier, units: count })
    }
    options.onQuotaChanged()
    return { settled: outcome === 'renewed' || outcome === 'unchanged', delay }
  }

  /** Renews the grants outside the regular schedule, with retries until a renewal settles. */
  function scheduleGrantRenewal (milliseconds: number): void {
    timers.once(milliseconds, async () => {
      const { settled, delay } = await renewGrants()
      if (!settled) scheduleGrantRenewal(delay)
    })
  }

  function sendLoans (loans: readonly PlannedLoan[]): void {
    for (const { peer, request } of loans) node.send(peer, { kind: 'loanRequest', ...request })
  }

  const listLoanPeers = () => {
    const leaving = new Set(membership.members().filter((member) => !isActive(member)).map(({ name }) => name))
    return node.peers().filter(({ instance }) => !leaving.has(instance))
  }

  function sendHeartbeat (): void {
    node.broadcast({
      kind: 'heartbeat',
      state: options.isStopping() ? ListedState.leaving : ListedState.live,
      revision: state.tracker.revision(),
      keyVersion: state.keys.version(),
      work: state.registry.ownWork(),
      clock: options.tickClock()
    })
  }

  let sweepCount = 0
  /** Sweeps one owner per call. Each owner is assigned to one instance, so that no two delete the same rows. */
  async function sweepReservations (): Promise<void> {
    const configuration = state.tracker.current()?.configuration
    if (configuration === undefined) return
    const instanceNames = activeInstances()
    const openRoutes = configuration.routes.filter((route) => route.open)
    const assignedOwners = [
      ...configuration.customers.map(({ name }) => reservationOwner(name, '')),
      ...openRoutes.map(({ name }) => reservationOwner(undefined, name))
    ].filter((owner) => rankByRendezvous(owner, instanceNames)[0] === identity.name)
    const owner = assignedOwners[sweepCount % Math.max(1, assignedOwners.length)]
    sweepCount += 1
    if (owner !== undefined) await options.guard.sweep(owner, wallClock())
  }

  function runMaintenance (): void {
    state.registry.expire(now())
    state.recordIncarnations()
    reportPlatformState()
    metrics.gauge(MetricName.indexEntries, state.index.entryCount())
    metrics.gauge(MetricName.queueSize, state.queue.size())
    metrics.gauge(MetricName.peers, node.peers().length)
    metrics.gauge(MetricName.upstreams, state.registry.upstreams(now()).length)
    metrics.gauge(MetricName.eventLoopDelay, Math.max(0, eventLoopDelay.max / 1e6 - EVENT_LOOP_SAMPLE_INTERVAL_MS))
    eventLoopDelay.reset()
  }

  const pollInterval = (): number => {
    return Math.max(MIN_POLL_INTERVAL_MS, state.registry.upstreams(now()).length * POLL_INTERVAL_PER_UPSTREAM_MS)
  }

  return {
    leader: rollouts.leader,
    grants,
    polling,
    platformError: () => platformError()?.message,
    instances: () => instanceList,
    applyInstanceList,
    /** Handles the start of a peer in the same data centre by returning the peer's share of the quota ahead of schedule. */
    onPeerStarted (): void { scheduleGrantRenewal(PEER_START_DELAY_MS) },
    /** Sends requests for loans that would allow the request to be admitted. */
    borrow (customer: string, tokens: number): Borrowing | undefined {
      const plan = state.loans.planLoans(customer, tokens, listLoanPeers(), now())
      if (plan === undefined) return undefined
      sendLoans(plan.loans)
      return {
        waitMilliseconds: plan.waitMilliseconds,
        finish () {
          state.loans.finish(plan, now())
          sendLoans(state.loans.takeReturns())
        }
      }
    },
    /** Sends the messages that return loans. Called after each reply, because most returns are known by then. */
    returnLoans (): void { sendLoans(state.loans.takeReturns()) },
    /** Starts the timers and polls the platform and the engines once. Resolves after these first polls. */
    async start (): Promise<void> {
      timers.every(PUMP_INTERVAL_MS, options.pump)
      timers.every(SECOND_MS, sendHeartbeat)
      timers.every(SECOND_MS, rollouts.sendSamples)
      timers.every(SECOND_MS, runMaintenance)
      timers.every(SECOND_MS, options.guard.tick)
      timers.every(SWEEP_INTERVAL_MS, sweepReservations)
      timers.every(BORROWING_INTERVAL_MS, () => { sendLoans(state.loans.planAhead(listLoanPeers(), now())) })
      timers.every(PROBE_INTERVAL_MS, polling.probe)
      timers.every(SECOND_MS * 60, () => { state.retryBudget.prune(now()) })
      timers.repeat(async () => (await renewGrants()).delay)
      timers.repeat(async () => {
        // An unresponsive engine must not delay the next round for the others.
        polling.pollReports().catch(options.reportFault)
        polling.pollEvents().catch(options.reportFault)
        return pollInterval()
      })
      await Promise.all([pollConfiguration(), keyTask.tick(now()), pollInstanceList()])
      await polling.pollReports()
      // In a large fleet the relays poll for all instances and notify the others, which still poll occasionally.
      timers.every(SECOND_MS, async () => {
        pollRounds += 1
        if (!membership.isRelay(now()) && pollRounds % NON_RELAY_POLL_ROUNDS !== 0) return
        await Promise.all([pollConfiguration(), keyTask.tick(now())])
      })
      timers.every(SECOND_MS, pollInstanceList)
      timers.every(SECOND_MS, rollouts.lead)
    }
  }
}
