/**
 * Records the request limits that runs of upstreams have named, and makes them known to all instances.
 *
 * - A limit applies to one run of an upstream, and to the requests of all instances together.
 * - It ends when the run completes a request that was sent after the limit was last known to be in force, and names
 *   none. Answers to earlier requests may have been on their way when the limit began.
 * - It does not expire: without an answer nothing shows that it has ended.
 */
import type { MonotonicMilliseconds } from '../types'
import { setBounded } from '../boundedMap'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import { RequestLimitKind, type RequestLimitHint, type UpstreamRun } from './types'

/** Number of runs that are remembered; many more than are limited at a time. */
export const MAX_LIMITED_RUNS = 1000
/** Longest logged part of a limit that cannot be parsed. */
const MAX_LOGGED_CHARACTERS = 40
/**
 * Milliseconds after which a limit that is still named is announced again, for instances that have started or were
 * unreachable.
 */
const ANNOUNCE_INTERVAL_MS = 2000
/** Milliseconds between log lines on unparsable limits of one run. */
const UNREADABLE_LOG_INTERVAL_MS = 5000

interface NamedLimit {
  perSecond: number
  /** When a response or another instance last stated that the limit is in force. */
  confirmedAt: MonotonicMilliseconds
  /** When this or another instance last announced it. */
  announcedAt: MonotonicMilliseconds
}

export interface RequestLimits {
  /** Applies the limit in any response of a run, if it names one. */
  applyHint: (run: UpstreamRun, hint: RequestLimitHint, now: MonotonicMilliseconds) => void
  /**
   * Ends the limit of a run that has completed a request without naming one.
   * @param sentAt when that request was sent
   */
  applyAbsence: (run: UpstreamRun, sentAt: MonotonicMilliseconds) => void
  /** Applies an announcement of another instance. */
  receive: (content: PeerValue, now: MonotonicMilliseconds) => void
  /** Returns the limit in requests per second; undefined if none is in force. */
  limitOf: (run: UpstreamRun) => number | undefined
}

export interface RequestLimitsOptions {
  /** Notifies all other instances. */
  broadcast: PeerBroadcast['send']
  log: EdgeLog
}

/** Identifies a run among all runs of all upstreams. */
export function runKey ({ identifier, startedAt }: UpstreamRun): string {
  return `${identifier}/${startedAt}`
}

export function createRequestLimits ({ broadcast, log }: RequestLimitsOptions): RequestLimits {
  const limits = new Map<string, NamedLimit>()
  const unreadableLoggedAt = new Map<string, MonotonicMilliseconds>()

  /** Returns the recorded limit, after logging it if it is new or has changed. */
  function record (run: UpstreamRun, perSecond: number, now: MonotonicMilliseconds, isFromPeer: boolean): NamedLimit {
    const key = runKey(run)
    const limit = limits.get(key) ?? { perSecond: -1, confirmedAt: now, announcedAt: -Infinity }
    if (limit.perSecond !== perSecond) {
      log(EdgeEvent.upstreamLimited, { upstream: run.identifier, perSecond, source: isFromPeer ? 'peer' : 'answer' })
      // A changed limit is announced at once.
      limit.announcedAt = -Infinity
    }
    limit.perSecond = perSecond
    limit.confirmedAt = now
    setBounded(limits, key, limit, MAX_LIMITED_RUNS)
    return limit
  }

  function end (run: UpstreamRun, isFromPeer: boolean): void {
    limits.delete(runKey(run))
    log(EdgeEvent.upstreamLimitEnded, { upstream: run.identifier, source: isFromPeer ? 'peer' : 'answer' })
  }

  function logUnreadable (run: UpstreamRun, text: string, now: MonotonicMilliseconds): void {
    if (now - (unreadableLoggedAt.get(runKey(run)) ?? -Infinity) < UNREADABLE_LOG_INTERVAL_MS) return
    setBounded(unreadableLoggedAt, runKey(run), now, MAX_LIMITED_RUNS)
    log(EdgeEvent.upstreamLimitUnreadable, { upstream: run.identifier, limit: text.slice(0, MAX_LOGGED_CHARACTERS) })
  }

  return {
    applyHint (run, hint, now) {
      if (hint.kind === RequestLimitKind.invalid) logUnreadable(run, hint.text, now)
      if (hint.kind !== RequestLimitKind.named) return
      const limit = record(run, hint.perSecond, now, false)
      if (now - limit.announcedAt < ANNOUNCE_INTERVAL_MS) return
      limit.announcedAt = now
      const { identifier, startedAt } = run
      broadcast({ upstream: identifier, startedAt, perSecond: hint.perSecond })
    },
    applyAbsence (run, sentAt) {
      const limit = limits.get(runKey(run))
      if (limit === undefined || sentAt <= limit.confirmedAt) return
      end(run, false)
      broadcast({ upstream: run.identifier, startedAt: run.startedAt, ended: true })
    },
    receive ({ upstream, startedAt, perSecond, ended }, now) {
      if (typeof upstream !== 'string' || typeof startedAt !== 'number') return
      const run = { identifier: upstream, startedAt }
      if (ended === true) {
        if (limits.has(runKey(run))) end(run, true)
        return
      }
      if (typeof perSecond === 'number' && perSecond >= 0) record(run, perSecond, now, true).announcedAt = now
    },
    limitOf: (run) => limits.size === 0 ? undefined : limits.get(runKey(run))?.perSecond
  }
}
