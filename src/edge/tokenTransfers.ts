/** Requests units of a customer's rate from other instances, and handles their requests. */
import { PlatformUnavailableError } from '../errors'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import type { QuotaShares } from './quotaShare'
import { createExhaustedCustomers, planTokenRequests, type TokenRequest } from './tokenRequests'
import type { EdgeCustomer, Peer } from './types'

/** Timeout in milliseconds for a response; several round trips between data centres of a region. */
const RESPONSE_TIMEOUT_MS = 30

export interface AcquiredUnits {
  /** Units received from other instances; fewer than were missing when the others do not have them. */
  units: number
  /**
   * Number of instances that responded, either now or to a recent request that found the customer's units exhausted.
   */
  responses: number
}

export interface TokenTransfersOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  quotas: QuotaShares
  peers: () => readonly Peer[]
  dataCentre: string
  share: () => number
  customer: (name: string) => EdgeCustomer | undefined
  /** Monotonic clock in milliseconds. */
  now: () => number
  random: () => number
  /** Called for errors that are faults of the program. */
  onFault: (error: unknown) => void
}

export interface TokenTransfers {
  /**
   * Requests the missing units from peers; peers that fail contribute nothing. When not all missing units are found,
   * those that do not fit into this instance's share are returned to their senders.
   * @param missing units that `cost` needs beyond what this instance's share holds
   */
  acquire: (customer: EdgeCustomer, cost: number, missing: number) => Promise<AcquiredUnits>
  /** Handles a peer's request. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && value >= 0
}

export function createTokenTransfers (options: TokenTransfersOptions): TokenTransfers {
  const { links, quotas, dataCentre, now, random } = options
  const exhausted = createExhaustedCustomers()

  /** Returns the units that the peer transferred; undefined when it failed. */
  async function requestUnits ({ peer, units }: TokenRequest, customer: string): Promise<number | undefined> {
    const request = { kind: PeerRequestKind.tokens, customer, units }
    const response = await requestIfReachable(links, peer.endpoint, request, RESPONSE_TIMEOUT_MS)
    if (response === undefined) return undefined
    return isAmount(response.units) ? response.units : 0
  }

  /** Returns units to their senders, the last sender first. */
  function returnExcess (customer: string, transfers: readonly TokenRequest[], units: number): void {
    let remaining = units
    for (const { peer, units: transferred } of [...transfers].reverse()) {
      const returned = Math.min(remaining, transferred)
      if (returned <= 0) continue
      remaining -= returned
      // Units that do not arrive are lost; the share refills.
      const request = { kind: PeerRequestKind.tokens, customer, units: 0, returned }
      requestIfReachable(links, peer.endpoint, request, RESPONSE_TIMEOUT_MS).catch(options.onFault)
    }
  }

  return {
    async acquire (customer, cost, missing) {
      const acquired: AcquiredUnits = { units: 0, responses: 0 }
      const transfers: TokenRequest[] = []
      const capacity = quotas.capacity(customer, options.share())
      const recentResponses = exhausted.responses(customer.name, now())
      if (recentResponses !== undefined) return { units: 0, responses: recentResponses }
      const requestedPeers = new Set<string>()
      for (let round = 0; acquired.units < missing; round += 1) {
        const requests = planTokenRequests({
          peers: options.peers().filter(({ endpoint }) => links.isUsable(endpoint)),
          dataCentre,
          requestedPeers,
          missing: missing - acquired.units,
          capacity,
          round
        }, random)
        if (requests.length === 0) break
        for (const { peer } of requests) requestedPeers.add(peer.name)
        const responses = await Promise.all(requests.map(async (one) => ({
          peer: one.peer, units: await requestUnits(one, customer.name)
        })))
        for (const { peer, units } of responses) {
          if (units === undefined) continue
          acquired.responses += 1
          acquired.units += units
          transfers.push({ peer, units })
        }
      }
      if (acquired.units >= missing || acquired.responses === 0) return acquired
      exhausted.record(customer.name, acquired.responses, now())
      const capacityLeft = Math.max(0, capacity - (cost - missing))
      const excess = Math.max(0, acquired.units - capacityLeft)
      returnExcess(customer.name, transfers, excess)
      return { units: acquired.units - excess, responses: acquired.responses }
    },
    async handleRequest ({ customer: name, units, returned = 0 }) {
      if (typeof name !== 'string' || !isAmount(units) || !isAmount(returned)) {
        throw new PlatformUnavailableError('quota request is malformed')
      }
      const customer = options.customer(name)
      if (customer === undefined) return { units: 0 }
      quotas.returnUnits(customer, returned, options.share(), now())
      return { units: quotas.withdraw(customer, units, options.share(), now()) }
    }
  }
}
