/** Plays a schedule of requests against one instance in virtual time, without processes or sockets. */
import { createDestinations } from '../residency/destinations'
import { vi } from 'vitest'
import { ListenerState } from '../../http/listeningProbe'
import { createCrashAttribution } from '../../upstream/crashAttribution'
import type { Obstacle } from '../attemptDecision'
import { createBacklogs } from '../backlog'
import { createCrashReports, type CrashReports } from '../crashReports'
import { EdgeEvent, type EdgeLog } from '../events'
import { createExchange, type Exchange } from '../exchange'
import type { ExchangeContext } from '../exchangeContext'
import { createFreshness } from '../freshness'
import { stopGracefully } from '../gracefulStop'
import { createLivenessChecks, type LivenessChecks } from '../livenessChecks'
import { FREE_CROSSING } from '../dataCentres/crossing'
import { createPrefixDemand } from '../prefixDemand'
import { createQuotaShares } from '../quotaShare'
import { createResponseBuffers } from '../responseBuffers'
import { createRetryAllowance } from '../retryAllowance'
import { createRolloutSampler } from '../rolloutSampler'
import { createRouteTable } from '../routeTable'
import { createTrialPermits } from '../trialPermits'
import { RequestLimitKind, type Instant, type UpstreamEntry } from '../types'
import { createUpstreamDirectory, type UpstreamDirectory } from '../upstreamDirectory'
import { createEntry, UNBOUNDED_ROOM, UNKNOWN_SPEEDS } from './fixtures'
import { configurationAt, isStoreAway } from './lifeChanges'
import type { Schedule } from './lifeSchedule'
import { createCallerRequest, createCallerResponse, simulatedDialect, type CallerView } from './simulatedCallers'
import {
  appliesAt, createSimulatedUpstreams, useUpstreams, type SimulatedAttempt, type SimulatedUpstreams
} from './simulatedUpstreams'

/** As in composeEdge. */
const SWEEP_MS = 100
/** Time after the last request in which work that goes on would show. */
const AFTERMATH_MS = 300
/** As of the calls of the platform's engine control. */
const REPORT_TIMEOUT_MS = 500

export interface LifeOutcome {
  schedule: Schedule
  callers: readonly CallerView[]
  attempts: readonly SimulatedAttempt[]
  faults: readonly unknown[]
}

function createRandom (seed: number): () => number {
  let state = seed + 1
  return () => {
    state = Math.imul(state, 1_664_525) + 1_013_904_223 >>> 0
    return state / 2 ** 32
  }
}

function entryOf (index: number, startedAt: number): UpstreamEntry {
  return createEntry(`u${index}`, { endpoint: { host: '127.0.0.1', port: index }, startedAt })
}

interface Instance {
  context: ExchangeContext
  directory: UpstreamDirectory
  crashReports: CrashReports
  livenessChecks: LivenessChecks
  /** Puts the configuration of the present time in force. */
  changeConfiguration: () => void
  /** Rejects requests from now on. */
  rejectRequests: () => void
  hasCrash: () => boolean
  /** Returns why a request was not sent to another upstream, as its end was logged. */
  obstacleOf: (request: number) => Obstacle | undefined
  faults: unknown[]
}

