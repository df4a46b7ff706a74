/** Types for weights rollouts, which shift the traffic of a model from one version to another. */
import type { Endpoint, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type { EngineCommand } from '../upstream/types'

export const RolloutPhase = {
  pending: 'pending',
  loading: 'loading',
  canary: 'canary',
  /** All traffic is on the new version, which is still under observation. */
  completeShare: 'complete_share',
  finished: 'finished',
  rolledBack: 'rolled_back'
} as const
export type RolloutPhase = typeof RolloutPhase[keyof typeof RolloutPhase]

export const RollbackReason = {
  failures: 'failures',
  slowFirstToken: 'slow_first_token',
  slowTokens: 'slow_tokens',
  loadFailed: 'load_failed',
  superseded: 'superseded'
} as const
export type RollbackReason = typeof RollbackReason[keyof typeof RollbackReason]

/** Row of the rollout table. */
export interface RolloutRecord {
  model: string
  /** Configuration revision that requested the rollout. */
  revision: number
  /** Version that served the traffic before the rollout; undefined for the first version of a model. */
  fromVersion: string | undefined
  toVersion: string
  phase: RolloutPhase
  /** Fraction of the traffic on `toVersion`, from 0 to 1. */
  share: number
  /** Incremented by each new leader; lower tokens are rejected. */
  fencingToken: number
  /** Incremented with every change of the record. */
  step: number
  leader: string
  finishBy: WallClockMilliseconds | undefined
  startedAt: WallClockMilliseconds
  /** Start of the current phase. */
  phaseSince: WallClockMilliseconds
  reason: RollbackReason | undefined
  /** Route on which the fault was detected. */
  reasonRoute: string | undefined
  /** Whether the deadline passed before the rollout finished. */
  deadlineMissed: boolean
}

/** Counts for one route and version at one instance over one reporting interval. */
export interface RolloutSample {
  model: string
  version: string
  route: string
  requests: number
  failures: number
  /** Requests whose time to first token could be compared with the old version's reference. */
  firstTokens: number
  /** Requests whose mean time between tokens could be compared with the old version's reference. */
  betweenTokens: number
  /** Requests whose time to first token exceeded the old version's reference. */
  slowFirstTokens: number
  /** Requests whose mean time between tokens exceeded the old version's reference. */
  slowTokens: number
  /** Requests whose time to first token exceeded three times the reference. */
  verySlowFirstTokens: number
  /** Requests whose mean time between tokens exceeded 1.5 times the reference. */
  verySlowTokens: number
  /** Sums of the measured times in milliseconds. */
  firstTokenMilliseconds: number
  betweenTokensMilliseconds: number
  /** Whether the instance's circuit breaker currently withholds its own traffic from the version. */
  braked: boolean
}

/** State of one engine as known to the leader. */
export interface EngineState {
  name: string
  endpoint: Endpoint
  leaving: boolean
  /** `model@version` names that the engine reported as loaded. */
  loaded: readonly string[]
}

/** A command from the leader to an engine. */
export interface EngineCommandEffect {
  kind: 'engineOrder'
  engine: string
  endpoint: Endpoint
  command: EngineCommand
  /** Time when the leader's lease expires, after which the command must not be sent. */
  validUntil: MonotonicMilliseconds
}

/** The record has changed and peers must be notified. */
export interface RecordEffect {
  kind: 'record'
  record: RolloutRecord
}

export type RolloutEffect = EngineCommandEffect | RecordEffect
