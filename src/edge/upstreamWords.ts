/**
 * What upstreams say of themselves in their answers: that they leave, or that they want no requests for a while.
 *
 * - The word that it leaves holds for the run of the upstream that gave it, whatever its entry says; all instances are told.
 * - A time without requests binds only the instance that was asked for it.
 */
import type { MonotonicMilliseconds } from '../types'
import { EdgeEvent, type EdgeLog } from './events'
import type { PeerBroadcast } from './peerBroadcast'
import type { PeerValue } from './peerLinks'
import type { UpstreamWord } from './types'
import { restUpstream, type Upstream, type UpstreamDirectory } from './upstreamDirectory'

export interface UpstreamWords {
  /** Takes in what an answer of the upstream says. */
  note: (upstream: Upstream, word: UpstreamWord, now: MonotonicMilliseconds) => void
  /** Takes in another instance's news. */
  take: (content: PeerValue) => void
}

export interface UpstreamWordsOptions {
  /** Tells all other instances. */
  send: PeerBroadcast['send']
  directory: Pick<UpstreamDirectory, 'markLeaving'>
  log: EdgeLog
}

export function createUpstreamWords ({ send, directory, log }: UpstreamWordsOptions): UpstreamWords {
  function noteLeaving (identifier: string, startedAt: number, isTold: boolean): boolean {
    if (!directory.markLeaving(identifier, startedAt)) return false
    log(EdgeEvent.upstreamLeaving, { upstream: identifier, startedAt, source: isTold ? 'peer' : 'answer' })
    return true
  }

  return {
    note (upstream, { leaving, restFor }, now) {
      const { identifier, startedAt } = upstream.entry
      if (leaving && noteLeaving(identifier, startedAt, false)) send({ upstream: identifier, startedAt })
      if (restFor === undefined) return
      restUpstream(upstream, restFor, now)
      log(EdgeEvent.upstreamRests, { upstream: identifier, milliseconds: Math.round(upstream.restsUntil - now) })
    },
    take ({ upstream, startedAt }) {
      if (typeof upstream === 'string' && typeof startedAt === 'number') noteLeaving(upstream, startedAt, true)
    }
  }
}
