/** Transition rules of rollout records: pure functions of the record and the leader's observations. */
import type { FleetConfiguration, ModelConfiguration, WallClockMilliseconds } from '../types'
import type { Verdict } from './judge'
import { RollbackReason, RolloutPhase, type RolloutRecord } from './types'

/** Traffic shares of the canary phase, in order. */
export const CANARY_SHARES = [0.01, 0.05, 0.25, 0.5] as const

/** Minimum time at one share in milliseconds. Samples of all instances arrive within two reporting intervals of 1 s. */
export const MINIMUM_DWELL_MS = 3000
/**
 * Maximum time at one share in milliseconds, unless a test indicates a possible fault. A near deadline shortens it, and
 * sufficient requests end it early.
 */
export const MAXIMUM_DWELL_MS = 20_000
/** Minimum and maximum time for which the new version is observed at full share, in milliseconds. */
export const MINIMUM_WATCH_MS = 20_000
export const MAXIMUM_WATCH_MS = 120_000
/** Fractions of the time remaining until the deadline that one share and the observation at full share may take. */
const DWELL_FRACTION = 0.1
const WATCH_FRACTION = 0.4
/** Number of failed loads after which an engine counts as unable to load the version. */
export const LOAD_ATTEMPTS = 3

export interface Observation {
  wallClock: WallClockMilliseconds
  /** Configuration revision known to the leader; never lower than that of the record. */
  revision: number
  /** Number of engines that should serve the model. */
  targets: number
  /** Number of targets that have reported the new version as loaded. */
  loaded: number
  /** Number of targets that have failed to load it `LOAD_ATTEMPTS` times. */
  unable: number
  verdict: Verdict | undefined
  /** False while a test indicates a possible fault. */
  isSafeToAdvance: boolean
  /** Whether the new version has received enough requests on every route since the last change of the share. */
  hasSufficientRequests: boolean
}

/** Fields that a transition may change; `step`, `leader` and `fencingToken` are set by the leader. */
export type RolloutChange = Partial<Pick<RolloutRecord, 'phase' | 'share' | 'phaseSince' | 'reason' | 'reasonRoute' | 'deadlineMissed' | 'finishBy' | 'revision'>>

/** Record of a new rollout without the fields that the leader sets. */
export type RolloutRequest = Omit<RolloutRecord, 'fencingToken' | 'step' | 'leader'>

export function isTerminal (phase: RolloutPhase): boolean {
  return phase === RolloutPhase.finished || phase === RolloutPhase.rolledBack
}

/** Returns the version that serves all traffic when no rollout is running. */
export function stableVersion (record: RolloutRecord): string | undefined {
  return record.phase === RolloutPhase.finished ? record.toVersion : record.fromVersion
}

/** Returns the next change of a running rollout, or undefined when there is none yet. */
export function nextChange (
  record: RolloutRecord, desired: ModelConfiguration | undefined, observation: Observation
): RolloutChange | undefined {
  if (isTerminal(record.phase)) return undefined
  const changes = [deadlineChange(record, desired, observation), phaseChange(record, desired, observation)]
  return changes.every(change => change === undefined) ? undefined : Object.assign({}, ...changes) as RolloutChange
}

/** Returns a deadline changed by a later revision, or records once that the deadline was missed. */
function deadlineChange (
  record: RolloutRecord, desired: ModelConfiguration | undefined, observation: Observation
): RolloutChange | undefined {
  const deadlineChanged = desired !== undefined && desired.version === record.toVersion &&
    desired.finishBy !== record.finishBy && observation.revision > record.revision
  const finishBy = deadlineChanged ? desired.finishBy : record.finishBy
  const missed = finishBy !== undefined && observation.wallClock > finishBy
  if (deadlineChanged) return { finishBy, revision: observation.revision, deadlineMissed: missed }
  return missed && !record.deadlineMissed ? { deadlineMissed: true } : undefined
}

function phaseChange (
  record: RolloutRecord, desired: ModelConfiguration | undefined, observation: Observation
): RolloutChange | undefined {
  if (desired === undefined || desired.version !== record.toVersion) {
    // Engines that have loaded a first version serve all requests with it, so the next version is compared with it.
    const isServing = record.fromVersion === undefined && observation.loaded > 0
    return desired !== undefined && isServing
      ? enterPhase(observation, RolloutPhase.finished, 1)
      : rollback(observation, RollbackReason.superseded)
  }
  if (observation.verdict !== undefined && record.fromVersion !== undefined) {
    return rollback(observation, observation.verdict.reason, observation.verdict.route)
  }
  return PHASE_RULES[record.phase]?.(record, observation)
}

