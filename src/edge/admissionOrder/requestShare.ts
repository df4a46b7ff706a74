/**
 * Derives the probability that one request is admitted from the share of its group, its size and its age. A large
 * request takes the place of many small ones and is refused first, but not so often that large ones are starved. A
 * request that has come back after a refusal shows only by its shorter time budget and is preferred.
 */

/** Part of the share of its group that a request gets at least, whatever its size; half is required. */
const MIN_SIZE_PART = 0.6
/** Bounds of the factor by which the size changes the probability of a refusal. */
const MIN_SIZE_FACTOR = 0.5
const MAX_SIZE_FACTOR = 2
/** Part of the refusals that are waived for a request whose whole budget has passed; callers return with two thirds. */
const AGE_RELIEF = 1.5

export interface RequestWeight {
  /** Tokens of the request. */
  cost: number
  /** Mean tokens of the requests of its group. */
  meanCost: number
  /** Part of the usual time budget of its kind that has passed, between 0 and 1. */
  age: number
}

/** @param share admitted share of the group, between 0 and 1 */
export function admissionProbability (share: number, { cost, meanCost, age }: RequestWeight): number {
  if (share >= 1) return 1
  const sizeFactor = meanCost <= 0
    ? 1
    : Math.min(MAX_SIZE_FACTOR, Math.max(MIN_SIZE_FACTOR, Math.sqrt(cost / meanCost)))
  const relief = Math.max(0, 1 - age * AGE_RELIEF)
  return Math.min(1, Math.max(share * MIN_SIZE_PART, 1 - (1 - share) * sizeFactor * relief))
}
