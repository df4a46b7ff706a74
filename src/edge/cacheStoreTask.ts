/** Asks the store of kept cache for its events. */
import type { Endpoint } from '../types'
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import type { CacheEvents } from './types'
import type { CacheStoreIndex } from './cacheStoreIndex'

/** Milliseconds between calls; shorter than the time after which the same part is asked for again. */
const POLL_MS = 700
/** Milliseconds between calls while the store does not answer. */
const RETRY_MS = 2000

export interface CacheStoreTaskOptions {
  index: CacheStoreIndex
  /** Address of the store; undefined while there is none. */
  endpoint: () => Endpoint | undefined
  readEvents: (endpoint: Endpoint, since: number) => Promise<CacheEvents>
  log: EdgeLog
}

export interface CacheStoreTask {
  stop: () => void
}

export function startCacheStoreTask ({ index, endpoint, readEvents, log }: CacheStoreTaskOptions): CacheStoreTask {
  let stopped = false
  let isLost = false
  let timer = setTimeout(step, POLL_MS)

  function again (milliseconds: number): void {
    if (!stopped) timer = setTimeout(step, milliseconds)
  }

  function step (): void {
    const present = endpoint()
    if (present === undefined) return again(POLL_MS)
    readEvents(present, index.next()).then((events) => {
      index.apply(events)
      if (isLost) log(EdgeEvent.cacheStoreRegained, { parts: index.size() })
      isLost = false
      again(POLL_MS)
    }, (error: unknown) => {
      if (!isLost) log(EdgeEvent.cacheStoreLost, { reason: reasonOf(error) })
      isLost = true
      index.clear()
      again(RETRY_MS)
    })
  }

  return {
    stop () {
      stopped = true
      clearTimeout(timer)
    }
  }
}
