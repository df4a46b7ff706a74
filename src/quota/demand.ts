/** Estimate of what one customer recently asked of this instance: tokens per second and the largest request. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant of the estimate. It covers several requests of a busy customer and follows a shift within seconds. */
export const DEMAND_TIME_CONSTANT_MS = 3000

/** A lender keeps its recent demand times this factor, so that demand can grow a little before it must borrow. */
export const DEMAND_HEADROOM = 1.25

/** Below this many tokens the estimate is 0; otherwise an idle customer would hold back a little of every loan. */
const NEGLIGIBLE_TOKENS = 0.01

/** Refused requests remembered so that a repeated admission attempt of one request is counted once. */
const REMEMBERED_REFUSALS = 128

export interface Demand {
  /** Decayed sum of offered tokens. */
  sum: number
  /** Decayed size of the largest request. */
  largest: number
  time: MonotonicMilliseconds
  refused: Set<string>
}

export function createDemand (now: MonotonicMilliseconds): Demand {
  return { sum: 0, largest: 0, time: now, refused: new Set() }
}

/** Counts a request that was offered, whether it is admitted or not. */
export function recordOffer (
  demand: Demand, identifier: string, tokens: number, admitted: boolean, now: MonotonicMilliseconds
): void {
  decay(demand, now)
  const repeated = admitted ? demand.refused.delete(identifier) : demand.refused.has(identifier)
  if (!admitted && !repeated) {
    if (demand.refused.size >= REMEMBERED_REFUSALS) demand.refused.clear()
    demand.refused.add(identifier)
  }
  if (repeated) return
  demand.sum += tokens
  demand.largest = Math.max(demand.largest, tokens)
}

/** Tokens per second. */
export function demandRate (demand: Demand, now: MonotonicMilliseconds): number {
  decay(demand, now)
  return demand.sum * 1000 / DEMAND_TIME_CONSTANT_MS
}

/**
 * Tokens per second that the customer asks for steadily: the rate without its two largest requests. A single long prompt
 * is no reason to borrow ahead; when it was one, instances took the whole rate of a customer from each other in turn and
 * 15% of requests inside the rate were refused.
 */
export function sustainedRate (demand: Demand, now: MonotonicMilliseconds): number {
  decay(demand, now)
  return Math.max(0, demand.sum - 2 * demand.largest) * 1000 / DEMAND_TIME_CONSTANT_MS
}

function decay (demand: Demand, now: MonotonicMilliseconds): void {
  if (now <= demand.time) return
  const factor = Math.exp((demand.time - now) / DEMAND_TIME_CONSTANT_MS)
  demand.sum = fade(demand.sum, factor)
  demand.largest = fade(demand.largest, factor)
  demand.time = now
}

function fade (tokens: number, factor: number): number {
  return tokens * factor < NEGLIGIBLE_TOKENS ? 0 : tokens * factor
}
