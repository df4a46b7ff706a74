import { describe, expect, it } from 'vitest'
import { HistoryLostError, PlatformUnavailableError } from '../../errors'
import { createCacheStoreIndex } from '../cacheStoreIndex'
import { createCacheStoreReader } from '../cacheStoreTable'
import type { CacheEvents } from '../types'

const ENDPOINT = { host: '10.0.0.5', port: 8080 }
const batch = (values: Partial<CacheEvents>): CacheEvents => ({ epoch: 1, next: 0, lost: false, events: [], ...values })
const event = (added: boolean, part: string, scope = 's'): CacheEvents['events'][number] => ({ added, scope, part })

interface Replayed {
  holds: (part: string) => boolean
  /** Number and wait of each call. */
  calls: Array<[number, number]>
}

/** What an index holds after these answers of the cache store; it is read anew when the history is lost. */
async function replay (batches: CacheEvents[]): Promise<Replayed> {
  const calls: Array<[number, number]> = []
  const index = createCacheStoreIndex()
  const reader = createCacheStoreReader(async (_endpoint, since, wait) => {
    calls.push([since, wait])
    return batches.shift()!
  }, () => ENDPOINT)
  let version: number | undefined
  while (batches.length > 0) {
    try {
      const isFirst = version === undefined
      const reading = version === undefined ? await reader.read() : await reader.follow(version, 1600)
      version = reading.version
      if (isFirst) index.replace(reading.rows)
      else index.update(reading.rows)
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error
      version = undefined
    }
  }
  return { holds: (part) => index.holds('s', part), calls }
}

describe('the parts that the cache store holds', () => {
  it.each<[string, CacheEvents[], boolean]>([
    ['nothing in the first batch', [batch({})], false],
    ['a part that came in', [batch({ events: [event(true, 'a')] })], true],
    ['another scope', [batch({ events: [event(true, 'a', 't')] })], false],
    ['a part that was dropped', [batch({ events: [event(true, 'a')] }), batch({ events: [event(false, 'a')] })], false],
    ['a part that came and went in one batch', [batch({ events: [event(true, 'a'), event(false, 'a')] })], false],
    ['a part that came back', [batch({ events: [event(true, 'a'), event(false, 'a'), event(true, 'a')] })], true],
    [
      'a part from before a restart',
      [batch({ next: 9, events: [event(true, 'a')] }), batch({ epoch: 2, next: 9 }), batch({ epoch: 2, next: 9 })],
      false
    ],
    [
      'a part that may have been dropped in a gap',
      [batch({ events: [event(true, 'a')] }), batch({ lost: true }), batch({ lost: true })],
      false
    ]
  ])('%s', async (_title, batches, held) => {
    expect((await replay(batches)).holds('a')).toBe(held)
  })

  it('are followed by number, with a wait that the store permits, and read as a whole after a restart', async () => {
    const before = [batch({ epoch: 77_120, next: 120 }), batch({ epoch: 77_120, next: 130 })]
    const { calls } = await replay([...before, batch({ epoch: 5, next: 3 }), batch({ epoch: 5, next: 3 })])
    expect(calls).toEqual([[0, 0], [120, 1000], [130, 1000], [0, 0]])
  })

  it('are not known without a cache store', async () => {
    const reader = createCacheStoreReader(async () => batch({}), () => undefined)
    await expect(reader.read()).rejects.toBeInstanceOf(PlatformUnavailableError)
  })
})
