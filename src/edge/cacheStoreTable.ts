/** The store of kept cache, read as a table whose keys are the parts that it holds, from its own events. */
import { HistoryLostError, PlatformUnavailableError } from '../errors'
import type { Endpoint } from '../types'
import type { CacheEvents, EngineControl, StoreReading, StoreRow } from './types'

export const CACHE_TABLE = 'kept-cache'

/** Longest wait of a call for events in milliseconds, from the platform's pages. */
const LONGEST_WAIT_MS = 1000
/** Versions hold an epoch of the store and the number of an event within it. */
const EVENTS_PER_EPOCH = 2 ** 32
const EPOCHS = 2 ** 20
/** Rows of parts that are held have no content. */
const HELD = Buffer.alloc(0)

export interface CacheStoreReader {
  read: () => Promise<StoreReading>
  /** Rejects with `HistoryLostError` after a restart of the cache store and when events are gone. */
  follow: (after: number, wait: number) => Promise<StoreReading>
}

export function partKey (scope: string, part: string): string {
  return `${scope}/${part}`
}

function versionOf (epoch: number, event: number): number {
  return (epoch % EPOCHS) * EVENTS_PER_EPOCH + event
}

function readingOf ({ epoch, next, events }: CacheEvents): StoreReading {
  const version = versionOf(epoch, next)
  const rows = new Map<string, StoreRow>()
  for (const { added, scope, part } of events) {
    const key = partKey(scope, part)
    rows.set(key, { key, value: added ? HELD : undefined, version })
  }
  return { rows: [...rows.values()], version, storeTime: 0 }
}

/** @param endpoint address of the cache store; undefined while there is none */
export function createCacheStoreReader (
  readEvents: EngineControl['cacheEvents'], endpoint: () => Endpoint | undefined
): CacheStoreReader {
  async function ask (since: number, wait: number): Promise<CacheEvents> {
    const present = endpoint()
    if (present === undefined) throw new PlatformUnavailableError('there is no cache store')
    return await readEvents(present, since, wait)
  }

  return {
    async read () {
      const reading = readingOf(await ask(0, 0))
      return { ...reading, rows: reading.rows.filter(({ value }) => value !== undefined) }
    },
    async follow (after, wait) {
      const events = await ask(after % EVENTS_PER_EPOCH, Math.min(LONGEST_WAIT_MS, wait))
      const isOther = versionOf(events.epoch, 0) !== after - after % EVENTS_PER_EPOCH
      // After a gap a part may have been dropped unseen; a part taken for held would never be sent again.
      if (isOther || events.lost) throw new HistoryLostError('the cache store has restarted or its events are gone')
      return readingOf(events)
    }
  }
}
