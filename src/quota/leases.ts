/** Lengths of the grants' leases, and the evidence on which the grant of another instance may be reclaimed. */
import { CLOCK_DRIFT_BOUND } from '../constants'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import { LOAN_SETTLED_MS } from './loans'
import { GrantTier } from './types'
import type { Grant } from './types'

/** Milliseconds for which a grant of each tier is valid after its renewal. */
export type LeaseLengths = Readonly<Record<GrantTier, number>>

/** The floor outlasts an outage of the platform of an hour. */
export const LEASE_MS: LeaseLengths = {
  [GrantTier.floor]: 2 * 3600 * 1000,
  [GrantTier.pool]: 30 * 1000
}

/** Milliseconds that an observer waits beyond the drift-corrected lease. */
export const RECLAIM_MARGIN_MS = 1000

/** Milliseconds after an observed renewal for which the holder counts as live; three renewal intervals. */
const RENEWED_MS = 30 * 1000

/** Expiry on the holder's clock of a lease whose renewal was sent at `sentAt`, shortened by the drift bound. */
export function leaseExpiresAt (
  length: number, sentAt: MonotonicMilliseconds, driftBound = CLOCK_DRIFT_BOUND
): MonotonicMilliseconds {
  return sentAt + length / (1 + driftBound)
}

export interface LeaseWatch {
  /**
   * Takes in the grants of a row that was read. `now` must be taken after the read was answered: a renewal that the
   * read shows was sent before that.
   */
  observe: (grants: readonly Grant[], now: MonotonicMilliseconds) => void
  /** Takes in a process that is known to run at an address, for example from the greeting of a peer. */
  observeIncarnation: (address: string, incarnation: Incarnation, now: MonotonicMilliseconds) => void
  /** True when there is evidence that nobody uses the grant any more, and the loans given from it have ended. */
  isReclaimable: (grant: Grant, now: MonotonicMilliseconds) => boolean
  /** When the grant becomes reclaimable if nothing changes; Infinity for a grant that was not observed. */
  reclaimableAt: (grant: Grant) => MonotonicMilliseconds
  /** True when a renewal of the grant was observed within the last 30 s. */
  isRenewed: (grant: Grant, now: MonotonicMilliseconds) => boolean
}

interface Observation {
  sequence: number
  /** When this sequence was first seen. */
  since: MonotonicMilliseconds
  /** False until the sequence was seen to change; an unchanged one may belong to a holder that has ended. */
  changed: boolean
}

export function createLeaseWatch (driftBound = CLOCK_DRIFT_BOUND, leases: LeaseLengths = LEASE_MS): LeaseWatch {
  let observations = new Map<string, Observation>()
  const incarnations = new Map<string, { incarnation: Incarnation, since: MonotonicMilliseconds }>()

  function observeIncarnation (address: string, incarnation: Incarnation, now: MonotonicMilliseconds): void {
    const known = incarnations.get(address)
    if (known === undefined || known.incarnation < incarnation) incarnations.set(address, { incarnation, since: now })
  }

  function reclaimableAt (grant: Grant): MonotonicMilliseconds {
    const observation = observations.get(keyOf(grant))
    const unchangedSince = observation?.sequence === grant.sequence ? observation.since : Infinity
    const lapsed = unchangedSince + leases[grant.tier] * (1 + driftBound) + RECLAIM_MARGIN_MS
    // A newer process shows that the holder has ended, but peers may still use parts that it lent shortly before.
    const newer = incarnations.get(grant.address)
    if (newer === undefined || newer.incarnation <= grant.incarnation) return lapsed
    return Math.min(lapsed, newer.since + LOAN_SETTLED_MS)
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
    isRenewed (grant, now) {
      const observation = observations.get(keyOf(grant))
      return observation?.changed === true && now - observation.since < RENEWED_MS
    }
  }
}

function keyOf (grant: Grant): string {
  return `${grant.instance}\n${grant.incarnation}\n${grant.tier}`
}
