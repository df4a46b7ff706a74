/**
 * Tells whether the engines of a service have plenty of room, so that nothing is refused.
 *
 * Load behind this: a service with few engines, each of which happens to process a prompt. The next prompt waits for its
 * end, which is no overload.
 */
import type { MonotonicMilliseconds } from '../../types'
import { expectedUse } from '../engineRoom/engineUse'
import type { EngineCapacity } from '../types'
import { isFleetLoadKnown, type Upstream, type UpstreamDirectory } from '../upstreamDirectory'

/** Part of the places, and of the memory, below which nothing is refused unless something waits. */
const CROWDED_PART = 0.5

export interface CrowdingOptions {
  directory: Pick<UpstreamDirectory, 'usable'>
  capacityOf: (upstream: Upstream) => Pick<EngineCapacity, 'memoryTokens' | 'slots'>
}

/**
 * Returns a function that tells whether under half of the room is taken and some engine has no more in front than one
 * request of the usual size, which it processes.
 */
export function createCrowding (
  { directory, capacityOf }: CrowdingOptions
): (service: string, usualTokens: number, now: MonotonicMilliseconds) => boolean {
  return (service, usualTokens, now) => {
    let [requests, slots, heldTokens, memory] = [0, 0, 0, 0]
    let shortestQueue = Infinity
    for (const upstream of directory.usable(service, now)) {
      if (!isFleetLoadKnown(upstream, now)) return false
      const use = expectedUse(upstream, now)
      const capacity = capacityOf(upstream)
      requests += use.requests
      slots += capacity.slots
      heldTokens += use.heldTokens
      memory += capacity.memoryTokens
      shortestQueue = Math.min(shortestQueue, use.prefillTokens)
    }
    return requests < slots * CROWDED_PART && heldTokens < memory * CROWDED_PART && shortestQueue <= usualTokens
  }
}
