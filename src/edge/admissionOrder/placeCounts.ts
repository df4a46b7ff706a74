/**
 * Tells from the calls of all instances in flight whether the plain upstreams of a service are full.
 *
 * Load behind this: a few upstreams with few places and a short queue each serve many instances, and each instance sees
 * only its own calls. By these alone, calls are turned away at one upstream while another has room.
 */
import type { MonotonicMilliseconds } from '../../types'
import { expectedUse } from '../engineRoom/engineUse'
import { currentWait, isFleetLoadKnown, type Upstream, type UpstreamDirectory } from '../upstreamDirectory'

/** Calls that an upstream takes for each place, the queued ones included, while none was turned away. */
const CALLS_PER_PLACE = 5
/** Milliseconds for which the count at which an upstream turned a call away is taken for its limit. */
const LIMIT_VALIDITY_MS = 1000
/** Urgency under which waits of calls are observed. */
const CALL_URGENCY = 0

export interface PlaceCounts {
  /** Returns the calls in flight at an upstream, of all instances if they are known. */
  inFlight: (upstream: Upstream, now: MonotonicMilliseconds) => number
  /** Records that an upstream turned a call away because it is full. */
  recordTurnedAway: (upstream: Upstream, now: MonotonicMilliseconds) => void
  /** Returns the milliseconds until places become free if all upstreams of the service are full; undefined otherwise. */
  fullFor: (service: string, now: MonotonicMilliseconds) => number | undefined
}

/** Whether the upstream is a plain service; engines have weights. */
function isPlain ({ weights }: Upstream): boolean {
  return weights.size === 0
}

export function createPlaceCounts (directory: Pick<UpstreamDirectory, 'listed'>): PlaceCounts {
  const limits = new WeakMap<Upstream, { calls: number, at: MonotonicMilliseconds }>()

  function inFlight (upstream: Upstream, now: MonotonicMilliseconds): number {
    return expectedUse(upstream, now).requests
  }

  function isFull (upstream: Upstream, now: MonotonicMilliseconds): boolean {
    const { slots } = upstream.entry
    const learned = limits.get(upstream)
    const calls = inFlight(upstream, now)
    if (learned === undefined || now - learned.at >= LIMIT_VALIDITY_MS) return calls >= slots * CALLS_PER_PLACE
    // An upstream that turned a call away a moment ago is paused, and its count may be a little too low.
    const isPaused = now < upstream.pausedUntil && calls >= slots / 2
    return isPaused || calls >= Math.max(slots, learned.calls)
  }

  return {
    inFlight,
    recordTurnedAway (upstream, now) {
      if (isFleetLoadKnown(upstream, now)) limits.set(upstream, { calls: inFlight(upstream, now), at: now })
    },
    fullFor (service, now) {
      const upstreams = directory.listed(service)
      const areFull = upstreams.length > 0 && upstreams.every((upstream) => (
        isPlain(upstream) && isFleetLoadKnown(upstream, now) && isFull(upstream, now)
      ))
      if (!areFull) return undefined
      // A call waits for those ahead of it, so half of the places have turned over after half of the wait.
      return Math.min(...upstreams.map((upstream) => currentWait(upstream, CALL_URGENCY, now))) / 2
    }
  }
}
