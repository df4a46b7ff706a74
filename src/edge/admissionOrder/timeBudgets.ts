/**
 * Learns the usual time budget of each route's requests. A caller that comes back after a refusal has the same deadline
 * as before and therefore a shorter budget; nothing else tells that it has been refused.
 */

/** Factor by which the usual budget shrinks with each request, so that a lowered budget is learned. */
const FORGETTING = 0.999

export interface TimeBudgets {
  /** Records the budget of a request in milliseconds and returns the part of the usual one that is missing, 0 to 1. */
  observe: (route: string, budget: number) => number
}

export function createTimeBudgets (): TimeBudgets {
  const usual = new Map<string, number>()
  return {
    observe (route, budget) {
      const longest = Math.max(budget, (usual.get(route) ?? 0) * FORGETTING)
      usual.set(route, longest)
      return longest <= 0 ? 0 : Math.max(0, 1 - budget / longest)
    }
  }
}
