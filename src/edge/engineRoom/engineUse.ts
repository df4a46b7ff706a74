/** Counts what requests use at an engine: those of this instance, and those of the whole fleet as far as known. */
import type { MonotonicMilliseconds } from '../../types'
import { isFleetLoadKnown, type Upstream } from '../upstreamDirectory'

/** What requests use at one engine. */
export interface EngineUse {
  /** Prompt tokens that wait for prefill and are not expected in the engine's cache. */
  prefillTokens: number
  /** Prompt and expected output of requests that were sent and have not ended. */
  heldTokens: number
  /** Number of these requests. */
  requests: number
}

/** Engines allocate memory in blocks of this many tokens. */
const BLOCK_TOKENS = 16

export const NO_USE: Readonly<EngineUse> = { prefillTokens: 0, heldTokens: 0, requests: 0 }

export function sumUses (one: EngineUse, other: EngineUse): EngineUse {
  return {
    prefillTokens: one.prefillTokens + other.prefillTokens,
    heldTokens: one.heldTokens + other.heldTokens,
    requests: one.requests + other.requests
  }
}

/** Returns the tokens that a request holds in an engine's memory until it ends. */
export function heldTokensOf (promptTokens: number, outputTokens: number): number {
  return Math.ceil((promptTokens + outputTokens) / BLOCK_TOKENS) * BLOCK_TOKENS
}

/** Returns what this instance's own requests use. */
export function ownUse ({ inFlight, pendingUncachedTokens, heldTokens }: Upstream): EngineUse {
  return { prefillTokens: pendingUncachedTokens, heldTokens, requests: inFlight }
}

/** Returns what the requests of all instances use if that is known, otherwise what this instance's requests use. */
export function expectedUse (upstream: Upstream, now: MonotonicMilliseconds): EngineUse {
  const own = ownUse(upstream)
  if (!isFleetLoadKnown(upstream, now)) return own
  const { fleetUse, useSinceUpdate } = upstream
  return {
    prefillTokens: Math.max(own.prefillTokens, fleetUse.prefillTokens + useSinceUpdate.prefillTokens),
    heldTokens: Math.max(own.heldTokens, fleetUse.heldTokens + useSinceUpdate.heldTokens),
    requests: Math.max(own.requests, fleetUse.requests + useSinceUpdate.requests)
  }
}

/** Records what the requests of all instances use. */
export function recordFleetUse (upstream: Upstream, use: EngineUse): void {
  upstream.fleetUse = use
  upstream.useSinceUpdate = NO_USE
}

/** Records a request that this instance sends to the engine. */
export function recordUseStart (upstream: Upstream, prefillTokens: number, heldTokens: number): void {
  upstream.pendingUncachedTokens += prefillTokens
  upstream.heldTokens += heldTokens
  upstream.useSinceUpdate = sumUses(upstream.useSinceUpdate, { prefillTokens, heldTokens, requests: 1 })
}
