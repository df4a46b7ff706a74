/**
 * Circuit breaker for versions under rollout. When this instance's own requests on a new version clearly fail, the
 * instance immediately stops sending requests to that version, without waiting for the leader. Samples report an open
 * circuit breaker in the field `braked`.
 */
import type { MonotonicMilliseconds } from '../types'
import { createSequentialTest, type SequentialTest } from './sequentialTest'

/** Failure rate at which the circuit stays closed: an engine crash makes some requests fail on every version. */
const NULL_RATE = 0.05
/** Failure rate that indicates a faulty version. */
const ALTERNATIVE_RATE = 0.5
/**
 * Time in milliseconds for which the circuit stays open unless the rollout ends earlier. A burst of failures with
 * another cause is over by then.
 */
export const OPEN_DURATION_MS = 10_000

export interface VersionCircuitBreaker {
  /** Records the outcome of a request on a version under rollout. Returns true when this opens the circuit. */
  record: (model: string, version: string, route: string, failed: boolean, now: MonotonicMilliseconds) => boolean
  /** Returns whether the circuit of any route of the version is open. */
  isOpen: (model: string, version: string, now: MonotonicMilliseconds) => boolean
  /** Returns whether the circuit of this route is open; reported in the samples. */
  isOpenForRoute: (model: string, version: string, route: string, now: MonotonicMilliseconds) => boolean
  /** Discards the state of all versions of a model whose rollout has ended. */
  reset: (model: string) => void
}

export function createVersionCircuitBreaker (): VersionCircuitBreaker {
  const tests = new Map<string, {
    model: string, version: string, test: SequentialTest, openedAt: MonotonicMilliseconds | undefined
  }>()

  function isOpenAt (openedAt: MonotonicMilliseconds | undefined, now: MonotonicMilliseconds): boolean {
    return openedAt !== undefined && now - openedAt < OPEN_DURATION_MS
  }

  return {
    record (model, version, route, failed, now) {
      const key = keyOf(model, version, route)
      let state = tests.get(key)
      if (state === undefined || (state.openedAt !== undefined && !isOpenAt(state.openedAt, now))) {
        state = { model, version, test: createSequentialTest(), openedAt: undefined }
        tests.set(key, state)
      }
      if (state.openedAt !== undefined) return false
      state.test.add(
        [{ exceedances: failed ? 1 : 0, trials: 1, nullRate: NULL_RATE, alternativeRate: ALTERNATIVE_RATE }]
      )
      if (!state.test.isWorse()) return false
      state.openedAt = now
      return true
    },
    isOpen (model, version, now) {
      return [...tests.values()].some(
        state => state.model === model && state.version === version && isOpenAt(state.openedAt, now)
      )
    },
    isOpenForRoute: (model, version, route, now) => isOpenAt(tests.get(keyOf(model, version, route))?.openedAt, now),
    reset (model) {
      for (const [key, state] of tests) if (state.model === model) tests.delete(key)
    }
  }
}

function keyOf (model: string, version: string, route: string): string {
  return `${model}\n${version}\n${route}`
}
