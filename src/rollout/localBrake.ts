/**
 * Local brake: when the requests of this instance on a new version clearly fail, the instance sends it no further
 * requests at once, without waiting for the leader.
 */
import type { MonotonicMilliseconds } from '../types'
import { createSequentialTest, type SequentialTest } from './sequentialTest'

/** Failure rate that is not a reason to brake: an engine crash fails some requests of every version. */
const NULL_RATE = 0.05
/** Failure rate that is a clear failure. */
const ALTERNATIVE_RATE = 0.5
/** Time after which the brake lets requests through again unless the rollout has ended; a burst of another cause is over then. */
export const BRAKE_DURATION_MS = 10_000

export interface LocalBrake {
  /** Notes the end of a request on a version that is being rolled out. Returns true when this sets the brake. */
  record: (model: string, version: string, route: string, failed: boolean, now: MonotonicMilliseconds) => boolean
  isBraked: (model: string, version: string, now: MonotonicMilliseconds) => boolean
  /** Routes on which the brake is set, for the samples. */
  isRouteBraked: (model: string, version: string, route: string, now: MonotonicMilliseconds) => boolean
  /** Forgets a version whose rollout has ended. */
  forget: (model: string) => void
}

export function createLocalBrake (): LocalBrake {
  const tests = new Map<string, {
    model: string, version: string, test: SequentialTest, brakedAt: MonotonicMilliseconds | undefined
  }>()

  function active (brakedAt: MonotonicMilliseconds | undefined, now: MonotonicMilliseconds): boolean {
    return brakedAt !== undefined && now - brakedAt < BRAKE_DURATION_MS
  }

  return {
    record (model, version, route, failed, now) {
      const key = keyOf(model, version, route)
      let state = tests.get(key)
      if (state === undefined || (state.brakedAt !== undefined && !active(state.brakedAt, now))) {
        state = { model, version, test: createSequentialTest(), brakedAt: undefined }
        tests.set(key, state)
      }
      if (state.brakedAt !== undefined) return false
      state.test.add(
        [{ exceedances: failed ? 1 : 0, trials: 1, nullRate: NULL_RATE, alternativeRate: ALTERNATIVE_RATE }]
      )
      if (!state.test.worse()) return false
      state.brakedAt = now
      return true
    },
    isBraked (model, version, now) {
      return [...tests.values()].some(
        state => state.model === model && state.version === version && active(state.brakedAt, now)
      )
    },
    isRouteBraked: (model, version, route, now) => active(tests.get(keyOf(model, version, route))?.brakedAt, now),
    forget (model) {
      for (const [key, state] of tests) if (state.model === model) tests.delete(key)
    }
  }
}

function keyOf (model: string, version: string, route: string): string {
  return `${model}\n${version}\n${route}`
}
