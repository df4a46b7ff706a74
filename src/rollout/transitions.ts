/** Rules by which a rollout record moves from one phase to the next. Pure functions of the record and what is known. */
import type { FleetConfiguration, ModelConfiguration, WallClockMilliseconds } from '../types'
import type { Verdict } from './judge'
import { RollbackReason, RolloutPhase, type RolloutRecord } from './types'

/** Shares of the canary phase, in order. */
export const CANARY_SHARES = [0.01, 0.05, 0.25, 0.5] as const

/** Shortest time at one share; samples of every instance arrive within two reporting intervals of 1 s. */
export const MINIMUM_DWELL_MS = 3000
/** Longest time at one share while nothing speaks against the version and the deadline leaves room. */
export const MAXIMUM_DWELL_MS = 20_000
/** Shortest and longest time for which the full share is watched. */
export const MINIMUM_WATCH_MS = 20_000
export const MAXIMUM_WATCH_MS = 120_000
/** Parts of the time left until the deadline that one share and the watch may take. */
const DWELL_PART = 0.1
const WATCH_PART = 0.4
/** Failed loads on one engine after which it counts as unable to load the version. */
export const LOAD_ATTEMPTS = 3

export interface Observation {
  wallClock: WallClockMilliseconds
  /** Configuration revision that the leader knows; not below the record's. */
  revision: number
  /** Engines that should serve the model. */
  targets: number
  /** Those that reported the new version as loaded. */
  loaded: number
  /** Those that failed to load it `LOAD_ATTEMPTS` times. */
  unable: number
  verdict: Verdict | undefined
  /** False while a test leans towards a fault. */
  clear: boolean
  /** True when the new version has had enough requests on every route since the last change of the share. */
  sufficient: boolean
}

/** Fields that a transition changes; `step`, `leader` and `fencingToken` belong to the leader. */
export type RolloutChange = Partial<Pick<RolloutRecord, 'phase' | 'share' | 'phaseSince' | 'reason' | 'reasonRoute' | 'deadlineMissed' | 'finishBy' | 'revision'>>

/** A new rollout without its leadership. */
export type RolloutRequest = Omit<RolloutRecord, 'fencingToken' | 'step' | 'leader'>

export function isTerminal (phase: RolloutPhase): boolean {
  return phase === RolloutPhase.finished || phase === RolloutPhase.rolledBack
}

/** Version that serves when the record says nothing about a running rollout. */
export function carriedVersion (record: RolloutRecord): string | undefined {
  return record.phase === RolloutPhase.finished ? record.toVersion : record.fromVersion
}

/** Returns the next change of a running rollout, or undefined when it waits. */
export function nextChange (
  record: RolloutRecord, wanted: ModelConfiguration | undefined, seen: Observation
): RolloutChange | undefined {
  if (isTerminal(record.phase)) return undefined
  const changes = [deadlineChange(record, wanted, seen), phaseChange(record, wanted, seen)]
  return changes.every(change => change === undefined) ? undefined : Object.assign({}, ...changes) as RolloutChange
}

/** A later revision may move the deadline of a running rollout; a missed deadline is noted once. */
function deadlineChange (
  record: RolloutRecord, wanted: ModelConfiguration | undefined, seen: Observation
): RolloutChange | undefined {
  const moved = wanted !== undefined && wanted.version === record.toVersion && wanted.finishBy !== record.finishBy &&
    seen.revision > record.revision
  const finishBy = moved ? wanted.finishBy : record.finishBy
  const missed = finishBy !== undefined && seen.wallClock > finishBy
  if (moved) return { finishBy, revision: seen.revision, deadlineMissed: missed }
  return missed && !record.deadlineMissed ? { deadlineMissed: true } : undefined
}

function phaseChange (
  record: RolloutRecord, wanted: ModelConfiguration | undefined, seen: Observation
): RolloutChange | undefined {
  if (wanted === undefined || wanted.version !== record.toVersion) return rollback(seen, RollbackReason.superseded)
  if (seen.verdict !== undefined && record.fromVersion !== undefined) {
    return rollback(seen, seen.verdict.reason, seen.verdict.route)
  }
  return PHASE_RULES[record.phase]?.(record, seen)
}

