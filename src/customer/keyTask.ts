/** Polls the key table for changed rows and applies them to the key set. */
import { PlatformTable } from '../constants'
import { RouterError } from '../errors'
import { LogEvent, type EventLog } from '../observability/events'
import type { PlatformClient, TableRow } from '../platform/types'
import type { KeyRecord, MonotonicMilliseconds } from '../types'
import type { KeyRow } from './keyStore'
import type { KeySet } from './keys'

export interface KeyTaskOptions {
  platform: Pick<PlatformClient, 'readTable'>
  keys: KeySet
  /** Called with the records that changed the key set, so that peers can be notified. @default no callback */
  onChanged?: (records: readonly KeyRecord[]) => void
  /** @default no logging */
  log?: EventLog
}

export interface KeyTask {
  /** Polls once. Stores a platform failure for `lastError`. Does nothing while another tick is running. */
  tick: (now: MonotonicMilliseconds) => Promise<void>
  lastError: () => RouterError | undefined
}

export function toKeyRecord (row: TableRow<KeyRow>): KeyRecord {
  return { hash: row.key, customer: row.value.customer, state: row.value.state, version: row.version }
}

export function createKeyTask (options: KeyTaskOptions): KeyTask {
  const { platform, keys, onChanged, log } = options
  // Advanced only by responses of the platform: a notification from a peer may contain a later version while earlier
  // ones are still missing here.
  let cursor = 0
  let running = false
  let lastError: RouterError | undefined

  return {
    async tick (now) {
      if (running) return
      running = true
      try {
        const rows = await platform.readTable<KeyRow>(PlatformTable.keys, { afterVersion: cursor })
        const changed = keys.apply(rows.map(toKeyRecord))
        for (const row of rows) cursor = Math.max(cursor, row.version)
        // The rows are only as recent as the time at which the read was sent.
        keys.confirm(now)
        lastError = undefined
        for (const record of changed) {
          log?.(record.state === 'withdrawn' ? LogEvent.keyWithdrawn : LogEvent.keyChanged, { customer: record.customer, keyVersion: record.version })
        }
        if (changed.length > 0) onChanged?.(changed)
      } catch (error) {
        if (!(error instanceof RouterError)) throw error
        lastError = error
      } finally {
        running = false
      }
    },
    lastError: () => lastError
  }
}
