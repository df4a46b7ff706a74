/** Records the request limits that runs of upstreams have named. A limit applies to all instances together. */
import { EdgeEvent, type EdgeLog } from './events'
import { RequestLimitKind, type RequestLimitHint } from './types'
import type { Upstream } from './upstreamDirectory'

/** Number of runs whose limits are remembered; many more than are limited at a time. */
const MAX_LIMITED_RUNS = 1000
/** Longest logged part of a limit that cannot be parsed. */
const MAX_LOGGED_CHARACTERS = 40

export interface RequestLimits {
  /** Records the limit that a response of the upstream names, if any. */
  recordHint: (upstream: Upstream, hint: RequestLimitHint) => void
  /** Returns the limit in requests per second; undefined if the run has named none. */
  limitOf: (upstream: Upstream) => number | undefined
}

function runKey ({ entry: { identifier, startedAt } }: Upstream): string {
  return `${identifier}/${startedAt}`
}

export function createRequestLimits (log: EdgeLog): RequestLimits {
  /** Requests per second by run, the run recorded longest ago first. */
  const limits = new Map<string, number>()

  function recordLimit (upstream: Upstream, perSecond: number): void {
    const key = runKey(upstream)
    if (limits.get(key) === perSecond) return
    limits.delete(key)
    limits.set(key, perSecond)
    const oldest = limits.keys().next().value
    if (limits.size > MAX_LIMITED_RUNS && oldest !== undefined) limits.delete(oldest)
    log(EdgeEvent.upstreamLimited, { upstream: upstream.entry.identifier, perSecond })
  }

  return {
    recordHint (upstream, hint) {
      if (hint.kind === RequestLimitKind.named) return recordLimit(upstream, hint.perSecond)
      if (hint.kind === RequestLimitKind.invalid) {
        const limit = hint.text.slice(0, MAX_LOGGED_CHARACTERS)
        log(EdgeEvent.upstreamLimitUnreadable, { upstream: upstream.entry.identifier, limit })
      }
    },
    limitOf: (upstream) => limits.get(runKey(upstream))
  }
}
