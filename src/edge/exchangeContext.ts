/** Dependencies that all exchanges of an instance share, and the request that one of them handles. */
import type { IncomingMessage } from 'node:http'
import type { RandomSource } from '../types'
import type { AdmissionOrder } from './admissionOrder/admissionOrder'
import type { ResponseBuffers } from './responseBuffers'
import type { Backlog } from './backlog'
import type { ColdLimits } from './coldStart/coldLimits'
import type { CrashReports } from './crashReports'
import type { Crossing } from './dataCentres/crossing'
import type { EngineRoom } from './engineRoom/engineRoom'
import type { EngineSpeeds } from './engineSpeed/engineSpeeds'
import type { EdgeLog } from './events'
import type { Freshness } from './freshness'
import type { Destinations } from './residency/destinations'
import type { LoadExchange } from './loadExchange'
import type { RolloutSampler } from './rolloutSampler'
import type { PrefixDemand } from './prefixDemand'
import type { ExportTracker, PromptPlan } from './promptPlan'
import type { QuotaShares } from './quotaShare'
import type { RequestLimits } from './requestLimits'
import type { RetryAllowance } from './retryAllowance'
import type { RouteTable } from './routeTable'
import type { SendPermits } from './sendPermits'
import type { ServiceRollouts } from './serviceRollouts'
import type { TokenTransfers } from './tokenTransfers'
import type { TrialPermits } from './trialPermits'
import type { CacheStore, CallerRequest, Dialect, EdgeCustomer, EdgeRoute, Instant } from './types'
import type { UpstreamConnections } from './upstreamConnections'
import type { Upstream, UpstreamDirectory } from './upstreamDirectory'
import type { UpstreamHints } from './upstreamHints'
import type { WeightsRollout } from './weightsRollout'

export interface ExchangeContext {
  dialect: Dialect
  routeTable: () => RouteTable | undefined
  freshness: Freshness
  directory: UpstreamDirectory
  connections: UpstreamConnections
  quotas: QuotaShares
  peerQuota: Pick<TokenTransfers, 'acquire'>
  retryAllowance: RetryAllowance
  exportTracker: ExportTracker
  /** Returns the cache store that holds a prompt segment; undefined if there is none. */
  cacheStoreFor: (scope: string, part: string) => CacheStore | undefined
  prefixDemand: PrefixDemand
  /** Returns the backlog of one service and urgency. */
  backlog: (key: string) => Backlog
  /** Order in which requests are admitted under overload; undefined if the settings do not ask for it. */
  admissionOrder: AdmissionOrder | undefined
  dataCentre: string
  /** Number of instances of the fleet. */
  instanceCount: () => number
  /** This instance's share, between 0 and 1, of quotas and retries. */
  share: () => number
  /** Time in milliseconds after which no request may start on weights older than the newest announced version. */
  outdatedWeightsLimit: number
  weightsRollout: Pick<WeightsRollout, 'target' | 'supersededFor'>
  serviceRollouts: Pick<ServiceRollouts, 'eligible' | 'hasTargetVersion'>
  rolloutSampler: Pick<RolloutSampler, 'startAttempt'>
  engineLoads: Pick<LoadExchange, 'refresh' | 'promptSent' | 'prefillEnded'>
  crossing: Pick<Crossing, 'recordPrefix' | 'choose' | 'recordConnection'>
  engineRoom: Pick<EngineRoom, 'expectedStart' | 'drainRate' | 'capacityOf' | 'recordEnd'>
  engineSpeeds: Pick<EngineSpeeds, 'ofService' | 'medianOf' | 'probe' | 'observe'>
  /** Engines that are loading weights or will load them next. */
  loadingEngines: () => ReadonlySet<Upstream>
  /** Whether little memory is left for bytes held for callers. @default never */
  isMemoryTight?: () => boolean
  /** Records bytes of incomplete events of streams; a negative number records that they are released. @default not recorded */
  recordPartialEvents?: (bytes: number) => void
  /** Buffers of responses that are forwarded only when they are complete. */
  responseBuffers: ResponseBuffers
  upstreamHints: Pick<UpstreamHints, 'apply'>
  requestLimits: Pick<RequestLimits, 'limitOf' | 'applyAbsence'>
  coldLimits: Pick<ColdLimits, 'applyHint' | 'recordLoss' | 'limitOf'>
  /** Data centres in which a request may be sent to an upstream or a cache store. */
  destinations: Destinations
  /** Permits to send requests to upstreams that have named a limit or are cold. */
  sendPermits: Pick<SendPermits, 'isNeeded' | 'acquire' | 'validity'>
  /** Permits to send requests that may crash upstreams. */
  trialPermits: Pick<TrialPermits, 'waitFor'>
  crashReports: Omit<CrashReports, 'receive' | 'check'>
  /** Notifies the other instances of the data centre that an upstream is unreachable. */
  reportUnreachable: (upstream: Upstream) => void
  /** Whether new requests are rejected, so that the ones in progress can complete before the instance stops. */
  isRejecting: () => boolean
  log: EdgeLog
  /** Reports an unhandled error, which is a bug in the program. */
  reportFault: (error: unknown) => void
  now: () => Instant
  random: RandomSource
}

/** A request that was admitted, with its route and service. */
export interface AdmittedRequest {
  request: IncomingMessage
  callerRequest: CallerRequest
  route: EdgeRoute
  customer: EdgeCustomer | undefined
  service: string
  plan: PromptPlan
  body: Buffer | undefined
}
