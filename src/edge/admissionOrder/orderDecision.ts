/** Decides whether one request for the engines is admitted now, held for a moment, or refused with a time to return. */
import type { MonotonicMilliseconds } from '../../types'
import type { Demand } from './demand'
import type { ServiceGroups } from './groups'
import { longestHold } from './hold'
import { admittedPart, timeToRecovery, type ExpectedWait } from './overload'
import { admissionProbability } from './requestShare'
import { retryTime } from './retryTime'
import { allocateShares, type GroupWithDemand } from './shares'
import { RefusalReason, type OrderDecision, type OrderedRequest } from './types'

export interface OrderCircumstances {
  groups: ServiceGroups
  /** Demand of all instances, or of this one if the others are not known. */
  demand: Demand
  /** Expected wait of a request of the usual size of the service. */
  wait: ExpectedWait
  /** Milliseconds until an engine could begin this request, which may need more room. */
  ownStart: number
  /** Latency target in milliseconds that belongs to the wait. */
  waitTarget: number
  /** When the request was first held; undefined if it was not. */
  heldSince: MonotonicMilliseconds | undefined
}

/** Returns the groups of the service that have demand. */
export function groupsWithDemand ({ groups }: ServiceGroups, demand: Demand): GroupWithDemand[] {
  return [...demand].flatMap(([key, groupDemand]) => {
    const group = groups.get(key)
    return group === undefined ? [] : [{ ...group, ...groupDemand }]
  })
}

export function decideOrder (
  request: OrderedRequest, circumstances: OrderCircumstances, now: MonotonicMilliseconds
): OrderDecision {
  const { groups, demand, wait, ownStart, waitTarget, heldSince } = circumstances
  const { cost, age, draw, timeLeft, target } = request
  const part = admittedPart(wait, waitTarget)
  const longest = { ...wait, milliseconds: Math.max(wait.milliseconds, ownStart) }
  const ownPart = admittedPart(longest, waitTarget)
  const explanation = {
    priority: request.priority,
    expectedStart: longest.milliseconds,
    admittedPart: part,
    share: part,
    probability: 1,
    isFleetKnown: wait.isFleetKnown
  }
  if (target <= 0 || ownPart >= 1) return { admitted: true, explanation }
  const claims = groupsWithDemand(groups, demand)
  const share = allocateShares(claims, part).get(request.group) ?? part
  const { cost: groupCost = 0, count = 0 } = demand.get(request.group) ?? {}
  const probability = admissionProbability(share, {
    cost, meanCost: count > 0 ? groupCost / count : 0, age, fit: ownPart / part
  })
  Object.assign(explanation, { share, probability })
  const recovery = timeToRecovery(longest, waitTarget)
  const retryAfter = retryTime({ recovery, share, timeLeft, draw: request.retryDraw })
  if (wait.isFleetKnown && longest.milliseconds >= timeLeft) {
    return { admitted: false, reason: RefusalReason.timeLeft, retryAfter, holdFor: 0, explanation }
  }
  if (draw < probability) return { admitted: true, explanation }
  const holdFor = longestHold(recovery, target, heldSince, now)
  return { admitted: false, reason: RefusalReason.share, retryAfter, holdFor, explanation }
}
