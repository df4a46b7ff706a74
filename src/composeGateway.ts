/** Creates the executors and servers that use the decision state of an instance. */
import type { InstanceIdentity, InstanceState } from './composeState'
import type { Settings } from './configuration/settings'
import { NotFoundError } from './errors'
import { createAdmission } from './gateway/admission'
import type { AdmissionOptions } from './gateway/admission'
import { createAnswerMemory } from './gateway/answerMemory'
import { createAttemptOutcomes } from './gateway/attemptOutcome'
import { createAuthentication } from './gateway/authentication'
import { createCallerMemory } from './gateway/callerMemory'
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
import { LogEvent, type EventLog, type Metrics } from './observability/events'
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
  /** Requests quota loans from peers. See `AdmissionOptions`. */
  borrow: AdmissionOptions['borrow']
  /** Number of known router instances, including this one. They share the budget of the external KV cache store. */
  instanceCount: () => number
  publishCrashes: (notices: readonly CrashNotice[]) => void
  /** Returns the reason why requests cannot be served, or undefined if they can. */
  reasonNotServing: () => string | undefined
  /** Returns the reason why the readiness check fails, or undefined if it succeeds. */
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
    client,
    registry: state.registry,
    crashes: state.crashes,
    publishCrashes: options.publishCrashes,
    reportFault: options.reportFault,
    log,
    metrics,
    now
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
  const sharedOptions = { admission, accounts: state.accounts, crashes: state.crashes, log, metrics, now }
  const executeCompletion = createCompletionExecutor({ ...sharedOptions, configuration, run })
  const executeService = createServiceExecutor({
    ...sharedOptions,
    registry: state.registry,
    retryBudget: state.retryBudget,
    guard: options.guard,
    outcomes,
    client,
    timeouts,
    wallClock
  })
  const { authenticate, watch } = createAuthentication({ keys: state.keys, registerKey: options.registerKey, now })
  const { account, maximumConnections } = createCallerMemory(settings.limits)
  const answerMemory = createAnswerMemory(account, now)
  const limits = { maximumBodyBytes: settings.limits.body, unreadLimit: settings.limits.idleTime }
  const createStyledHandler = (style: CompletionStyle): ExchangeHandler => {
    return createCompletionHandler({ style, execute: executeCompletion, authenticate, watch, wallClock, ...limits })
  }
  const apiHandlers: Readonly<Record<string, ExchangeHandler>> = {
    'POST /v1/chat/completions': createStyledHandler(CompletionStyle.chat),
    'POST /v1/completions': createStyledHandler(CompletionStyle.plain),
    'GET /v1/models': createModelsHandler({ models: () => configuration().models, authenticate })
  }
  const healthHandlers: Readonly<Record<string, ExchangeHandler>> = {
    '/healthz': handleHealth,
    '/readyz': createReadinessHandler(options.reasonNotReady)
  }
  const serviceHandler = createServiceHandler({
    execute: executeService, routes: () => configuration().routes, authenticate, watch, answerMemory, ...limits
  })

  function route (method: string, path: string): ExchangeHandler {
    const healthHandler = healthHandlers[path]
    if (healthHandler !== undefined) return healthHandler
    const reason = options.reasonNotServing()
    if (reason !== undefined) throw notReady(reason)
    const handler = apiHandlers[`${method} ${path}`]
    if (handler !== undefined) return handler
    if (path.startsWith('/v1/')) {
      throw new NotFoundError(`no ${method} ${path}`, { execution: ExecutionStatus.notRun })
    }
    return serviceHandler
  }

  const server: CallerServer = createCallerServer({
    createIdentifier: options.createIdentifier,
    route,
    reportFault: options.reportFault,
    maximumHeaderBytes: settings.limits.header,
    idleTimeout: settings.limits.idleTime,
    maximumConnections,
    onConnectionClosing (reason, responsesInProgress) {
      log(LogEvent.callerConnectionClosing, { reason, responsesInProgress })
    },
    account,
    onConnectionShed (heldBytes) { log(LogEvent.callerConnectionShed, { heldBytes }) },
    onRequestDiscarded ({ method }) { log(LogEvent.requestDiscarded, { method }) },
    onOverloaded ({ code: errorCode, execution, reason, message }, requestIdentifier) {
      log(LogEvent.requestRefused, { requestIdentifier, errorCode, execution, reason, message })
    }
  })
  return { server, dispatcher, admission }
}
