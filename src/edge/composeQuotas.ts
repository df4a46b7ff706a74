/** Wires the quotas of an instance and their transfers between instances. */
import { createQuotaShares, type QuotaShares } from './quotaShare'
import type { RouteTable } from './routeTable'
import type { EdgeSettings } from './settings'
import { createTokenTransfers, type TokenTransfers, type TokenTransfersOptions } from './tokenTransfers'

export interface QuotaParts extends Pick<
  TokenTransfersOptions, 'links' | 'peers' | 'dataCentre' | 'share' | 'random' | 'onFault'
> {
  routes: () => RouteTable | undefined
}

export interface Quotas {
  quotas: QuotaShares
  peerQuota: TokenTransfers
}

export function composeQuotas (limits: EdgeSettings['limits'], { routes, ...parts }: QuotaParts): Quotas {
  const quotas = createQuotaShares({
    window: limits.quotaWindow, overage: limits.quotaOverage, slack: limits.quotaSlack, startedAt: performance.now()
  })
  const peerQuota = createTokenTransfers({
    ...parts, quotas, customer: (customer) => routes()?.customer(customer), now: () => performance.now()
  })
  return { quotas, peerQuota }
}
