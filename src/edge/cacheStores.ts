/**
 * Assigns prompt segments to cache stores, and tracks what each store holds so that only missing segments are sent to
 * it.
 *
 * Load patterns:
 * - Long shared prompts from many callers. An engine that exports a prompt to a store also exports the caller's own
 *   segment, which is never requested again. If every instance exported each prompt once, these segments would use half
 *   of the store's link and evict the shared ones.
 * - More shared segments than one store holds: the segments are distributed over all stores by rendezvous hashing, so
 *   that their capacities add up and all instances look for a segment in the same store.
 */
import { formatEndpoint } from '../http/endpoint'
import { rankByRendezvous } from '../rendezvous'
import { segmentKey } from './cacheStoreTable'
import type { Follower } from './storeFollower'
import type { CacheStore, StoreRow } from './types'

/** Receives the contents of one store. */
export interface CacheStoreIndex {
  /** Replaces the index by all segments that the store holds. */
  replace: (rows: readonly StoreRow[]) => void
  /** Applies added and removed segments. */
  update: (rows: readonly StoreRow[]) => void
}

export interface CacheStores {
  /** Applies the stores of a configuration; starts following new ones and stops following removed ones. */
  configure: (stores: readonly CacheStore[]) => void
  /** Returns the store that is responsible for a segment; undefined without stores. */
  storeFor: (scope: string, segment: string) => CacheStore | undefined
  /** Whether the responsible store held the segment at the last update. */
  holds: (scope: string, segment: string) => boolean
  stop: () => void
}

interface FollowedStore {
  store: CacheStore
  keys: Set<string>
  follower: Follower
}

function createIndex (keys: Set<string>): CacheStoreIndex {
  function update (rows: readonly StoreRow[]): void {
    for (const { key, value } of rows) {
      if (value === undefined) keys.delete(key)
      else keys.add(key)
    }
  }

  return {
    replace (rows) {
      keys.clear()
      update(rows)
    },
    update
  }
}

/** @param follow keeps the index of a store up to date until it is stopped */
export function createCacheStores (follow: (store: CacheStore, index: CacheStoreIndex) => Follower): CacheStores {
  /** Followed stores by address. */
  const followed = new Map<string, FollowedStore>()

  function responsibleStore (key: string): FollowedStore | undefined {
    const [address] = rankByRendezvous(key, [...followed.keys()])
    return address === undefined ? undefined : followed.get(address)
  }

  return {
    configure (stores) {
      const addresses = new Set(stores.map(({ endpoint }) => formatEndpoint(endpoint)))
      for (const [address, { follower }] of followed) {
        if (addresses.has(address)) continue
        follower.stop()
        followed.delete(address)
      }
      for (const store of stores) {
        const address = formatEndpoint(store.endpoint)
        if (followed.has(address)) continue
        const keys = new Set<string>()
        followed.set(address, { store, keys, follower: follow(store, createIndex(keys)) })
      }
    },
    storeFor: (scope, segment) => responsibleStore(segmentKey(scope, segment))?.store,
    holds (scope, segment) {
      const key = segmentKey(scope, segment)
      return responsibleStore(key)?.keys.has(key) ?? false
    },
    stop () {
      for (const { follower } of followed.values()) follower.stop()
    }
  }
}
