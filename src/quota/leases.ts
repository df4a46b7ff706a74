/** Lease lengths of grants, and the evidence required to reclaim the grant of another instance. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import { LOAN_LIFETIME_BOUND_MS } from './loans'
import { GrantTier } from './types'
import type { Grant } from './types'

/** Milliseconds for which a grant of each tier is valid after its renewal. */
export type LeaseLengths = Readonly<Record<GrantTier, number>>

/** The lease of the floor tier outlasts a platform outage of one hour. */
export const LEASE_MS: LeaseLengths = {
  [GrantTier.floor]: 2 * 3600 * 1000,
  [GrantTier.pool]: 30 * 1000
}

/** Milliseconds that an observer waits beyond the drift-corrected lease before it reclaims a grant. */
export const RECLAIM_MARGIN_MS = 1000

/** Milliseconds after an observed renewal during which the holder is considered live: three renewal intervals. */
const LIVENESS_WINDOW_MS = 30 * 1000

/** Returns the expiry on the holder's clock of a lease renewed at `sentAt`, shortened by the drift bound. */
export function leaseExpiry (
  length: number, sentAt: MonotonicMilliseconds, driftBound = CLOCK_DRIFT_BOUND
): MonotonicMilliseconds {
  return sentAt + length / (1 + driftBound)
}

export interface LeaseTracker {
  /**
   * Records the grants of a row that was read. `now` must be taken after the response of the read: a renewal that the
   * row shows was sent before then.
   */
  observe: (grants: readonly Grant[], now: MonotonicMilliseconds) => void
  /** Records the incarnation of a process known to run at an address, for example from the handshake of a peer. */
  observeIncarnation: (address: string, incarnation: Incarnation, now: MonotonicMilliseconds) => void
  /** Returns whether it is proven that the grant is no longer in use and that all loans given from it have ended. */
  isReclaimable: (grant: Grant, now: MonotonicMilliseconds) => boolean
  /** Returns when the grant becomes reclaimable if nothing changes; Infinity for a grant that was not observed. */
  reclaimableAt: (grant: Grant) => MonotonicMilliseconds
  /** Returns whether a renewal of the grant was observed within the last 30 s. */
  isRecentlyRenewed: (grant: Grant, now: MonotonicMilliseconds) => boolean
}

interface Observation {
  sequence: number
  /** When this sequence was first observed. */
  since: MonotonicMilliseconds
  /** Whether the sequence has been seen to change; an unchanged one may belong to a holder that has ended. */
  changed: boolean
}

export function createLeaseTracker (driftBound = CLOCK_DRIFT_BOUND, leases: LeaseLengths = LEASE_MS): LeaseTracker {
  let observations = new Map<string, Observation>()
  const incarnations = new Map<string, { incarnation: Incarnation, since: MonotonicMilliseconds }>()

  function observeIncarnation (address: string, incarnation: Incarnation, now: MonotonicMilliseconds): void {
    const known = incarnations.get(address)
    if (known === undefined || known.incarnation < incarnation) incarnations.set(address, { incarnation, since: now })
  }

  function reclaimableAt (grant: Grant): MonotonicMilliseconds {
    const observation = observations.get(keyOf(grant))
    const unchangedSince = observation?.sequence === grant.sequence ? observation.since : Infinity
    const leaseEndsAt = unchangedSince + leases[grant.tier] * (1 + driftBound) + RECLAIM_MARGIN_MS
    // A newer process proves that the holder has ended, but peers may still use loans that it gave shortly before.
    const newerProcess = incarnations.get(grant.address)
    if (newerProcess === undefined || newerProcess.incarnation <= grant.incarnation) return leaseEndsAt
    return Math.min(leaseEndsAt, newerProcess.since + LOAN_LIFETIME_BOUND_MS)
  }

  return {
    observe (grants, now) {
      const next = new Map<string, Observation>()
      for (const grant of grants) {
        const key = keyOf(grant)
        const known = observations.get(key)
        next.set(key, known?.sequence === grant.sequence
          ? known
          : { sequence: grant.sequence, since: now, changed: known !== undefined })
        observeIncarnation(grant.address, grant.incarnation, now)
      }
      observations = next
    },
    observeIncarnation,
    reclaimableAt,
    isReclaimable: (grant, now) => now >= reclaimableAt(grant),
    isRecentlyRenewed (grant, now) {
      const observation = observations.get(keyOf(grant))
      return observation?.changed === true && now - observation.since < LIVENESS_WINDOW_MS
    }
  }
}

function keyOf (grant: Grant): string {
  return `${grant.instance}\n${grant.incarnation}\n${grant.tier}`
}
