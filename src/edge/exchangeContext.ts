/** What all exchanges of an instance share. */
import type { RandomSource } from '../types'
import type { AnswerBuffers } from './answerBuffers'
import type { Backlog } from './backlog'
import type { EdgeLog } from './events'
import type { Freshness } from './freshness'
import type { LoadExchange } from './loadExchange'
import type { MoveSampler } from './moveSampler'
import type { PrefixDemand } from './prefixDemand'
import type { KeptParts } from './promptPlan'
import type { QuotaShares } from './quotaShare'
import type { RetryAllowance } from './retryAllowance'
import type { RouteTable } from './routeTable'
import type { ServiceMoves } from './serviceMoves'
import type { TokenGathering } from './tokenGathering'
import type { CacheStore, Dialect, Instant } from './types'
import type { UpstreamConnections } from './upstreamConnections'
import type { Upstream, UpstreamDirectory } from './upstreamDirectory'
import type { UpstreamWords } from './upstreamWords'
import type { WeightsMove } from './weightsMove'

export interface ExchangeContext {
  dialect: Dialect
  table: () => RouteTable | undefined
  freshness: Freshness
  directory: UpstreamDirectory
  connections: UpstreamConnections
  quotas: QuotaShares
  tokens: Pick<TokenGathering, 'gather'>
  retries: RetryAllowance
  kept: KeptParts
  /** The store that keeps a prompt part; undefined when there is none. */
  cacheStoreFor: (scope: string, part: string) => CacheStore | undefined
  demand: PrefixDemand
  /** Requests of one service and urgency that wait for their first byte. */
  backlog: (name: string) => Backlog
  dataCentre: string
  /** Instances of the fleet. */
  instances: () => number
  /** Part between 0 and 1 that this instance has of quotas and retries. */
  share: () => number
  /** Milliseconds after which no request may begin on weights older than the newest ones named. */
  oldWeightsLimit: number
  weights: Pick<WeightsMove, 'wanted' | 'age'>
  moves: Pick<ServiceMoves, 'permitted' | 'isMoving' | 'isNew'>
  sampler: Pick<MoveSampler, 'record'>
  engineLoads: Pick<LoadExchange, 'refresh' | 'sent' | 'read'>
  /** Engines that load weights now or next. */
  underOrder: () => ReadonlySet<Upstream>
  /** Answers that are held until they are whole. */
  answers: AnswerBuffers
  words: Pick<UpstreamWords, 'note'>
  /** Tells the other instances of the data centre that an upstream cannot be reached. */
  tellFailure: (upstream: Upstream) => void
  isStopping: () => boolean
  /** New requests are refused, so that those that run can end in time. */
  isRefusing: () => boolean
  log: EdgeLog
  /** Called for errors that nothing handled; these are faults of the program. */
  fault: (error: unknown) => void
  now: () => Instant
  random: RandomSource
}
