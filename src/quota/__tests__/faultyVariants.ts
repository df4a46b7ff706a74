/** Faulty variants of an instance, each with one mechanism disabled, to prove that the window oracle can fail. */
import type { FleetOptions } from '../../../experiments/quota/fleet'
import { createQuotaAccounts } from '../accounts'
import type { InstanceQuotaAccounts } from '../accounts'
import { createGrantTask } from '../grantTask'
import type { GrantTaskOptions } from '../grantTask'
import type { DataCentreQuota, Grant } from '../types'

type Replacement = NonNullable<FleetOptions['replace']>

function wrapAccounts (change: (inner: InstanceQuotaAccounts) => Partial<InstanceQuotaAccounts>): Replacement {
  return {
    accounts: () => {
      const inner = createQuotaAccounts()
      return { ...inner, ...change(inner) }
    }
  }
}

/** Returns a correct variant with a different division between floor and pool. */
export function withFloorFraction (floorFraction: number): Replacement {
  return { grantTask: (options) => createGrantTask({ ...options, floorFraction }) }
}

/** Hides grants from the reads of the grant task, so that its next write removes them. */
function hideGrants (isHidden: (grant: Grant, options: GrantTaskOptions) => boolean): Replacement {
  return {
    grantTask: (options) => createGrantTask({
      ...options,
      platform: {
        commit: options.platform.commit,
        async readRow <Value> (table: string, key: string) {
          const row = await options.platform.readRow<Value>(table, key)
          const grants = (row?.value as DataCentreQuota | undefined)?.grants
          if (row === undefined || grants === undefined) return row
          return { ...row, value: { ...row.value, grants: grants.filter((grant) => !isHidden(grant, options)) } }
        }
      }
    })
  }
}

/** Refunds are credited in full, regardless of how much the bucket has been refilled since. */
function refundWithoutPool (inner: InstanceQuotaAccounts): Partial<InstanceQuotaAccounts> {
  const credit = new Map<string, number>()
  return {
    admit (identifier, customer, tokens, now) {
      const result = inner.admit(identifier, customer, tokens, now)
      const available = credit.get(customer) ?? 0
      if (result.admitted || result.reason !== 'rate' || result.missingTokens > available) return result
      const own = inner.admit(identifier, customer, tokens - result.missingTokens, now)
      if (!own.admitted) return own
      credit.set(customer, available - result.missingTokens)
      return { admitted: true, charge: { ...own.charge, tokens } }
    },
    inspect (customer, now) {
      const state = inner.inspect(customer, now)
      return { ...state, level: state.level + (credit.get(customer) ?? 0) }
    },
    settle (charge, used) {
      credit.set(charge.customer, (credit.get(charge.customer) ?? 0) + Math.max(0, charge.tokens - used))
    }
  }
}

export const faultyVariants: Readonly<Record<string, Replacement>> = {
  'no correction for clock drift': {
    accounts: () => createQuotaAccounts({ driftBound: 0 }),
    grantTask: (options) => createGrantTask({ ...options, driftBound: 0 })
  },
  // Half of the units are in the pool, since only its short leases expire within a run.
  'ignores lease expiry at admission': {
    ...withFloorFraction(0.5),
    ...wrapAccounts((inner) => ({
      setGrant: (tier, units, _expiresAt, now) => { inner.setGrant(tier, units, Infinity, now) }
    }))
  },
  'refunds without the refundable pool': wrapAccounts(refundWithoutPool),
  'lender does not deduct loans': wrapAccounts((inner) => ({
    lend (request, _borrower, now) {
      const { rate, capacity, level } = inner.inspect(request.customer, now)
      return {
        ...request,
        rate: Math.min(rate, request.rate),
        capacity: Math.min(capacity, request.capacity),
        tokens: Math.min(level, request.tokens)
      }
    }
  })),
  'reclaims grants of instances absent from the instance list': hideGrants(({ instance }, { self, liveInstances }) =>
    instance !== self.instance && !liveInstances().includes(instance)),
  'reuses grants of an ended process immediately': hideGrants(({ address, incarnation }, { self }) =>
    address === self.address && incarnation < self.incarnation)
}
