/** One instance's view of the rollouts, from which it chooses a version for each request. */
import type { RandomSource } from '../types'
import { stableVersion, isTerminal } from './transitions'
import type { RolloutRecord } from './types'

export interface RolloutView {
  /**
   * Applies a record from any source if it is newer, i.e. if its fencing token is higher, or its step at the same
   * token. Returns whether the record was applied.
   */
  applyIfNewer: (record: RolloutRecord) => boolean
  /** Chooses the version for one request; undefined when the model is unknown. */
  chooseVersion: (model: string, random: RandomSource) => string | undefined
  /** Returns the version on which a request that failed on `version` before its first byte may be retried, if any. */
  fallbackVersion: (model: string, version: string) => string | undefined
  record: (model: string) => RolloutRecord | undefined
  records: () => readonly RolloutRecord[]
  /** Returns the highest known fencing token; engine commands with a lower token must not be sent. */
  fencingToken: (model: string) => number
}

export interface RolloutViewOptions {
  /** Returns whether this instance withholds its own traffic from a version. @default never */
  isCircuitOpen?: (model: string, version: string) => boolean
}

export function createRolloutView (options: RolloutViewOptions = {}): RolloutView {
  const { isCircuitOpen = () => false } = options
  const records = new Map<string, RolloutRecord>()
  return {
    applyIfNewer (record) {
      const current = records.get(record.model)
      if (current !== undefined && !isNewer(record, current)) return false
      records.set(record.model, record)
      return true
    },
    chooseVersion (model, random) {
      const record = records.get(model)
      if (record === undefined) return undefined
      if (isTerminal(record.phase)) return stableVersion(record)
      if (record.fromVersion === undefined) return record.toVersion
      const share = isCircuitOpen(model, record.toVersion) ? 0 : record.share
      return random() < share ? record.toVersion : record.fromVersion
    },
    fallbackVersion (model, version) {
      const record = records.get(model)
      if (record === undefined || version !== record.toVersion || record.phase === 'finished') return undefined
      return record.fromVersion
    },
    record: model => records.get(model),
    records: () => [...records.values()],
    fencingToken: model => records.get(model)?.fencingToken ?? 0
  }
}

function isNewer (candidate: RolloutRecord, current: RolloutRecord): boolean {
  if (candidate.fencingToken !== current.fencingToken) return candidate.fencingToken > current.fencingToken
  return candidate.step > current.step
}
