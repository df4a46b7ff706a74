/** Presents each cache store as a table whose keys are the segments that it holds, read from the store's events. */
import { HistoryLostError, PlatformUnavailableError } from '../errors'
import { formatEndpoint, parseEndpoint } from '../http/endpoint'
import { rendezvousWeight } from '../rendezvous'
import type { CacheEvents, CacheStore, EngineControl, Store, StoreReadResult, StoreRow } from './types'

type TableSource = Pick<Store, 'read' | 'follow'>

const TABLE_PREFIX = 'kept-cache/'
/** Longest wait in milliseconds of a call for events, as documented by the platform. */
const MAX_WAIT_MS = 1000
/** Versions combine an epoch of the store with the number of an event within it. */
const EVENTS_PER_EPOCH = 2 ** 32
const EPOCHS = 2 ** 20
/** Value of rows for segments that a store holds; these rows have no content. */
const PRESENT = Buffer.alloc(0)

/**
 * Returns the key of a segment in the table of its store. A hash keeps keys short, since relays report every added or
 * removed segment to every instance, a thousand per second in a large fleet. Of two segments with the same key, one is
 * not sent to the store.
 */
export function segmentKey (scope: string, segment: string): string {
  return rendezvousWeight(scope, segment).toString(36)
}

function versionOf (epoch: number, event: number): number {
  return (epoch % EPOCHS) * EVENTS_PER_EPOCH + event
}

function toReading ({ epoch, next, events }: CacheEvents): StoreReadResult {
  const version = versionOf(epoch, next)
  const rows = new Map<string, StoreRow>()
  for (const { added, scope, segment } of events) {
    const key = segmentKey(scope, segment)
    rows.set(key, { key, value: added ? PRESENT : undefined, version })
  }
  return { rows: [...rows.values()], version, storeTime: 0 }
}

/** Returns the table name of a cache store; it contains the address, so that any instance can read it for others. */
export function cacheTableName ({ endpoint }: CacheStore): string {
  return TABLE_PREFIX + formatEndpoint(endpoint)
}

export function isCacheTable (table: string): boolean {
  return table.startsWith(TABLE_PREFIX)
}

/** Extends the tables of the platform's store by those of the cache stores. */
export function withCacheTables (
  store: TableSource, readEvents: EngineControl['cacheEvents']
): TableSource {
  async function fetchEvents (table: string, since: number, wait: number): Promise<CacheEvents> {
    const endpoint = parseEndpoint(table.slice(TABLE_PREFIX.length))
    if (endpoint === undefined) throw new PlatformUnavailableError(`table ${table} is not the table of a cache store`)
    return await readEvents(endpoint, since, wait)
  }

  return {
    async read (table) {
      if (!isCacheTable(table)) return await store.read(table)
      const reading = toReading(await fetchEvents(table, 0, 0))
      return { ...reading, rows: reading.rows.filter(({ value }) => value !== undefined) }
    },
    /** Rejects with `HistoryLostError` after a restart of a cache store and when its events are no longer available. */
    async follow (table, after, wait) {
      if (!isCacheTable(table)) return await store.follow(table, after, wait)
      const events = await fetchEvents(table, after % EVENTS_PER_EPOCH, Math.min(MAX_WAIT_MS, wait))
      const hasOtherEpoch = versionOf(events.epoch, 0) !== after - after % EVENTS_PER_EPOCH
      // A removal may be missed in a gap; a segment wrongly considered present would never be sent again.
      if (hasOtherEpoch || events.lost) throw new HistoryLostError('the cache store has restarted or its events are no longer available')
      return toReading(events)
    }
  }
}
