/** Wires the parts of one edge daemon and owns its start and its end. */
import { PeerProtocolError } from '../errors'
import { createResponseBuffers } from './answerBuffers'
import { createBacklog, type Backlog } from './backlog'
import { createBoundedLog } from './boundedLog'
import { createCacheStores } from './cacheStores'
import { cacheTableOf, isCacheTable, withCacheTables } from './cacheStoreTable'
import { createEdgeServer } from './edgeServer'
import { EdgeEvent, type EdgeLog } from './events'
import { createExchange, type Exchange } from './exchange'
import type { ExchangeContext } from './exchangeContext'
import { createFailureNews } from './failureNews'
import { createFreshness } from './freshness'
import { createInstanceList } from './instanceList'
import { startLeaseTask } from './leaseTask'
import { createEdgeMetrics } from './metrics'
import { createLoadExchange } from './loadExchange'
import { createMoveSampler } from './moveSampler'
import { createPeerBroadcast } from './peerBroadcast'
import { createPeerLinks, PeerQuestion, type AnswerQuestion } from './peerLinks'
import { createPrefixDemand } from './prefixDemand'
import { createKeptParts } from './promptPlan'
import { createQuotaShares } from './quotaShare'
import { createRetryAllowance } from './retryAllowance'
import { createServiceMoves, readMoveNews } from './serviceMoves'
import { startServiceMovesTask } from './serviceMovesTask'
import type { EdgeSettings } from './settings'
import { createSignsOfLife } from './signsOfLife'
import { followTable } from './storeFollower'
import { createStoreLease } from './storeLease'
import { FOLLOW_MS, followStoreTables } from './storeTables'
import { createTableRelay } from './tableRelay'
import { createTokenGathering } from './tokenGathering'
import type { Dialect, EngineControl, Instant, Peer, Store, StoreRecords, UpstreamWord } from './types'
import { createUpstreamConnections } from './upstreamConnections'
import { createUpstreamDirectory, type Upstream } from './upstreamDirectory'
import { createUpstreamWords } from './upstreamWords'
import { createWeightsMove, readProgress } from './weightsMove'
import { startWeightsTask } from './weightsTask'

/** Milliseconds between changes of a cache store and the next call: parts come in all the time. */
const CACHE_SETTLE_MS = 500
/** Milliseconds for which news of the holder of the lease shows that it is held; it speaks four times a second. */
const HOLDER_NEWS_MS = 1000
/** Milliseconds between looks for silent upstreams and idle connections. */
const SWEEP_MS = 100
/** Milliseconds between writes of the log. */
const LOG_FLUSH_MS = 500
/**
 * Milliseconds after the request to stop for which requests are taken. The balancer leaves after two missed checks, one a
 * second; requests that begin later might not end within the grace period.
 */
const ACCEPT_MS = 2700
/** Milliseconds before the end by force at which the process ends by itself. */
const END_MARGIN_MS = 500
/** Milliseconds between looks at whether the last exchange is over. */
const DRAIN_POLL_MS = 50

export interface EdgeOptions {
  settings: EdgeSettings
  dialect: Dialect
  records: StoreRecords
  store: Store
  control: EngineControl
}

export interface Edge {
  /** Stops gracefully; resolves when the process may end. */
  stop: () => Promise<void>
  /** Notes that the settings were read again. */
  reloaded: (outcome: string) => void
  fault: (error: unknown) => void
}

