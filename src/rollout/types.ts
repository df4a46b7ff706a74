/** Types of rollouts: moving the traffic of a model from one version to another. */
import type { Endpoint, MonotonicMilliseconds, WallClockMilliseconds } from '../types'
import type { EngineOrder } from '../upstream/types'

export const RolloutPhase = {
  pending: 'pending',
  loading: 'loading',
  canary: 'canary',
  /** All traffic is on the new version, which is still being watched. */
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
  /** Configuration revision that asked for the rollout. */
  revision: number
  /** Version that carries the traffic now; undefined for the first version of a model. */
  fromVersion: string | undefined
  toVersion: string
  phase: RolloutPhase
  /** Part of the traffic on `toVersion`, 0 to 1. */
  share: number
  /** Raised by each new leader; lower ones are refused. */
  fencingToken: number
  /** Raised with every change of the record. */
  step: number
  leader: string
  finishBy: WallClockMilliseconds | undefined
  startedAt: WallClockMilliseconds
  /** When the present phase began. */
  phaseSince: WallClockMilliseconds
  reason: RollbackReason | undefined
  /** Route on which the fault showed. */
  reasonRoute: string | undefined
  /** True when the deadline passed before the rollout finished. */
  deadlineMissed: boolean
}

/** Counts of one route and version over one reporting interval at one instance. */
export interface RolloutSample {
  model: string
  version: string
  route: string
  requests: number
  failures: number
  /** Requests whose time to first token could be compared with the reference of the old version. */
  firstTokens: number
  /** Requests whose mean time between tokens could be compared with the reference of the old version. */
  betweenTokens: number
  /** Requests whose time to first token was above the reference of the old version. */
  slowFirstTokens: number
  /** Requests whose mean time between tokens was above the reference of the old version. */
  slowTokens: number
  /** Requests whose time to first token was above three times the reference. */
  verySlowFirstTokens: number
  /** Requests whose mean time between tokens was above one and a half times the reference. */
  verySlowTokens: number
  /** Sums for the reference, in milliseconds. */
  firstTokenMilliseconds: number
  betweenTokensMilliseconds: number
  /** True while the instance keeps its own traffic away from the version because of a clear failure. */
  braked: boolean
}

/** One engine as the leader knows it. */
export interface EngineState {
  name: string
  endpoint: Endpoint
  leaving: boolean
  /** `model@version` names that the engine reported. */
  loaded: readonly string[]
}

/** An order of the leader to an engine. */
export interface EngineOrderEffect {
  kind: 'engineOrder'
  engine: string
  endpoint: Endpoint
  order: EngineOrder
  /** The order must not be sent after this time, because the leader's lease has lapsed then. */
  validUntil: MonotonicMilliseconds
}

/** The record changed; peers are notified. */
export interface RecordEffect {
  kind: 'record'
  record: RolloutRecord
}

export type RolloutEffect = EngineOrderEffect | RecordEffect
