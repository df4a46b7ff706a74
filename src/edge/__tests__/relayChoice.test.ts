import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { chooseRelays, type RelayChoice } from '../relayChoice'
import type { Peer } from '../types'

function createPeers (counts: readonly number[]): Peer[] {
  return counts.flatMap((count, place) => Array.from({ length: count }, (_unused, index) => ({
    name: `router-${place}-${index}`, dataCentre: `place-${place}`, endpoint: { host: `10.${place}.0.${index}`, port: 1 }
  })))
}

function choose (all: readonly Peer[], { name, dataCentre }: Peer): RelayChoice {
  return chooseRelays(name, dataCentre, all.filter((peer) => peer.name !== name))
}

describe('chooseRelays', () => {
  it.each([
    ['one instance', [1]], ['two of one data centre', [2]], ['nine of one', [9]],
    ['one of each of three', [1, 1, 1]], ['nine in three', [3, 3, 3]], ['78 in four', [19, 22, 20, 17]],
    ['195 in five', [39, 39, 39, 39, 39]], ['357 in twelve', Array.from({ length: 12 }, () => 30)]
  ])('%s: one instance reads the store, and all others are at most two hops away from it', (_title, counts) => {
    const all = createPeers(counts)
    const hubs = all.filter((peer) => choose(all, peer).sources === undefined)
    expect(hubs).toHaveLength(1)
    const hub = hubs[0]!.name
    for (const peer of all) {
      for (const source of choose(all, peer).sources ?? []) {
        const next = choose(all, source).sources ?? []
        expect(source.name === hub || next[0]?.name === hub).toBe(true)
      }
    }
  })

  it('gives each relay a deputy hub in another data centre', () => {
    const all = createPeers([13, 13, 13])
    const hub = all.find((peer) => choose(all, peer).sources === undefined)!
    const relays = all.filter((peer) => peer !== hub && choose(all, peer).isRelay)
    const deputies = new Set(relays.flatMap((peer) => choose(all, peer).sources!.slice(1).map(({ name }) => name)))
    expect(relays).toHaveLength(5)
    expect(deputies.size).toBe(1)
    const [deputy] = deputies
    expect(all.find(({ name }) => name === deputy)!.dataCentre).not.toBe(hub.dataCentre)
  })

  it('reads from relays of the same data centre, except on the relays themselves', () => {
    const all = createPeers([10, 10, 10])
    for (const peer of all) {
      const { sources, isRelay } = choose(all, peer)
      if (sources === undefined || isRelay) continue
      expect(sources).toHaveLength(2)
      for (const source of sources) expect(source.dataCentre).toBe(peer.dataCentre)
    }
  })

  it('distributes the reads of a data centre over its relays', () => {
    const all = createPeers([39, 39, 39])
    const asked = new Map<string, number>()
    for (const peer of all) {
      const { sources, isRelay } = choose(all, peer)
      const first = sources?.[0]
      if (first !== undefined && !isRelay) asked.set(first.name, (asked.get(first.name) ?? 0) + 1)
    }
    expect(asked.size).toBe(6)
    for (const count of asked.values()) expect(count).toBeGreaterThan(8)
  })

  it('never lets instances wait for each other in a cycle, whatever part of the list each sees', () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 4 }),
      fc.infiniteStream(fc.boolean()),
      (counts, draws) => {
        const all = createPeers(counts)
        const sources = new Map(all.map((peer) => {
          const view = all.filter((other) => other === peer || draws.next().value === true)
          return [peer.name, (choose(view, peer).sources ?? []).map(({ name }) => name)]
        }))
        for (const { name } of all) {
          const waitsFor = new Set(sources.get(name))
          for (const other of waitsFor) for (const next of sources.get(other)!) waitsFor.add(next)
          expect(waitsFor.has(name)).toBe(false)
        }
      }
    ))
  })
})