const PHASE_RULES: Readonly<Partial<Record<RolloutPhase, (
  record: RolloutRecord, observation: Observation
) => RolloutChange | undefined>>> = {
  [RolloutPhase.pending]: (_, observation) => enterPhase(observation, RolloutPhase.loading, 0),
  [RolloutPhase.loading] (record, observation) {
    const able = observation.targets - observation.unable
    if (record.fromVersion === undefined) {
      // A first version has no predecessor to compare with, so it is finished when all engines that can load it have
      // done so.
      return observation.loaded > 0 && observation.loaded >= able
        ? enterPhase(observation, RolloutPhase.finished, 1)
        : undefined
    }
    if (
      observation.targets > 0 && observation.unable * 2 >= observation.targets
    ) return rollback(observation, RollbackReason.loadFailed)
    return hasCapacityFor(CANARY_SHARES[0], observation)
      ? enterPhase(observation, RolloutPhase.canary, CANARY_SHARES[0])
      : undefined
  },
  [RolloutPhase.canary] (record, observation) {
    if (!hasDwelled(record, observation)) return undefined
    const next = CANARY_SHARES.find(share => share > record.share) ?? 1
    if (!hasCapacityFor(next, observation)) return undefined
    return next === 1
      ? enterPhase(observation, RolloutPhase.completeShare, 1)
      : { share: next, phaseSince: observation.wallClock }
  },
  [RolloutPhase.completeShare] (record, observation) {
    const watched = observation.wallClock - record.phaseSince >= watchTime(record)
    return watched && observation.isSafeToAdvance ? enterPhase(observation, RolloutPhase.finished, 1) : undefined
  }
}

function enterPhase (observation: Observation, phase: RolloutPhase, share: number): RolloutChange {
  return { phase, share, phaseSince: observation.wallClock }
}

function rollback (observation: Observation, reason: RollbackReason, route?: string): RolloutChange {
  return { ...enterPhase(observation, RolloutPhase.rolledBack, 0), reason, reasonRoute: route }
}

/** Returns whether the version is loaded on at least this share of the engines that can load it. */
function hasCapacityFor (share: number, observation: Observation): boolean {
  const able = observation.targets - observation.unable
  return observation.loaded > 0 && observation.loaded >= able * share
}

function hasDwelled (record: RolloutRecord, observation: Observation): boolean {
  const time = observation.wallClock - record.phaseSince
  if (time < MINIMUM_DWELL_MS || !observation.isSafeToAdvance) return false
  return observation.hasSufficientRequests || time >= dwellTime(record)
}

function dwellTime (record: RolloutRecord): number {
  if (record.finishBy === undefined) return MAXIMUM_DWELL_MS
  return clamp((record.finishBy - record.phaseSince) * DWELL_FRACTION, MINIMUM_DWELL_MS, MAXIMUM_DWELL_MS)
}

/** Returns the observation time at full share. A near deadline shortens it, but leaves time for a fault to show. */
export function watchTime (record: RolloutRecord): number {
  if (record.finishBy === undefined) return MAXIMUM_WATCH_MS
  return clamp((record.finishBy - record.phaseSince) * WATCH_FRACTION, MINIMUM_WATCH_MS, MAXIMUM_WATCH_MS)
}

function clamp (value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value))
}

/**
 * Returns the record of a new rollout if the configuration requests one. A version that was rolled back is tried again
 * only when a later revision specifies a different deadline, or after an intermediate revision has specified another
 * version.
 */
export function requestedRollout (
  record: RolloutRecord | undefined, desired: ModelConfiguration, revision: number, wallClock: WallClockMilliseconds
): RolloutRequest | undefined {
  const base = {
    model: desired.name,
    revision,
    finishBy: desired.finishBy,
    startedAt: wallClock,
    phaseSince: wallClock,
    reason: undefined,
    reasonRoute: undefined,
    deadlineMissed: false,
    toVersion: desired.version
  }
  if (record === undefined) return { ...base, fromVersion: undefined, phase: RolloutPhase.pending, share: 0 }
  if (!isTerminal(record.phase) || revision <= record.revision) return undefined
  const stable = stableVersion(record)
  if (desired.version === stable) {
    // The operator has withdrawn the request for the version that was rolled back. Recording this allows a later
    // attempt.
    return record.phase === RolloutPhase.rolledBack
      ? { ...base, fromVersion: undefined, phase: RolloutPhase.finished, share: 1 }
      : undefined
  }
  const sameRequest = record.phase === RolloutPhase.rolledBack && record.reason !== RollbackReason.superseded &&
    record.toVersion === desired.version && record.finishBy === desired.finishBy
  return sameRequest ? undefined : { ...base, fromVersion: stable, phase: RolloutPhase.pending, share: 0 }
}

export function desiredModel (configuration: FleetConfiguration, model: string): ModelConfiguration | undefined {
  return configuration.models.find(({ name }) => name === model)
}
