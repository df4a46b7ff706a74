/** The leader's lease on a rollout record, as seen by one instance. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { MonotonicMilliseconds } from '../types'

/** Duration of the lease. */
export const LEADER_LEASE_MS = 5000
/** The holder renews when less than this is left, so that two renewals may fail. */
export const RENEW_BELOW_MS = 3500
/** Added by the others to the lease before they take over. */
export const LEASE_MARGIN_MS = 1000

export interface LeaseWatch {
  /** Notes what a read showed. */
  observe: (model: string, leader: string, step: number, now: MonotonicMilliseconds) => void
  /** Notes a renewal whose request was sent at `sentAt`. */
  renewed: (model: string, sentAt: MonotonicMilliseconds) => void
  /** End of the lease that this instance holds itself; undefined when it holds none. */
  heldUntil: (model: string) => MonotonicMilliseconds | undefined
  release: (model: string) => void
  /** True when the record has stood unchanged for so long that its holder's lease has lapsed on any clock. */
  lapsed: (model: string, now: MonotonicMilliseconds) => boolean
}

export function createLeaseWatch (): LeaseWatch {
  const seen = new Map<string, { leader: string, step: number, since: MonotonicMilliseconds }>()
  const held = new Map<string, MonotonicMilliseconds>()
  return {
    observe (model, leader, step, now) {
      const present = seen.get(model)
      if (present?.leader === leader && present.step === step) return
      seen.set(model, { leader, step, since: now })
    },
    renewed (model, sentAt) {
      held.set(model, sentAt + LEADER_LEASE_MS * (1 - CLOCK_DRIFT_BOUND))
    },
    heldUntil: model => held.get(model),
    release (model) {
      held.delete(model)
    },
    lapsed (model, now) {
      const present = seen.get(model)
      return present !== undefined && now - present.since > LEADER_LEASE_MS * (1 + CLOCK_DRIFT_BOUND) + LEASE_MARGIN_MS
    }
  }
}
