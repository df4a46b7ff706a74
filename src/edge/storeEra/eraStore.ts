/** Wraps the store's client so that the era of each answer is recorded, and no answer of an earlier era is used. */
import { OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { EdgeEvent, type EdgeLog } from '../events'
import type { Instant, Store } from '../types'
import { createStoreEra, EraOrder, type StoreEra } from './storeEra'

/** Calls reject as those of the wrapped store; an answer of an earlier era counts as no answer. */
export function withStoreEra (store: Store, storeEra: StoreEra, now: () => Instant): Store {
  /** Returns a description of an answer that must not be used, otherwise undefined. */
  function outdated (era = 0): string | undefined {
    if (storeEra.observe(era, now()) !== EraOrder.older) return undefined
    return `the answer is of era ${era} of the store, which has reached era ${storeEra.current()}`
  }

  return {
    async read (table) {
      const reading = await store.read(table)
      const reason = outdated(reading.era)
      if (reason !== undefined) throw new PlatformUnavailableError(reason)
      return reading
    },
    async follow (table, after, wait) {
      const reading = await store.follow(table, after, wait)
      const reason = outdated(reading.era)
      if (reason !== undefined) throw new PlatformUnavailableError(reason)
      return reading
    },
    async commit (commit) {
      const result = await store.commit(commit)
      const reason = outdated(result.era)
      // The write may have been lost with the state of its era.
      if (reason !== undefined) throw new OutcomeUnknownError(reason)
      return result
    },
    close: store.close
  }
}

/** Creates the record of the store's era, which logs each change, and the client that keeps it up to date. */
export function openEraStore (client: Store, log: EdgeLog, now: () => Instant): { store: Store, storeEra: StoreEra } {
  const storeEra = createStoreEra()
  storeEra.subscribe(() => {
    log(EdgeEvent.storeEraChanged, { era: storeEra.current(), changes: storeEra.changes() })
  })
  return { store: withStoreEra(client, storeEra, now), storeEra }
}
