/** Periodic work of one instance: polls of platform and upstreams, grants, loans, heartbeats. */
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

/** Milliseconds between samples of the event loop's delay; the histogram counts them as a part of each delay. */
const LOOP_RESOLUTION_MS = 20

/** Rounds of polling of which an instance that is no relay takes part in one. */
const OWN_POLL_ROUNDS = 30

/** Milliseconds between polls of the engines' reports and cache events, for each engine that is polled. */
const POLL_INTERVAL_PER_ENGINE_MS = 20
const SHORTEST_POLL_INTERVAL_MS = 250

/** Milliseconds between two sweeps of old idempotency rows, of one customer each. */
const SWEEP_INTERVAL_MS = 60_000

/** Milliseconds between rounds of probes; the registry decides which upstreams are due. */
const PROBE_INTERVAL_MS = 250

/** Milliseconds after a peer's greeting until grants are divided anew; peers that start together share one change. */
const PEER_START_DELAY_MS = 500

/** Milliseconds between looks at the queue when no event asks for one; bounds how late a deadline is noticed. */
const PUMP_INTERVAL_MS = 50

export interface TasksOptions {
  identity: InstanceIdentity
  peerEndpoint: Endpoint
  state: InstanceState
  platform: PlatformClient
  client: UpstreamClient
  node: PeerNode
  timers: Timers
  /** Takes in a new instance list; connects to its routers. */
  takeInstances: (instances: readonly ListedInstance[]) => void
  membership: Pick<Membership, 'alive' | 'aliveInDataCentre' | 'isRelay' | 'members'>
  isStopping: () => boolean
  /** A grant or a loan may have come. */
  onQuota: () => void
  pump: () => void
  /** Keeps the rows of idempotency keys. */
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
  /** False when nothing is known to have been written or found in order. */
  settled: boolean
  /** Milliseconds until the next call is due. */
  delay: number
}

const isStaying = ({ state }: Member): boolean => state === ListedState.live

export type Tasks = ReturnType<typeof createTasks>

