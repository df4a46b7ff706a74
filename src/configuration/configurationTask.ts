/** Polls the platform for new configuration revisions and passes them to the revision tracker. */
import { RouterError } from '../errors'
import { LogEvent, type EventLog } from '../observability/events'
import type { PlatformClient } from '../platform/types'
import type { MonotonicMilliseconds } from '../types'
import { readConfigurationObject, readCurrentRow } from './apply'
import type { RevisionTracker } from './revisionTracker'

export interface ConfigurationTaskOptions {
  platform: Pick<PlatformClient, 'readRow' | 'readObject'>
  tracker: RevisionTracker
  /** @default no logging */
  log?: EventLog
}

export interface ConfigurationTask {
  /** Polls once, and does nothing while another poll is running. Platform errors are reported by `lastError`. */
  tick: (now: MonotonicMilliseconds) => Promise<void>
  /** Returns the start time of the last successful poll, or undefined before the first one. */
  lastSuccess: () => MonotonicMilliseconds | undefined
  /** Returns the error of the last poll, or undefined if it succeeded. */
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
