import { describe, expect, it } from 'vitest'
import { createCacheStoreIndex } from '../cacheStoreIndex'
import type { CacheEvents } from '../types'

const batch = (values: Partial<CacheEvents>): CacheEvents => ({ epoch: 1, next: 0, lost: false, events: [], ...values })
const event = (added: boolean, part: string): CacheEvents['events'][number] => ({ added, scope: 's', part })

describe('createCacheStoreIndex', () => {
  it.each<[string, CacheEvents[], boolean]>([
    ['nothing before the first batch', [], false],
    ['a part that came in', [batch({ events: [event(true, 'a')] })], true],
    ['another scope', [batch({ events: [{ added: true, scope: 't', part: 'a' }] })], false],
    ['a part that was dropped', [batch({ events: [event(true, 'a')] }), batch({ events: [event(false, 'a')] })], false],
    ['a part from before a restart', [batch({ events: [event(true, 'a')] }), batch({ epoch: 2 })], false],
    ['a part that may have been dropped in a gap', [batch({ events: [event(true, 'a')] }), batch({ lost: true })], false]
  ])('%s', (_title, batches, held) => {
    const index = createCacheStoreIndex()
    for (const one of batches) index.apply(one)
    expect(index.holds('s', 'a')).toBe(held)
  })

  it('asks for the events after those it knows, and for all after it forgot them', () => {
    const index = createCacheStoreIndex()
    index.apply(batch({ next: 120 }))
    expect(index.next()).toBe(120)
    index.clear()
    expect(index.next()).toBe(0)
  })
})
