/** Reports on rollouts for operators. States are `unknown` when the table could not be read. */
import type { ModelConfiguration, WallClockMilliseconds } from '../types'
import { RolloutPhase, type RolloutRecord } from './types'

export const RolloutState = {
  finished: 'finished',
  running: 'running',
  rolledBack: 'rolled_back',
  /** Requested by the configuration, but not yet started by any instance. */
  requested: 'requested',
  unknown: 'unknown'
} as const
export type RolloutState = typeof RolloutState[keyof typeof RolloutState]

export interface RolloutReport {
  model: string
  state: RolloutState
  fromVersion: string | undefined
  toVersion: string | undefined
  phase: RolloutPhase | undefined
  /** Fraction of the traffic on the new version; undefined when unknown. */
  share: number | undefined
  reason: string | undefined
  route: string | undefined
  finishBy: WallClockMilliseconds | undefined
  /** Whether the deadline passed before the rollout finished; undefined when unknown. */
  deadlineMissed: boolean | undefined
  revision: number | undefined
}

const STATES: Readonly<Record<RolloutPhase, RolloutState>> = {
  [RolloutPhase.pending]: RolloutState.running,
  [RolloutPhase.loading]: RolloutState.running,
  [RolloutPhase.canary]: RolloutState.running,
  [RolloutPhase.completeShare]: RolloutState.running,
  [RolloutPhase.finished]: RolloutState.finished,
  [RolloutPhase.rolledBack]: RolloutState.rolledBack
}

/** Fields of a record that a report needs. Optional fields may be missing from an instance's response. */
export type ReportedRecord = Pick<RolloutRecord, 'model' | 'toVersion' | 'phase' | 'share' | 'deadlineMissed' | 'revision'> & {
  [Field in 'fromVersion' | 'reason' | 'reasonRoute' | 'finishBy']?: RolloutRecord[Field] | undefined
}

/**
 * Describes a record known to an instance. Its age is unknown and the rollout may have progressed since, so that
 * `deadlineMissed` is known only when the deadline is recorded as missed or the rollout as finished.
 */
export function reportKnownRecord (record: ReportedRecord): RolloutReport {
  const deadlineDecided = record.deadlineMissed || record.phase === RolloutPhase.finished
  return { ...reportRecord(record, 0), deadlineMissed: deadlineDecided ? record.deadlineMissed : undefined }
}

/** Describes a record that was read from the table at `readAt`. */
export function reportRecord (record: ReportedRecord, readAt: WallClockMilliseconds): RolloutReport {
  const finished = record.phase === RolloutPhase.finished
  return {
    model: record.model,
    state: STATES[record.phase],
    fromVersion: record.fromVersion,
    toVersion: record.toVersion,
    phase: record.phase,
    share: record.share,
    reason: record.reason,
    route: record.reasonRoute,
    finishBy: record.finishBy,
    // The leader may have failed before it wrote the flag, so the deadline itself is checked as well.
    deadlineMissed: record.deadlineMissed || (!finished && record.finishBy !== undefined && readAt > record.finishBy),
    revision: record.revision
  }
}

/**
 * Reports on every model in the configuration or the table. `records` is undefined when the table could not be read;
 * the state of every rollout is then unknown.
 */
export function reportRollouts (
  records: readonly RolloutRecord[] | undefined, models: readonly ModelConfiguration[] | undefined,
  readAt: WallClockMilliseconds
): readonly RolloutReport[] {
  const names = new Set([...(models ?? []).map(model => model.name), ...(records ?? []).map(record => record.model)])
  return [...names].sort().map((name) => {
    const record = records?.find(other => other.model === name)
    if (record !== undefined) return reportRecord(record, readAt)
    const desired = models?.find(model => model.name === name)
    return {
      model: name,
      state: records === undefined ? RolloutState.unknown : RolloutState.requested,
      fromVersion: undefined,
      toVersion: desired?.version,
      phase: undefined,
      share: undefined,
      reason: undefined,
      route: undefined,
      finishBy: desired?.finishBy,
      deadlineMissed: desired?.finishBy !== undefined && records !== undefined ? readAt > desired.finishBy : undefined,
      revision: undefined
    }
  })
}
