/**
 * Knows which upstreams are cold, and how many requests per second a cold one takes from all instances together.
 *
 * Load pattern: an upstream that has just started has no queue, so that all instances prefer it at the same moment. It is
 * cold from its start, before its entry or an answer has told anybody.
 *
 * - A run is cold for the configured time from its start. A start that is not stated, or lies in the future, counts as the
 *   moment when the run was first seen.
 * - An entry, an answer or another instance may state that it is cold for longer, or cold again. Of several ends, the
 *   latest one counts: entries are old by up to the interval at which they are written.
 * - After a lost connection the upstream may be a new run already, whose entry has not been read yet.
 */
import { setBounded } from '../../boundedMap'
import type { MonotonicMilliseconds } from '../../types'
import { EdgeEvent, type EdgeLog } from '../events'
import type { PeerBroadcast } from '../peerBroadcast'
import type { PeerValue } from '../peerLinks'
import { runKey } from '../requestLimits'
import { UNKNOWN_START, type Instant, type ServiceTraits, type UpstreamEntry, type UpstreamRun } from '../types'

/** Number of runs that are remembered; many more than are listed at a time. */
const MAX_RUNS = 2000
/**
 * Milliseconds after a lost connection for which an upstream may be a new run that is not listed yet: two of the 1.2 s
 * between its entries, and the time to read them.
 */
const UNLISTED_RESTART_MS = 3000
/** Milliseconds by which an end must exceed the one known before to be logged, or told to other instances. */
const RELEVANT_EXTENSION_MS = 500

type ColdRun = Pick<UpstreamEntry, 'identifier' | 'startedAt' | 'service'>

interface KnownRun {
  service: string
  firstSeenAt: MonotonicMilliseconds
  /** Start of the run on the monotonic clock; not after `firstSeenAt`. */
  startedAt: MonotonicMilliseconds
  /** Latest end that the run has stated. */
  statedEnd: MonotonicMilliseconds
  /** End of the time after a lost connection in which the run may have been replaced. */
  restartEnd: MonotonicMilliseconds
  loggedEnd: MonotonicMilliseconds
}

const ColdSource = {
  entry: 'entry',
  answer: 'answer',
  peer: 'peer',
  lostConnection: 'lost_connection'
} as const
type ColdSource = typeof ColdSource[keyof typeof ColdSource]

export interface ColdLimits {
  /** Applies the services of a configuration. */
  configure: (services: readonly ServiceTraits[]) => void
  /** Applies an entry as received. */
  observeEntry: (entry: UpstreamEntry, now: Instant) => void
  /**
   * Applies what an answer states, and tells the other instances.
   * @param coldFor milliseconds for which the upstream remains cold; undefined if not stated
   */
  applyHint: (run: ColdRun, coldFor: number | undefined, now: MonotonicMilliseconds) => void
  /** Applies a notification of another instance. */
  receive: (content: PeerValue, now: MonotonicMilliseconds) => void
  /** Records that a connection to the run could not be opened or broke. */
  recordLoss: (run: ColdRun, now: MonotonicMilliseconds) => void
  /**
   * Forgets a run that is no longer listed, unless it has stated its start: without one, the next entry under its
   * identifier may be of another run.
   */
  forget: (run: UpstreamRun) => void
  /** Returns the requests per second that a cold run takes; undefined if it is not cold. */
  limitOf: (run: UpstreamRun, now: MonotonicMilliseconds) => number | undefined
  /** Returns how many of the runs are cold. */
  count: (listed: readonly UpstreamRun[], now: MonotonicMilliseconds) => number
}

export interface ColdLimitsOptions {
  /** Notifies all other instances. */
  broadcast: PeerBroadcast['send']
  log: EdgeLog
}

export function createColdLimits ({ broadcast, log }: ColdLimitsOptions): ColdLimits {
  const runs = new Map<string, KnownRun>()
  /** Services whose upstreams take a limited rate while they are cold, by name. */
  let services = new Map<string, ServiceTraits>()

  function coldEnd (run: KnownRun): MonotonicMilliseconds {
    const duration = services.get(run.service)?.coldStart ?? 0
    const startEnd = duration > 0 ? run.startedAt + duration : -Infinity
    return Math.max(startEnd, run.statedEnd, run.restartEnd)
  }

  function findOrCreate ({ identifier, startedAt, service }: ColdRun, now: MonotonicMilliseconds): KnownRun {
    const key = runKey({ identifier, startedAt })
    const known = runs.get(key) ?? {
      service, firstSeenAt: now, startedAt: -Infinity, statedEnd: -Infinity, restartEnd: -Infinity, loggedEnd: -Infinity
    }
    known.service = service
    setBounded(runs, key, known, MAX_RUNS)
    return known
  }

  /** Logs a time that the run remains cold if it is longer than logged before; returns whether it is. */
  function logExtension (run: ColdRun, known: KnownRun, source: ColdSource, now: MonotonicMilliseconds): boolean {
    const end = coldEnd(known)
    const perSecond = services.get(run.service)?.coldRate
    if (perSecond === undefined || end <= now || end - known.loggedEnd <= RELEVANT_EXTENSION_MS) return false
    known.loggedEnd = end
    log(EdgeEvent.upstreamCold, { upstream: run.identifier, milliseconds: Math.round(end - now), perSecond, source })
    return true
  }

  function applyStated (run: ColdRun, coldFor: number, source: ColdSource, now: MonotonicMilliseconds): boolean {
    const known = findOrCreate(run, now)
    if (coldFor > 0) known.statedEnd = Math.max(known.statedEnd, now + coldFor)
    return logExtension(run, known, source, now)
  }

  function limitOf (run: UpstreamRun, now: MonotonicMilliseconds): number | undefined {
    if (services.size === 0) return undefined
    const known = runs.get(runKey(run))
    return known === undefined || now >= coldEnd(known) ? undefined : services.get(known.service)?.coldRate
  }

  return {
    configure (next) {
      services = new Map(next.filter(({ coldRate }) => coldRate > 0).map((service) => [service.name, service]))
    },
    observeEntry (entry, { steady, wall }) {
      const known = findOrCreate(entry, steady)
      const age = entry.startedAt === UNKNOWN_START ? 0 : Math.max(0, wall - entry.startedAt)
      if (known.startedAt === -Infinity) {
        known.startedAt = Math.min(known.firstSeenAt, steady - age)
      }
      applyStated(entry, entry.coldFor ?? 0, ColdSource.entry, steady)
    },
    applyHint (run, coldFor, now) {
      if (coldFor === undefined || coldFor <= 0) return
      if (!applyStated(run, coldFor, ColdSource.answer, now)) return
      const { identifier, startedAt, service } = run
      broadcast({ upstream: identifier, startedAt, service, coldFor })
    },
    receive ({ upstream, startedAt, service, coldFor }, now) {
      if (typeof upstream !== 'string' || typeof startedAt !== 'number' || typeof service !== 'string') return
      if (typeof coldFor !== 'number' || !(coldFor > 0)) return
      applyStated({ identifier: upstream, startedAt, service }, coldFor, ColdSource.peer, now)
    },
    recordLoss (run, now) {
      if ((services.get(run.service)?.coldStart ?? 0) === 0) return
      const known = findOrCreate(run, now)
      known.restartEnd = now + UNLISTED_RESTART_MS
      logExtension(run, known, ColdSource.lostConnection, now)
    },
    forget (run) { if (run.startedAt === UNKNOWN_START) runs.delete(runKey(run)) },
    limitOf,
    count: (listed, now) => listed.filter((run) => limitOf(run, now) !== undefined).length
  }
}
