import { describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import type { Endpoint } from '../../types'
import type { PeerValue } from '../peerLinks'
import { createQuotaShares, type QuotaShares } from '../quotaShare'
import { createTokenTransfers, type TokenTransfers } from '../tokenTransfers'
import type { Peer } from '../types'
import { createCustomer } from './fixtures'

const WINDOW_MS = 8000
/** Tokens of one long prompt. */
const PROMPT = 9200
const limits = { window: WINDOW_MS, overage: 0.1, slack: 110_000, startedAt: 0 }
const customer = createCustomer({ rate: 230_000, burst: 230_000 })

interface Instance { quotas: QuotaShares, transfers: TokenTransfers }

/** Creates instances that reach each other without delay; `fails` selects those that do not respond. */
function createFleet (count: number, now: () => number, fails: (index: number) => boolean = () => false): Instance[] {
  const instances: Instance[] = []
  const peers: Peer[] = Array.from({ length: count }, (_unused, index) => ({
    name: `router-${index}`, dataCentre: 'north', endpoint: { host: '10.0.0.1', port: index }
  }))
  for (let index = 0; index < count; index += 1) {
    const quotas = createQuotaShares(limits)
    const transfers = createTokenTransfers({
      links: {
        isUsable: () => true,
        async request ({ port }: Endpoint, request: PeerValue) {
          if (fails(port)) throw new PlatformUnavailableError('no answer')
          return await instances[port]!.transfers.handleRequest(request)
        }
      },
      quotas,
      peers: () => peers.filter(({ endpoint }) => endpoint.port !== index),
      dataCentre: 'north',
      share: () => 1 / count,
      customer: (name) => name === customer.name ? customer : undefined,
      now,
      random: Math.random,
      onFault (error) { throw error }
    })
    instances.push({ quotas, transfers })
  }
  return instances
}

async function admit (
  { quotas, transfers }: Instance, identifier: string, cost: number, share: number, now: number
): Promise<boolean> {
  const request = { customer, identifier, cost, share, allowDebt: false }
  const decision = quotas.admit(request, now)
  if (decision.admitted) return true
  const { units, responses } = await transfers.acquire(customer, cost, decision.missing)
  return quotas.admit({ ...request, receivedUnits: units, allowDebt: responses === 0 }, now).admitted
}

describe('units transferred between 69 instances', () => {
  // Guards against rejections within the rate: in a large fleet a share refills one prompt only every 2.8 s, so without
  // transfers a tenth of the requests was rejected although their customers were within their rates.
  it.each([
    { name: 'half of the rate', part: 0.5, admitted: 1 },
    { name: 'nine tenths of the rate', part: 0.9, admitted: 0.995 }
  ])('admit prompts that are larger than a share at $name, regardless of the instance', async ({ part: fraction, admitted }) => {
    let now = 60_000
    const fleet = createFleet(69, () => now)
    const interval = PROMPT / (customer.rate * fraction) * 1000
    let count = 0
    const requests = 400
    for (let index = 0; index < requests; index += 1) {
      now += interval
      if (await admit(fleet[(index * 37) % 69]!, String(index), PROMPT, 1 / 69, now)) count += 1
    }
    expect(count / requests).toBeGreaterThanOrEqual(admitted)
  })

  it('never exceed the rate in any window, at three times the rate even with instances that do not respond', async () => {
    let now = 60_000
    const fleet = createFleet(69, () => now, (index) => index % 7 === 0)
    const admitted: number[] = []
    for (let index = 0; index < 2000; index += 1) {
      now += PROMPT / (customer.rate * 3) * 1000
      if (await admit(fleet[(index * 31) % 69]!, String(index), PROMPT, 1 / 69, now)) admitted.push(now)
    }
    const bound = (customer.rate * WINDOW_MS / 1000 + customer.burst) * 1.1 + limits.slack
    for (const begin of admitted) {
      const inside = admitted.filter((time) => time >= begin && time < begin + WINDOW_MS).length
      expect(inside * PROMPT).toBeLessThanOrEqual(bound)
    }
    // Most of the units of the reachable shares are used.
    const reachable = customer.rate * 59 / 69 * (now - 60_000) / 1000
    expect(admitted.length * PROMPT).toBeGreaterThan(reachable * 0.85)
  })

  it('are not requested again for a while after all instances were found exhausted', async () => {
    let requestCount = 0
    const now = 60_000
    const fleet = createFleet(9, () => now, () => {
      requestCount += 1
      return false
    })
    for (let index = 0; index < 200; index += 1) await admit(fleet[0]!, String(index), PROMPT * 4, 1 / 9, now)
    const countBefore = requestCount
    // The retry delay returned to the caller is divided by the number of instances known to be exhausted.
    expect(await fleet[0]!.transfers.acquire(customer, PROMPT * 4, PROMPT)).toEqual({ units: 0, responses: 8 })
    expect(await admit(fleet[0]!, 'one more', PROMPT * 4, 1 / 9, now)).toBe(false)
    expect(requestCount).toBe(countBefore)
  })

  it('are unavailable when no peer responds, and instances use only their own shares', async () => {
    const now = 60_000
    const fleet = createFleet(69, () => now, () => true)
    expect(await admit(fleet[3]!, 'a', PROMPT, 1 / 69, now)).toBe(true)
    expect(await admit(fleet[3]!, 'b', PROMPT, 1 / 69, now)).toBe(false)
  })

  it.each([
    { name: 'no customer', question: { units: 10 } },
    { name: 'no units', question: { customer: 'bakery' } },
    { name: 'units below zero', question: { customer: 'bakery', units: -1 } },
    { name: 'returned units below zero', question: { customer: 'bakery', units: 0, returned: -1 } }
  ])('are rejected for a request with $name', async ({ question }) => {
    await expect(createFleet(2, () => 0)[0]!.transfers.handleRequest(question))
      .rejects.toBeInstanceOf(PlatformUnavailableError)
  })
})
