/**
 * Attributes upstream crashes to the requests that were in flight, so that a request that brings down every upstream
 * that runs it is refused after `CRASH_LIMIT` crashes on all instances.
 *
 * All requests in flight at a crash are counted, since none can be told apart at that moment. A request is cleared of a
 * crash when it later gets clearly further than it was when that upstream died, or ends properly: a request that
 * reproduces the crash would have died there again. Without clearing, two unrelated crashes refuse long innocent streams.
 */
import { CRASH_LIMIT, CRASH_MEMORY_MS } from '../constants'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import type { CrashNotice } from '../peer/messages'

/** Chunks past the point of the crash after which a request counts as innocent of it. */
const CLEARING_MARGIN_CHUNKS = 32

/** Crashes, cleared ones included, after which a request is refused. Bounds crashes that do not depend on progress. */
const TOTAL_CRASH_LIMIT = CRASH_LIMIT + 1

export interface CrashLedgerOptions {
  /** Milliseconds for which a crash is remembered. @default CRASH_MEMORY_MS */
  memory?: number
  /** Most fingerprints remembered; the oldest go first. @default 10000 */
  maximumFingerprints?: number
}

export type CrashVerdict =
  | { kind: 'clear' }
  /** May run, but not beside another suspect: `avoid` names the upstreams that run one. */
  | { kind: 'suspect', avoid: readonly string[] }
  | { kind: 'refused', retryAfterMilliseconds: number }

export interface CrashLedger {
  verdict: (fingerprint: string, now: MonotonicMilliseconds) => CrashVerdict
  /** Records that an attempt was sent. Returns a handle for the calls below. */
  started: (fingerprint: string, upstream: string, incarnation: Incarnation) => AttemptHandle
  /** Counts a crash for everything in flight there; the notices go to all peers. Repeated calls add nothing. */
  upstreamDied: (upstream: string, incarnation: Incarnation, now: MonotonicMilliseconds) => readonly CrashNotice[]
  /** Takes in a peer's notice; true when it was new. */
  applyNotice: (notice: CrashNotice, now: MonotonicMilliseconds) => boolean
  /** All crashes remembered, for a starting peer. */
  notices: (now: MonotonicMilliseconds) => readonly CrashNotice[]
}

export interface AttemptHandle {
  /** Reports how many chunks of the whole answer there are; clears earlier crashes when far enough. */
  progressed: (chunks: number) => void
  /**
   * Ends the attempt. `completed` clears all earlier crashes. After a lost connection, call `upstreamDied` first when the
   * upstream turns out to be dead, since only attempts that have not ended are counted.
   */
  ended: (completed: boolean) => void
}

interface Crash {
  upstream: string
  incarnation: Incarnation
  at: MonotonicMilliseconds
  /** Chunks delivered when the upstream died. */
  chunks: number
  cleared: boolean
}

interface Flight {
  fingerprint: string
  upstream: string
  incarnation: Incarnation
  chunks: number
}

export function createCrashLedger (options: CrashLedgerOptions = {}): CrashLedger {
  const { memory = CRASH_MEMORY_MS, maximumFingerprints = 10_000 } = options
  const crashes = new Map<string, Crash[]>()
  const flights = new Set<Flight>()

  function remembered (fingerprint: string, now: MonotonicMilliseconds): Crash[] {
    const all = crashes.get(fingerprint)
    if (all === undefined) return []
    const recent = all.filter((crash) => now - crash.at < memory)
    if (recent.length === 0) crashes.delete(fingerprint)
    else if (recent.length < all.length) crashes.set(fingerprint, recent)
    return recent
  }

  function count (fingerprint: string, crash: Crash, now: MonotonicMilliseconds): boolean {
    const known = remembered(fingerprint, now)
    const same = known.some((one) => one.upstream === crash.upstream && one.incarnation === crash.incarnation)
    if (same) return false
    crashes.delete(fingerprint)
    crashes.set(fingerprint, [...known, crash])
    const oldest = crashes.keys().next().value
    if (crashes.size > maximumFingerprints && oldest !== undefined) crashes.delete(oldest)
    return true
  }

  function isSuspect (fingerprint: string, now: MonotonicMilliseconds): boolean {
    return remembered(fingerprint, now).some((crash) => !crash.cleared)
  }

  function clear (fingerprint: string, chunks: number): void {
    for (const crash of crashes.get(fingerprint) ?? []) {
      if (chunks >= crash.chunks + CLEARING_MARGIN_CHUNKS) crash.cleared = true
    }
  }

  return {
    verdict (fingerprint, now) {
      const known = remembered(fingerprint, now)
      const open = known.filter((crash) => !crash.cleared)
      if (open.length >= CRASH_LIMIT || known.length >= TOTAL_CRASH_LIMIT) {
        const newest = Math.max(...known.map((crash) => crash.at))
        return { kind: 'refused', retryAfterMilliseconds: newest + memory - now }
      }
      if (open.length === 0) return { kind: 'clear' }
      const avoid = [...flights].filter((flight) => isSuspect(flight.fingerprint, now)).map((flight) => flight.upstream)
      return { kind: 'suspect', avoid: [...new Set(avoid)] }
    },
    started (fingerprint, upstream, incarnation) {
      const flight: Flight = { fingerprint, upstream, incarnation, chunks: 0 }
      flights.add(flight)
      return {
        progressed (chunks) {
          flight.chunks = chunks
          if (crashes.has(fingerprint)) clear(fingerprint, chunks)
        },
        ended (completed) {
          flights.delete(flight)
          if (completed) clear(fingerprint, Infinity)
        }
      }
    },
    upstreamDied (upstream, incarnation, now) {
      const notices = new Map<string, CrashNotice>()
      for (const flight of flights) {
        if (flight.upstream !== upstream || flight.incarnation !== incarnation) continue
        const crash = { upstream, incarnation, at: now, chunks: flight.chunks, cleared: false }
        if (!count(flight.fingerprint, crash, now)) continue
        notices.set(flight.fingerprint, { kind: 'crashNotice', fingerprint: flight.fingerprint, upstream, incarnation, age: 0 })
      }
      return [...notices.values()]
    },
    applyNotice (notice, now) {
      if (notice.age >= memory) return false
      const { upstream, incarnation, age } = notice
      return count(notice.fingerprint, { upstream, incarnation, at: now - age, chunks: 0, cleared: false }, now)
    },
    notices (now) {
      return [...crashes.keys()].flatMap((fingerprint) => remembered(fingerprint, now).map((crash): CrashNotice => ({
        kind: 'crashNotice', fingerprint, upstream: crash.upstream, incarnation: crash.incarnation, age: now - crash.at
      })))
    }
  }
}
