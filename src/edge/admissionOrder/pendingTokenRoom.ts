/** Estimates when an engine could begin a request from the prompt tokens pending at the engines of the service. */
import type { MonotonicMilliseconds } from '../../types'
import { expectedPendingTokens, type UpstreamDirectory } from '../upstreamDirectory'
import type { ServiceRoom } from './types'

/** Engine time in milliseconds for 1,000 prompt tokens. */
const PREFILL_MS_PER_1000_TOKENS = 8
/** Rank of the engine, as a fraction of all, whose queue counts; prefixes keep requests from the shortest queues. */
const QUEUE_RANK = 0.25

export function createPendingTokenRoom (directory: Pick<UpstreamDirectory, 'usable'>): ServiceRoom {
  return {
    expectedStart (service: string, _tokens: number, now: MonotonicMilliseconds) {
      const pending = directory.usable(service, now).map((upstream) => expectedPendingTokens(upstream, now))
      if (pending.length === 0) return Infinity
      pending.sort((one, other) => one - other)
      return pending[Math.floor(pending.length * QUEUE_RANK)]! / 1000 * PREFILL_MS_PER_1000_TOKENS
    }
  }
}
