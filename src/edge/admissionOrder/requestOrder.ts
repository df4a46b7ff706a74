/** Applies the admission order to one request: describes it to the order, and holds it for a short time. */
import type { MonotonicMilliseconds } from '../../types'
import type { AdmittedRequest, ExchangeContext } from '../exchangeContext'
import { RepeatRule } from '../types'
import { admissionPriority, groupKey } from './groups'
import { decidePlaces } from './placeDecision'
import type { OrderDecision, OrderedRequest } from './types'

/** Largest age that is derived from a short time budget; callers that come back have used up to a third of theirs. */
const MAX_AGE = 0.5

export interface RequestOrder {
  /** Whether the settings ask for the order. */
  isInForce: boolean
  /** Whether the order decides on the request; not on one that resumes a stream. */
  isOrdered: boolean
  decide: (now: MonotonicMilliseconds) => OrderDecision
}

export function createRequestOrder (
  context: Pick<ExchangeContext, 'admissionOrder' | 'random'>,
  { callerRequest, customer, plan, route, service }: AdmittedRequest, timeLeft: () => number
): RequestOrder {
  const { admissionOrder } = context
  const isStream = route.repeat === RepeatRule.stream
  const priority = admissionPriority(route, customer)
  const draw = context.random()
  const retryDraw = context.random()
  let request: OrderedRequest | undefined
  let heldSince: MonotonicMilliseconds | undefined

  function describe (): OrderedRequest {
    const remaining = timeLeft()
    return {
      service,
      group: groupKey(service, priority, customer?.name),
      priority,
      cost: plan.promptTokens + (callerRequest.tokens?.output ?? 0),
      target: route.latencyTarget,
      timeLeft: remaining,
      age: Math.min(MAX_AGE, admissionOrder!.observeBudget(route.name, remaining)),
      draw,
      retryDraw
    }
  }

  /** Returns the request as it is now; records it at the first call. */
  function current (now: MonotonicMilliseconds): OrderedRequest {
    if (request === undefined) {
      request = describe()
      if (isStream) admissionOrder!.record(request, now)
    }
    return { ...request, timeLeft: timeLeft() }
  }

  return {
    isInForce: admissionOrder !== undefined,
    isOrdered: admissionOrder !== undefined && callerRequest.resumeAfter === undefined,
    decide (now) {
      const decision = isStream
        ? admissionOrder!.decide(current(now), heldSince, now)
        : decidePlaces(current(now), admissionOrder!.places.fullFor(service, now), heldSince, now)
      if (!decision.admitted && decision.holdFor > 0) heldSince ??= now
      return decision
    }
  }
}
