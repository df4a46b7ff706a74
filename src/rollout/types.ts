/** Types of rollouts: moving the traffic of a model from one version to another. */
import type { WallClockMilliseconds } from '../types'

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
  /** Requests whose time to first token was above the reference of the old version. */
  slowFirstTokens: number
  /** Requests whose mean time between tokens was above the reference of the old version. */
  slowTokens: number
  /** Sums for the reference, in milliseconds. */
  firstTokenMilliseconds: number
  betweenTokensMilliseconds: number
}
