/** Policies and scenarios of the comparison of lease lengths and loans, see section 11 of docs/design.md. */
import { RENEWAL_INTERVAL_MS } from '../../src/quota/grantTask'
import type { GrantTaskOptions } from '../../src/quota/grantTask'
import { LEASE_MS } from '../../src/quota/leases'
import type { CustomerLimit } from '../../src/quota/types'
import type { Fleet } from './fleet'

const HOUR_MS = 3_600_000

/** The second customer's burst at one instance is smaller than many of its requests. */
export const limits: readonly CustomerLimit[] = [
  { customer: 'large', rate: 3000, burst: 12_000 },
  { customer: 'small', rate: 300, burst: 3000 }
]

export interface Policy {
  name: string
  loans: boolean
  /** Milliseconds for which a request waits for tokens before it is refused. */
  patience: number
  grants: Partial<GrantTaskOptions>
}

const shortLease: Partial<GrantTaskOptions> = {
  leases: { ...LEASE_MS, pool: 10_000 }, floorFraction: 0.25, renewalInterval: RENEWAL_INTERVAL_MS / 3
}

export const policies: readonly Policy[] = [
  { name: 'A short lease and floor', loans: false, patience: 0, grants: shortLease },
  { name: 'B long lease, loans', loans: true, patience: 0, grants: { floorFraction: 1 } },
  { name: 'C both tiers, loans', loans: true, patience: 0, grants: {} },
  { name: 'A with a wait of 1 s', loans: false, patience: 1000, grants: shortLease },
  { name: 'B with a wait of 1 s', loans: true, patience: 1000, grants: { floorFraction: 1 } },
  { name: 'C with a wait of 1 s', loans: true, patience: 1000, grants: {} },
  { name: 'C with a wait of 1 s, floor 9/10', loans: true, patience: 1000, grants: { floorFraction: 0.9 } }
]

export interface Scenario {
  name: string
  /** Milliseconds over which requests are counted. */
  duration: number
  /** Offered tokens as a part of the customer's rate. */
  load: number
  /** All requests go to one instance. */
  isSkewed: boolean
  /** Changes the fleet when the counting begins. */
  begin?: (fleet: Fleet) => void
}

export const scenarios: readonly Scenario[] = [
  { name: 'steady', duration: 300_000, load: 0.85, isSkewed: false },
  { name: 'skewed', duration: 300_000, load: 0.85, isSkewed: true },
  { name: 'one busy instance', duration: 300_000, load: 1.5, isSkewed: true },
  {
    name: 'crash of one instance',
    duration: 300_000,
    load: 0.85,
    isSkewed: false,
    begin: ({ instances, restart }) => { restart(instances[0]!, HOUR_MS) }
  },
  {
    name: 'one-hour platform outage',
    duration: HOUR_MS,
    load: 0.85,
    isSkewed: false,
    begin: (fleet) => { fleet.platformDown = true }
  },
  {
    name: 'skewed in a one-hour platform outage',
    duration: HOUR_MS,
    load: 0.85,
    isSkewed: true,
    begin: (fleet) => { fleet.platformDown = true }
  },
  {
    name: 'data centre cut off',
    duration: 600_000,
    load: 0.85,
    isSkewed: false,
    begin (fleet) {
      fleet.cutFromPlatform.add('dc0')
      fleet.cutFromOthers.add('dc0')
    }
  }
]
