/** Wires the modules of one router daemon and manages its startup and shutdown. */
import { randomUUID } from 'node:crypto'
import { createGateway } from './composeGateway'
import { createInstanceState } from './composeState'
import type { InstanceIdentity } from './composeState'
import { createTasks } from './composeTasks'
import type { Tasks } from './composeTasks'
import type { Settings } from './configuration/settings'
import { formatEndpoint } from './http/endpoint'
import { createControlServer } from './gateway/controlServer'
import { LogEvent } from './observability/events'
import { createHybridClock } from './observability/hybridClock'
import { createEventLog } from './observability/log'
import { createMetrics } from './observability/metrics'
import { createPeerHandlers, keyNotices } from './peer/handlers'
import { createMembership, FULL_MESH_LIMIT } from './membership/membership'
import { PEER_PROTOCOL_VERSION } from './peer/messages'
import type { CrashNotice } from './peer/messages'
import { createPeerNode } from './peer/node'
import { createHttpPlatformClient } from './platform/httpPlatformClient'
import { createIdempotencyGuard } from './request/idempotency'
import { createStatusReport } from './statusReport'
import { createTimers } from './timers'
import { createHttpUpstreamClient } from './upstream/engineClient'
import type { Endpoint, KeyRecord, ListedInstance } from './types'

/** Interval in milliseconds at which a stopping daemon checks for open requests. */
const DRAIN_POLL_INTERVAL_MS = 20

/** Time limit in milliseconds for returning the grants at shutdown. Grants that are not returned expire. */
const GRANT_RELEASE_TIMEOUT_MS = 6000

export interface Daemon {
  callerEndpoint: Endpoint
  peerEndpoint: Endpoint
  controlEndpoint: Endpoint
  /** Stops gracefully. Running and queued requests are not interrupted unless `shutdown.limit` is set. */
  stop: () => Promise<void>
}

