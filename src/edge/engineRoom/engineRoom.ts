/**
 * States what the engines of a service can take: whether a request fits into the memory and the slots of an engine, and
 * when the fleet can begin another prompt. Placement avoids full engines by it, and admission control refuses or holds
 * requests by it.
 *
 * Loads behind these decisions:
 * - Long prompts: ten of them fill the memory of an engine that has 64 slots. Further requests wait there while others
 *   have room, or crash the engine.
 * - Bursts and lost engines fill the engines that are left. A request that is sent all the same waits past its latency
 *   target, or is turned away.
 */
import type { MonotonicMilliseconds } from '../../types'
import { DEFAULT_MILLISECONDS_PER_1000_TOKENS } from '../engineSpeed/engineSpeeds'
import type { EngineCapacity } from '../types'
import type { Upstream, UpstreamDirectory } from '../upstreamDirectory'
import { expectedUse } from './engineUse'

/** Weight of the newest request in the mean duration of a service's requests. */
const DURATION_SMOOTHING = 0.05
/** Milliseconds that a request is assumed to take until one has ended. */
const DEFAULT_DURATION_MS = 300
/** Milliseconds until an engine that loads weights begins a prompt; about the duration of a load. */
const LOADING_MS = 1000

export interface EngineRoomOptions {
  directory: Pick<UpstreamDirectory, 'usable'>
  /** Returns the milliseconds in which the engine processes 1,000 prompt tokens that it has not cached, if learned. */
  millisecondsPer1000Tokens: (upstream: Upstream, now: MonotonicMilliseconds) => number | undefined
  /** Engines that reject requests because they load weights now or next. */
  loadingEngines: () => ReadonlySet<Upstream>
}

export interface EngineRoom {
  /**
   * Returns the milliseconds until an engine could begin a request: 0 if one has room now and no prompts in front,
   * Infinity if none is usable or the request fits into none.
   * @param tokens prompt and expected output of the request
   */
  expectedStart: (service: string, tokens: number, now: MonotonicMilliseconds) => number
  /** Returns how many requests of the usual size end per second at the usable engines; 0 while none runs. */
  drainRate: (service: string, now: MonotonicMilliseconds) => number
  /** Replaces the configured capacities; services without one have no known bound of memory. */
  configure: (capacities: readonly EngineCapacity[]) => void
  /** Returns what an upstream can hold: the configured capacity of its service, and the slots that it states itself. */
  capacityOf: (upstream: Upstream) => Pick<EngineCapacity, 'memoryTokens' | 'slots'>
  /** Records that a served request has ended. */
  recordEnd: (upstream: Upstream, duration: number) => void
}

export function createEngineRoom (options: EngineRoomOptions): EngineRoom {
  const { directory } = options
  let capacities = new Map<string, EngineCapacity>()
  /** Smoothed milliseconds from sending a request to its end, by service. */
  const durations = new Map<string, number>()

  function capacityOf ({ entry }: Upstream): Pick<EngineCapacity, 'memoryTokens' | 'slots'> {
    const capacity = capacities.get(entry.service)
    return {
      memoryTokens: capacity?.memoryTokens ?? Infinity,
      slots: Math.min(entry.slots, capacity?.slots ?? Infinity)
    }
  }

  function durationOf (service: string): number {
    return durations.get(service) ?? DEFAULT_DURATION_MS
  }

  /**
   * Returns the milliseconds until the engine has room for a request, from the rate at which its requests end, and until
   * the prompts in front of it are processed.
   */
  function startAt (upstream: Upstream, tokens: number, now: MonotonicMilliseconds): number {
    const { memoryTokens, slots } = capacityOf(upstream)
    if (tokens > memoryTokens) return Infinity
    const { prefillTokens, heldTokens, requests } = expectedUse(upstream, now)
    const excessTokens = heldTokens + tokens - memoryTokens
    const excessRequests = requests + 1 - slots
    const share = Math.max(
      0, excessTokens > 0 ? excessTokens / heldTokens : 0, excessRequests > 0 ? excessRequests / requests : 0
    )
    const speed = options.millisecondsPer1000Tokens(upstream, now) ?? DEFAULT_MILLISECONDS_PER_1000_TOKENS
    return Math.max(share * durationOf(upstream.entry.service), prefillTokens / 1000 * speed)
  }

  return {
    expectedStart (service, tokens, now) {
      const loading = options.loadingEngines()
      let earliest = Infinity
      for (const upstream of directory.usable(service, now)) {
        const start = startAt(upstream, tokens, now)
        earliest = Math.min(earliest, loading.has(upstream) ? Math.max(LOADING_MS, start) : start)
        if (earliest === 0) return 0
      }
      return earliest
    },
    drainRate (service, now) {
      const requests = directory.usable(service, now)
        .reduce((sum, upstream) => sum + Math.min(expectedUse(upstream, now).requests, capacityOf(upstream).slots), 0)
      return requests / durationOf(service) * 1000
    },
    configure (configured) { capacities = new Map(configured.map((capacity) => [capacity.service, capacity])) },
    capacityOf,
    recordEnd ({ entry: { service } }, duration) {
      const previous = durations.get(service) ?? duration
      durations.set(service, Math.max(1, previous + (duration - previous) * DURATION_SMOOTHING))
    }
  }
}
