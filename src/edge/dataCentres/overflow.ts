/**
 * Decides which share of a service's requests may leave the data centre.
 *
 * Load behind this decision: the upstreams of a data centre are too few for a while, and those of others have room. All
 * instances see the same queue, and if each of them sent what it can elsewhere at once, they would leave and return in
 * unison. The share therefore changes in bounded steps, by the excess of the wait, between two thresholds that each
 * instance shifts by its own random draw.
 */
import type { MonotonicMilliseconds, RandomSource } from '../../types'

/** Fraction of the latency target that a request may wait in its own data centre before others are considered. */
const HOME_WAIT_SHARE = 0.2
/** Milliseconds by which another data centre must be better. */
const MIN_GAIN_MS = 10
/** Wait, relative to the threshold, below which the share falls. */
const RETURN_RATIO = 0.5
/** Growth of the share in one step when the wait is twice the threshold. */
const GROWTH = 0.15
/** Largest excess of the wait that counts, relative to the threshold. */
const MAX_EXCESS = 3
/** Decrease of the share in one step. */
const DECREASE = 0.05
/** Milliseconds between steps; longer than it takes until a request sent elsewhere shows in the load of the fleet. */
const STEP_MS = 150
/** Relative width within which an instance draws its thresholds and the time between its steps. */
const OWN_VARIATION = 0.3
/** Time without a request after which a share is forgotten. */
const FORGET_MS = 5000

interface ServiceState {
  share: number
  waits: number
  requests: number
  steppedAt: MonotonicMilliseconds
}

export interface OverflowRequest {
  service: string
  /** Milliseconds that the request would wait in its own data centre. */
  homeWait: number
  /** Latency target in milliseconds; 0 if there is none. */
  latencyTarget: number
  /** Cost in milliseconds of the nearest other data centre. */
  crossingCost: number
  /** Uniform in [0, 1). */
  draw: number
}

export interface Overflow {
  /** Whether the request may leave the data centre. */
  mayLeave: (request: OverflowRequest, now: MonotonicMilliseconds) => boolean
  /** Returns the share of each service's requests that may leave. */
  shares: () => ReadonlyMap<string, number>
}

export function createOverflow (random: RandomSource): Overflow {
  const services = new Map<string, ServiceState>()
  const thresholdFactor = 1 + (random() - 0.5) * OWN_VARIATION
  const stepMs = STEP_MS * (1 + (random() - 0.5) * OWN_VARIATION)

  function step (state: ServiceState, threshold: number): void {
    const wait = state.waits / state.requests
    if (wait > threshold) {
      state.share = Math.min(1, state.share + GROWTH * Math.min(MAX_EXCESS, (wait - threshold) / threshold))
    } else if (wait < threshold * RETURN_RATIO) state.share = Math.max(0, state.share - DECREASE)
    state.waits = 0
    state.requests = 0
  }

  return {
    mayLeave ({ service, homeWait, latencyTarget, crossingCost, draw }, now) {
      const previous = services.get(service)
      const state = previous !== undefined && now - previous.steppedAt < FORGET_MS
        ? previous
        : { share: 0, waits: 0, requests: 0, steppedAt: now }
      services.set(service, state)
      state.waits += homeWait
      state.requests += 1
      const threshold = Math.max(crossingCost + MIN_GAIN_MS, latencyTarget * HOME_WAIT_SHARE) * thresholdFactor
      if (now - state.steppedAt >= stepMs) {
        step(state, threshold)
        state.steppedAt = now
      }
      return draw < state.share
    },
    shares: () => new Map([...services].map(([service, { share }]) => [service, share]))
  }
}
