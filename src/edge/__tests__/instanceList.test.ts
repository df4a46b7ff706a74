import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createInstanceList, type InstanceList } from '../instanceList'
import { createStoreEra, type StoreEra } from '../storeEra/storeEra'
import type { TableRelay } from '../tableRelay'
import type { StoreReadResult, StoreRow } from '../types'

const OTHER = { name: 'router-2', dataCentre: 'north', peer: '127.0.0.1:2' }
const ROW: StoreRow = {
  key: OTHER.name, value: Buffer.from(JSON.stringify({ dataCentre: OTHER.dataCentre, peer: OTHER.peer })), version: 2
}

let list: InstanceList
let storeEra: StoreEra
/** Resolves the list's call for changes. */
let change: (rows: StoreRow[]) => void

beforeEach(async () => {
  vi.useFakeTimers()
  const table = { replaced () {}, changed () {}, confirmed () {}, lost () {} }
  storeEra = createStoreEra()
  storeEra.newestVersion.value = 1
  list = createInstanceList({
    commit: async () => ({ committed: true, version: 1, storeTime: 0 }),
    relay: {
      store: {
        read: async () => ({ rows: [], version: 1, storeTime: 0 }),
        follow: async () => await new Promise<StoreReadResult>((resolve) => {
          change = (rows) => { resolve({ rows, version: 2, storeTime: 0 }) }
        })
      },
      table: () => table
    } as unknown as TableRelay,
    endpoint: { host: '127.0.0.1', port: 1 },
    storeEra,
    now: () => ({ steady: performance.now(), wall: Date.now() }),
    random: () => 0,
    log: () => {},
    instance: 'router-1',
    dataCentre: 'north'
  })
  await vi.advanceTimersByTimeAsync(1000)
})
afterEach(() => {
  list.stop()
  vi.useRealTimers()
})

describe('the sender of a message that the list does not contain', () => {
  it.each<[string, number, number]>([
    ['counts at once', 0, 2],
    ['counts while the list may be old', 9000, 2],
    ['no longer counts if the list never shows it', 11_000, 1]
  ])('%s', async (_title, milliseconds, expected) => {
    list.observe(OTHER)
    await vi.advanceTimersByTimeAsync(milliseconds)
    expect([list.count(), list.peers().length]).toEqual([expected, expected - 1])
  })

  it('goes on counting once the list shows it', async () => {
    list.observe(OTHER)
    change([ROW])
    await vi.advanceTimersByTimeAsync(60_000)
    expect(list.count()).toBe(2)
  })

  it.each([[undefined], [null], [{ name: 7 }], [{ ...OTHER, peer: 'nowhere' }], [{ ...OTHER, name: 'router-1' }]])(
    'is ignored if it is %j', (sender) => {
      list.observe(sender)
      expect(list.count()).toBe(1)
    })
})
