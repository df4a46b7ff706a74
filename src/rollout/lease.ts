/** Tracks the leader leases on rollout records, as observed by one instance. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'

/** Duration of the lease in milliseconds. */
export const LEADER_LEASE_MS = 5000
/** Remaining lease time in milliseconds below which the lease holder renews; it leaves time for two failed renewals. */
export const RENEW_BELOW_MS = 3500
/** Time in milliseconds that other instances wait beyond the end of a lease before they take over. */
export const TAKEOVER_MARGIN_MS = 1000

export interface LeaseTracker {
  /** Records the leader and step of a record that was read from the table or written. */
  observe: (model: string, leader: string, step: number, now: MonotonicMilliseconds) => void
  /** Records a successful renewal whose request was sent at `sentAt`. */
  recordRenewal: (model: string, sentAt: MonotonicMilliseconds) => void
  /** Returns the end of the lease that this instance holds, or undefined when it holds none. */
  heldUntil: (model: string) => MonotonicMilliseconds | undefined
  release: (model: string) => void
  /** Returns whether the record has been unchanged for so long that its leader's lease has expired on any clock. */
  hasExpired: (model: string, now: MonotonicMilliseconds) => boolean
}

export function createLeaseTracker (): LeaseTracker {
  const seen = new Map<string, { leader: string, step: number, since: MonotonicMilliseconds }>()
  const held = new Map<string, MonotonicMilliseconds>()
  return {
    observe (model, leader, step, now) {
      const current = seen.get(model)
      if (current?.leader === leader && current.step === step) return
      seen.set(model, { leader, step, since: now })
    },
    recordRenewal (model, sentAt) {
      held.set(model, sentAt + LEADER_LEASE_MS * (1 - CLOCK_DRIFT_BOUND))
    },
    heldUntil: model => held.get(model),
    release (model) {
      held.delete(model)
    },
    hasExpired (model, now) {
      const current = seen.get(model)
      return current !== undefined &&
        now - current.since > LEADER_LEASE_MS * (1 + CLOCK_DRIFT_BOUND) + TAKEOVER_MARGIN_MS
    }
  }
}
