/**
 * Decides which other data centres get no requests because they are cut off.
 *
 * Load behind this decision: a data centre is cut off, or half of its upstreams or one direction of its links are. Each
 * request sent there waits for a connection without success, and an unsafe call may run without an answer.
 */
import type { MonotonicMilliseconds, RandomSource } from '../../types'
import type { Upstream } from '../upstreamDirectory'

/** Fraction of the upstreams with recent evidence that must be unreachable: half of a data centre may be cut off. */
const MIN_LOST_FRACTION = 0.5
/** Milliseconds since the last byte from an upstream for which it counts as reachable. */
const EVIDENCE_MS = 1000
/** Number of upstreams that must be unreachable; a single one may have crashed. */
const MIN_LOST = 2
/**
 * Bounds in milliseconds of how long a data centre is closed. Each instance draws its own duration, so that not all of
 * them try again at the same time; the duration doubles while it is closed again right after.
 */
const MIN_CLOSED_MS = 1500
const MAX_CLOSED_MS = 3000
const MAX_DOUBLINGS = 1
/** Milliseconds after the end of a closure within which the next one doubles. */
const RECURRENCE_MS = 2000

interface Closure {
  until: MonotonicMilliseconds
  doublings: number
}

export interface Reachability {
  /** Updates the state of a data centre from all its listed upstreams; returns whether it was closed by this. */
  update: (dataCentre: string, upstreams: readonly Upstream[], now: MonotonicMilliseconds) => boolean
  isClosed: (dataCentre: string, now: MonotonicMilliseconds) => boolean
}

/** Whether the upstream could not be reached by this instance, or by another one of its data centre. */
function isLost ({ suspectedUntil, failures, pausedUntil }: Upstream, now: MonotonicMilliseconds): boolean {
  return now < suspectedUntil || (failures > 0 && now < pausedUntil)
}

export function createReachability (random: RandomSource): Reachability {
  const closures = new Map<string, Closure>()
  const isClosed = (dataCentre: string, now: MonotonicMilliseconds): boolean => (
    now < (closures.get(dataCentre)?.until ?? -Infinity)
  )
  return {
    isClosed,
    update (dataCentre, upstreams, now) {
      if (isClosed(dataCentre, now)) return false
      const lost = upstreams.filter((upstream) => isLost(upstream, now)).length
      const reached = upstreams.filter((upstream) => (
        !isLost(upstream, now) && now - upstream.lastActivityAt < EVIDENCE_MS
      )).length
      if (lost === 0 || lost < Math.min(MIN_LOST, upstreams.length)) return false
      if (lost < (lost + reached) * MIN_LOST_FRACTION) return false
      const previous = closures.get(dataCentre)
      const isRecurrent = previous !== undefined && now - previous.until < RECURRENCE_MS
      const doublings = isRecurrent ? Math.min(MAX_DOUBLINGS, previous.doublings + 1) : 0
      const duration = (MIN_CLOSED_MS + random() * (MAX_CLOSED_MS - MIN_CLOSED_MS)) * 2 ** doublings
      closures.set(dataCentre, { until: now + duration, doublings })
      return true
    }
  }
}