/** Starts a daemon. Rejects if an address is already in use. */
export async function startDaemon (settings: Settings): Promise<Daemon> {
  const identity: InstanceIdentity = {
    name: settings.instance.name, incarnation: Date.now(), dataCentre: settings.instance.dataCentre
  }
  const now = (): number => performance.now()
  const wallClock = Date.now
  const random = Math.random
  const clock = createHybridClock()
  const { log, registerKey, flush } = createEventLog({
    instance: identity.name, incarnation: identity.incarnation, clock, level: settings.log.level
  })
  const metrics = createMetrics({
    instance: identity.name,
    dataCentre: identity.dataCentre,
    prefix: settings.statsd.prefix,
    ...(settings.statsd.address === undefined ? {} : { address: settings.statsd.address })
  })
  const platform = createHttpPlatformClient({
    endpoint: parseEndpoint(settings.platform.address), totalTimeout: settings.platform.timeout
  })
  const client = createHttpUpstreamClient()
  const reportFault = (error: unknown): void => {
    const { message, stack } = error instanceof Error ? error : new Error(String(error))
    log(LogEvent.requestFailed, { errorCode: 'internal', message, stack }, 'error')
  }
  const timers = createTimers({ random, reportFault })
  const createIdentifier = (): string => randomUUID()
  let phase: 'running' | 'leaving' | 'refusing' = 'running'
  let hasReceivedSnapshot = false

  const publishCrashes = (notices: readonly CrashNotice[]): void => {
    for (const notice of notices) node.broadcast(notice)
  }
  const state = await createInstanceState({ settings, identity, log, now, random, publishCrashes })
  const guard = createIdempotencyGuard({
    platform, instance: identity.name, incarnation: identity.incarnation, createIdentifier
  })

  function reasonNotServing (): string | undefined {
    if (phase === 'refusing') return 'the instance is stopping'
    if (state.tracker.revision() === 0) return 'no configuration is known yet'
    return hasReceivedSnapshot || state.keys.age(now()) !== undefined ? undefined : 'no keys are known yet'
  }
  const reasonNotReady = (): string | undefined => phase === 'running' ? reasonNotServing() : 'the instance is stopping'

  const gateway = createGateway({
    settings,
    identity,
    state,
    client,
    guard,
    log,
    metrics,
    registerKey,
    createIdentifier,
    borrow: (customer, tokens) => tasks.borrow(customer, tokens),
    // `members` does not include this instance.
    instanceCount: () => membership.members().length + 1,
    publishCrashes,
    reasonNotServing,
    reasonNotReady,
    reportFault,
    now,
    wallClock,
    random
  })
  const handlers = createPeerHandlers({
    node: () => node,
    tracker: state.tracker,
    keys: state.keys,
    accounts: state.accounts,
    loans: state.loans,
    registry: state.registry,
    crashes: state.crashes,
    rollouts: state.rollouts,
    leader: () => tasks.leader,
    clock,
    forwards: () => membership.members().length >= FULL_MESH_LIMIT && membership.isRelay(now()),
    onHeartbeat: (peer, message) => { membership.recordActivity(peer.instance, message.state, now()) },
    onSnapshot () { hasReceivedSnapshot = true },
    instances: () => tasks.instances(),
    applyInstances: (list) => { tasks.applyInstanceList(list) },
    onLoan () {
      gateway.admission.wake()
      tasks.returnLoans()
    },
    onCrashes: gateway.dispatcher.pump,
    log,
    now,
    wallClock
  })
  const node = await createPeerNode({
    self: {
      instance: identity.name,
      incarnation: identity.incarnation,
      dataCentre: identity.dataCentre,
      endpoint: settings.listen.peer
    },
    onMessage: handlers.handle,
    onConnected (peer) {
      membership.applyGreeting({ kind: 'greeting', protocol: PEER_PROTOCOL_VERSION, ...peer }, now())
      log(LogEvent.peerConnected, { peer: peer.instance, incarnation: peer.incarnation })
      tasks.grants.observeIncarnation(formatEndpoint(peer.endpoint), peer.incarnation, now())
      handlers.requestSnapshot(peer.instance)
      if (peer.dataCentre === identity.dataCentre) tasks.onPeerStarted()
    },
    onDisconnected (peer, error) {
      log(LogEvent.peerDisconnected, { peer: peer.instance, errorCode: error?.code })
    },
    onProtocolError (error, address) {
      log(LogEvent.peerProtocolError, { address, errorCode: error.code, message: error.message }, 'warn')
    }
  })

  const membership = createMembership({
    self: { ...identity, endpoint: node.endpoint }, seeds: settings.peers.seeds
  })
  const connectedEndpoints = new Map<string, Endpoint>()

  /** Opens the connections that the membership requires, closes all others, and drops connections to suspected peers. */
  function updateConnections (): void {
    const required = new Map(
      membership.wantedConnections(now()).map((endpoint) => [formatEndpoint(endpoint), endpoint])
    )
    for (const [key, endpoint] of connectedEndpoints) {
      if (required.has(key)) continue
      connectedEndpoints.delete(key)
      node.disconnect(endpoint)
    }
    for (const [key, endpoint] of required) {
      if (connectedEndpoints.has(key)) continue
      connectedEndpoints.set(key, endpoint)
      node.connect(endpoint)
    }
    for (const { name } of membership.suspected(now())) node.drop(name)
  }

  function applyInstances (instances: readonly ListedInstance[]): void {
    membership.setList(instances, now())
    updateConnections()
  }

  const tasks: Tasks = createTasks({
    identity,
    peerEndpoint: node.endpoint,
    state,
    platform,
    client,
    node,
    timers,
    applyInstances,
    membership,
    isStopping: () => phase !== 'running',
    onQuotaChanged: gateway.admission.wake,
    pump: gateway.dispatcher.pump,
    guard,
    tickClock: () => clock.tick(wallClock()),
    log,
    metrics,
    reportFault,
    now,
    wallClock,
    random
  })
  timers.every(1000, updateConnections)

  const control = createControlServer({
    createIdentifier,
    reportFault,
    status: createStatusReport({
      identity,
      state,
      reasonNotReady,
      isStopping: () => phase !== 'running',
      peers: () => node.peers().map(({ instance, incarnation, dataCentre }) => ({ instance, incarnation, dataCentre })),
      openRequests: gateway.server.openRequests,
      waitingRequests: gateway.dispatcher.size,
      pendingWrites: guard.pendingWrites,
      platformError: tasks.platformError,
      now
    }),
    acceptKeys (records: readonly KeyRecord[]) {
      const changed = state.keys.apply(records)
      for (const { customer, state: keyState, version } of changed) {
        const event = keyState === 'withdrawn' ? LogEvent.keyWithdrawn : LogEvent.keyChanged
        log(event, { customer, keyVersion: version, source: 'operator' })
      }
      const notified = changed.length === 0
        ? []
        : node.peers().filter(({ instance }) => {
          return keyNotices(changed).every((message) => node.send(instance, message))
        }).map(({ instance }) => instance)
      return { instance: identity.name, keyVersion: state.keys.version(), changed: changed.length, notified }
    }
  })
  const controlEndpoint = await control.listen(settings.listen.control)
  const callerEndpoint = await gateway.server.listen(settings.listen.caller)
  log(LogEvent.daemonStarted, {
    caller: formatEndpoint(callerEndpoint),
    peer: formatEndpoint(node.endpoint),
    control: formatEndpoint(controlEndpoint),
    dataCentre: identity.dataCentre
  })
  updateConnections()
  tasks.start().then(() => { log(LogEvent.daemonReady, { ready: reasonNotReady() === undefined }) }).catch(reportFault)

  async function drain (): Promise<void> {
    const deadline = settings.shutdown.limit === 0 ? Infinity : now() + settings.shutdown.limit
    while (gateway.server.openRequests() > 0 || guard.pendingWrites() > 0) {
      if (now() >= deadline) return
      await sleep(DRAIN_POLL_INTERVAL_MS)
    }
  }

  async function releaseGrants (): Promise<void> {
    const deadline = now() + GRANT_RELEASE_TIMEOUT_MS
    while (now() < deadline) {
      const { released, delay } = await tasks.grants.release(now())
      if (released) return
      await sleep(Math.min(delay, Math.max(0, deadline - now())))
    }
  }

  let stopPromise: Promise<void> | undefined
  async function stop (): Promise<void> {
    phase = 'leaving'
    log(LogEvent.daemonStopping, { openRequests: gateway.server.openRequests() })
    await sleep(settings.shutdown.grace)
    phase = 'refusing'
    gateway.server.closeConnections()
    await drain()
    await Promise.race([releaseGrants().catch(reportFault), sleep(GRANT_RELEASE_TIMEOUT_MS)])
    timers.stop()
    await Promise.race([
      Promise.allSettled([
        gateway.server.close(), control.close(), node.close(), platform.close(), client.close(), metrics.close()
      ]),
      sleep(1000)
    ])
    log(LogEvent.daemonStopped)
    flush()
  }

  return {
    callerEndpoint,
    peerEndpoint: node.endpoint,
    controlEndpoint,
    stop: async () => { await (stopPromise ??= stop()) }
  }
}

function parseEndpoint (address: string): Endpoint {
  const url = new URL(address)
  return { host: url.hostname, port: Number(url.port === '' ? 80 : url.port) }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
