import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { HistoryLostError, PlatformUnavailableError } from '../../errors'
import { createCacheStores, type CacheStoreIndex, type CacheStores } from '../cacheStores'
import { cacheTableName, segmentKey, withCacheTables } from '../cacheStoreTable'
import type { CacheEvents, CacheStore } from '../types'

const createStore = (port: number): CacheStore => (
  { name: `cache-${port}`, endpoint: { host: '10.0.0.5', port }, dataCentre: 'north' }
)
const STORES = [createStore(1), createStore(2), createStore(3)]
const createBatch = (values: Partial<CacheEvents>): CacheEvents => (
  { epoch: 1, next: 0, lost: false, events: [], ...values }
)
const createEvent = (added: boolean, segment: string, scope = 's'): CacheEvents['events'][number] => ({ added, scope, segment })

interface FollowedStores {
  stores: CacheStores
  indexes: Map<CacheStore, CacheStoreIndex>
  stopped: CacheStore[]
}

function followStores (configured: readonly CacheStore[]): FollowedStores {
  const indexes = new Map<CacheStore, CacheStoreIndex>()
  const stopped: CacheStore[] = []
  const stores = createCacheStores((store, index) => {
    indexes.set(store, index)
    return { stop: () => { stopped.push(store) } }
  })
  stores.configure(configured)
  return { stores, indexes, stopped }
}

const platformStore = {
  read: async () => await Promise.reject(new Error('unexpected call of the platform store')),
  follow: async () => await Promise.reject(new Error('unexpected call of the platform store'))
}

interface ReplayResult {
  holds: (segment: string) => boolean
  /** Event number and wait of each call. */
  calls: Array<[number, number]>
}

/** Applies these responses of a cache store to an index, which is read again when the history is lost. */
async function replay (batches: CacheEvents[]): Promise<ReplayResult> {
  const calls: Array<[number, number]> = []
  const [store] = STORES
  const { stores, indexes } = followStores([store!])
  const index = indexes.get(store!)!
  const source = withCacheTables(platformStore, async (_endpoint, since, wait) => {
    calls.push([since, wait])
    return batches.shift()!
  })
  let version: number | undefined
  while (batches.length > 0) {
    try {
      const isFirst = version === undefined
      const table = cacheTableName(store!)
      const reading = version === undefined ? await source.read(table) : await source.follow(table, version, 1600)
      version = reading.version
      if (isFirst) index.replace(reading.rows)
      else index.update(reading.rows)
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error
      version = undefined
    }
  }
  return { holds: (segment) => stores.holds('s', segment), calls }
}

describe('the segments that a cache store holds', () => {
  it.each<[string, CacheEvents[], boolean]>([
    ['nothing in the first batch', [createBatch({})], false],
    ['an added segment', [createBatch({ events: [createEvent(true, 'a')] })], true],
    ['a segment of another scope', [createBatch({ events: [createEvent(true, 'a', 't')] })], false],
    ['a removed segment', [createBatch({ events: [createEvent(true, 'a')] }), createBatch({ events: [createEvent(false, 'a')] })], false],
    ['a segment added and removed in one batch', [createBatch({ events: [createEvent(true, 'a'), createEvent(false, 'a')] })], false],
    ['a segment that was added again', [createBatch({ events: [createEvent(true, 'a'), createEvent(false, 'a'), createEvent(true, 'a')] })], true],
    [
      'a segment from before a restart',
      [createBatch({ next: 9, events: [createEvent(true, 'a')] }), createBatch({ epoch: 2, next: 9 }), createBatch({ epoch: 2, next: 9 })],
      false
    ],
    [
      'a segment that may have been removed in a gap',
      [createBatch({ events: [createEvent(true, 'a')] }), createBatch({ lost: true }), createBatch({ lost: true })],
      false
    ]
  ])('%s', async (_title, batches, held) => {
    expect((await replay(batches)).holds('a')).toBe(held)
  })

  it('are followed by event number, with a permitted wait, and read completely after a restart', async () => {
    const before = [createBatch({ epoch: 77_120, next: 120 }), createBatch({ epoch: 77_120, next: 130 })]
    const { calls } = await replay([...before, createBatch({ epoch: 5, next: 3 }), createBatch({ epoch: 5, next: 3 })])
    expect(calls).toEqual([[0, 0], [120, 1000], [130, 1000], [0, 0]])
  })

  it('are read at the address in the name of the table', async () => {
    const requestedEndpoints: unknown[] = []
    const source = withCacheTables(platformStore, async (endpoint) => {
      requestedEndpoints.push(endpoint)
      return createBatch({})
    })
    await source.read(cacheTableName(STORES[1]!))
    expect(requestedEndpoints).toEqual([STORES[1]!.endpoint])
    await expect(source.read('kept-cache/nowhere')).rejects.toBeInstanceOf(PlatformUnavailableError)
  })
})

const SEGMENTS = Array.from({ length: 900 }, (_, index) => `part-${index}`)

describe('several cache stores', () => {
  it('hold about the same number of segments each', () => {
    const { stores } = followStores(STORES)
    for (const store of STORES) {
      const count = SEGMENTS.filter((segment) => stores.storeFor('s', segment) === store).length
      expect(count).toBeGreaterThan(SEGMENTS.length / STORES.length * 0.8)
    }
  })

  it('keep their segments when one store is removed, regardless of the order of the list', () => {
    const { stores, stopped } = followStores(STORES)
    const before = new Map(SEGMENTS.map((segment) => [segment, stores.storeFor('s', segment)]))
    stores.configure([STORES[2]!, STORES[0]!])
    for (const segment of SEGMENTS) {
      const store = before.get(segment)
      if (store !== STORES[1]) expect(stores.storeFor('s', segment)).toBe(store)
    }
    expect(stopped).toEqual([STORES[1]])
  })

  it('are queried only for segments that they are responsible for', () => {
    const { stores, indexes } = followStores(STORES)
    const responsible = stores.storeFor('s', 'a')!
    const other = STORES.find((store) => store !== responsible)!
    const row = { key: segmentKey('s', 'a'), value: Buffer.alloc(0), version: 1 }
    indexes.get(other)!.update([row])
    expect(stores.holds('s', 'a')).toBe(false)
    indexes.get(responsible)!.update([row])
    expect(stores.holds('s', 'a')).toBe(true)
  })

  it.each([[[], undefined], [[STORES[0]!], STORES[0]]])('selects the store in case %#', (configured, expected) => {
    expect(followStores(configured).stores.storeFor('s', 'a')).toBe(expected)
  })
})

/** Returns the hit rate of requests for shared segments; each store evicts the least recently requested segment. */
function hitRateOf (configured: readonly CacheStore[]): number {
  const storeCapacity = 350
  const { stores } = followStores(configured)
  const random = xoroshiro128plus(5)
  const storedSegments = new Map(configured.map((store) => [store, new Set<string>()]))
  let hits = 0
  const requests = 20_000
  for (let index = 0; index < requests; index += 1) {
    const segment = SEGMENTS[uniformInt(random, 0, SEGMENTS.length - 1)]!
    const segments = storedSegments.get(stores.storeFor('s', segment)!)!
    if (segments.delete(segment)) hits += 1
    segments.add(segment)
    if (segments.size > storeCapacity) segments.delete(segments.values().next().value!)
  }
  return hits / requests
}

describe('more shared segments than one store holds', () => {
  it('are cached when the stores together have the capacity', () => {
    expect(hitRateOf(STORES)).toBeGreaterThan(0.9)
    expect(hitRateOf(STORES.slice(0, 1))).toBeLessThan(0.45)
  })
})
