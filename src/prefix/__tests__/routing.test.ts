import { describe, expect, it } from 'vitest'
import { createBlockIndex } from '../blockIndex'
import { rankByRendezvous } from '../../rendezvous'
import { chooseUpstream } from '../routing'
import type { RoutingCandidate } from '../types'

const candidate = (upstream: string, changes: Partial<RoutingCandidate> = {}): RoutingCandidate => ({
  upstream,
  dataCentre: 'north',
  incarnation: 1,
  queuedTokens: 0,
  prefillTokensPerSecond: 10_000,
  distanceMilliseconds: 0,
  hasCapacity: true,
  ...changes
})
const names = ['a', 'b', 'c', 'd', 'e', 'f']
const key = (number: number): string => (number * 7919).toString(16).padStart(16, '0')
const random = () => 0.5

describe('chooseUpstream', () => {
  it('returns undefined when no candidate has room', () => {
    const request = { blockKeys: [key(1)], promptTokens: 1024 }
    const full = names.map(name => candidate(name, { hasCapacity: false }))
    expect(chooseUpstream(request, full, createBlockIndex({ maximumEntries: 10 }), 0, random)).toBeUndefined()
  })

  it.each([
    { name: 'follows the cached prefix', queued: 0, holder: true },
    { name: 'waits when the queue costs less than recomputing', queued: 3000, holder: true },
    { name: 'waits when the queue costs less than the weighted recomputation', queued: 12_000, holder: true },
    { name: 'recomputes on another upstream when the queue costs more than the weighted recomputation', queued: 20_000, holder: false }
  ])('$name', ({ queued, holder }) => {
    const index = createBlockIndex({ maximumEntries: 100 })
    const request = { blockKeys: [1, 2, 3, 4].map(key), promptTokens: 4096 }
    index.recordRouted('c', 1, request.blockKeys, 0)
    const candidates = names.map(name => candidate(name, { queuedTokens: name === 'c' ? queued : 0 }))
    const decision = chooseUpstream(request, candidates, index, 0, random)
    expect(decision?.upstream === 'c').toBe(holder)
    expect(decision?.alternatives).toHaveLength(names.length - 1)
  })

  it('ignores entries of an older incarnation', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    const request = { blockKeys: [key(1)], promptTokens: 1024 }
    index.recordRouted('c', 1, request.blockKeys, 0)
    const decision = chooseUpstream(request, [candidate('c', { incarnation: 2 })], index, 0, random)
    expect(decision?.expectedBlocks).toBe(0)
  })

  it('does not send all cold prefixes to the only idle upstream', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    const candidates = names.map(name => candidate(name, { queuedTokens: name === 'a' ? 0 : 2000 }))
    const chosen = Array.from({ length: 300 }, (_, number) =>
      chooseUpstream({ blockKeys: [key(number)], promptTokens: 1500 }, candidates, index, 0, random)?.upstream)
    const idle = chosen.filter(name => name === 'a').length
    expect(idle).toBeGreaterThan(50)
    expect(idle).toBeLessThan(150)
  })

  it('prefers the local data centre while it has capacity', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    const candidates = [candidate('near'), candidate('far', { distanceMilliseconds: 50 })]
    for (let number = 0; number < 20; number++) {
      const request = { blockKeys: [key(number)], promptTokens: 1500 }
      expect(chooseUpstream(request, candidates, index, 0, random)?.upstream).toBe('near')
    }
  })
})

describe('rendezvous hashing', () => {
  it('remaps only the keys of a removed name', () => {
    for (let number = 0; number < 200; number++) {
      const before = rankByRendezvous(key(number), names)
      expect(rankByRendezvous(key(number), names.slice(1))).toEqual(before.filter(name => name !== names[0]))
    }
  })

  it('distributes similar keys evenly over similar names', () => {
    const counts = new Map<string, number>()
    for (let number = 0; number < 6000; number++) {
      const first = rankByRendezvous(`key-${number}`, names)[0]!
      counts.set(first, (counts.get(first) ?? 0) + 1)
    }
    for (const name of names) expect(Math.abs((counts.get(name) ?? 0) - 1000)).toBeLessThan(150)
  })
})
