/** Composes an edge daemon from its modules and manages its start and shutdown. */
import { PeerProtocolError } from '../errors'
import { composeQuotas } from './composeQuotas'
import { composeAdmissionOrder, composeDemandExchange } from './admissionOrder/composeOrder'
import { createBacklogs } from './backlog'
import { createBoundedLog } from './boundedLog'
import { createCacheStores } from './cacheStores'
import { cacheTableName, isCacheTable, withCacheTables } from './cacheStoreTable'
import { createSendLimits } from './coldStart/sendLimits'
import { createCrashHandling } from './crashHandling'
import { createEdgeServer } from './edgeServer'
import { composeEngines } from './engineRoom/composeEngines'
import { EdgeEvent, type EdgeLog } from './events'
import { createExchange, type Exchange } from './exchange'
import type { ExchangeContext } from './exchangeContext'
import { createFailureReports } from './failureReports'
import { createFreshness } from './freshness'
import { stopGracefully } from './gracefulStop'
import { createInstanceList } from './instanceList'
import { createHolderUpdates } from './leaseHolder/holderUpdates'
import { startLeaseTask } from './leaseTask'
import { countBy, createEdgeMetrics } from './metrics'
import { createRolloutSampler } from './rolloutSampler'
import { createPeerBroadcast, type PeerBroadcast } from './peerBroadcast'
import { createPeerLinks, PeerRequestKind, type HandlePeerRequest, type PeerValue } from './peerLinks'
import { createPrefixDemand } from './prefixDemand'
import { createExportTracker } from './promptPlan'
import { createResidency } from './residency/composeResidency'
import { withoutEvacuated } from './residency/reachableDirectory'
import { createRetryAllowance } from './retryAllowance'
import { createServiceRollouts } from './serviceRollouts'
import { startServiceRolloutsTask } from './serviceRolloutsTask'
import type { EdgeSettings } from './settings'
import { createCallerMemory } from './memoryAccount/callerMemory'
import { createLivenessChecks } from './livenessChecks'
import { openEraStore } from './storeEra/eraStore'
import { operatorRowRank } from './storeEra/keptRows'
import { followTable } from './storeFollower'
import { createStoreLease } from './storeLease'
import { FOLLOW_MS, followStoreTables } from './storeTables'
import { createTableRelay } from './tableRelay'
import type { Dialect, EngineControl, Instant, Peer, Store, StoreRecordCodec, UpstreamHint } from './types'
import { createUpstreamConnections } from './upstreamConnections'
import { createUpstreamDirectory, type Upstream } from './upstreamDirectory'
import { createLoadSchedule } from './weightsLoading/loadSchedule'
import { createWeightsRollout } from './weightsRollout'
import { startWeightsTask } from './weightsRolloutTask'

/** Delay in milliseconds between changes of a cache store and the next call, since segments are added continuously. */
const CACHE_SETTLE_MS = 500
/** Interval in milliseconds between checks for silent upstreams and idle connections. */
const SWEEP_MS = 100
/** Interval in milliseconds between writes of the log. */
const LOG_FLUSH_MS = 500
export interface EdgeOptions {
  settings: EdgeSettings
  dialect: Dialect
  records: StoreRecordCodec
  store: Store
  control: EngineControl
}

export interface Edge {
  /** Stops gracefully; resolves when the process may exit, also if called again. */
  stop: () => Promise<void>
  /** Logs the outcome of reloading the settings. */
  reloaded: (outcome: string) => void
  /** Logs an unhandled error and closes the log. */
  fault: (error: unknown) => void
}

