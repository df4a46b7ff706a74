/**
 * Event log of an edge daemon: JSON lines on standard output within a budget. Lines of successes are left out first, so
 * that refusals and failures stay explainable under load; what was left out is counted.
 */
import { pino, type DestinationStream } from 'pino'
import { EdgeEvent, type EdgeLog } from './events'

/** Lines a second; with 300 bytes a line the log stays below 150 KB a second. */
const LINES_PER_SECOND = 500
/** Part of the budget that ordinary lines leave to refusals and failures. */
const RESERVED_SHARE = 0.3
/** Bytes collected before they are written. */
const BATCH_BYTES = 8192
/** Bytes kept for a reader that has stopped reading; later lines are dropped. */
const BACKLOG_BYTES = 1_048_576

/** Lines that are left out first. */
const ORDINARY = new Set<EdgeEvent>([EdgeEvent.requestRouted, EdgeEvent.requestFinished])

export interface BoundedLogOptions {
  instance: string
  incarnation: number
  /** Steady clock in milliseconds. */
  now: () => number
  /** Wall clock in milliseconds. */
  wallClock: () => number
  /** @default standard output */
  destination?: DestinationStream
  /** @default 500 */
  linesPerSecond?: number
  /** Called for each line that is left out. */
  onLeftOut?: () => void
}

export interface BoundedLog {
  log: EdgeLog
  /** Writes collected lines without waiting for them. */
  flush: () => void
  /** Writes collected lines, for the end of the process. */
  close: () => void
}

export function createBoundedLog (options: BoundedLogOptions): BoundedLog {
  const { instance, incarnation, now, wallClock, linesPerSecond = LINES_PER_SECOND } = options
  const standardOutput = options.destination === undefined
    ? pino.destination({ dest: 1, sync: false, minLength: BATCH_BYTES, maxLength: BACKLOG_BYTES })
    : undefined
  const logger = pino({
    base: { instance, incarnation },
    timestamp: () => `,"time":${wallClock()}`,
    formatters: { level: (label) => ({ level: label }) }
  }, options.destination ?? standardOutput!)
  let second = -Infinity
  let lines = 0
  let leftOut = 0

  return {
    log (event, fields = {}) {
      const present = Math.floor(now() / 1000)
      if (present !== second) {
        second = present
        lines = 0
      }
      if (lines >= linesPerSecond * (ORDINARY.has(event) ? 1 - RESERVED_SHARE : 1)) {
        leftOut += 1
        options.onLeftOut?.()
        return
      }
      lines += 1
      logger.info(leftOut === 0 ? { event, ...fields } : { event, linesLeftOut: leftOut, ...fields })
      leftOut = 0
    },
    flush: () => { standardOutput?.flush() },
    close () {
      try {
        standardOutput?.flushSync()
      } catch {
        // Standard output is gone or its reader does not read; the process ends and there is no other place to write to.
      }
    }
  }
}