function createInstance (schedule: Schedule, upstreams: SimulatedUpstreams): Instance {
  const now = (): Instant => ({ steady: performance.now(), wall: performance.now() })
  const steady = (): number => performance.now()
  const random = createRandom(schedule.seed)
  const freshness = createFreshness(schedule.outage?.revocation ?? Infinity)
  freshness.recordConfirmation(now())
  const directory = createUpstreamDirectory()
  directory.replace(schedule.upstreams.map((_upstream, index) => entryOf(index, 1)), false, 0)
  let routeTable = createRouteTable(configurationAt(schedule, -Infinity))
  let isRejecting = false
  let hasCrash = false
  const obstacles = new Map<string, Obstacle>()
  const faults: unknown[] = []
  const reportFault = (error: unknown): void => { faults.push(error) }
  const log: EdgeLog = (event, fields) => {
    hasCrash ||= event === EdgeEvent.upstreamCrashed
    const { requestIdentifier, obstacle } = fields as { requestIdentifier?: string, obstacle?: Obstacle }
    if (requestIdentifier !== undefined && obstacle !== undefined) obstacles.set(requestIdentifier, obstacle)
  }
  const crashReports = createCrashReports({
    attribution: createCrashAttribution(),
    broadcast: () => {},
    instance: 'i0',
    peers: () => [],
    directory,
    probe: async () => ListenerState.open,
    onTrialsFailed: (traits) => { trialPermits.endTrials(traits) },
    now: steady,
    log,
    onFault: reportFault
  })
  const trialPermits = createTrialPermits({
    links: { request: async () => ({}), isUsable: () => false }, instance: 'i0', peers: () => [], now: steady, onFault: reportFault
  })
  /** Returns the wait for the next permit of an upstream; undefined if it needs none. */
  const permitWait = ({ identifier }: { identifier: string }): number | undefined => (
    schedule.limits.find((period) => appliesAt(period, Number(identifier.slice(1)), steady()))?.permitWait
  )
  const context = {
    dialect: simulatedDialect,
    routeTable: () => routeTable,
    freshness,
    directory,
    connections: { agentFor: () => undefined, closeIdle () {} },
    quotas: createQuotaShares({ window: 8000, overage: 0.1, slack: 0, startedAt: 0 }),
    peerQuota: { acquire: async () => ({ responses: 0, units: 0 }) },
    retryAllowance: createRetryAllowance(schedule.allowance),
    exportTracker: { shouldExport: () => false },
    cacheStoreFor: () => undefined,
    prefixDemand: createPrefixDemand(),
    backlog: createBacklogs(),
    admissionOrder: undefined,
    dataCentre: 'north',
    instanceCount: () => 1,
    share: () => 1,
    outdatedWeightsLimit: 12_000,
    weightsRollout: { target: () => undefined, supersededFor: () => 0 },
    serviceRollouts: { eligible: (_service: string, usable: unknown) => usable, hasTargetVersion: () => false },
    rolloutSampler: createRolloutSampler(() => false),
    engineLoads: { refresh: async () => {}, promptSent () {}, prefillEnded () {} },
    engineSpeeds: UNKNOWN_SPEEDS,
    engineRoom: UNBOUNDED_ROOM,
    crossing: FREE_CROSSING,
    loadingEngines: () => new Set(),
    responseBuffers: createResponseBuffers(),
    upstreamHints: { apply () {} },
    requestLimits: { limitOf: () => undefined, applyAbsence () {} },
    coldLimits: { applyHint () {}, recordLoss () {}, limitOf: () => undefined },
    destinations: createDestinations({ regions: new Map(), isEvacuated: () => false }),
    sendPermits: {
      validity: () => Infinity,
      isNeeded: (run: UpstreamEntry) => permitWait(run) !== undefined,
      async acquire (run: UpstreamEntry, maximumWait: number) {
        const wait = permitWait(run) ?? 0
        return { granted: wait <= maximumWait, wait }
      }
    },
    trialPermits,
    crashReports,
    reportUnreachable () {},
    isRejecting: () => isRejecting,
    log,
    reportFault,
    now,
    random
  } as unknown as ExchangeContext
  const livenessChecks = createLivenessChecks({
    control: {
      async report ({ endpoint }, onHint) {
        const wait = upstreams.awakeAt(endpoint.port, steady() + 2) - steady()
        await new Promise<void>((resolve) => { setTimeout(resolve, Math.min(wait, REPORT_TIMEOUT_MS)) })
        if (wait > REPORT_TIMEOUT_MS) throw new Error('timeout')
        onHint({ leaving: false, backOffFor: undefined, requestLimit: { kind: RequestLimitKind.none } })
        return { acceptedCommands: 0, busy: false, weights: [] }
      }
    },
    permits: { waitFor: async (run, maximumWait) => (permitWait(run) ?? 0) <= maximumWait },
    upstreams: directory.all,
    onHint () {},
    log,
    now: steady
  })
  return {
    context,
    directory,
    crashReports,
    livenessChecks,
    changeConfiguration () { routeTable = createRouteTable(configurationAt(schedule, steady())) },
    rejectRequests () { isRejecting = true },
    hasCrash: () => hasCrash,
    obstacleOf: (request) => obstacles.get(String(request)),
    faults
  }
}

/** Sets the timers for changes of the configuration; called before all others, which find it changed at the same time. */
function scheduleConfigurations ({ changes, outage }: Schedule, instance: Instance): void {
  const outageEnd = outage === undefined ? [] : [outage.from + outage.length]
  for (const at of [...changes.map((change) => change.at), ...outageEnd]) setTimeout(instance.changeConfiguration, at)
}

