/** Decides whether a call of a plain service is sent now, held for a moment, or refused because all places are taken. */
import type { MonotonicMilliseconds } from '../../types'
import { longestHold } from './hold'
import { retryTime } from './retryTime'
import { RefusalReason, type OrderDecision, type OrderedRequest } from './types'

/** Part of the callers that find a place when they come back; the others' calls compete for the same places. */
const RETURN_SHARE = 0.5
/** Least time in milliseconds for which a call is held; a call of a plain service may end within it. */
const MIN_HOLD_MS = 10

/** @param fullFor milliseconds until places become free; undefined while some upstream has one */
export function decidePlaces (
  request: OrderedRequest, fullFor: number | undefined, heldSince: MonotonicMilliseconds | undefined,
  now: MonotonicMilliseconds
): OrderDecision {
  const isAdmitted = fullFor === undefined
  const explanation = {
    priority: request.priority,
    expectedStart: fullFor ?? 0,
    admittedPart: isAdmitted ? 1 : 0,
    share: isAdmitted ? 1 : 0,
    probability: isAdmitted ? 1 : 0,
    isFleetKnown: !isAdmitted
  }
  if (isAdmitted) return { admitted: true, explanation }
  return {
    admitted: false,
    reason: RefusalReason.places,
    retryAfter: retryTime({
      recovery: fullFor, share: RETURN_SHARE, timeLeft: request.timeLeft, draw: request.retryDraw
    }),
    holdFor: longestHold(Math.max(MIN_HOLD_MS, fullFor), request.target, heldSince, now),
    explanation
  }
}
