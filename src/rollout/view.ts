/** What one instance believes about the rollouts, and which version it chooses for a request. */
import type { RandomSource } from '../types'
import { carriedVersion, isTerminal } from './transitions'
import type { RolloutRecord } from './types'

export interface RolloutView {
  /** Takes in a record from any source. Returns false, and changes nothing, unless its fencing token, or at the same token its step, is higher. */
  offer: (record: RolloutRecord) => boolean
  /** Version for one request; undefined when nothing is known about the model. */
  chooseVersion: (model: string, random: RandomSource) => string | undefined
  /** Version to which a request that failed on `version` before its first byte may go; undefined when there is none. */
  fallbackVersion: (model: string, version: string) => string | undefined
  record: (model: string) => RolloutRecord | undefined
  records: () => readonly RolloutRecord[]
  /** Highest fencing token seen; orders of engines with a lower one are refused. */
  fencingToken: (model: string) => number
}

export interface RolloutViewOptions {
  /** True when this instance keeps its own traffic away from a version. @default never */
  isBraked?: (model: string, version: string) => boolean
}

export function createRolloutView (options: RolloutViewOptions = {}): RolloutView {
  const { isBraked = () => false } = options
  const records = new Map<string, RolloutRecord>()
  return {
    offer (record) {
      const present = records.get(record.model)
      if (present !== undefined && !isNewer(record, present)) return false
      records.set(record.model, record)
      return true
    },
    chooseVersion (model, random) {
      const record = records.get(model)
      if (record === undefined) return undefined
      if (isTerminal(record.phase)) return carriedVersion(record)
      if (record.fromVersion === undefined) return record.toVersion
      const share = isBraked(model, record.toVersion) ? 0 : record.share
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

function isNewer (candidate: RolloutRecord, present: RolloutRecord): boolean {
  if (candidate.fencingToken !== present.fencingToken) return candidate.fencingToken > present.fencingToken
  return candidate.step > present.step
}
