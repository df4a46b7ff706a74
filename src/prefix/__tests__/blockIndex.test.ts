import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { CacheEvent } from '../../upstream/types'
import { createBlockIndex } from '../blockIndex'

const keyOf = (number: number): string => number.toString(16).padStart(16, '0')
const stored = (sequence: number, ...keys: number[]): CacheEvent =>
  ({ sequence, kind: 'stored', blockKeys: keys.map(keyOf) })
const evicted = (sequence: number, ...keys: number[]): CacheEvent =>
  ({ sequence, kind: 'evicted', blockKeys: keys.map(keyOf) })
const batch = (incarnation: number, ...events: CacheEvent[]) =>
  ({ incarnation, newestSequence: events.at(-1)?.sequence ?? 0, events })

describe('block index', () => {
  it('counts leading blocks only', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    index.applyEvents('u', batch(1, stored(1, 10, 11), stored(2, 13)), 0)
    expect(index.cachedBlocks('u', 1, [10, 11, 12, 13].map(keyOf), 0)).toBe(2)
    expect(index.cachedBlocks('u', 1, [12, 10].map(keyOf), 0)).toBe(0)
  })

  it.each([
    { name: 'a lost event', second: batch(1, stored(5, 20)), now: 10 },
    { name: 'a heartbeat timeout', second: undefined, now: 5000 },
    { name: 'a response without the announced events', second: { incarnation: 1, newestSequence: 9, events: [] }, now: 10 }
  ])('weights entries by half after $name', ({ second, now }) => {
    const index = createBlockIndex({ maximumEntries: 100 })
    index.applyEvents('u', batch(1, stored(1, 10, 11)), 0)
    if (second !== undefined) index.applyEvents('u', second, 5)
    expect(index.cachedBlocks('u', 1, [10, 11].map(keyOf), now)).toBe(1)
  })

  it('limits the uncertainty to the fraction that lost events may have evicted', () => {
    const index = createBlockIndex({ maximumEntries: 1000 })
    for (let sequence = 1; sequence <= 100; sequence++) index.applyEvents('u', batch(1, stored(sequence, sequence)), 0)
    index.applyEvents('u', batch(1, stored(111, 111)), 1)
    expect(index.cachedBlocks('u', 1, [keyOf(5)], 1)).toBeCloseTo(0.9)
    // Uncertainty accumulates over gaps until the weight is one half.
    for (let sequence = 142; sequence <= 400; sequence += 31) index.applyEvents('u', batch(1, stored(sequence, sequence)), 1)
    expect(index.cachedBlocks('u', 1, [keyOf(5)], 1)).toBe(0.5)
  })

  it('restores the full weight after confirmation by an event or an outcome', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    index.applyEvents('u', batch(1, stored(1, 10, 11, 12)), 0)
    index.applyEvents('u', batch(1, stored(3, 10)), 5)
    index.recordOutcome('u', [10, 11, 12].map(keyOf), 2, 6)
    expect(index.cachedBlocks('u', 1, [10, 11, 12].map(keyOf), 6)).toBe(2.5)
  })

  it('ignores batches that are repeated or arrive after a later one', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    const first = batch(1, stored(1, 10))
    index.applyEvents('u', first, 0)
    index.applyEvents('u', batch(1, evicted(2, 10)), 1)
    index.applyEvents('u', first, 2)
    expect(index.cachedBlocks('u', 1, [keyOf(10)], 2)).toBe(0)
    expect(index.newestSequence('u')).toBe(2)
  })

  it('ignores a late batch of an older incarnation, also after the upstream was dropped', () => {
    const index = createBlockIndex({ maximumEntries: 100 })
    index.applyEvents('u', batch(2, stored(1, 10)), 0)
    index.applyEvents('u', batch(1, stored(1, 11)), 1)
    index.dropUpstream('u')
    index.applyEvents('u', batch(1, stored(1, 11)), 2)
    expect(index.cachedBlocks('u', 1, [keyOf(11)], 2)).toBe(0)
    expect(index.entryCount()).toBe(0)
  })
})

const upstreams = ['a', 'b', 'c']
const operation = fc.oneof(
  fc.record({
    kind: fc.constant('events' as const),
    upstream: fc.constantFrom(...upstreams),
    incarnation: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 1, max: 12 }),
    stored: fc.boolean(),
    keys: fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 5 })
  }),
  fc.record({
    kind: fc.constant('routed' as const),
    upstream: fc.constantFrom(...upstreams),
    incarnation: fc.integer({ min: 1, max: 3 }),
    keys: fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 5 })
  }),
  fc.record({
    kind: fc.constant('outcome' as const),
    upstream: fc.constantFrom(...upstreams),
    keys: fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 5 }),
    cached: fc.integer({ min: 0, max: 5 })
  }),
  fc.record({ kind: fc.constant('drop' as const), upstream: fc.constantFrom(...upstreams) })
)

describe('block index compared with a map', () => {
  it.each([{ maximumEntries: 1000, exact: true }, { maximumEntries: 7, exact: false }])(
    'never contains an entry that the map lacks: $maximumEntries entries',
    ({ maximumEntries, exact }) => {
      fc.assert(fc.property(fc.array(operation, { maxLength: 60 }), commands => {
        const index = createBlockIndex({ maximumEntries })
        const expectedState = new Map<
          string, { incarnation: number, newest: number, keys: Set<number>, dropped: boolean }
        >()
        const expectedOwner = (upstream: string, incarnation: number) => {
          const known = expectedState.get(upstream)
          if (known !== undefined && known.incarnation > incarnation) return undefined
          if (known?.incarnation === incarnation && !known.dropped) return known
          const fresh = { incarnation, newest: 0, keys: new Set<number>(), dropped: false }
          expectedState.set(upstream, fresh)
          return fresh
        }
        commands.forEach((step, now) => {
          if (step.kind === 'events') {
            index.applyEvents(step.upstream, batch(step.incarnation, step.stored
              ? stored(step.sequence, ...step.keys)
              : evicted(step.sequence, ...step.keys)), now)
            const known = expectedOwner(step.upstream, step.incarnation)
            if (known !== undefined && step.sequence > known.newest) {
              known.newest = step.sequence
              for (const key of step.keys) {
                if (step.stored) known.keys.add(key)
                else known.keys.delete(key)
              }
            }
          } else if (step.kind === 'routed') {
            index.recordRouted(step.upstream, step.incarnation, step.keys.map(keyOf), now)
            const known = expectedOwner(step.upstream, step.incarnation)
            for (const key of step.keys) known?.keys.add(key)
          } else if (step.kind === 'outcome') {
            index.recordOutcome(step.upstream, step.keys.map(keyOf), step.cached, now)
          } else {
            index.dropUpstream(step.upstream)
            const known = expectedState.get(step.upstream)
            if (known !== undefined) Object.assign(known, { dropped: true, keys: new Set() })
          }
        })
        expect(index.entryCount()).toBeLessThanOrEqual(maximumEntries)
        for (const upstream of upstreams) {
          for (const incarnation of [1, 2, 3]) {
            const known = expectedState.get(upstream)
            for (let key = 1; key <= 30; key++) {
              const found = index.cachedBlocks(upstream, incarnation, [keyOf(key)], commands.length) > 0
              const expected = known !== undefined && known.incarnation === incarnation && known.keys.has(key)
              if (exact) expect(found).toBe(expected)
              else if (found) expect(expected).toBe(true)
            }
          }
        }
      }), { numRuns: 300 })
    })
})
