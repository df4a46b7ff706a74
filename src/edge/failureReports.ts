/**
 * Reports unreachable upstreams to the other instances of the data centre. Reachability differs between data centres,
 * so reports stay within one.
 */
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { setBounded } from '../boundedMap'
import type { ColdLimits } from './coldStart/coldLimits'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import { suspectUpstream, MIN_SUSPICION_MS, type Upstream, type UpstreamDirectory } from './upstreamDirectory'

/** Milliseconds without a byte from any upstream after which an instance considers its own network the cause. */
const OWN_NETWORK_SILENCE_MS = 1000
/** Number of upstreams remembered as reported; more than a data centre loses at once. */
const MAX_TRACKED_REPORTS = 1000

export interface FailureReports {
  /**
   * Reports an upstream, at most once within the shortest duration of a suspicion. An instance that receives nothing
   * from any upstream reports nothing.
   */
  report: (upstream: Upstream, now: MonotonicMilliseconds) => void
  /** Applies a report of another instance. */
  receive: (content: PeerValue, now: MonotonicMilliseconds) => void
}

export interface FailureReportsOptions {
  broadcast: PeerBroadcast['sendWithinDataCentre']
  directory: Pick<UpstreamDirectory, 'get' | 'all'>
  /** Learns of upstreams that may have restarted. */
  coldLimits: Pick<ColdLimits, 'recordLoss'>
  log: EdgeLog
  random: RandomSource
}

export function createFailureReports (
  { broadcast, directory, coldLimits, log, random }: FailureReportsOptions
): FailureReports {
  const reportedAt = new Map<string, MonotonicMilliseconds>()
  return {
    report ({ entry: { identifier, startedAt } }, now) {
      if (now - (reportedAt.get(identifier) ?? -Infinity) < MIN_SUSPICION_MS) return
      if (![...directory.all()].some(({ lastActivityAt }) => now - lastActivityAt < OWN_NETWORK_SILENCE_MS)) return
      setBounded(reportedAt, identifier, now, MAX_TRACKED_REPORTS)
      broadcast({ upstream: identifier, startedAt })
    },
    receive ({ upstream: identifier, startedAt }, now) {
      const upstream = typeof identifier === 'string' ? directory.get(identifier) : undefined
      // A report concerns one run of the upstream; a later run may be reachable.
      if (upstream === undefined || upstream.entry.startedAt !== startedAt) return
      const wasSuspected = now < upstream.suspectedUntil
      suspectUpstream(upstream, random(), now)
      if (now < upstream.suspectedUntil) coldLimits.recordLoss(upstream.entry, now)
      if (wasSuspected || now >= upstream.suspectedUntil) return
      log(EdgeEvent.upstreamSuspected, {
        upstream: upstream.entry.identifier, milliseconds: Math.round(upstream.suspectedUntil - now)
      })
    }
  }
}
