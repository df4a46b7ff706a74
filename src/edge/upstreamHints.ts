/**
 * Applies the hints that upstreams give about themselves in responses: that they are leaving, request a back-off, or
 * take a limited number of requests.
 *
 * - The leaving hint applies to the run of the upstream that gave it, regardless of its entry, and is sent to all
 *   instances.
 * - A back-off applies only to the instance that received it.
 * - A request limit, and that of a cold upstream, applies to the requests of all instances together.
 */
import type { MonotonicMilliseconds } from '../types'
import type { ColdLimits } from './coldStart/coldLimits'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import type { RequestLimits } from './requestLimits'
import type { UpstreamHint } from './types'
import { backOffUpstream, type Upstream, type UpstreamDirectory } from './upstreamDirectory'

export interface UpstreamHints {
  /** Applies the hint in a response of the upstream. */
  apply: (upstream: Upstream, hint: UpstreamHint, now: MonotonicMilliseconds) => void
  /** Applies a notification of another instance. */
  receive: (content: PeerValue) => void
}

export interface UpstreamHintsOptions {
  /** Notifies all other instances. */
  broadcast: PeerBroadcast['send']
  directory: Pick<UpstreamDirectory, 'markLeaving'>
  requestLimits: Pick<RequestLimits, 'applyHint'>
  coldLimits: Pick<ColdLimits, 'applyHint'>
  log: EdgeLog
}

export function createUpstreamHints (
  { broadcast, directory, requestLimits, coldLimits, log }: UpstreamHintsOptions
): UpstreamHints {
  function recordLeaving (identifier: string, startedAt: number, isFromPeer: boolean): boolean {
    if (!directory.markLeaving(identifier, startedAt)) return false
    log(EdgeEvent.upstreamLeaving, { upstream: identifier, startedAt, source: isFromPeer ? 'peer' : 'answer' })
    return true
  }

  return {
    apply (upstream, { leaving, backOffFor, requestLimit, coldFor }, now) {
      const { identifier, startedAt } = upstream.entry
      if (leaving && recordLeaving(identifier, startedAt, false)) broadcast({ upstream: identifier, startedAt })
      requestLimits.applyHint(upstream.entry, requestLimit, now)
      coldLimits.applyHint(upstream.entry, coldFor, now)
      if (backOffFor === undefined) return
      backOffUpstream(upstream, backOffFor, now)
      log(EdgeEvent.upstreamBackingOff, { upstream: identifier, milliseconds: Math.round(upstream.backOffUntil - now) })
    },
    receive ({ upstream, startedAt }) {
      if (typeof upstream === 'string' && typeof startedAt === 'number') recordLeaving(upstream, startedAt, true)
    }
  }
}
