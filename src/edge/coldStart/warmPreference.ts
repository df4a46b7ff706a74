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
 * Returns the upstream for the request; undefined without candidates.
 * @param ranked candidates, the best one first
 */
export function preferWarm (
  ranked: readonly Upstream[], { isCold, urgency, latencyTarget }: WarmPreferenceOptions, now: MonotonicMilliseconds
): Upstream | undefined {
  const [first] = ranked
  if (first === undefined || !isCold(first)) return first
  const longestWait = latencyTarget > 0 ? latencyTarget * WORSE_WAIT_SHARE : Infinity
  return ranked.find((upstream) => (
    !isCold(upstream) && now >= upstream.suspectedUntil && currentWait(upstream, urgency, now) <= longestWait
  )) ?? first
}
