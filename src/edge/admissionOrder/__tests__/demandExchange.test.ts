import { describe, expect, it } from 'vitest'
import { createConfiguration, createCustomer, createRoute } from '../../__tests__/fixtures'
import { RepeatRule } from '../../types'
import { createDemandCounter, DEMAND_TIME_CONSTANT_MS, decodeDemand, encodeDemand } from '../demand'
import { createDemandExchange } from '../demandExchange'
import { groupKey, groupsOf } from '../groups'

const KEY = 7

describe('the demand that instances exchange', () => {
  it('sums up that of members and other data centres', () => {
    const [asker, aggregator, distant] = [createDemandExchange(), createDemandExchange(), createDemandExchange()]
    for (const exchange of [asker, aggregator, distant]) exchange.record(KEY, 900, 0)
    aggregator.supplement.recordMember('asker', asker.supplement.ownFields(0), 0)
    aggregator.supplement.recordAggregator('distant', distant.supplement.sumFields(300), 300)
    asker.supplement.applyTotal(aggregator.supplement.totalFields(300), 300)
    const factor = Math.exp(-300 / DEMAND_TIME_CONSTANT_MS)
    expect(asker.current(300).get(KEY)?.count).toBeCloseTo(3 * factor, 2)
    expect(asker.current(300).get(KEY)?.cost).toBeCloseTo(2700 * factor, 0)
  })

  it('is the own one when an aggregator of an earlier release does not send it', () => {
    const exchange = createDemandExchange()
    exchange.record(KEY, 900, 0)
    exchange.supplement.applyTotal({ load: Buffer.alloc(0) }, 0)
    expect(exchange.current(0).get(KEY)).toEqual({ cost: 900, count: 1 })
  })

  it('is the own one when the others have not been heard of for a second', () => {
    const exchange = createDemandExchange()
    exchange.supplement.applyTotal({ demand: encodeDemand(new Map([[KEY, { cost: 900, count: 9 }]])) }, 0)
    expect(exchange.current(999).size).toBe(1)
    expect(exchange.current(1000).size).toBe(0)
  })

  it('forgets a member that is lost', () => {
    const aggregator = createDemandExchange()
    aggregator.supplement.recordMember('lost', { demand: encodeDemand(new Map([[KEY, { cost: 900, count: 9 }]])) }, 0)
    const countAt = (now: number): number => (
      decodeDemand(aggregator.supplement.totalFields(now).demand)?.get(KEY)?.count ?? 0
    )
    expect(countAt(1500)).toBeLessThan(4)
    expect(countAt(5000)).toBe(0)
  })

  it('is sent between data centres a few times a second', () => {
    const exchange = createDemandExchange()
    exchange.record(KEY, 900, 0)
    const sent = Array.from({ length: 20 }, (_value, index) => exchange.supplement.sumFields(index * 50))
    expect(sent.filter(({ demand }) => demand !== undefined).length).toBeLessThanOrEqual(5)
  })
})

describe('a demand counter', () => {
  it('forgets groups without requests', () => {
    const counter = createDemandCounter()
    counter.record(KEY, 900, 0)
    expect(counter.current(10 * DEMAND_TIME_CONSTANT_MS).size).toBe(0)
  })
})

describe('an encoded demand', () => {
  it.each([
    ['text', 'abc'],
    ['a length that does not fit', new Uint8Array(13)],
    ['nothing', undefined],
    ['amounts that are not finite', encodeDemand(new Map([[1, { cost: Infinity, count: 1 }]]))],
    ['negative amounts', encodeDemand(new Map([[1, { cost: -1, count: 1 }]]))]
  ])('is not read from %s', (_title, value) => {
    expect(decodeDemand(value)).toBeUndefined()
  })
})

describe('groupsOf', () => {
  const configuration = createConfiguration({
    routes: [
      createRoute({ name: 'urgent', priority: 0, latencyTarget: 500 }),
      createRoute({ name: 'patient', priority: 2, latencyTarget: 1500 }),
      createRoute({ name: 'call', repeat: RepeatRule.unsafe, services: [{ service: 'orders', weight: 1 }] })
    ],
    customers: [createCustomer({ name: 'a' }), createCustomer({ name: 'b', priority: 1 })]
  })

  it('groups by the priority of the customer, which replaces that of the route', () => {
    const { groups } = groupsOf(configuration).get('engines')!
    const priorities = (customer: string): number[] => [...groups.values()]
      .filter((group) => group.customer === customer).map(({ priority }) => priority)
    expect(priorities('a')).toEqual([0, 2])
    expect(priorities('b')).toEqual([1])
    expect(groups.get(groupKey('engines', 1, 'b'))).toMatchObject({ customer: 'b', priority: 1 })
  })

  it('has the shortest target of the kinds, and no plain services', () => {
    const services = groupsOf(configuration)
    expect(services.get('engines')?.target).toBe(500)
    expect(services.has('orders')).toBe(false)
  })
})
