/**
 * Refuses some requests while the engines cannot keep up.
 *
 * Load pattern: engines are lost or load weights while callers go on asking. Without refusals every request waits at the
 * engines until its caller gives up, and none is answered in time. With them, the wait settles near the latency target
 * and the requests that are let in are answered in time. The share that is refused grows with the wait, since instances
 * see waits late and a sharp limit would make all of them refuse and admit together.
 */

/** Part of the latency target from which some requests are refused, so that the wait settles below the target. */
const START = 0.6
/** Part of the latency target over which the share grows from none to all. */
const RANGE = 0.6
/** Largest share that is refused; the rest shows when the wait is over. */
const LARGEST_SHARE = 0.8

export type Shedding = { shed: false } | { shed: true, retryAfter: number }

/**
 * @param expectedWait milliseconds to the first byte
 * @param target milliseconds to the first byte that are still good
 * @param draw uniform in [0, 1)
 */
export function decideShedding (expectedWait: number, target: number, draw: number): Shedding {
  if (target <= 0 || expectedWait <= target * START) return { shed: false }
  const share = Math.min(LARGEST_SHARE, (expectedWait / target - START) / RANGE)
  return draw < share ? { shed: true, retryAfter: expectedWait } : { shed: false }
}
