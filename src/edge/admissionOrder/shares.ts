/**
 * Divides the admitted part of the demand for a service among its groups.
 *
 * Load behind this decision: more is asked than the engines can do, either because a less urgent kind bursts beside an
 * urgent one, or because one customer sends many times its usual rate. All groups get a floor. What remains goes first
 * to each customer up to its entitlement by configured rate, urgent groups first, and then, as loans of what others
 * leave unused, to any group, urgent groups first.
 */
import type { GroupDemand } from './demand'
import type { AdmissionGroup } from './groups'

/**
 * Part of the overall served share that each group gets at least. A quarter is required; the difference covers the
 * randomness of the draws.
 */
const FLOOR_PART = 0.3
/** Entitlement of a customer relative to its part of the rates, so that small excesses do not reverse the urgency. */
const ENTITLEMENT_MARGIN = 1.25
/** Rounds in which the floor and the overall share that it refers to are brought into agreement. */
const FLOOR_ROUNDS = 4

export type GroupWithDemand = AdmissionGroup & GroupDemand

interface Claim {
  key: number
  customer: string
  /** Amount that the group could still use. */
  open: number
}

/** Divides an amount by weights; what one cannot use goes to the others (max-min fairness). */
function divideByWeight (
  claims: ReadonlyArray<{ open: number, weight: number }>, amount: number
): number[] {
  const parts = claims.map(() => 0)
  const order = claims.map((_claim, index) => index)
    .sort((one, other) => claims[one]!.open / claims[one]!.weight - claims[other]!.open / claims[other]!.weight)
  let remaining = amount
  let weights = claims.reduce((sum, { weight }) => sum + weight, 0)
  for (const index of order) {
    const { open, weight } = claims[index]!
    const part = Math.min(open, remaining * weight / weights)
    parts[index] = part
    remaining = Math.max(0, remaining - part)
    weights = Math.max(Number.MIN_VALUE, weights - weight)
  }
  return parts
}

function sumOf (values: Iterable<number>): number {
  let sum = 0
  for (const value of values) sum += value
  return sum
}

/** Returns the weight of each customer, its rate in tokens per second; without a rate, the mean of the others. */
function customerWeights (groups: readonly GroupWithDemand[]): Map<string, number> {
  const requests = sumOf(groups.map(({ count }) => count))
  const meanCost = sumOf(groups.map(({ cost }) => cost)) / Math.max(Number.MIN_VALUE, requests)
  const rates = new Map(groups.map(({ customer, rate, unit }) => [customer, unit === 'token' ? rate : rate * meanCost]))
  const known = [...rates.values()].filter((rate) => rate > 0)
  const usual = known.length === 0 ? 1 : sumOf(known) / known.length
  return new Map([...rates].map(([customer, rate]) => [customer, rate > 0 ? rate : usual]))
}

function allocateAbove (groups: readonly GroupWithDemand[], capacity: number, floor: number): Map<number, number> {
  const weights = customerWeights(groups)
  const totalWeight = sumOf(weights.values())
  const given = new Map(groups.map(({ key, cost }) => [key, cost * floor]))
  const entitlements = new Map([...weights].map(([customer, weight]) => (
    [customer, ENTITLEMENT_MARGIN * capacity * weight / totalWeight]
  )))
  for (const { key, customer } of groups) entitlements.set(customer, entitlements.get(customer)! - given.get(key)!)
  let remaining = capacity - sumOf(given.values())
  const priorities = [...new Set(groups.map(({ priority }) => priority))].sort((one, other) => one - other)

  function give (limit: (customer: string) => number): void {
    for (const priority of priorities) {
      if (remaining <= 0) return
      const claims: Claim[] = groups.filter((group) => group.priority === priority).map(({ key, customer, cost }) => (
        { key, customer, open: Math.max(0, Math.min(cost - given.get(key)!, limit(customer))) }
      ))
      const parts = divideByWeight(
        claims.map(({ open, customer }) => ({ open, weight: weights.get(customer)! })), remaining
      )
      for (const [index, { key, customer }] of claims.entries()) {
        given.set(key, given.get(key)! + parts[index]!)
        entitlements.set(customer, entitlements.get(customer)! - parts[index]!)
        remaining -= parts[index]!
      }
    }
  }

  give((customer) => entitlements.get(customer)!)
  give(() => Infinity)
  return new Map(groups.map(({ key, cost }) => [key, cost <= 0 ? 1 : Math.min(1, given.get(key)! / cost)]))
}

/**
 * Returns the share of each group that is admitted, by its key.
 * @param groups groups with demand; their keys differ
 * @param admitted part of the whole demand, by cost, that is admitted
 */
export function allocateShares (groups: readonly GroupWithDemand[], admitted: number): Map<number, number> {
  const capacity = admitted * sumOf(groups.map(({ cost }) => cost))
  const total = sumOf(groups.map(({ count }) => count))
  if (admitted >= 1 || total <= 0) return new Map(groups.map(({ key }) => [key, 1]))
  let floor = admitted * FLOOR_PART
  let shares = new Map<number, number>()
  for (let round = 0; round < FLOOR_ROUNDS; round += 1) {
    shares = allocateAbove(groups, capacity, floor)
    const overall = sumOf(groups.map(({ key, count }) => shares.get(key)! * count)) / total
    floor = Math.min(admitted, FLOOR_PART * overall)
  }
  return shares
}
