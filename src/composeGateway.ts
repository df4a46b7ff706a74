/** Creates the executors and servers over the decision state. */
import type { InstanceIdentity, InstanceState } from './composeState'
import type { Settings } from './configuration/settings'
import { NotFoundError } from './errors'
import { createAdmission } from './gateway/admission'
import type { AdmissionOptions } from './gateway/admission'
import { createAttemptOutcomes } from './gateway/attemptOutcome'
import { createAuthentication } from './gateway/authentication'
import { createCallerServer } from './gateway/callerServer'
import type { CallerServer } from './gateway/callerServer'
import { createCompletionExecutor } from './gateway/completionExecutor'
import { createCompletionHandler } from './gateway/completionHandler'
import { createCompletionRun } from './gateway/completionRun'
import { createDispatcher } from './gateway/dispatcher'
import type { ExchangeHandler } from './gateway/exchange'
import { createReadinessHandler, handleHealth, notReady } from './gateway/healthHandlers'
import { createExternalCacheTransfer } from './gateway/externalCacheTransfer'
import { createModelsHandler } from './gateway/modelsHandler'
import { CompletionStyle } from './gateway/openaiApi'
import { createServiceExecutor } from './gateway/serviceExecutor'
import { createServiceHandler } from './gateway/serviceHandler'
import type { EventLog, Metrics } from './observability/events'
import type { CrashNotice } from './peer/messages'
import { createExternalCachePolicy } from './prefix/externalCache'
import { chooseUpstream } from './prefix/routing'
import type { IdempotencyGuard } from './request/idempotency'
import type { UpstreamClient } from './upstream/types'
import { ExecutionStatus } from './types'
import type { FleetConfiguration, MonotonicMilliseconds, RandomSource, WallClockMilliseconds } from './types'

export interface GatewayOptions {
  settings: Settings
  identity: InstanceIdentity
  state: InstanceState
  client: UpstreamClient
  guard: IdempotencyGuard
  log: EventLog
  metrics: Metrics
  registerKey: (key: string) => void
  createIdentifier: () => string
  /** Asks peers for loans; see `AdmissionOptions`. */
  borrow: AdmissionOptions['borrow']
  /** Known router instances, this one included; they share the budget of the kept-cache store. */
  instanceCount: () => number
  publishCrashes: (notices: readonly CrashNotice[]) => void
  /** Why requests cannot be served now; undefined when they can. */
  reasonNotServing: () => string | undefined
  /** Why the readiness check fails; undefined when it succeeds. */
  reasonNotReady: () => string | undefined
  reportFault: (error: unknown, identifier: string) => void
  now: () => MonotonicMilliseconds
  wallClock: () => WallClockMilliseconds
  random: RandomSource
}

export type Gateway = ReturnType<typeof createGateway>

export function createGateway (options: GatewayOptions) {
  const { settings, state, client, log, metrics, now, random, wallClock } = options
  const timeouts = settings.attempt

  function configuration (): FleetConfiguration {
    const current = state.tracker.current()
    if (current === undefined) throw notReady('no configuration is known yet')
    return current.configuration
  }

  const admission = createAdmission({ accounts: state.accounts, borrow: options.borrow, now })
  const dispatcher = createDispatcher({
    queue: state.queue,
    registry: state.registry,
    index: state.index,
    gate: state.gate,
    choose: chooseUpstream,
    limitOf: state.limitOf,
    now,
    random
  })
  const outcomes = createAttemptOutcomes({
    client, registry: state.registry, crashes: state.crashes, publishCrashes: options.publishCrashes, log, metrics, now
  })
  const run = createCompletionRun({
    dispatcher,
    client,
    outcomes,
    crashes: state.crashes,
    retryBudget: state.retryBudget,
    index: state.index,
    externalCache: createExternalCacheTransfer({
      policy: createExternalCachePolicy({ instanceCount: options.instanceCount }),
      client,
      prefillRate: (upstream) => state.registry.upstream(upstream, now())?.prefillTokensPerSecond ?? 0,
      now
    }),
    blockKeys: state.blockKeys,
    chooseVersion: state.chooseVersion,
    recordOutcome: state.recordOutcome,
    timeouts,
    maximumWait: settings.queue.maximumWait,
    log,
    metrics,
    now
  })
  const shared = { admission, accounts: state.accounts, crashes: state.crashes, log, metrics, now }
  const executeCompletion = createCompletionExecutor({ ...shared, configuration, run })
  const executeService = createServiceExecutor({
    ...shared,
    registry: state.registry,
    retryBudget: state.retryBudget,
    guard: options.guard,
    outcomes,
    client,
    timeouts,
    wallClock
  })
  const { authenticate, watch } = createAuthentication({ keys: state.keys, registerKey: options.registerKey, now })
  const limits = { maximumBodyBytes: settings.limits.body, unreadLimit: settings.limits.idleTime }
  const completion = (style: CompletionStyle): ExchangeHandler => {
    return createCompletionHandler({ style, execute: executeCompletion, authenticate, watch, wallClock, ...limits })
  }
  const fixed: Readonly<Record<string, ExchangeHandler>> = {
    'POST /v1/chat/completions': completion(CompletionStyle.chat),
    'POST /v1/completions': completion(CompletionStyle.plain),
    'GET /v1/models': createModelsHandler({ models: () => configuration().models, authenticate })
  }
  const health: Readonly<Record<string, ExchangeHandler>> = {
    '/healthz': handleHealth,
    '/readyz': createReadinessHandler(options.reasonNotReady)
  }
  const service = createServiceHandler({
    execute: executeService, routes: () => configuration().routes, authenticate, watch, ...limits
  })

  function route (method: string, path: string): ExchangeHandler {
    const healthHandler = health[path]
    if (healthHandler !== undefined) return healthHandler
    const reason = options.reasonNotServing()
    if (reason !== undefined) throw notReady(reason)
    const handler = fixed[`${method} ${path}`]
    if (handler !== undefined) return handler
    if (path.startsWith('/v1/')) {
      throw new NotFoundError(`no ${method} ${path}`, { execution: ExecutionStatus.notRun })
    }
    return service
  }

  const server: CallerServer = createCallerServer({
    createIdentifier: options.createIdentifier,
    route,
    reportFault: options.reportFault,
    maximumHeaderBytes: settings.limits.header,
    idleTimeout: settings.limits.idleTime,
    maximumConnections: settings.limits.connections
  })
  return { server, dispatcher, admission }
}
