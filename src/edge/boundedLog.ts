/**
 * Event log of an edge daemon: rate-limited JSON lines on standard output. Lines about successful requests are dropped
 * first, so that rejections and failures can be explained even under load. Dropped lines are counted.
 */
import { pino, type DestinationStream } from 'pino'
import { EdgeEvent, type EdgeLog } from './events'

/** Maximum number of lines per second; at 300 bytes per line the log stays below 150 KB per second. */
const LINES_PER_SECOND = 500
/** Share of the lines that is reserved for events of high priority, such as rejections and failures. */
const HIGH_PRIORITY_SHARE = 0.3
/** Number of bytes collected before a write. */
const WRITE_BATCH_BYTES = 8192
/** Maximum number of unwritten bytes while the reader of standard output is stalled; further lines are dropped. */
const MAX_UNWRITTEN_BYTES = 1_048_576

/** Events whose lines are dropped first. */
const LOW_PRIORITY_EVENTS = new Set<EdgeEvent>([EdgeEvent.requestRouted, EdgeEvent.requestFinished])

export interface BoundedLogOptions {
  instance: string
  incarnation: number
  /** Monotonic clock in milliseconds. */
  now: () => number
  /** Wall clock in milliseconds. */
  wallClock: () => number
  /** @default standard output */
  destination?: DestinationStream
  /** @default 500 */
  linesPerSecond?: number
  /** Called for each dropped line. */
  onDropped?: () => void
}

export interface BoundedLog {
  log: EdgeLog
  /** Writes the collected lines without waiting for completion. */
  flush: () => void
  /** Writes the collected lines synchronously, at the end of the process. */
  close: () => void
}

export function createBoundedLog (options: BoundedLogOptions): BoundedLog {
  const { instance, incarnation, now, wallClock, linesPerSecond = LINES_PER_SECOND } = options
  const standardOutput = options.destination === undefined
    ? pino.destination({ dest: 1, sync: false, minLength: WRITE_BATCH_BYTES, maxLength: MAX_UNWRITTEN_BYTES })
    : undefined
  const logger = pino({
    base: { instance, incarnation },
    timestamp: () => `,"time":${wallClock()}`,
    formatters: { level: (label) => ({ level: label }) }
  }, options.destination ?? standardOutput!)
  let currentSecond = -Infinity
  let lines = 0
  let droppedLines = 0

  return {
    log (event, fields = {}) {
      const second = Math.floor(now() / 1000)
      if (second !== currentSecond) {
        currentSecond = second
        lines = 0
      }
      if (lines >= linesPerSecond * (LOW_PRIORITY_EVENTS.has(event) ? 1 - HIGH_PRIORITY_SHARE : 1)) {
        droppedLines += 1
        options.onDropped?.()
        return
      }
      lines += 1
      logger.info(droppedLines === 0 ? { event, ...fields } : { event, linesLeftOut: droppedLines, ...fields })
      droppedLines = 0
    },
    flush: () => { standardOutput?.flush() },
    close () {
      try {
        standardOutput?.flushSync()
      } catch {
        // Standard output is closed or its reader is stalled. The process is ending and has no other output.
      }
    }
  }
}