export function createTasks (options: TasksOptions) {
  const { identity, state, platform, client, node, membership, timers, log, metrics, now, wallClock, random } = options
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS })
  loopDelay.enable()
  let list: InstanceList | undefined
  let listError: RouterError | undefined
  let platformAway = false
  let rounds = 0

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
    liveInstances: () => membership.aliveInDataCentre(now()).filter(isStaying).map(({ name }) => name),
    clock: now,
    random
  })
  const stayingInstances = (): string[] => {
    return [...new Set([identity.name, ...membership.alive(now()).filter(isStaying).map(({ name }) => name)])]
  }
  const rollouts = createRolloutTasks({
    identity, state, platform, client, node, stayingInstances, log, now, wallClock
  })

  function takeList (newer: InstanceList): void {
    if (list !== undefined && newer.asOf < list.asOf) return
    list = newer
    state.registry.applyList(newer.instances, newer.asOf, now())
    options.takeInstances(newer.instances)
  }

  async function pollConfiguration (): Promise<void> {
    const before = state.tracker.revision()
    await configurationTask.tick(now())
    const configuration = state.tracker.current()
    if (configuration === undefined || configuration.revision === before) return
    node.broadcast({ kind: 'configurationNotice', configuration })
  }

  async function pollList (): Promise<void> {
    try {
      takeList(await platform.listInstances())
      listError = undefined
    } catch (error) {
      if (!(error instanceof RouterError)) throw error
      listError = error
    }
  }

  const platformError = (): RouterError | undefined => listError ?? configurationTask.lastError() ?? keyTask.lastError()

  function notePlatform (): void {
    const error = platformError()
    if (platformAway === (error !== undefined)) return
    platformAway = error !== undefined
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
    options.onQuota()
    return { settled: outcome === 'renewed' || outcome === 'unchanged', delay }
  }

  /** Renews the grants apart from the regular calls, until the platform has answered once. */
  function renewGrantsSoon (milliseconds: number): void {
    timers.once(milliseconds, async () => {
      const { settled, delay } = await renewGrants()
      if (!settled) renewGrantsSoon(delay)
    })
  }

  function sendLoans (loans: readonly PlannedLoan[]): void {
    for (const { peer, request } of loans) node.send(peer, { kind: 'loanRequest', ...request })
  }

  const loanPeers = () => {
    const leaving = new Set(membership.members().filter((member) => !isStaying(member)).map(({ name }) => name))
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

  let sweeps = 0
  /** Sweeps one owner at a time; each belongs to one instance, so that two do not delete the same rows. */
  async function sweepReservations (): Promise<void> {
    const configuration = state.tracker.current()?.configuration
    if (configuration === undefined) return
    const names = stayingInstances()
    const open = configuration.routes.filter((route) => route.open)
    const own = [
      ...configuration.customers.map(({ name }) => reservationOwner(name, '')),
      ...open.map(({ name }) => reservationOwner(undefined, name))
    ].filter((owner) => rankByRendezvous(owner, names)[0] === identity.name)
    const owner = own[sweeps % Math.max(1, own.length)]
    sweeps += 1
    if (owner !== undefined) await options.guard.sweep(owner, wallClock())
  }

  function tidy (): void {
    state.registry.expire(now())
    state.noteIncarnations()
    notePlatform()
    metrics.gauge(MetricName.indexEntries, state.index.entryCount())
    metrics.gauge(MetricName.queueSize, state.queue.size())
    metrics.gauge(MetricName.peers, node.peers().length)
    metrics.gauge(MetricName.upstreams, state.registry.upstreams(now()).length)
    metrics.gauge(MetricName.eventLoopDelay, Math.max(0, loopDelay.max / 1e6 - LOOP_RESOLUTION_MS))
    loopDelay.reset()
  }

  const pollInterval = (): number => {
    return Math.max(SHORTEST_POLL_INTERVAL_MS, state.registry.upstreams(now()).length * POLL_INTERVAL_PER_ENGINE_MS)
  }

  return {
    leader: rollouts.leader,
    grants,
    polling,
    platformError: () => platformError()?.message,
    instances: () => list,
    takeList,
    /** A peer of the own data centre has started: its part of the quota is given back before the next renewal. */
    notePeerStarted (): void { renewGrantsSoon(PEER_START_DELAY_MS) },
    /** Sends requests for loans that would admit the request. */
    borrow (customer: string, tokens: number): Borrowing | undefined {
      const plan = state.loans.planLoans(customer, tokens, loanPeers(), now())
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
    /** Sends the messages that give loans back; called after each reply, since most returns are known then. */
    returnLoans (): void { sendLoans(state.loans.takeReturns()) },
    /** Asks the platform for everything at once, then starts the timers. Resolves after the first answers. */
    async start (): Promise<void> {
      timers.every(PUMP_INTERVAL_MS, options.pump)
      timers.every(SECOND_MS, sendHeartbeat)
      timers.every(SECOND_MS, rollouts.sendSamples)
      timers.every(SECOND_MS, tidy)
      timers.every(SECOND_MS, options.guard.tick)
      timers.every(SWEEP_INTERVAL_MS, sweepReservations)
      timers.every(BORROWING_INTERVAL_MS, () => { sendLoans(state.loans.planAhead(loanPeers(), now())) })
      timers.every(PROBE_INTERVAL_MS, polling.probe)
      timers.every(SECOND_MS * 60, () => { state.retryBudget.prune(now()) })
      timers.paced(async () => (await renewGrants()).delay)
      timers.paced(async () => {
        // A silent engine must not hold up the next round for the others.
        polling.pollReports().catch(options.reportFault)
        polling.pollEvents().catch(options.reportFault)
        return pollInterval()
      })
      await Promise.all([pollConfiguration(), keyTask.tick(now()), pollList()])
      await polling.pollReports()
      // In a large fleet the relays poll for all; the others learn from them. Each still looks now and then by itself.
      timers.every(SECOND_MS, async () => {
        rounds += 1
        if (!membership.isRelay(now()) && rounds % OWN_POLL_ROUNDS !== 0) return
        await Promise.all([pollConfiguration(), keyTask.tick(now())])
      })
      timers.every(SECOND_MS, pollList)
      timers.every(SECOND_MS, rollouts.lead)
    }
  }
}
