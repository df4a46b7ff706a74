/** Applies the admission order to one request: describes it to the order, and holds it for a short time. */
import type { MonotonicMilliseconds } from '../../types'
import { EdgeEvent } from '../events'
import type { AdmittedRequest, ExchangeContext } from '../exchangeContext'
import { RepeatRule } from '../types'
import { admissionPriority, groupKey } from './groups'
import { longestHold } from './hold'
import type { HeldRequest } from './holdQueue'
import { decidePlaces } from './placeDecision'
import { retryTime } from './retryTime'
import { RefusalReason, type OrderDecision, type OrderedRequest } from './types'

/** Largest age that is derived from a short time budget; callers that come back have used up to a third of theirs. */
const MAX_AGE = 0.5

/** Milliseconds for which a request is held that has given its place to a more urgent one. */
const YIELD_MS = 10

export interface RequestOrder {
  /** Whether the settings ask for the order. */
  isInForce: boolean
  /** Whether the order decides on the request; not on one that resumes a stream. */
  isOrdered: boolean
  /** With a time to hold it in the decision, the request is held, and is decided again after that time or `onPlace`. */
  decide: (now: MonotonicMilliseconds) => OrderDecision
  /** Ends the hold of a request that has ended. */
  leave: () => void
}

/** @param onPlace called when the request, while it is held, gets a place before a less urgent one */
export function createRequestOrder (
  context: Pick<ExchangeContext, 'admissionOrder' | 'log' | 'random'>,
  { callerRequest, customer, plan, route, service }: AdmittedRequest, timeLeft: () => number, onPlace: () => void
): RequestOrder {
  const { admissionOrder } = context
  const isStream = route.repeat === RepeatRule.stream
  const priority = admissionPriority(route, customer)
  const draw = context.random()
  const retryDraw = context.random()
  let request: OrderedRequest | undefined
  let heldSince: MonotonicMilliseconds | undefined
  let held: HeldRequest | undefined
  let hasPlace = false

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

  function leave (): void {
    if (held === undefined) return
    admissionOrder!.holds.remove(held)
    held = undefined
  }

  function hold (milliseconds: number, age: number, now: MonotonicMilliseconds): void {
    if (heldSince === undefined) {
      context.log(EdgeEvent.requestHeld, {
        requestIdentifier: callerRequest.identifier ?? '', service, priority, wait: Math.round(milliseconds)
      })
    }
    heldSince ??= now
    held = {
      service,
      priority,
      age,
      givePlace () {
        hasPlace = true
        leave()
        onPlace()
      }
    }
    admissionOrder!.holds.add(held)
  }

  /** Gives the place of the request to a more urgent one that is held, if the request can wait a little instead. */
  function yieldPlace (
    decision: OrderDecision & { admitted: true }, { target, retryDraw }: OrderedRequest, now: MonotonicMilliseconds
  ): OrderDecision {
    const first = admissionOrder!.holds.firstBefore(service, priority)
    const holdFor = first === undefined ? 0 : longestHold(YIELD_MS, target, heldSince, now)
    if (first === undefined || holdFor === 0) return decision
    first.givePlace()
    const { explanation } = decision
    const retryAfter = retryTime({
      recovery: YIELD_MS, share: explanation.share, timeLeft: timeLeft(), draw: retryDraw
    })
    return { admitted: false, reason: RefusalReason.share, retryAfter, holdFor, explanation }
  }

  return {
    isInForce: admissionOrder !== undefined,
    isOrdered: admissionOrder !== undefined && callerRequest.resumeAfter === undefined,
    decide (now) {
      leave()
      const ordered = current(now)
      const decided = isStream
        ? admissionOrder!.decide(ordered, heldSince, now)
        : decidePlaces(ordered, admissionOrder!.places.fullFor(service, now), heldSince, now)
      if (hasPlace) return { admitted: true, explanation: decided.explanation }
      const decision = decided.admitted ? yieldPlace(decided, ordered, now) : decided
      if (!decision.admitted && decision.holdFor > 0) hold(decision.holdFor, ordered.age, now)
      return decision
    },
    leave
  }
}
