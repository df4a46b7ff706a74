/** Counts a request for those with which it shares the heap and the connections to upstreams. */
import type { HeldRequest } from '../../http/memoryAccount/account'
import { REJECTED_GROUP, requestGroup, shareRetryAfter, type RefusedShare } from '../../http/memoryAccount/requestGroups'
import type { ShareDecision } from '../../http/memoryAccount/requestShares'
import type { MonotonicMilliseconds } from '../../types'
import type { Rejection } from '../callerResponse'
import type { CallerRequest, EdgeCustomer } from '../types'

/** Bytes that the objects of one prompt segment use. */
const SEGMENT_OBJECT_BYTES = 128

/** Reason in the log for a request that was refused because others of its group use too much. */
export const SHARE_EXCEEDED = 'share of requests in progress'

export interface ExchangeShare {
  /** Counts the request for its customer. Returns why it may not be in progress; undefined if it may. */
  join: (customer: EdgeCustomer | undefined) => RefusedShare | undefined
  /** Counts the request for those that are refused. Returns why its body may not be waited for; undefined if it may. */
  joinRejected: () => RefusedShare | undefined
  /** Returns why the request may not be forwarded; undefined if it may. */
  forward: () => RefusedShare | undefined
}

/** @param held account of the request; without one, everything is permitted */
export function createExchangeShare (
  held: HeldRequest | undefined, { promptSegments }: Pick<CallerRequest, 'promptSegments'>, now: () => MonotonicMilliseconds
): ExchangeShare {
  held?.addObjects(promptSegments.length * SEGMENT_OBJECT_BYTES, now())

  function refusalOf (decision: ShareDecision | undefined): RefusedShare | undefined {
    return decision?.admitted === false ? decision : undefined
  }

  return {
    join: (customer) => refusalOf(held?.join(requestGroup(customer?.name), now())),
    joinRejected: () => refusalOf(held?.join(REJECTED_GROUP, now())),
    forward: () => refusalOf(held?.forward(now()))
  }
}

/** Returns the refusal of a request that has not run. */
export function describeShareRefusal (refusal: RefusedShare): Rejection {
  return {
    status: 503, code: 'overloaded', message: 'too many requests are in progress', retryAfter: shareRetryAfter(refusal)
  }
}