/** Starts an edge daemon. Resolves once it listens; waits for addresses that are taken. */
export async function startEdge (options: EdgeOptions): Promise<Edge> {
  const { settings, dialect, records, control } = options
  const { instance, limits } = settings
  const now = (): Instant => ({ steady: performance.now(), wall: Date.now() })
  const random = Math.random
  const incarnation = Date.now()
  const { account, maxConnections, exchangeMemory } = createCallerMemory(limits, () => performance.now())
  const metrics = createEdgeMetrics({
    account,
    exchanges: () => exchanges.size,
    instances: () => instances.count(),
    pendingPeerQueries: () => relay.pendingRequests(),
    configurationVersion: () => tables.routes()?.configuration.version ?? 0,
    configurationAge: () => freshness.age(now()),
    storeEra: () => storeEra,
    admittedParts: () => admissionOrder?.admittedParts() ?? new Map(),
    upstreams: () => countBy([...directory.all()].map(({ entry }) => entry.service)),
    coldUpstreams: () => coldLimits.count([...directory.all()].map(({ entry }) => entry), performance.now()),
    evacuatedDataCentres: () => evacuations.count(),
    engineSpeeds: () => engines.engineSpeeds.medians(),
    crossingShares: () => engines.crossing.shares()
  })
  const { log: writeLogLine, flush, close: closeLog } = createBoundedLog({
    instance: instance.name,
    incarnation,
    now: () => performance.now(),
    wallClock: Date.now,
    onDropped: metrics.countDroppedLine
  })
  const log: EdgeLog = (event, fields = {}) => {
    metrics.observe(event, fields)
    writeLogLine(event, fields)
  }
  const flushTimer = setInterval(flush, LOG_FLUSH_MS)
  const { store, storeEra } = openEraStore(metrics.withCallCounts(options.store), log, now)
  const freshness = createFreshness(limits.revocation)
  const directory = createUpstreamDirectory()
  const connections = createUpstreamConnections(() => performance.now())
  const weightsRollout = createWeightsRollout(createLoadSchedule(limits.exposure, {
    capacityOf: (upstream) => engines.engineRoom.capacityOf(upstream)
  }))
  const serviceRollouts = createServiceRollouts()
  const rolloutSampler = createRolloutSampler(serviceRollouts.isRollingOut)
  let loadingEngines: ReadonlySet<Upstream> = new Set()
  const exchanges = new Set<Exchange>()
  let isListening = false
  let stopping = false
  let rejecting = false

  function isReady (): boolean {
    const isServing = isListening && !stopping
    return isServing && tables.routes() !== undefined && tables.isListRead() && freshness.permitsKeys(now())
  }

  const queryHandlers: Readonly<Record<PeerRequestKind, HandlePeerRequest>> = {
    changes: async (query) => await relay.handleRequest(query),
    tokens: async (query) => await peerQuota.handleRequest(query),
    weightsProgress: async (query) => await holderUpdates.handleProgress(query),
    failures: async (query) => await failureBroadcast.handleRequest(query),
    leaving: async (query) => await sendLimits.requestHandlers.leaving(query),
    limits: async (query) => await sendLimits.requestHandlers.limits(query),
    crashes: async (query) => await crashHandling.requestHandlers.crashes(query),
    missedCrashes: async (query) => await crashHandling.requestHandlers.missedCrashes(query),
    permits: async (query) => await sendLimits.requestHandlers.permits(query),
    trials: async (query) => await crashHandling.requestHandlers.trials(query),
    engineLoads: async (query) => await engines.engineLoads.handleRequest(query),
    moves: async (query) => await holderUpdates.handleRollout(query),
    moveCounts: async (query) => await serviceRolloutTask.handleRequest(query)
  }
  const links = await createPeerLinks({
    listen: settings.listen.peer,
    async handleRequest (query) {
      const handler = queryHandlers[query.kind as PeerRequestKind] as HandlePeerRequest | undefined
      if (handler === undefined) throw new PeerProtocolError(`unknown question '${String(query.kind)}'`)
      return await handler(query)
    },
    log,
    onResponse: ({ kind }, milliseconds) => { metrics.observePeerResponse(String(kind), milliseconds) },
    now: () => performance.now()
  })
  const { name, dataCentre } = instance
  // The instance list is read through the relay, which itself needs the list of peers.
  let listedPeers = (): readonly Peer[] => []
  const peers = (): readonly Peer[] => listedPeers()
  const relay = createTableRelay({
    store: withCacheTables(store, control.cacheEvents),
    links,
    instance: name,
    dataCentre,
    peers,
    hasLimitedSource: isCacheTable,
    storeEra,
    rankOf: operatorRowRank(records),
    log,
    now
  })
  const followerOptions = { store: relay.store, storeEra, log, now, random }
  const cacheStores = createCacheStores((cacheStore, index) => followTable({
    ...followerOptions,
    storeEra: undefined,
    table: cacheTableName(cacheStore),
    relay: relay.table(cacheTableName(cacheStore)),
    wait: FOLLOW_MS,
    settleDelay: () => CACHE_SETTLE_MS,
    onRows: index.replace,
    onChanges: index.update
  }))
  const instances = createInstanceList({
    commit: store.commit,
    relay,
    endpoint: settings.listen.peer,
    storeEra,
    now,
    random,
    log,
    instance: name,
    dataCentre
  })
  listedPeers = instances.peers
  const createBroadcast = (
    kind: PeerRequestKind, onNotification: (content: PeerValue) => void
  ): PeerBroadcast => createPeerBroadcast({ links, dataCentre, peers, kind, onNotification, onFault: reportFault })
  const holderUpdates = createHolderUpdates({
    createBroadcast, weightsRollout, serviceRollouts, directory, storeEra, now: () => performance.now()
  })
  const failureBroadcast = createBroadcast(PeerRequestKind.failures, (content) => {
    failureReports.receive(content, performance.now())
  })
  const { evacuations, destinations } = createResidency(settings.regions, records.evacuatedDataCentre)
  const shared = { links, instance: name, dataCentre, peers, directory, log, now: () => performance.now(), random }
  const crashHandling = createCrashHandling({ ...shared, onFault: reportFault })
  const sendLimits = createSendLimits({ ...shared, instances, onFault: reportFault })
  const { coldLimits, sendPermits, upstreamHints } = sendLimits
  const backlog = createBacklogs()
  const demand = composeDemandExchange(settings.admission)
  const engines = composeEngines({
    ...shared, ...settings.placement, supplement: demand?.supplement, loadingEngines: () => loadingEngines
  })
  const admissionOrder = composeAdmissionOrder(demand, {
    directory, backlog, random, room: engines.engineRoom, configuration: () => tables.routes()?.configuration
  })
  const failureReports = createFailureReports({
    broadcast: failureBroadcast.sendWithinDataCentre, directory, coldLimits, log, random
  })
  const { quotas, peerQuota } = composeQuotas(limits, {
    links, peers, dataCentre, share: instances.share, routes: () => tables.routes(), random, onFault: reportFault
  })
  const server = createEdgeServer({
    caller: settings.listen.caller,
    readiness: settings.listen.readiness,
    metrics: settings.listen.metrics,
    renderMetrics: metrics.render,
    metricsContentType: metrics.contentType,
    onFault: reportFault,
    log,
    account,
    maxConnections,
    isReady,
    identify: ({ headers }) => dialect.readRequest(headers).identifier,
    onRequest (request, response) {
      const exchange: Exchange = createExchange(context, request, response, () => { exchanges.delete(exchange) })
      exchanges.add(exchange)
      exchange.start()
    }
  })
  const context: ExchangeContext = {
    dialect,
    routeTable: () => tables.routes(),
    freshness,
    directory,
    connections,
    quotas,
    peerQuota,
    retryAllowance: createRetryAllowance({
      window: limits.retryWindow, ratio: limits.retryRatio, extra: limits.retryExtra
    }),
    exportTracker: createExportTracker(cacheStores.holds),
    cacheStoreFor: cacheStores.storeFor,
    prefixDemand: createPrefixDemand(),
    backlog,
    admissionOrder,
    dataCentre,
    outdatedWeightsLimit: limits.oldWeights,
    instanceCount: () => instances.count(),
    share: () => instances.share(),
    weightsRollout,
    serviceRollouts,
    rolloutSampler,
    ...engines,
    loadingEngines: () => loadingEngines,
    ...exchangeMemory,
    ...sendLimits,
    destinations,
    trialPermits: crashHandling.trialPermits,
    crashReports: crashHandling.crashReports,
    reportUnreachable: (upstream) => { failureReports.report(upstream, performance.now()) },
    isRejecting: () => rejecting,
    log,
    reportFault,
    now,
    random
  }

  function applyUpstreamHint (upstream: Upstream, hint: UpstreamHint): void {
    upstreamHints.apply(upstream, hint, performance.now())
  }

  function reportFault (error: unknown): void {
    log(EdgeEvent.fault, { reason: error instanceof Error ? error.stack : String(error) })
  }

  const tables = followStoreTables({
    shared: followerOptions,
    records,
    relay,
    revocation: limits.revocation,
    freshness,
    directory,
    weightsRollout,
    serviceRollouts,
    whenReady: instances.whenReady,
    onConfiguration (configuration) {
      server.setLimits(configuration.limits)
      cacheStores.configure(configuration.cacheStores)
      coldLimits.configure(configuration.services ?? [])
      engines.engineRoom.configure(configuration.engineCapacities)
    },
    onUndatedRollout: (service) => { serviceRolloutTask.readStatus(service) },
    evacuations,
    onEntry: (entry) => { coldLimits.observeEntry(entry, now()) },
    onUpstreamGone ({ upstream }) {
      connections.remove(upstream)
      coldLimits.forget(upstream.entry)
    }
  })
  const lease = startLeaseTask({
    instance: name,
    store,
    lease: createStoreLease(name, incarnation, limits.lease, storeEra),
    isHeldByOther: holderUpdates.isHeldByOther,
    isNeeded: () => serviceRollouts.pending().length > 0 || weightsRollout.isPending(directory.all()),
    isStopping: () => stopping,
    peers: () => peers().map((peer) => peer.name),
    log,
    now,
    random
  })
  const serviceRolloutTask = startServiceRolloutsTask({
    store,
    records,
    lease,
    storeEra,
    rollouts: serviceRollouts,
    sampler: rolloutSampler,
    directory,
    links,
    peers,
    publish: holderUpdates.publishRollout,
    isStopping: () => stopping,
    log,
    now
  })
  const weightsRolloutTask = startWeightsTask({
    instance: name,
    control,
    permits: sendPermits,
    lease,
    rollout: weightsRollout,
    directory: withoutEvacuated(directory, evacuations.isEvacuated),
    isStopping: () => stopping,
    refreshLoads: engines.engineLoads.refresh,
    onUpstreamHint: applyUpstreamHint,
    publish: holderUpdates.publishProgress,
    log,
    now
  })
  const livenessChecks = createLivenessChecks({
    control,
    permits: sendPermits,
    upstreams: directory.all,
    onHint: applyUpstreamHint,
    log,
    now: () => performance.now()
  })
  let pendingSweep: NodeJS.Immediate | undefined
  // After the process was busy, timers come before the bytes that have arrived meanwhile. These are read first, so that
  // their upstreams do not count as silent.
  const sweepTimer = setInterval(() => { pendingSweep = setImmediate(sweep) }, SWEEP_MS)

  function sweep (): void {
    const instant = now()
    livenessChecks.runDue()
    crashHandling.check(instant.steady)
    for (const exchange of exchanges) exchange.check(instant)
    tables.handleDirectoryChanges(directory.expire(instant.steady))
    tables.expireEvacuations(instant.steady)
    loadingEngines = weightsRollout.loadingEngines(directory.all(), instant.steady)
    connections.closeExpired()
  }

  await server.listen()
  isListening = true
  log(EdgeEvent.started, { dataCentre })

  async function stop (): Promise<void> {
    await stopGracefully({
      grace: limits.grace,
      exchanges,
      hasUnsentBytes: server.hasUnsentBytes,
      log,
      onStopping () { stopping = true; server.announceClose() },
      rejectRequests () { rejecting = true; server.closeIdle() },
      close () {
        for (const task of [
          tables, lease, weightsRolloutTask, serviceRolloutTask, engines.engineLoads, cacheStores, instances
        ]) task.stop()
        for (const timer of [sweepTimer, flushTimer]) clearInterval(timer)
        clearImmediate(pendingSweep)
        server.close()
        links.close()
        store.close()
      }
    })
    closeLog()
  }

  let stopped: Promise<void> | undefined
  return {
    async stop () {
      stopped ??= stop()
      await stopped
    },
    reloaded: (outcome) => { log(EdgeEvent.reloaded, { outcome }) },
    fault (error) { reportFault(error); closeLog() }
  }
}
