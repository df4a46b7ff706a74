/** Estimates the recent demand of one customer at this instance: tokens per second and the largest request. */
import type { MonotonicMilliseconds } from '../types'

/** Time constant of the estimate: covers several requests of a busy customer and follows shifts within seconds. */
export const DEMAND_TIME_CONSTANT_MS = 3000

/** Factor by which a lender reserves more than its recent demand, so that demand can grow before it must borrow. */
export const DEMAND_HEADROOM = 1.25

/** Tokens below which the estimate becomes 0; otherwise an idle customer would hold back a little of every loan. */
const NEGLIGIBLE_TOKENS = 0.01

/** Rejected requests that are remembered, so that repeated admission attempts of one request are counted once. */
const MAXIMUM_REMEMBERED_REJECTIONS = 128

export interface Demand {
  /** Exponentially decayed sum of the tokens of all requests, admitted or rejected. */
  sum: number
  /** Exponentially decayed size of the largest request, in tokens. */
  largest: number
  time: MonotonicMilliseconds
  /** Identifiers of recently rejected requests. */
  rejected: Set<string>
}

export function createDemand (now: MonotonicMilliseconds): Demand {
  return { sum: 0, largest: 0, time: now, rejected: new Set() }
}

/** Records a request, whether admitted or rejected. */
export function recordRequest (
  demand: Demand, identifier: string, tokens: number, admitted: boolean, now: MonotonicMilliseconds
): void {
  decay(demand, now)
  const isRepeated = admitted ? demand.rejected.delete(identifier) : demand.rejected.has(identifier)
  if (!admitted && !isRepeated) {
    if (demand.rejected.size >= MAXIMUM_REMEMBERED_REJECTIONS) demand.rejected.clear()
    demand.rejected.add(identifier)
  }
  if (isRepeated) return
  demand.sum += tokens
  demand.largest = Math.max(demand.largest, tokens)
}

/** Returns the recent demand in tokens per second. */
export function demandRate (demand: Demand, now: MonotonicMilliseconds): number {
  decay(demand, now)
  return demand.sum * 1000 / DEMAND_TIME_CONSTANT_MS
}

/**
 * Returns the sustained demand in tokens per second: the demand without the two largest requests. A single long prompt
 * must not trigger borrowing ahead of demand: when it did, instances took the complete rate of a customer from each
 * other in turn, and 15% of requests within the rate were rejected.
 */
export function sustainedRate (demand: Demand, now: MonotonicMilliseconds): number {
  decay(demand, now)
  return Math.max(0, demand.sum - 2 * demand.largest) * 1000 / DEMAND_TIME_CONSTANT_MS
}

function decay (demand: Demand, now: MonotonicMilliseconds): void {
  if (now <= demand.time) return
  const factor = Math.exp((demand.time - now) / DEMAND_TIME_CONSTANT_MS)
  demand.sum = decayTokens(demand.sum, factor)
  demand.largest = decayTokens(demand.largest, factor)
  demand.time = now
}

function decayTokens (tokens: number, factor: number): number {
  return tokens * factor < NEGLIGIBLE_TOKENS ? 0 : tokens * factor
}