function countBy (names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

/** Rejects when an address is taken. */
export async function startEdge (options: EdgeOptions): Promise<Edge> {
  const { settings, dialect, records, control } = options
  const { instance, limits } = settings
  const now = (): Instant => ({ steady: performance.now(), wall: Date.now() })
  const random = Math.random
  const incarnation = Date.now()
  const metrics = createEdgeMetrics({
    exchanges: () => exchanges.size,
    instances: () => instances.count(),
    pendingPeerQueries: () => relay.waitingQuestions(),
    configurationVersion: () => tables.routes()?.configuration.version ?? 0,
    configurationAge: () => freshness.age(now()),
    upstreams: () => countBy([...directory.all()].map(({ entry }) => entry.service))
  })
  const { log: writeLine, flush, close: closeLog } = createBoundedLog({
    instance: instance.name,
    incarnation,
    now: () => performance.now(),
    wallClock: Date.now,
    onDropped: metrics.countDroppedLine
  })
  const log: EdgeLog = (event, fields = {}) => {
    metrics.observe(event, fields)
    writeLine(event, fields)
  }
  const store = metrics.withCallCounts(options.store)
  const newestVersion = { value: 0 }
  const freshness = createFreshness(limits.revocation)
  const directory = createUpstreamDirectory()
  const connections = createUpstreamConnections(() => performance.now())
  const move = createWeightsMove()
  const serviceRollouts = createServiceMoves()
  const rolloutSampler = createMoveSampler()
  let underOrder: ReadonlySet<Upstream> = new Set()
  const exchanges = new Set<Exchange>()
  const backlogs = new Map<string, Backlog>()
  /** When the holder of the lease last told something. */
  let holderHeardAt = -Infinity
  let stopping = false
  let refusing = false

  function isReady (): boolean {
    return !stopping && tables.routes() !== undefined && tables.isListRead() && freshness.permitsKeys(now())
  }

  const answers: Readonly<Record<PeerQuestion, AnswerQuestion>> = {
    changes: async (question) => await relay.answer(question),
    tokens: async (question) => await peerQuota.answer(question),
    weightsProgress: async (question) => await progressNews.answer(question),
    failures: async (question) => await failureWords.answer(question),
    leaving: async (question) => await leavingNews.answer(question),
    engineLoads: async (question) => await engineLoads.answer(question),
    moves: async (question) => await moveNews.answer(question),
    moveCounts: async (question) => await movesTask.answer(question)
  }
  const links = await createPeerLinks({
    listen: settings.listen.peer,
    async answer (question) {
      const answer = answers[question.kind as PeerQuestion] as AnswerQuestion | undefined
      if (answer === undefined) throw new PeerProtocolError(`unknown question '${String(question.kind)}'`)
      return await answer(question)
    },
    log,
    onAnswered: ({ kind }, milliseconds) => { metrics.observePeerResponse(String(kind), milliseconds) },
    now: () => performance.now()
  })
  const { name, dataCentre } = instance
  // The list of instances is itself read through the relay, which needs it.
  let listedPeers = (): readonly Peer[] => []
  const peers = (): readonly Peer[] => listedPeers()
  const relay = createTableRelay({
    store: withCacheTables(store, control.cacheEvents),
    links,
    instance: name,
    dataCentre,
    peers,
    isScarce: isCacheTable,
    log,
    now
  })
  const shared = { store: relay.store, newestVersion, log, now, random }
  const cacheStores = createCacheStores((cacheStore, index) => followTable({
    ...shared,
    newestVersion: undefined,
    table: cacheTableOf(cacheStore),
    relay: relay.table(cacheTableOf(cacheStore)),
    wait: FOLLOW_MS,
    settle: () => CACHE_SETTLE_MS,
    onRows: index.replace,
    onChanges: index.update
  }))
  const instances = createInstanceList({
    commit: store.commit,
    relay,
    endpoint: settings.listen.peer,
    newestVersion,
    now,
    random,
    log,
    instance: name,
    dataCentre
  })
  listedPeers = instances.peers
  const quotas = createQuotaShares({
    window: limits.quotaWindow, overage: limits.quotaOverage, slack: limits.quotaSlack, startedAt: performance.now()
  })
  const progressNews = createPeerBroadcast({
    links,
    dataCentre,
    peers,
    kind: PeerQuestion.weightsProgress,
    onNews (content) {
      const progress = readProgress(content)
      holderHeardAt = performance.now()
      if (progress !== undefined) move.takeProgress(progress, directory.all(), performance.now())
    },
    onFault: reportFault
  })
  const failureWords = createPeerBroadcast({
    links,
    dataCentre,
    peers,
    kind: PeerQuestion.failures,
    onNews: (content) => { failureNews.take(content, performance.now()) },
    onFault: reportFault
  })
  const leavingNews = createPeerBroadcast({
    links,
    dataCentre,
    peers,
    kind: PeerQuestion.leaving,
    onNews: (content) => { upstreamHints.take(content) },
    onFault: reportFault
  })
  const upstreamHints = createUpstreamWords({ send: leavingNews.send, directory, log })
  const engineLoads = createLoadExchange({
    links, instance: name, dataCentre, peers, directory, now: () => performance.now()
  })
  const moveNews = createPeerBroadcast({
    links,
    dataCentre,
    peers,
    kind: PeerQuestion.moves,
    onNews (content) {
      const news = readMoveNews(content)
      holderHeardAt = performance.now()
      if (news !== undefined) serviceRollouts.takeNews(news, performance.now())
    },
    onFault: reportFault
  })
  const failureNews = createFailureNews({ send: failureWords.sendNear, directory, log, random })
  const peerQuota = createTokenGathering({
    links,
    quotas,
    peers,
    dataCentre,
    share: () => instances.share(),
    customer: (customer) => tables.routes()?.customer(customer),
    now: () => performance.now(),
    random,
    onFault: reportFault
  })
  const server = createEdgeServer({
    caller: settings.listen.caller,
    readiness: settings.listen.readiness,
    metrics: settings.listen.metrics,
    renderMetrics: metrics.render,
    metricsContentType: metrics.contentType,
    onFault: reportFault,
    isReady,
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
    exportTracker: createKeptParts(cacheStores.holds),
    cacheStoreFor: cacheStores.storeFor,
    prefixDemand: createPrefixDemand(),
    backlog (name) {
      const present = backlogs.get(name)
      if (present !== undefined) return present
      const backlog = createBacklog()
      backlogs.set(name, backlog)
      return backlog
    },
    dataCentre,
    outdatedWeightsLimit: limits.oldWeights,
    instanceCount: () => instances.count(),
    share: () => instances.share(),
    weightsRollout: move,
    serviceRollouts,
    rolloutSampler,
    engineLoads,
    loadingEngines: () => underOrder,
    responseBuffers: createResponseBuffers(),
    upstreamHints,
    reportUnreachable: (upstream) => { failureNews.tell(upstream, performance.now()) },
    isStopping: () => stopping,
    isRejecting: () => refusing,
    log,
    reportFault,
    now,
    random
  }

  function noteWord (upstream: Upstream, word: UpstreamWord): void {
    upstreamHints.note(upstream, word, performance.now())
  }

  function reportFault (error: unknown): void {
    log(EdgeEvent.fault, { reason: error instanceof Error ? error.stack : String(error) })
  }

  const tables = followStoreTables({
    shared,
    records,
    relay,
    revocation: limits.revocation,
    freshness,
    directory,
    weights: move,
    moves: serviceRollouts,
    whenReady: instances.whenReady,
    onConfiguration (configuration) {
      server.setLimits(configuration.limits)
      cacheStores.configure(configuration.cacheStores)
    },
    onOldMove: (service) => { movesTask.readStatus(service) },
    onGone: ({ upstream }) => { connections.remove(upstream) }
  })
  const lease = startLeaseTask({
    instance: name,
    store,
    lease: createStoreLease(name, incarnation, limits.lease),
    isHeldByOther: () => performance.now() - holderHeardAt < HOLDER_NEWS_MS,
    isWanted: () => serviceRollouts.pending().length > 0 || move.isPending(directory.all()),
    isStopping: () => stopping,
    peers: () => peers().map((peer) => peer.name),
    log,
    now,
    random
  })
  const movesTask = startServiceMovesTask({
    store,
    records,
    lease,
    moves: serviceRollouts,
    sampler: rolloutSampler,
    directory,
    links,
    peers,
    publish: (news) => { moveNews.send({ ...news }) },
    isStopping: () => stopping,
    log,
    now
  })
  const weightsTask = startWeightsTask({
    instance: name,
    control,
    lease,
    move,
    directory,
    isStopping: () => stopping,
    onWord: noteWord,
    publish: (progress) => { progressNews.send({ ...progress }) },
    log,
    now
  })
  const signsOfLife = createSignsOfLife({
    control, upstreams: directory.all, onWord: noteWord, log, now: () => performance.now()
  })
  const sweep = setInterval(() => {
    const present = now()
    signsOfLife.ask()
    for (const exchange of exchanges) exchange.check(present)
    tables.note(directory.expire(present.steady))
    underOrder = move.underOrder(directory.all(), present.steady)
    connections.closeExpired()
  }, SWEEP_MS)
  const flushTimer = setInterval(flush, LOG_FLUSH_MS)
  await server.listen()
  log(EdgeEvent.started, { dataCentre })

  async function pause (milliseconds: number): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
  }

  return {
    async stop () {
      if (stopping) return
      stopping = true
      log(EdgeEvent.stopping, { exchanges: exchanges.size })
      const end = performance.now() + limits.grace - END_MARGIN_MS
      await pause(Math.min(ACCEPT_MS, limits.grace / 2))
      refusing = true
      server.closeIdle()
      while (exchanges.size > 0 && performance.now() < end) await pause(DRAIN_POLL_MS)
      for (const task of [tables, lease, weightsTask, movesTask, engineLoads, cacheStores, instances]) task.stop()
      clearInterval(sweep)
      clearInterval(flushTimer)
      server.close()
      links.close()
      store.close()
      log(EdgeEvent.stopped, { exchanges: exchanges.size })
      closeLog()
    },
    reloaded: (outcome) => { log(EdgeEvent.reloaded, { outcome }) },
    fault (error) {
      reportFault(error)
      closeLog()
    }
  }
}
