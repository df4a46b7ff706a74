import { describe, expect, it } from 'vitest'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../../errors'
import type { Store } from '../../types'
import { withStoreEra } from '../eraStore'
import { keepHigherRows } from '../keptRows'
import type { EraOrder } from '../storeEra'
import { createStoreEra, eraPosition, parseEra } from '../storeEra'

const at = (time: number): { steady: number, wall: number } => ({ steady: time, wall: time })

describe('createStoreEra', () => {
  it.each<[string, number[], EraOrder[], number]>([
    ['a store without eras', [0, 0, 0], ['same', 'same', 'same'], 0],
    ['a first era is no change', [7, 7], ['same', 'same'], 0],
    ['a larger era', [1, 2, 2], ['same', 'newer', 'same'], 1],
    ['a late answer of the era before', [1, 2, 1, 2], ['same', 'newer', 'older', 'same'], 1],
    ['an era that was skipped', [1, 4, 3], ['same', 'newer', 'older'], 1],
    ['a store that begins to name eras', [0, 1], ['same', 'newer'], 1]
  ])('%s', (_title, eras, orders, changes) => {
    const storeEra = createStoreEra()
    const notified: number[] = []
    storeEra.subscribe(() => { notified.push(storeEra.current()) })
    storeEra.newestVersion.value = 9
    expect(eras.map((era, index) => storeEra.observe(era, at(index)))).toEqual(orders)
    expect(storeEra.current()).toBe(Math.max(...eras))
    expect(storeEra.since()).toEqual(at(eras.indexOf(Math.max(...eras))))
    expect([storeEra.changes(), notified.length]).toEqual([changes, changes])
    expect(storeEra.newestVersion.value).toBe(changes === 0 ? 9 : 0)
  })
})

describe('eraPosition', () => {
  it('orders versions of all eras, and is the version in era 0', () => {
    const positions = [[0, 1], [0, 2 ** 32 - 1], [1, 0], [1, 5], [2, 4], [2 ** 20, 1]]
      .map(([era, version]) => eraPosition(era!, version!))
    expect(positions[0]).toBe(1)
    expect(positions).toEqual([...new Set(positions)].sort((one, other) => one - other))
    expect(positions.every(Number.isSafeInteger)).toBe(true)
  })
})

describe('parseEra', () => {
  it.each<[unknown, number | undefined]>([
    [0, 0], [3, 3], [undefined, undefined], [-1, undefined], [1.5, undefined], ['3', undefined], [Infinity, undefined]
  ])('%o', (value, era) => {
    expect(parseEra(value)).toBe(era)
  })
})

describe('an answer of the store', () => {
  const answering = (era: number | undefined): Store => withStoreEra({
    read: async () => ({ rows: [], version: 1, storeTime: 0, ...(era === undefined ? {} : { era }) }),
    follow: async () => ({ rows: [], version: 1, storeTime: 0, ...(era === undefined ? {} : { era }) }),
    commit: async () => ({ committed: true, version: 1, storeTime: 0, ...(era === undefined ? {} : { era }) }),
    close () {}
  }, storeEra, () => at(1))
  let storeEra = createStoreEra()

  it.each<[string, number | undefined, boolean]>([
    ['of the known era is used', 2, true], ['of a later era is used', 3, true], ['of an earlier era is not used', 1, false],
    ['without an era is not used once one is known', undefined, false]
  ])('%s', async (_title, era, isUsed) => {
    storeEra = createStoreEra()
    storeEra.observe(2, at(0))
    const store = answering(era)
    const commit = { table: 'op', conditions: [], writes: [], removals: [] }
    const outcomes = await Promise.all([store.read('op'), store.follow('op', 1, 0), store.commit(commit)].map(
      async (call) => await (call as Promise<unknown>).then(() => undefined, (error: Error) => error.constructor)
    ))
    expect(outcomes).toEqual(isUsed
      ? [undefined, undefined, undefined]
      : [PlatformUnavailableError, PlatformUnavailableError, OutcomeUnknownError])
  })
})

describe('keepHigherRows', () => {
  const row = (key: string, content: string, version: number): { key: string, value: Buffer, version: number } => (
    { key, value: Buffer.from(content), version }
  )
  const rankOf = ({ value }: { value: Buffer | undefined }): number | undefined => {
    const rank = Number(value?.toString())
    return Number.isNaN(rank) ? undefined : rank
  }

  it.each([
    { name: 'keeps a row with a higher content', known: [row('a', '7', 50)], restored: [row('a', '6', 3)], rows: [row('a', '7', 3)] },
    { name: 'takes the restored row with the same content', known: [row('a', '6', 50)], restored: [row('a', '6', 3)], rows: [row('a', '6', 3)] },
    { name: 'takes a row that has been written again', known: [row('a', '7', 50)], restored: [row('a', '8', 9)], rows: [row('a', '8', 9)] },
    { name: 'keeps a row that the copy lacks', known: [row('a', '7', 50)], restored: [], rows: [row('a', '7', 10)] },
    { name: 'keeps no row without a version in its content', known: [row('b', 'x', 50)], restored: [], rows: [] }
  ])('$name', ({ known, restored, rows }) => {
    expect(keepHigherRows(known, restored, 10, rankOf)).toEqual(rows)
  })
})
