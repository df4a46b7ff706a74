/**
 * Decides which other data centres get no requests because they are cut off.
 *
 * Load behind this decision: a data centre is cut off, or half of its upstreams or one direction of its links are. Each
 * request sent there waits for a connection without success, and an unsafe call may run without an answer.
 */
import type { MonotonicMilliseconds, RandomSource } from '../../types'
import type { Upstream } from '../upstreamDirectory'

/** Fraction of the upstreams that must be unreachable: half of a data centre may be cut off, a quarter may be down. */
const MIN_LOST_FRACTION = 0.5
/** Milliseconds since the last byte from an upstream, or since the pause after its last failure, that count. */
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
/** Milliseconds after the end of a closure within which one failure closes the data centre again, for longer. */
const RECURRENCE_MS = 2000

/** Share of the requests that may go to a data centre in that time; they show whether it can be reached again. */
const TRIAL_SHARE = 0.2

interface Closure {
  until: MonotonicMilliseconds
  doublings: number
}

export interface Reachability {
  /** Updates the state of a data centre from all its listed upstreams; returns whether it was closed by this. */
  update: (dataCentre: string, upstreams: readonly Upstream[], now: MonotonicMilliseconds) => boolean
  isClosed: (dataCentre: string, now: MonotonicMilliseconds) => boolean
  /**
   * Whether a request that can also go elsewhere may go to a data centre, which was closed until a moment ago perhaps.
   * @param draw uniform in [0, 1)
   */
  accepts: (dataCentre: string, draw: number, now: MonotonicMilliseconds) => boolean
}

function hasFailed ({ failures, pausedUntil }: Upstream, now: MonotonicMilliseconds): boolean {
  return failures > 0 && now - pausedUntil < EVIDENCE_MS
}

/**
 * Whether enough of a data centre's upstreams are lost: of those that this instance tried lately, or of all by the word
 * of other instances as well. These report failures and no successes, so their word counts only against all upstreams.
 */
function isCutOff (upstreams: readonly Upstream[], now: MonotonicMilliseconds): boolean {
  const failed = upstreams.filter((upstream) => hasFailed(upstream, now))
  const lost = upstreams.filter((upstream) => hasFailed(upstream, now) || now < upstream.suspectedUntil)
  const reached = upstreams.filter((upstream) => (
    !hasFailed(upstream, now) && now - upstream.lastActivityAt < EVIDENCE_MS
  ))
  const enough = Math.max(1, Math.min(MIN_LOST, upstreams.length))
  return (lost.length >= enough && lost.length >= upstreams.length * MIN_LOST_FRACTION) ||
    (failed.length >= enough && failed.length >= (failed.length + reached.length) * MIN_LOST_FRACTION)
}

export function createReachability (random: RandomSource): Reachability {
  const closures = new Map<string, Closure>()
  const isClosed = (dataCentre: string, now: MonotonicMilliseconds): boolean => (
    now < (closures.get(dataCentre)?.until ?? -Infinity)
  )
  return {
    isClosed,
    accepts (dataCentre, draw, now) {
      const openSince = now - (closures.get(dataCentre)?.until ?? -Infinity)
      return openSince >= RECURRENCE_MS || (openSince >= 0 && draw < TRIAL_SHARE)
    },
    update (dataCentre, upstreams, now) {
      const previous = closures.get(dataCentre)
      if (isClosed(dataCentre, now)) return false
      const isRecurrent = previous !== undefined && now - previous.until < RECURRENCE_MS
      const failsAgain = isRecurrent && upstreams.some((upstream) => (
        hasFailed(upstream, now) && upstream.pausedUntil > previous.until
      ))
      if (!failsAgain && !isCutOff(upstreams, now)) return false
      const doublings = isRecurrent ? Math.min(MAX_DOUBLINGS, previous.doublings + 1) : 0
      const duration = (MIN_CLOSED_MS + random() * (MAX_CLOSED_MS - MIN_CLOSED_MS)) * 2 ** doublings
      closures.set(dataCentre, { until: now + duration, doublings })
      return true
    }
  }
}
