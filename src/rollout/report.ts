/** Report on rollouts for operators. It says `unknown` wherever the table was not read. */
import type { ModelConfiguration, WallClockMilliseconds } from '../types'
import { RolloutPhase, type RolloutRecord } from './types'

export const RolloutState = {
  finished: 'finished',
  running: 'running',
  rolledBack: 'rolled_back',
  /** Asked for by the configuration, but no instance has taken it up yet. */
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
  /** Part of the traffic on the new version; undefined when unknown. */
  share: number | undefined
  reason: string | undefined
  route: string | undefined
  finishBy: WallClockMilliseconds | undefined
  /** True when the deadline passed before the rollout finished; undefined when unknown. */
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

/** The fields of a record that a report needs; fields may be absent in an instance's answer. */
export type ReportedRecord = Pick<RolloutRecord, 'model' | 'toVersion' | 'phase' | 'share' | 'deadlineMissed' | 'revision'> & {
  [Field in 'fromVersion' | 'reason' | 'reasonRoute' | 'finishBy']?: RolloutRecord[Field] | undefined
}

/**
 * Describes a record that an instance holds. Its age is unknown and the rollout may have gone on since, so that only a
 * deadline recorded as missed, or a rollout recorded as finished, settles the question of the deadline.
 */
export function reportView (record: ReportedRecord): RolloutReport {
  const settled = record.deadlineMissed || record.phase === RolloutPhase.finished
  return { ...reportRecord(record, 0), deadlineMissed: settled ? record.deadlineMissed : undefined }
}

/** Describes one record as it stood in the table at `readAt`. */
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
    // The leader may be gone and the flag not written yet; the deadline itself decides.
    deadlineMissed: record.deadlineMissed || (!finished && record.finishBy !== undefined && readAt > record.finishBy),
    revision: record.revision
  }
}

/**
 * Reports on every model of the configuration and of the table. `records` is undefined when the table could not be read;
 * all rollouts are then unknown.
 */
export function reportRollouts (
  records: readonly RolloutRecord[] | undefined, models: readonly ModelConfiguration[] | undefined,
  readAt: WallClockMilliseconds
): readonly RolloutReport[] {
  const names = new Set([...(models ?? []).map(model => model.name), ...(records ?? []).map(record => record.model)])
  return [...names].sort().map((name) => {
    const record = records?.find(other => other.model === name)
    if (record !== undefined) return reportRecord(record, readAt)
    const wanted = models?.find(model => model.name === name)
    return {
      model: name,
      state: records === undefined ? RolloutState.unknown : RolloutState.requested,
      fromVersion: undefined,
      toVersion: wanted?.version,
      phase: undefined,
      share: undefined,
      reason: undefined,
      route: undefined,
      finishBy: wanted?.finishBy,
      deadlineMissed: wanted?.finishBy !== undefined && records !== undefined ? readAt > wanted.finishBy : undefined,
      revision: undefined
    }
  })
}
