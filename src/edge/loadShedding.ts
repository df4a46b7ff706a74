/**
 * Rejects a share of the requests while the engines are overloaded.
 *
 * Load pattern: engines fail or load weights while callers keep sending requests. Without load shedding every request
 * queues at the engines until its caller times out, and none gets a response in time. With it, the wait settles near the
 * latency target and the admitted requests get their responses in time. The rejected share grows with the wait:
 * instances observe waits with a delay, and a hard limit would make all of them reject and admit in unison.
 */

/** Wait, as a fraction of the latency target, from which requests are rejected, so that it settles below the target. */
const START_RATIO = 0.6
/** Range of the wait, as a fraction of the latency target, over which the rejected share grows from 0 to 1. */
const RAMP_RATIO = 0.6
/** Largest share of requests that is rejected; the remaining ones show when the overload has ended. */
const MAX_SHED_SHARE = 0.8

export type SheddingDecision = { shed: false } | { shed: true, retryAfter: number }

/**
 * Decides whether to reject a request.
 * @param expectedWait expected time to first byte in milliseconds
 * @param target latency target for the first byte in milliseconds; 0 disables load shedding
 * @param draw random number, uniform in [0, 1)
 */
export function decideShedding (expectedWait: number, target: number, draw: number): SheddingDecision {
  if (target <= 0 || expectedWait <= target * START_RATIO) return { shed: false }
  const share = Math.min(MAX_SHED_SHARE, (expectedWait / target - START_RATIO) / RAMP_RATIO)
  return draw < share ? { shed: true, retryAfter: expectedWait } : { shed: false }
}
