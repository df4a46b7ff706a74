/** Decides how long a request is held at the instance before it is decided again. */
import type { MonotonicMilliseconds } from '../../types'

/** Part of its latency target for which a request is held at most; then it is admitted or refused. */
const HOLD_PART = 1 / 8

/**
 * Returns the milliseconds for which the request is held, or 0 if it is refused now because room is not expected in time.
 * @param recovery milliseconds until room is expected
 * @param target latency target in milliseconds
 * @param heldSince when the request was first held; undefined if it was not
 */
export function longestHold (
  recovery: number, target: number, heldSince: MonotonicMilliseconds | undefined, now: MonotonicMilliseconds
): number {
  const remaining = (heldSince ?? now) + target * HOLD_PART - now
  return recovery > 0 && recovery <= remaining ? recovery : 0
}
