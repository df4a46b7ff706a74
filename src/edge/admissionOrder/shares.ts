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
const FLOOR_ROUNDS = 6

export type GroupWithDemand = AdmissionGroup & GroupDemand

/** The groups of one service, prepared for the division. */
interface Claims {
  groups: readonly GroupWithDemand[]
  /** Indexes of the groups by priority, the most urgent first. */
  byPriority: ReadonlyArray<readonly number[]>
  /** Index of the customer of each group. */
  customers: readonly number[]
  /** Weight of each customer: its rate in tokens per second; without a rate, the mean of the others. */
  weights: readonly number[]
}

function sumOf (values: readonly number[]): number {
  let sum = 0
  for (const value of values) sum += value
  return sum
}

function prepareClaims (groups: readonly GroupWithDemand[]): Claims {
  const indexes = new Map<string, number>()
  const rates: number[] = []
  const priorities = new Map<number, number[]>()
  const requests = sumOf(groups.map(({ count }) => count))
  const meanCost = sumOf(groups.map(({ cost }) => cost)) / Math.max(Number.MIN_VALUE, requests)
  const customers = groups.map(({ customer, priority, rate, unit }, group) => {
    const members = priorities.get(priority)
    if (members === undefined) priorities.set(priority, [group])
    else members.push(group)
    const index = indexes.get(customer) ?? rates.length
    indexes.set(customer, index)
    rates[index] = unit === 'token' ? rate : rate * meanCost
    return index
  })
  const known = rates.filter((rate) => rate > 0)
  const usual = known.length === 0 ? 1 : sumOf(known) / known.length
  return {
    groups,
    byPriority: [...priorities].sort(([one], [other]) => one - other).map(([, members]) => members),
    customers,
    weights: rates.map((rate) => rate > 0 ? rate : usual)
  }
}

/**
 * Divides an amount among groups by the weights of their customers; what one cannot use goes to the others (max-min
 * fairness). Adds the parts to `given`, takes them from `entitlements`, and returns what is left.
 * @param limited whether a group gets at most what its customer is still entitled to
 */
function divide (
  { groups, customers, weights }: Claims, members: readonly number[], amount: number, given: number[],
  entitlements: number[], limited: boolean
): number {
  const open = members.map((group) => {
    const missing = groups[group]!.cost - given[group]!
    return Math.max(0, limited ? Math.min(missing, entitlements[customers[group]!]!) : missing)
  })
  if (sumOf(open) <= amount) {
    for (const [index, group] of members.entries()) {
      given[group]! += open[index]!
      entitlements[customers[group]!]! -= open[index]!
    }
    return amount - sumOf(open)
  }
  const weightOf = (index: number): number => weights[customers[members[index]!]!]!
  const order = members.map((_group, index) => index)
    .sort((one, other) => open[one]! / weightOf(one) - open[other]! / weightOf(other))
  let remaining = amount
  let remainingWeight = sumOf(members.map((_group, index) => weightOf(index)))
  for (const index of order) {
    const group = members[index]!
    const part = Math.min(open[index]!, remaining * weightOf(index) / remainingWeight)
    given[group]! += part
    entitlements[customers[group]!]! -= part
    remaining = Math.max(0, remaining - part)
    remainingWeight = Math.max(Number.MIN_VALUE, remainingWeight - weightOf(index))
  }
  return remaining
}

/** Returns the share of each group. */
function allocateAbove (claims: Claims, capacity: number, floor: number): number[] {
  const { groups, byPriority, customers, weights } = claims
  const totalWeight = sumOf(weights)
  const given = groups.map(({ cost }) => cost * floor)
  const entitlements = weights.map((weight) => ENTITLEMENT_MARGIN * capacity * weight / totalWeight)
  for (const [group, amount] of given.entries()) entitlements[customers[group]!]! -= amount
  let remaining = capacity - sumOf(given)
  for (const limited of [true, false]) {
    for (const members of byPriority) {
      if (remaining > 0) remaining = divide(claims, members, remaining, given, entitlements, limited)
    }
  }
  return groups.map(({ cost }, group) => cost <= 0 ? 1 : Math.min(1, given[group]! / cost))
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
  const claims = prepareClaims(groups)
  let shares: number[] = []
  // The overall share falls as the floor rises, since large requests use up what many small ones could get.
  let [low, high] = [0, admitted]
  for (let round = 0; round < FLOOR_ROUNDS; round += 1) {
    const floor = (low + high) / 2
    shares = allocateAbove(claims, capacity, floor)
    const overall = sumOf(groups.map(({ count }, group) => shares[group]! * count)) / total
    if (floor < FLOOR_PART * overall) low = floor
    else high = floor
  }
  return new Map(groups.map(({ key }, group) => [key, shares[group]!]))
}
