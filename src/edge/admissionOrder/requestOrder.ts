/** Applies the admission order to one request: describes it to the order, and holds it for a short time. */
import type { MonotonicMilliseconds } from '../../types'
import type { AdmittedRequest, ExchangeContext } from '../exchangeContext'
import { RepeatRule } from '../types'
import { admissionPriority, groupKey } from './groups'
import type { OrderDecision, OrderedRequest } from './types'

/** Largest age that is derived from a short time budget; callers that come back have used up to a third of theirs. */
const MAX_AGE = 0.5

export interface RequestOrder {
  /** Whether the order decides on requests of this kind. */
  isOrdered: boolean
  decide: (now: MonotonicMilliseconds) => OrderDecision
}

export function createRequestOrder (
  context: Pick<ExchangeContext, 'admissionOrder' | 'random'>,
  { callerRequest, customer, plan, route, service }: AdmittedRequest, timeLeft: () => number
): RequestOrder {
  const { admissionOrder } = context
  const priority = admissionPriority(route, customer)
  const group = groupKey(service, priority, customer?.name)
  const cost = plan.promptTokens + (callerRequest.tokens?.output ?? 0)
  const draw = context.random()
  const retryDraw = context.random()
  let age: number | undefined
  let heldSince: MonotonicMilliseconds | undefined

  function describe (): OrderedRequest {
    const remaining = timeLeft()
    age ??= Math.min(MAX_AGE, admissionOrder!.observeBudget(route.name, remaining))
    return { service, group, priority, cost, target: route.latencyTarget, timeLeft: remaining, age, draw, retryDraw }
  }

  return {
    isOrdered: admissionOrder !== undefined && route.repeat === RepeatRule.stream &&
      callerRequest.resumeAfter === undefined,
    decide (now) {
      const isFirst = age === undefined
      const request = describe()
      if (isFirst) admissionOrder!.record(request, now)
      const decision = admissionOrder!.decide(request, heldSince, now)
      if (!decision.admitted && decision.holdFor > 0) heldSince ??= now
      return decision
    }
  }
}
