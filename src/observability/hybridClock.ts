/**
 * Hybrid logical clock: orders events of several processes so that an effect never precedes its cause, while staying
 * close to wall-clock time. Reference: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
import type { WallClockMilliseconds } from '../types'

/** Maximum amount, in milliseconds, by which an accepted remote time may be ahead of the local wall clock. */
const MAX_CLOCK_LEAD_MS = 60_000

export interface HybridTime {
  wall: WallClockMilliseconds
  counter: number
}

export interface HybridClock {
  /** Advances the clock for a local event or an outgoing message and returns the formatted time. */
  tick: (wallClock: WallClockMilliseconds) => string
  /** Merges the time of a received message. Ignores malformed times and times too far in the future. */
  observe: (remote: string, wallClock: WallClockMilliseconds) => void
}

/** Formats a time so that the lexicographic order of the strings is the order of the times. */
export function formatHybridTime (time: HybridTime): string {
  return `${String(time.wall).padStart(14, '0')}.${String(time.counter).padStart(6, '0')}`
}

/** Parses a formatted time. Returns undefined if the text is malformed. */
export function parseHybridTime (text: string): HybridTime | undefined {
  const match = /^(\d{14})\.(\d{6})$/.exec(text)
  return match === null ? undefined : { wall: Number(match[1]), counter: Number(match[2]) }
}

/** Creates a hybrid clock. Each process needs only one. */
export function createHybridClock (): HybridClock {
  let last: HybridTime = { wall: 0, counter: 0 }
  return {
    tick (wallClock) {
      last = wallClock > last.wall ? { wall: wallClock, counter: 0 } : { wall: last.wall, counter: last.counter + 1 }
      return formatHybridTime(last)
    },
    observe (remote, wallClock) {
      const time = parseHybridTime(remote)
      if (time === undefined || time.wall > wallClock + MAX_CLOCK_LEAD_MS) return
      if (time.wall > last.wall || (time.wall === last.wall && time.counter > last.counter)) last = time
    }
  }
}
