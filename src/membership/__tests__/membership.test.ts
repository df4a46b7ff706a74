import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Greeting } from '../../peer/messages'
import type { Endpoint, ListedInstance } from '../../types'
import { createMembership, type Membership } from '../membership'

const endpointOf = (index: number): Endpoint => ({ host: '127.0.0.1', port: 10_000 + index })
const dataCentreOf = (index: number, dataCentres: number) => `dc${index % dataCentres}`

function listedRouter (index: number, dataCentres: number): ListedInstance {
  return {
    name: `r${index}`, kind: 'router', dataCentre: dataCentreOf(index, dataCentres), endpoint: endpointOf(index), peerEndpoint: endpointOf(index), state: 'live'
  }
}

function greeting (index: number, incarnation = 1, dataCentres = 1): Greeting {
  return {
    kind: 'greeting', protocol: 1, instance: `r${index}`, incarnation, dataCentre: dataCentreOf(index, dataCentres), endpoint: endpointOf(index)
  }
}

function createRouterMembership (index: number, dataCentres = 1, seeds: Endpoint[] = []): Membership {
  return createMembership({
    self: { name: `r${index}`, dataCentre: dataCentreOf(index, dataCentres), incarnation: 1, endpoint: endpointOf(index) }, seeds
  })
}

describe('membership', () => {
  it('connects to seeds first and never to itself', () => {
    const membership = createRouterMembership(0, 1, [endpointOf(0), endpointOf(1)])
    expect(membership.wantedConnections(0)).toEqual([endpointOf(1)])
    membership.applyGreeting(greeting(2), 0)
    expect(membership.wantedConnections(0)).toEqual([endpointOf(2)])
    // All known peers are suspected, so the seeds are needed to rejoin the fleet.
    expect(membership.wantedConnections(10_000)).toEqual([endpointOf(2), endpointOf(1)])
  })

  it.each([[9, 3], [16, 3], [17, 3], [40, 4], [360, 12]])('connects all %d instances in %d data centres, with two relays in large fleets', (count, dataCentres) => {
    const list = Array.from({ length: count }, (_, index) => listedRouter(index, dataCentres))
    const links = list.map((_, index) => {
      const membership = createRouterMembership(index, dataCentres)
      membership.setList(list, 0)
      return new Set(membership.wantedConnections(0).map(endpoint => endpoint.port - 10_000))
    })
    const reached = new Set([0])
    for (const index of reached) for (const other of links[index]!) reached.add(other)
    expect(reached.size).toBe(count)
    for (const [index, wanted] of links.entries()) {
      // Both ends must keep the connection open, so that it is restored whichever of them restarts.
      for (const other of wanted) expect(links[other]!.has(index)).toBe(true)
    }
    const crossDataCentre = links.filter(
      (wanted, index) => [...wanted].some(other => other % dataCentres !== index % dataCentres)
    )
    expect(crossDataCentre.length).toBe(count <= 16 ? count : 2 * dataCentres)
  })

  it('replaces a silent relay', () => {
    const list = Array.from({ length: 30 }, (_, index) => listedRouter(index, 2))
    const membership = createRouterMembership(0, 2)
    membership.setList(list, 0)
    const relays = () => list.filter((_, index) => {
      const other = createRouterMembership(index, 2)
      other.setList(list, 0)
      return other.isRelay(0)
    }).map(instance => instance.name)
    const silent = relays().find(name => Number(name.slice(1)) % 2 === 0 && name !== 'r0')!
    const observers = list.filter(instance => instance.name !== silent && instance.dataCentre === 'dc0').map((instance) => {
      const other = createRouterMembership(Number(instance.name.slice(1)), 2)
      other.setList(list, 0)
      other.applyGreeting(greeting(Number(silent.slice(1)), 1, 2), 0)
      return other
    })
    expect(observers.filter(other => other.isRelay(3000)).length).toBe(1)
    expect(observers.filter(other => other.isRelay(3001)).length).toBe(2)
  })

  it('suspects a peer after 3 s of silence and counts only live instances for the quota', () => {
    const membership = createRouterMembership(0)
    membership.applyGreeting(greeting(1), 0)
    membership.setList([listedRouter(1, 1), listedRouter(2, 1)], 0)
    expect(membership.aliveInDataCentre(3000).map(member => member.name)).toEqual(['r0', 'r1'])
    expect(membership.aliveInDataCentre(3001).map(member => member.name)).toEqual(['r0'])
    expect(membership.suspected(3001).map(member => member.name)).toEqual(['r1'])
    membership.recordActivity('r1', 'leaving', 3002)
    expect(membership.alive(3002)[1]).toMatchObject({ name: 'r1', state: 'leaving' })
  })

  it('keeps a member that is missing from the list', () => {
    const membership = createRouterMembership(0)
    membership.setList([listedRouter(1, 1)], 0)
    membership.applyGreeting(greeting(1), 0)
    membership.setList([], 1000)
    expect(membership.members().map(member => member.name)).toEqual(['r1'])
  })

  it('reports a replaced incarnation once and ignores greetings of older incarnations, in any order', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (incarnations) => {
      const membership = createRouterMembership(0)
      const ended = incarnations.flatMap(
        incarnation => membership.applyGreeting(greeting(1, incarnation), 0).map(old => old.incarnation)
      )
      expect(membership.members()[0]!.incarnation).toBe(Math.max(...incarnations))
      expect(new Set(ended).size).toBe(ended.length)
      expect(ended.every(incarnation => incarnation < Math.max(...incarnations))).toBe(true)
    }))
    const membership = createRouterMembership(0)
    membership.applyGreeting(greeting(1, 1), 0)
    const newName = { ...greeting(1, 2), instance: 'renamed' }
    expect(membership.applyGreeting(newName, 0)).toEqual([{ name: 'r1', endpoint: endpointOf(1), incarnation: 1 }])
  })
})
