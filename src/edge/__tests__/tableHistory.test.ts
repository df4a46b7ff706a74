import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createTableHistory } from '../tableHistory'
import type { StoreRow } from '../types'

const at = (milliseconds: number): { steady: number, wall: number } => ({ steady: milliseconds, wall: milliseconds })
const row = (key: string, version: number, value: string | undefined = `${key}${version}`): StoreRow => ({
  key, version, value: value === undefined ? undefined : Buffer.from(value)
})
const removed = (key: string, version: number): StoreRow => ({ key, version, value: undefined })

/** Returns the rows after the given changes. */
function apply (rows: ReadonlyMap<string, StoreRow>, changes: readonly StoreRow[]): Map<string, StoreRow> {
  const result = new Map(rows)
  for (const change of changes) {
    if (change.value === undefined) result.delete(change.key)
    else result.set(change.key, change)
  }
  return result
}

describe('createTableHistory', () => {
  it('brings a peer at any version up to date, or returns undefined if it cannot', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), isRemoval: fc.boolean() })
    fc.assert(fc.property(fc.array(change, { maxLength: 30 }), fc.nat(30), fc.nat(30), (changes, read, behind) => {
      const history = createTableHistory()
      const states = [new Map<string, StoreRow>()]
      let version = 0
      for (const { key, isRemoval } of changes) {
        version += 1
        const changed = isRemoval ? removed(key, version) : row(key, version)
        states.push(apply(states.at(-1)!, [changed]))
        if (version === read) history.replaceAll([...states.at(-1)!.values()], version)
        else if (version > read) history.addChanges([changed], version, at(version))
      }
      const after = Math.min(behind, version)
      const known = history.changesSince(after, at(100))
      if (version < read || read === 0 || after < read) {
        expect(known).toBeUndefined()
        return
      }
      expect(apply(states[after]!, known!.rows)).toEqual(states.at(-1))
      expect(known!.version).toBe(version)
    }), { seed: 11, numRuns: 500 })
  })

  it.each([
    { name: 'the age of the oldest change', after: 1, changedWithin: 70 },
    { name: 'without the changes that the peer already has', after: 2, changedWithin: 40 },
    { name: 'no changes', after: 3, changedWithin: 0 }
  ])('bounds the age of the changes: $name', ({ after, changedWithin }) => {
    const history = createTableHistory()
    history.replaceAll([], 1)
    history.addChanges([row('a', 2)], 2, at(30))
    history.addChanges([row('b', 3)], 3, at(60))
    expect(history.changesSince(after, at(100))).toMatchObject({ changedWithin })
  })

  it('does not bound the age of changes added without a known instant', () => {
    const history = createTableHistory()
    history.replaceAll([row('a', 1)], 1)
    history.addChanges([row('b', 2)], 2, undefined)
    expect(history.changesSince(1, at(100))).toMatchObject({ changedWithin: undefined })
  })

  it('accepts the changes of one batch in any order of their versions', () => {
    const history = createTableHistory()
    history.replaceAll([], 1)
    history.addChanges([row('c', 4), row('a', 2), row('b', 3), removed('a', 5)], 5, at(0))
    expect(history.changesSince(3, at(0))?.rows).toEqual([row('c', 4), removed('a', 5)])
  })

  it('drops the oldest removed rows and no present one', () => {
    const history = createTableHistory()
    history.replaceAll([], 1)
    history.addChanges([row('kept', 2)], 2, at(0))
    for (let version = 3; version < 5000; version += 1) history.addChanges([removed(`key${version}`, version)], version, at(0))
    expect(history.changesSince(2, at(0))).toBeUndefined()
    expect(history.changesSince(4000, at(0))!.rows).toHaveLength(999)
    history.addChanges([removed('last', 5000)], 5000, at(0))
    expect(history.changesSince(4999, at(0))!.rows.map(({ key }) => key)).toEqual(['last'])
  })
})
