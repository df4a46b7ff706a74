/**
 * Derives the probability that one request is admitted from the share of its group, its size and its age. A large
 * request takes the place of many small ones and is refused first, also when the engines have room only for smaller ones,
 * but not so often that large ones are starved. A
 * request that has come back after a refusal shows only by its shorter time budget and is preferred.
 */

/**
 * Bounds of the factor by which the size changes the share. The largest requests must be served at least half as often
 * as their kind, whose mean is at most the share times the upper bound.
 */
const MIN_SIZE_FACTOR = 0.6
const MAX_SIZE_FACTOR = 1.1
/** Refused part of a group from which the size has its full effect, so that it does not set in at once. */
const FULL_EFFECT_PART = 0.25
/** Part of the refusals that are waived for a request whose whole budget has passed; callers return with two thirds. */
const AGE_RELIEF = 1.5

export interface RequestWeight {
  /** Tokens of the request. */
  cost: number
  /** Mean tokens of the requests of its group. */
  meanCost: number
  /** Part of the usual time budget of its kind that has passed, between 0 and 1. */
  age: number
  /** Part of the requests of its size that the engines can begin in time, relative to those of the usual size. */
  fit: number
}

function sizeFactor ({ cost, meanCost, fit }: RequestWeight): number {
  const factor = meanCost <= 0 || cost <= 0 ? 1 : Math.sqrt(meanCost / cost)
  return Math.min(MAX_SIZE_FACTOR, Math.max(MIN_SIZE_FACTOR, factor)) * Math.min(1, fit)
}

/** @param share admitted share of the group, between 0 and 1 */
export function admissionProbability (share: number, weight: RequestWeight): number {
  if (share >= 1 && weight.fit >= 1) return 1
  // Without room for its size, a request is refused although its group is not.
  const effect = weight.fit < 1 ? 1 : Math.min(1, (1 - share) / FULL_EFFECT_PART)
  const factor = Math.max(MIN_SIZE_FACTOR, 1 - (1 - sizeFactor(weight)) * effect)
  const refusal = 1 - Math.min(1, share * factor)
  return 1 - refusal * Math.max(0, 1 - weight.age * AGE_RELIEF)
}
