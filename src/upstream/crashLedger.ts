/**
 * Attributes upstream crashes to the requests in flight, so that a request that crashes every upstream that runs it is
 * rejected by all instances after `CRASH_LIMIT` crashes.
 *
 * A crash counts against all requests in flight on the upstream, since the cause cannot be determined at that moment.
 * It is cleared for a request that later completes, or progresses well past the point it had reached at the crash: a
 * request that reproduces the crash would have failed there again. Without clearing, two unrelated crashes would suffice
 * to reject a long stream that caused neither.
 */
import { CRASH_LIMIT, CRASH_MEMORY_MS } from '../constants'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import type { CrashNotice } from '../peer/messages'

/** Number of chunks past the point reached at the crash after which the crash is cleared for a request. */
const CLEARING_MARGIN_CHUNKS = 32

/**
 * Number of crashes, including cleared ones, after which a request is rejected. Bounds the crashes caused by a request
 * that crashes upstreams independently of its progress.
 */
const TOTAL_CRASH_LIMIT = CRASH_LIMIT + 1

export interface CrashLedgerOptions {
  /** Time for which a crash is kept, in milliseconds. @default CRASH_MEMORY_MS */
  memory?: number
  /** Maximum number of fingerprints kept; the oldest are evicted first. @default 10000 */
  maximumFingerprints?: number
}

export type CrashVerdict =
  | { kind: 'clear' }
  /** May run, but not on the same upstream as another suspect; `avoid` lists the upstreams that run one. */
  | { kind: 'suspect', avoid: readonly string[] }
  | { kind: 'refused', retryAfterMilliseconds: number }

export interface CrashLedger {
  /** Returns whether a request may run. */
  verdict: (fingerprint: string, now: MonotonicMilliseconds) => CrashVerdict
  /** Records that an attempt was sent. Returns a handle to report its progress and end. */
  started: (fingerprint: string, upstream: string, incarnation: Incarnation) => AttemptHandle
  /**
   * Records a crash for all attempts in flight on the upstream. Returns the notices to send to all peers. Repeated
   * calls for the same incarnation have no effect.
   */
  upstreamDied: (upstream: string, incarnation: Incarnation, now: MonotonicMilliseconds) => readonly CrashNotice[]
  /** Applies a notice from a peer; returns true when it was new. */
  applyNotice: (notice: CrashNotice, now: MonotonicMilliseconds) => boolean
  /** Returns all recorded crashes, to be sent to a peer that starts. */
  notices: (now: MonotonicMilliseconds) => readonly CrashNotice[]
}

export interface AttemptHandle {
  /** Reports the total number of chunks of the response so far; clears earlier crashes once it is far enough. */
  progressed: (chunks: number) => void
  /**
   * Ends the attempt. `completed` clears all earlier crashes. When a connection was lost because the upstream crashed,
   * call `upstreamDied` first, since it counts only attempts that have not ended.
   */
  ended: (completed: boolean) => void
}

interface Crash {
  upstream: string
  incarnation: Incarnation
  at: MonotonicMilliseconds
  /** Number of chunks delivered at the time of the crash. */
  chunks: number
  cleared: boolean
}

interface InFlightAttempt {
  fingerprint: string
  upstream: string
  incarnation: Incarnation
  chunks: number
}

export function createCrashLedger (options: CrashLedgerOptions = {}): CrashLedger {
  const { memory = CRASH_MEMORY_MS, maximumFingerprints = 10_000 } = options
  const crashes = new Map<string, Crash[]>()
  const inFlightAttempts = new Set<InFlightAttempt>()

  function recentCrashes (fingerprint: string, now: MonotonicMilliseconds): Crash[] {
    const all = crashes.get(fingerprint)
    if (all === undefined) return []
    const recent = all.filter((crash) => now - crash.at < memory)
    if (recent.length === 0) crashes.delete(fingerprint)
    else if (recent.length < all.length) crashes.set(fingerprint, recent)
    return recent
  }

  function recordCrash (fingerprint: string, crash: Crash, now: MonotonicMilliseconds): boolean {
    const known = recentCrashes(fingerprint, now)
    const alreadyRecorded = known.some((knownCrash) =>
      knownCrash.upstream === crash.upstream && knownCrash.incarnation === crash.incarnation)
    if (alreadyRecorded) return false
    crashes.delete(fingerprint)
    crashes.set(fingerprint, [...known, crash])
    const oldest = crashes.keys().next().value
    if (crashes.size > maximumFingerprints && oldest !== undefined) crashes.delete(oldest)
    return true
  }

  function isSuspect (fingerprint: string, now: MonotonicMilliseconds): boolean {
    return recentCrashes(fingerprint, now).some((crash) => !crash.cleared)
  }

  function clearCrashes (fingerprint: string, chunks: number): void {
    for (const crash of crashes.get(fingerprint) ?? []) {
      if (chunks >= crash.chunks + CLEARING_MARGIN_CHUNKS) crash.cleared = true
    }
  }

  return {
    verdict (fingerprint, now) {
      const known = recentCrashes(fingerprint, now)
      const uncleared = known.filter((crash) => !crash.cleared)
      if (uncleared.length >= CRASH_LIMIT || known.length >= TOTAL_CRASH_LIMIT) {
        const newest = Math.max(...known.map((crash) => crash.at))
        return { kind: 'refused', retryAfterMilliseconds: newest + memory - now }
      }
      if (uncleared.length === 0) return { kind: 'clear' }
      const avoid = [...inFlightAttempts]
        .filter((attempt) => isSuspect(attempt.fingerprint, now))
        .map((attempt) => attempt.upstream)
      return { kind: 'suspect', avoid: [...new Set(avoid)] }
    },
    started (fingerprint, upstream, incarnation) {
      const attempt: InFlightAttempt = { fingerprint, upstream, incarnation, chunks: 0 }
      inFlightAttempts.add(attempt)
      return {
        progressed (chunks) {
          attempt.chunks = chunks
          if (crashes.has(fingerprint)) clearCrashes(fingerprint, chunks)
        },
        ended (completed) {
          inFlightAttempts.delete(attempt)
          if (completed) clearCrashes(fingerprint, Infinity)
        }
      }
    },
    upstreamDied (upstream, incarnation, now) {
      const notices = new Map<string, CrashNotice>()
      for (const attempt of inFlightAttempts) {
        if (attempt.upstream !== upstream || attempt.incarnation !== incarnation) continue
        const crash = { upstream, incarnation, at: now, chunks: attempt.chunks, cleared: false }
        if (!recordCrash(attempt.fingerprint, crash, now)) continue
        notices.set(attempt.fingerprint, { kind: 'crashNotice', fingerprint: attempt.fingerprint, upstream, incarnation, age: 0 })
      }
      return [...notices.values()]
    },
    applyNotice (notice, now) {
      if (notice.age >= memory) return false
      const { upstream, incarnation, age } = notice
      return recordCrash(notice.fingerprint, { upstream, incarnation, at: now - age, chunks: 0, cleared: false }, now)
    },
    notices (now) {
      return [...crashes.keys()].flatMap((fingerprint) => recentCrashes(fingerprint, now).map((crash): CrashNotice => ({
        kind: 'crashNotice', fingerprint, upstream: crash.upstream, incarnation: crash.incarnation, age: now - crash.at
      })))
    }
  }
}
