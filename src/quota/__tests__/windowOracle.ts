/** Test oracle for the bound on rate and burst: records admissions and refunds by true time and checks every window. */
import type { FleetObserver } from '../../../experiments/quota/fleet'
import type { Charge, CustomerLimit } from '../types'

/** Tolerance for floating-point rounding errors in sums of tokens. */
const ROUNDING_TOKENS = 1e-3

export interface WindowViolation {
  customer: string
  from: number
  to: number
  admitted: number
  allowed: number
}

export interface WindowOracle extends FleetObserver {
  /**
   * Returns the worst window of any customer: admissions from `from` to `to`, both inclusive, minus refunds in the
   * window of charges in the window. Returns undefined when every window is within rate * window + burst.
   */
  worstWindow: () => WindowViolation | undefined
  admittedTokens: () => number
}

export function createWindowOracle (limits: readonly CustomerLimit[]): WindowOracle {
  const entries: Array<{ customer: string, time: number, chargedAt: number, tokens: number }> = []
  const chargedAt = new Map<Charge, number>()

  function worstOf ({ customer, rate, burst }: CustomerLimit): WindowViolation | undefined {
    const own = entries.filter((entry) => entry.customer === customer)
    let worst: WindowViolation | undefined
    let excess = ROUNDING_TOKENS
    for (const [start, { time: from }] of own.entries()) {
      if (start > 0 && own[start - 1]!.time === from) continue
      let admitted = 0
      for (let index = start; index < own.length; index += 1) {
        const entry = own[index]!
        if (entry.chargedAt < from) continue
        admitted += entry.tokens
        const allowed = rate * (entry.time - from) / 1000 + burst
        if (admitted - allowed <= excess) continue
        excess = admitted - allowed
        worst = { customer, from, to: entry.time, admitted, allowed }
      }
    }
    return worst
  }

  return {
    admitted (customer, charge, time) {
      chargedAt.set(charge, time)
      entries.push({ customer, time, chargedAt: time, tokens: charge.tokens })
    },
    refunded (charge, tokens, time) {
      entries.push({ customer: charge.customer, time, chargedAt: chargedAt.get(charge)!, tokens: -tokens })
    },
    worstWindow () {
      for (const limit of limits) {
        const worst = worstOf(limit)
        if (worst !== undefined) return worst
      }
      return undefined
    },
    admittedTokens: () => entries.reduce((sum, { tokens }) => sum + tokens, 0)
  }
}