const PHASE_RULES: Readonly<Partial<Record<RolloutPhase, (
  record: RolloutRecord, seen: Observation
) => RolloutChange | undefined>>> = {
  [RolloutPhase.pending]: (_, seen) => enter(seen, RolloutPhase.loading, 0),
  [RolloutPhase.loading] (record, seen) {
    const able = seen.targets - seen.unable
    if (record.fromVersion === undefined) {
      // A first version has nothing to be compared with; it is complete when the engines that can serve it do.
      return seen.loaded > 0 && seen.loaded >= able ? enter(seen, RolloutPhase.finished, 1) : undefined
    }
    if (seen.targets > 0 && seen.unable * 2 >= seen.targets) return rollback(seen, RollbackReason.loadFailed)
    return mayCarry(CANARY_SHARES[0], seen) ? enter(seen, RolloutPhase.canary, CANARY_SHARES[0]) : undefined
  },
  [RolloutPhase.canary] (record, seen) {
    if (!dwelled(record, seen)) return undefined
    const next = CANARY_SHARES.find(share => share > record.share) ?? 1
    if (!mayCarry(next, seen)) return undefined
    return next === 1 ? enter(seen, RolloutPhase.completeShare, 1) : { share: next, phaseSince: seen.wallClock }
  },
  [RolloutPhase.completeShare] (record, seen) {
    const watched = seen.wallClock - record.phaseSince >= watchTime(record)
    return watched && seen.clear ? enter(seen, RolloutPhase.finished, 1) : undefined
  }
}

function enter (seen: Observation, phase: RolloutPhase, share: number): RolloutChange {
  return { phase, share, phaseSince: seen.wallClock }
}

function rollback (seen: Observation, reason: RollbackReason, route?: string): RolloutChange {
  return { ...enter(seen, RolloutPhase.rolledBack, 0), reason, reasonRoute: route }
}

/** The share of the traffic never exceeds the part of the engines that have the version. */
function mayCarry (share: number, seen: Observation): boolean {
  const able = seen.targets - seen.unable
  return seen.loaded > 0 && seen.loaded >= able * share
}

function dwelled (record: RolloutRecord, seen: Observation): boolean {
  const time = seen.wallClock - record.phaseSince
  if (time < MINIMUM_DWELL_MS || !seen.clear) return false
  return seen.sufficient || time >= dwellTime(record)
}

function dwellTime (record: RolloutRecord): number {
  if (record.finishBy === undefined) return MAXIMUM_DWELL_MS
  return clamp((record.finishBy - record.phaseSince) * DWELL_PART, MINIMUM_DWELL_MS, MAXIMUM_DWELL_MS)
}

/** A near deadline shortens the watch, but not below the time in which a fault of the full share shows. */
export function watchTime (record: RolloutRecord): number {
  if (record.finishBy === undefined) return MAXIMUM_WATCH_MS
  return clamp((record.finishBy - record.phaseSince) * WATCH_PART, MINIMUM_WATCH_MS, MAXIMUM_WATCH_MS)
}

function clamp (value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value))
}

/**
 * Decides whether the configuration asks for a new rollout of a model. Returns the record to write, without leadership.
 * A version that was rolled back is tried again only when a later revision names another deadline, or after a revision in
 * between has named another version.
 */
export function requestedRollout (
  record: RolloutRecord | undefined, wanted: ModelConfiguration, revision: number, wallClock: WallClockMilliseconds
): RolloutRequest | undefined {
  const base = {
    model: wanted.name,
    revision,
    finishBy: wanted.finishBy,
    startedAt: wallClock,
    phaseSince: wallClock,
    reason: undefined,
    reasonRoute: undefined,
    deadlineMissed: false,
    toVersion: wanted.version
  }
  if (record === undefined) return { ...base, fromVersion: undefined, phase: RolloutPhase.pending, share: 0 }
  if (!isTerminal(record.phase) || revision <= record.revision) return undefined
  const carried = carriedVersion(record)
  if (wanted.version === carried) {
    // The operator has withdrawn the request for the version that was rolled back; noting it allows a later new attempt.
    return record.phase === RolloutPhase.rolledBack
      ? { ...base, fromVersion: undefined, phase: RolloutPhase.finished, share: 1 }
      : undefined
  }
  const sameRequest = record.phase === RolloutPhase.rolledBack && record.reason !== RollbackReason.superseded &&
    record.toVersion === wanted.version && record.finishBy === wanted.finishBy
  return sameRequest ? undefined : { ...base, fromVersion: carried, phase: RolloutPhase.pending, share: 0 }
}

export function wantedModel (configuration: FleetConfiguration, model: string): ModelConfiguration | undefined {
  return configuration.models.find(({ name }) => name === model)
}
