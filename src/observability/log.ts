/** Event log: JSON lines on standard output, written by pino. */
import { pino, type DestinationStream } from 'pino'
import type { Incarnation } from '../types'
import type { EventLog } from './events'
import type { HybridClock } from './hybridClock'
import { createKeyRedaction, REDACTED } from './redaction'

/** Fields that hold credentials. Their values are redacted at the depths that `credentialPaths` lists. */
const CREDENTIAL_FIELDS = ['authorization', 'proxy-authorization', 'x-api-key', 'cookie', 'set-cookie', 'key', 'apiKey']

export const LogLevel = { debug: 'debug', info: 'info', warn: 'warn', error: 'error' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

export interface EventLogOptions {
  instance: string
  incarnation: Incarnation
  clock: HybridClock
  /** Returns the wall-clock time in milliseconds. @default Date.now */
  wallClock?: () => number
  /** Minimum level that is logged. @default 'info' */
  level?: LogLevel
  /** @default standard output */
  destination?: DestinationStream
}

export interface EventLogHandle {
  log: EventLog
  /** Registers a key value that must never appear in the log. */
  registerKey: (key: string) => void
  /** Flushes buffered lines synchronously. Called when the process ends. */
  flush: () => void
}

/**
 * Creates the event log of one process. Each line contains `event`, `instance`, `incarnation`, `clock` (hybrid logical
 * clock), `time` (wall-clock time in milliseconds) and the fields of the event.
 */
export function createEventLog (options: EventLogOptions): EventLogHandle {
  const wallClock = options.wallClock ?? Date.now
  const redaction = createKeyRedaction()
  const standardOutput = options.destination === undefined ? pino.destination({ dest: 1, sync: false }) : undefined
  const logger = pino({
    level: options.level ?? LogLevel.info,
    base: { instance: options.instance, incarnation: options.incarnation },
    timestamp: () => `,"time":${wallClock()}`,
    formatters: { level: (label) => ({ level: label }) },
    redact: { paths: CREDENTIAL_FIELDS.flatMap(credentialPaths), censor: REDACTED },
    hooks: { streamWrite: redaction.redact }
  }, options.destination ?? standardOutput as DestinationStream)
  return {
    log (event, fields = {}, level = LogLevel.info) {
      if (!logger.isLevelEnabled(level)) return
      logger[level]({ event, clock: options.clock.tick(wallClock()), ...fields })
    },
    registerKey: redaction.register,
    flush () {
      try {
        standardOutput?.flushSync()
      } catch {
        // The stream is not open yet or its reader has closed it, so nothing can be written.
      }
    }
  }
}

/** Returns the redaction paths of a field at the top level and at nesting depths one and two. */
function credentialPaths (field: string): string[] {
  return [`["${field}"]`, `*["${field}"]`, `*.*["${field}"]`]
}
