import { describe, expect, it } from 'vitest'
import { QUOTA_UNITS } from '../../constants'
import { createQuotaAccounts } from '../accounts'
import { createLoanPlanner } from '../borrowing'
import { GrantTier } from '../types'

const limit = { customer: 'acme', rate: 900, burst: 1800 }

const peers = [
  { instance: 'far-1', dataCentre: 'south' },
  { instance: 'near-1', dataCentre: 'north' },
  { instance: 'near-2', dataCentre: 'north' },
  { instance: 'far-2', dataCentre: 'south' }
]

/** Creates the planner of an instance that holds a fifth of the units and has a full level. */
function createPlanner () {
  const accounts = createQuotaAccounts()
  accounts.setLimits([limit], 0)
  accounts.setGrant(GrantTier.floor, QUOTA_UNITS / 5, 1e9, 0)
  return { accounts, planner: createLoanPlanner({ accounts, dataCentre: 'north', identifierPrefix: 'self/1' }) }
}

describe('loan planner', () => {
  it.each([
    ['peers of the own data centre first', 900, ['near-1', 'near-2']],
    ['other data centres when even shares of the own one do not suffice', 1500, ['far-1', 'far-2', 'near-1', 'near-2']],
    ['no peer for a cost above the burst', 1801, []],
    ['no peer when the level suffices', 300, []]
  ])('requests loans from %s', (_name, tokens, expected) => {
    const plan = createPlanner().planner.planLoans('acme', tokens, peers, 10_000)
    expect((plan?.loans ?? []).map(({ peer }) => peer).sort()).toEqual(expected)
    for (const { request } of plan?.loans ?? []) expect(request.capacity).toBeGreaterThanOrEqual(request.tokens)
  })

  it('requests loans from remote peers in the second round when the own data centre had nothing to lend', () => {
    const { planner } = createPlanner()
    const first = planner.planLoans('acme', 600, peers, 10_000)!
    for (const { request } of first.loans) {
      planner.receive({ ...request, rate: 0, capacity: 0, tokens: 0, duration: 0 }, 10_001)
    }
    const second = planner.planLoans('acme', 600, peers, 10_002)!
    expect(second.loans.map(({ peer }) => peer).sort()).toEqual(['far-1', 'far-2'])
    expect(second.waitMilliseconds).toBeLessThanOrEqual(250)
  })

  it('returns loans that a finished request did not need immediately, also after a late reply', () => {
    const { accounts, planner } = createPlanner()
    const plan = planner.planLoans('acme', 900, peers, 10_000)!
    const [onTime, late] = plan.loans.map(({ request }) => request)
    planner.receive(onTime!, 10_001)
    planner.finish(plan, 10_002)
    expect(planner.takeReturns().map(({ request }) => request.renews)).toEqual([onTime!.identifier])
    planner.receive(late!, 10_003)
    expect(planner.takeReturns().map(({ request }) => request.renews)).toEqual([late!.identifier])
    expect(accounts.inspect('acme', 10_004).capacity).toBeCloseTo(360)
  })

  it('returns the loans of a plan that was never finished', () => {
    const { planner } = createPlanner()
    const plan = planner.planLoans('acme', 900, peers, 10_000)!
    for (const { request } of plan.loans) planner.receive(request, 10_001)
    expect(planner.planAhead(peers, 10_500).filter(({ request }) => request.duration === 0)).toEqual([])
    expect(planner.planAhead(peers, 11_000).filter(({ request }) => request.duration === 0)).toHaveLength(2)
  })

  it.each([
    ['nothing for one long prompt', [1700], 0],
    ['the missing rate for sustained demand', Array.from({ length: 50 }, () => 60), 400]
  ])('borrows ahead of demand: %s', (_name, costs, expected) => {
    const { accounts, planner } = createPlanner()
    costs.forEach((cost, index) => { accounts.admit(`${index}`, 'acme', cost, 10_000 + index * 100) })
    const loans = planner.planAhead(peers, 10_000 + costs.length * 100)
    const rate = loans.reduce((sum, { request }) => sum + request.rate, 0)
    expect(rate).toBeGreaterThanOrEqual(expected * 0.5)
    expect(rate).toBeLessThanOrEqual(expected * 1.5)
  })

  it('backs off from a peer that did not reply', () => {
    const { planner } = createPlanner()
    planner.planLoans('acme', 600, peers, 10_000)
    const later = planner.planLoans('acme', 600, peers, 10_500)!
    expect(later.loans.map(({ peer }) => peer).sort()).toEqual(['far-1', 'far-2'])
  })
})
