/**
 * Prefers warm upstreams to cold ones.
 *
 * Load pattern: a cold upstream answers slowly and has no queue, so that it ranks first among busy ones. Each request that
 * it gets takes one of its few permits, which later requests may need more.
 */
import type { MonotonicMilliseconds } from '../../types'
import { currentWait, type Upstream } from '../upstreamDirectory'

/** Share of the latency target from which the wait at a warm upstream makes a cold one the better choice. */
const WORSE_WAIT_SHARE = 0.5

export interface WarmPreferenceOptions {
  isCold: (upstream: Upstream) => boolean
  /** Scheduling rank of the request; 0 is the most urgent. */
  urgency: number
  /** Latency target in milliseconds; 0 if there is none. */
  latencyTarget: number
}

/**
 * Returns the placement of the request, at a warm upstream if one serves it soon enough; undefined without candidates.
 * @param place returns the best placement among upstreams; undefined if there are none
 */
export function preferWarm<Placement extends { upstream: Upstream }> (
  candidates: readonly Upstream[], place: (among: readonly Upstream[]) => Placement | undefined,
  { isCold, urgency, latencyTarget }: WarmPreferenceOptions, now: MonotonicMilliseconds
): Placement | undefined {
  const first = place(candidates)
  if (first === undefined || !isCold(first.upstream)) return first
  const longestWait = latencyTarget > 0 ? latencyTarget * WORSE_WAIT_SHARE : Infinity
  return place(candidates.filter((upstream) => (
    !isCold(upstream) && now >= upstream.suspectedUntil && currentWait(upstream, urgency, now) <= longestWait
  ))) ?? first
}