/** Sets the timers for what else changes from outside. */
function scheduleChanges (
  schedule: Schedule, instance: Instance, upstreams: SimulatedUpstreams, exchanges: ReadonlySet<Exchange>
): void {
  const { directory } = instance
  for (const { from, upstreams: indexes } of schedule.resets) {
    setTimeout(() => { for (const index of indexes) upstreams.reset(index) }, from)
  }
  for (const { from, length, upstreams: indexes, isOtherRun, isGraceful } of schedule.absences) {
    const present = indexes.filter((index) => index < schedule.upstreams.length)
    setTimeout(() => {
      for (const index of present) {
        if (isOtherRun) upstreams.reset(index)
        directory.remove(`u${index}`, isGraceful, performance.now())
      }
    }, from)
    setTimeout(() => {
      for (const index of present) {
        // Another absence may have brought the first run back meanwhile.
        if (isOtherRun) upstreams.reset(index)
        directory.update(entryOf(index, isOtherRun ? from + 2 : 1))
      }
    }, from + length)
  }
  for (const { from, length, upstreams: indexes, returnsAfter } of schedule.departures) {
    const present = indexes.filter((index) => index < schedule.upstreams.length)
    setTimeout(() => { for (const index of present) directory.update({ ...entryOf(index, 1), leaving: true }) }, from)
    setTimeout(() => {
      for (const index of present) {
        upstreams.reset(index)
        directory.remove(`u${index}`, false, performance.now())
      }
    }, from + length)
    setTimeout(() => {
      for (const index of present) directory.update(entryOf(index, from + 2))
    }, from + length + returnsAfter)
  }
  const { stop } = schedule
  if (stop === undefined) return
  setTimeout(() => {
    stopGracefully({
      grace: stop.grace,
      exchanges,
      hasUnsentBytes: () => false,
      log: instance.context.log,
      onStopping () {},
      rejectRequests: instance.rejectRequests,
      close () {}
    }).catch(instance.context.reportFault)
  }, stop.at)
}

/** Resolves when all promises and ticks that are due have been handled. */
async function settlePromises (): Promise<void> {
  await new Promise<void>((resolve) => { process.nextTick(resolve) })
}

export async function playSchedule (schedule: Schedule): Promise<LifeOutcome> {
  vi.useFakeTimers({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'performance']
  })
  try {
    const upstreams = createSimulatedUpstreams(schedule, () => performance.now())
    useUpstreams(upstreams)
    const instance = createInstance(schedule, upstreams)
    const { context, directory } = instance
    const exchanges = new Set<Exchange>()
    scheduleConfigurations(schedule, instance)
    setInterval(() => {
      setImmediate(() => {
        const now = context.now()
        if (!isStoreAway(schedule, now.steady)) context.freshness.recordConfirmation(now)
        instance.livenessChecks.runDue()
        instance.crashReports.check(now.steady)
        for (const exchange of exchanges) exchange.check(now)
        directory.expire(now.steady)
      })
    }, SWEEP_MS)
    scheduleChanges(schedule, instance, upstreams, exchanges)
    const callers = schedule.requests.map(({ at, segment }, index): CallerView => {
      const view: CallerView = { status: undefined, headAt: undefined, body: '', endings: [] }
      const response = createCallerResponse(view, () => ({
        at: performance.now(), obstacle: instance.obstacleOf(index), hasCrash: instance.hasCrash()
      }))
      setTimeout(() => {
        const request = createCallerRequest(index, segment)
        const exchange = createExchange(context, request, response, () => { exchanges.delete(exchange) })
        exchanges.add(exchange)
        exchange.start()
      }, at)
      return view
    })
    const isUnanswered = ({ endings }: CallerView): boolean => endings.length === 0
    const lastLimit = Math.max(...schedule.requests.map(({ at, limit }) => at + limit))
    let playUntil = lastLimit + AFTERMATH_MS
    while (performance.now() < playUntil) {
      vi.advanceTimersToNextTimer()
      await settlePromises()
      if (!callers.some(isUnanswered)) playUntil = Math.min(playUntil, performance.now() + AFTERMATH_MS)
    }
    return { schedule, callers, attempts: upstreams.attempts, faults: instance.faults }
  } finally {
    vi.useRealTimers()
  }
}
