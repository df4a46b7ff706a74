/**
 * Decides how many engines load new weights at the same time, and which ones come first.
 *
 * Loads behind these decisions:
 * - New weights every few seconds: an engine finishes its running requests before it loads, which takes several times as
 *   long as the load itself. With a fixed fraction under order, a rollout takes longer than the time to the next one, and
 *   most responses are computed on old weights although the other engines have room.
 * - Overload during a rollout: each engine under order adds its requests to the queues of the others, so only the
 *   smallest fraction loads then.
 */
import type { EngineRoom } from '../engineRoom/engineRoom'
import { expectedUse } from '../engineRoom/engineUse'
import type { MonotonicMilliseconds } from '../../types'
import { currentWait, isFleetLoadKnown, isUsable, type Upstream } from '../upstreamDirectory'

/**
 * Fraction of the usable engines that load at the same time. On the known deployments loading slows down if more
 * engines do so.
 */
const PARALLEL_FRACTION = 0.28
/** Fraction that loads while requests queue at the engines, so that the other engines can carry the load. */
const BUSY_PARALLEL_FRACTION = 0.2
/** Mean wait for the first byte in milliseconds above which the engines count as busy. */
const BUSY_WAIT_MS = 200
/** Largest fraction of engines under order, also if the others are idle: a burst finds at least the other half. */
const MAX_PARALLEL_FRACTION = 0.5
/** Occupancy up to which the engines that are not under order are filled by the requests of all. */
const TARGET_OCCUPANCY = 0.55
/** Time constant in milliseconds of the mean occupancy; the prompts in progress change many times a second. */
const OCCUPANCY_TIME_CONSTANT_MS = 1000
/** Steps in which engines are compared, so that the order does not change with each request. */
const OCCUPANCY_STEPS = 4

export interface LoadSchedule {
  /** Returns the maximum number of engines that may load at the same time. */
  limit: (engines: readonly Upstream[], now: MonotonicMilliseconds) => number
  /** Orders engines with equally old weights; the smallest comes first. */
  rank: (engine: Upstream, now: MonotonicMilliseconds) => number
  /** Whether the schedule uses the loads of the fleet. */
  usesLoads: boolean
}

function fixedLimit (engines: readonly Upstream[], now: MonotonicMilliseconds): number {
  const usable = engines.filter((upstream) => isUsable(upstream, now))
  // Rounded up, so that a rollout to few engines finishes within the time for which old weights may be used.
  return isBusy(usable, now)
    ? Math.max(1, Math.round(usable.length * BUSY_PARALLEL_FRACTION))
    : Math.max(1, Math.ceil(usable.length * PARALLEL_FRACTION))
}

function isBusy (usable: readonly Upstream[], now: MonotonicMilliseconds): boolean {
  const waits = usable.flatMap((upstream) => [...upstream.waits.keys()].map((rank) => currentWait(upstream, rank, now)))
  return waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length) > BUSY_WAIT_MS
}

/** Loads a fixed fraction of the engines at a time, in the order of their identifiers. */
export const fixedSchedule: LoadSchedule = { limit: fixedLimit, rank: () => 0, usesLoads: false }

/** Loads as many engines at a time as the others can replace, those with the fewest requests first. */
export function createCapacitySchedule (room: Pick<EngineRoom, 'capacityOf'>): LoadSchedule {
  let occupied: { engines: number, at: MonotonicMilliseconds } | undefined

  /** Returns the fraction of an engine's slots or memory that its requests take. */
  function occupancy (engine: Upstream, now: MonotonicMilliseconds): number {
    const { memoryTokens, slots } = room.capacityOf(engine)
    const { heldTokens, requests } = expectedUse(engine, now)
    return Math.max(requests / slots, heldTokens / memoryTokens)
  }

  /** Returns the smoothed number of engines that the present requests would fill. */
  function occupiedEngines (engines: readonly Upstream[], now: MonotonicMilliseconds): number {
    const present = engines.reduce((sum, engine) => (
      // While an engine reads a prompt, it has no room for another one, however few requests it runs.
      sum + (expectedUse(engine, now).prefillTokens > 0 ? 1 : Math.min(1, occupancy(engine, now)))
    ), 0)
    const weight = occupied === undefined ? 0 : Math.exp(-(now - occupied.at) / OCCUPANCY_TIME_CONSTANT_MS)
    occupied = { engines: present + ((occupied?.engines ?? 0) - present) * weight, at: now }
    return occupied.engines
  }

  return {
    limit (engines, now) {
      const smallest = fixedLimit(engines, now)
      const usable = engines.filter((upstream) => isUsable(upstream, now))
      if (!usable.some((upstream) => isFleetLoadKnown(upstream, now))) return smallest
      const needed = Math.ceil(occupiedEngines(engines, now) / TARGET_OCCUPANCY)
      if (isBusy(usable, now)) return smallest
      return Math.max(smallest, Math.min(engines.length - needed, Math.floor(engines.length * MAX_PARALLEL_FRACTION)))
    },
    rank: (engine, now) => Math.floor(occupancy(engine, now) * OCCUPANCY_STEPS),
    usesLoads: true
  }
}

/**
 * Returns the schedule for a deployment. A rollout of a service compares the responses of two versions, so the capacity of
 * their engines must not change much meanwhile: there the fraction is fixed.
 * @param exposure largest share of requests for a new version of a service; undefined where services have no rollouts
 */
export function createLoadSchedule (
  exposure: number | undefined, room: Pick<EngineRoom, 'capacityOf'>
): LoadSchedule {
  return exposure === undefined ? createCapacitySchedule(room) : fixedSchedule
}
