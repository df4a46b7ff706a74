/**
 * Hybrid logical clock: orders events of several processes so that an effect never comes before its cause, and stays
 * close to wall-clock time. Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
import type { WallClockMilliseconds } from '../types'

/** Largest lead over the local wall clock that a remote time may cause, in milliseconds. */
const MAXIMUM_LEAD_MS = 60_000

export interface HybridTime {
  wall: WallClockMilliseconds
  counter: number
}

export interface HybridClock {
  /** Time of a local event or of a message about to be sent. */
  tick: (wallClock: WallClockMilliseconds) => string
  /** Takes in the time of a received message. Malformed times and times too far ahead are ignored. */
  observe: (remote: string, wallClock: WallClockMilliseconds) => void
}

/** Formats so that comparing the texts compares the times. */
export function formatHybridTime (time: HybridTime): string {
  return `${String(time.wall).padStart(14, '0')}.${String(time.counter).padStart(6, '0')}`
}

/** Parses a formatted time; undefined when the text is malformed. */
export function parseHybridTime (text: string): HybridTime | undefined {
  const match = /^(\d{14})\.(\d{6})$/.exec(text)
  return match === null ? undefined : { wall: Number(match[1]), counter: Number(match[2]) }
}

/** Creates a clock; one is enough for a process. */
export function createHybridClock (): HybridClock {
  let last: HybridTime = { wall: 0, counter: 0 }
  return {
    tick (wallClock) {
      last = wallClock > last.wall ? { wall: wallClock, counter: 0 } : { wall: last.wall, counter: last.counter + 1 }
      return formatHybridTime(last)
    },
    observe (remote, wallClock) {
      const time = parseHybridTime(remote)
      if (time === undefined || time.wall > wallClock + MAXIMUM_LEAD_MS) return
      if (time.wall > last.wall || (time.wall === last.wall && time.counter > last.counter)) last = time
    }
  }
}
