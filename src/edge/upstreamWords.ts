/**
 * Applies the hints that upstreams give about themselves in responses: that they are leaving, or that they request a
 * back-off.
 *
 * - The leaving hint applies to the run of the upstream that gave it, regardless of its entry, and is sent to all
 *   instances.
 * - A back-off applies only to the instance that received it.
 */
import type { MonotonicMilliseconds } from '../types'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import type { UpstreamWord } from './types'
import { backOffUpstream, type Upstream, type UpstreamDirectory } from './upstreamDirectory'

export interface UpstreamWords {
  /** Applies the hint in a response of the upstream. */
  note: (upstream: Upstream, hint: UpstreamWord, now: MonotonicMilliseconds) => void
  /** Applies a notification of another instance. */
  take: (content: PeerValue) => void
}

export interface UpstreamHintsOptions {
  /** Notifies all other instances. */
  send: PeerBroadcast['send']
  directory: Pick<UpstreamDirectory, 'markLeaving'>
  log: EdgeLog
}

export function createUpstreamWords ({ send, directory, log }: UpstreamHintsOptions): UpstreamWords {
  function recordLeaving (identifier: string, startedAt: number, isFromPeer: boolean): boolean {
    if (!directory.markLeaving(identifier, startedAt)) return false
    log(EdgeEvent.upstreamLeaving, { upstream: identifier, startedAt, source: isFromPeer ? 'peer' : 'answer' })
    return true
  }

  return {
    note (upstream, { leaving, restFor }, now) {
      const { identifier, startedAt } = upstream.entry
      if (leaving && recordLeaving(identifier, startedAt, false)) send({ upstream: identifier, startedAt })
      if (restFor === undefined) return
      backOffUpstream(upstream, restFor, now)
      log(EdgeEvent.upstreamRests, { upstream: identifier, milliseconds: Math.round(upstream.restsUntil - now) })
    },
    take ({ upstream, startedAt }) {
      if (typeof upstream === 'string' && typeof startedAt === 'number') recordLeaving(upstream, startedAt, true)
    }
  }
}
