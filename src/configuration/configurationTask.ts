/** Polls the platform for a new configuration revision and offers it to the tracker. */
import { RouterError } from '../errors'
import { LogEvent, type EventLog } from '../observability/events'
import type { PlatformClient } from '../platform/types'
import type { MonotonicMilliseconds } from '../types'
import { readConfigurationObject, readCurrentRow } from './apply'
import type { RevisionTracker } from './revisionTracker'

export interface ConfigurationTaskOptions {
  platform: Pick<PlatformClient, 'readRow' | 'readObject'>
  tracker: RevisionTracker
  /** @default no log */
  log?: EventLog
}

export interface ConfigurationTask {
  /** Polls once. Failures of the platform are kept for `lastError`; a tick that overlaps another one does nothing. */
  tick: (now: MonotonicMilliseconds) => Promise<void>
  /** Time of the last tick that reached the platform; undefined before the first one. */
  lastSuccess: () => MonotonicMilliseconds | undefined
  lastError: () => RouterError | undefined
}

export function createConfigurationTask (options: ConfigurationTaskOptions): ConfigurationTask {
  const { tracker, log } = options
  const platform = options.platform as PlatformClient
  let running = false
  let lastSuccess: MonotonicMilliseconds | undefined
  let lastError: RouterError | undefined

  async function poll (): Promise<void> {
    const row = await readCurrentRow(platform)
    if (row === undefined) return
    if (row.value.revision <= tracker.revision()) {
      if (row.value.revision < tracker.revision()) log?.(LogEvent.configurationIgnored, { revision: row.value.revision }, 'debug')
      return
    }
    const configuration = await readConfigurationObject(platform, row.value)
    if (tracker.offer({ revision: row.value.revision, configuration })) {
      log?.(LogEvent.configurationAccepted, { revision: row.value.revision, source: 'platform' })
    }
  }

  return {
    async tick (now) {
      if (running) return
      running = true
      try {
        await poll()
        lastSuccess = now
        lastError = undefined
      } catch (error) {
        if (!(error instanceof RouterError)) throw error
        lastError = error
      } finally {
        running = false
      }
    },
    lastSuccess: () => lastSuccess,
    lastError: () => lastError
  }
}
