/** One trial: the requests of a scenario against a fleet with one policy, and against a single bucket as reference. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CustomerLimit } from '../../src/quota/types'
import type { RandomSource } from '../../src/types'
import { createFleet } from './fleet'
import { limits } from './scenarios'
import type { Policy, Scenario } from './scenarios'

/** Milliseconds before the counting begins, in which the grants are acquired and the buckets fill. */
const WARM_UP_MS = 60_000

/** Milliseconds after the last request within which its loans are answered. */
const SETTLE_MS = 1000

/** Mean cost of a request in tokens, and its bounds. */
const MEAN_COST = 300
const SMALLEST_COST = 50
const LARGEST_COST = 2000

export interface TrialResult {
  policy: string
  scenario: string
  requests: number
  /** Requests that one bucket with the customer's rate and burst admits. */
  inside: number
  /** Of these, requests that the fleet refused. */
  refusedInside: number
  refusedInsidePercent: number
  /** Admitted tokens as a part of rate * duration, of the customer with the highest rate. */
  useOfRate: number
}

export async function runTrial (policy: Policy, scenario: Scenario, seed: number): Promise<TrialResult> {
  // Requests have a generator of their own, so that all policies get the same ones.
  const traffic = createRandom(seed)
  const admittedTokens = new Map(limits.map(({ customer }) => [customer, 0]))
  const fleet = createFleet({
    random: createRandom(seed + 1),
    dataCentres: [3, 3, 3],
    limits,
    clockRates: [],
    loans: policy.loans,
    grants: policy.grants
  }, {
    admitted (customer, { tokens }, time) {
      if (time <= WARM_UP_MS || time > WARM_UP_MS + scenario.duration) return
      admittedTokens.set(customer, admittedTokens.get(customer)! + tokens)
    },
    refunded () {}
  })
  let requests = 0
  let inside = 0
  let refusedInside = 0

  function offer (limit: CustomerLimit, isInside: boolean, cost: number, position: number): void {
    const up = fleet.instances.filter(({ isUp }) => isUp)
    const instance = up[scenario.isSkewed ? 0 : Math.floor(position * up.length)]!
    requests += 1
    if (isInside) inside += 1
    fleet.admitWithLoans(instance, limit.customer, cost, (charge) => {
      if (charge === undefined && isInside) refusedInside += 1
    }, policy.patience)
  }

  for (const limit of limits) {
    const isAdmitted = createReference(limit)
    const schedule = (): void => {
      const pause = -Math.log(1 - traffic()) * MEAN_COST * 1000 / (limit.rate * scenario.load)
      const draw = Math.round(-Math.log(1 - traffic()) * MEAN_COST)
      const cost = Math.min(LARGEST_COST, Math.max(SMALLEST_COST, draw))
      const position = traffic()
      fleet.events.after(pause, () => {
        offer(limit, isAdmitted(cost, fleet.events.now()), cost, position)
        if (fleet.events.now() < WARM_UP_MS + scenario.duration) schedule()
      })
    }
    fleet.events.at(WARM_UP_MS, schedule)
  }
  fleet.events.at(WARM_UP_MS, () => { scenario.begin?.(fleet) })
  // Requests that wait at the end are still decided.
  await fleet.events.runUntil(WARM_UP_MS + scenario.duration + 2 * policy.patience + SETTLE_MS)
  const [largest] = limits
  return {
    policy: policy.name,
    scenario: scenario.name,
    requests,
    inside,
    refusedInside,
    refusedInsidePercent: round(100 * refusedInside / inside),
    useOfRate: round(admittedTokens.get(largest!.customer)! / (largest!.rate * scenario.duration / 1000))
  }
}

/** One bucket for the whole fleet, full at the start. */
function createReference ({ rate, burst }: CustomerLimit): (cost: number, now: number) => boolean {
  let level = burst
  let time = WARM_UP_MS
  return (cost, now) => {
    level = Math.min(burst, level + rate * (now - time) / 1000)
    time = now
    if (cost > level) return false
    level -= cost
    return true
  }
}

function createRandom (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

function round (value: number): number {
  return Math.round(value * 10_000) / 10_000
}
