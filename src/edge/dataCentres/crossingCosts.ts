/** Learns what a request to another data centre costs, in milliseconds. */
import type { UpstreamEntry } from '../types'

/** Cost in milliseconds until a connection has shown one; one round trip between data centres. */
const DEFAULT_CROSSING_MS = 5
/** Round trips that a request costs: one to connect, as most requests use new connections, and one for the answer. */
const ROUND_TRIPS = 2
/** Price of the traffic between data centres, as milliseconds for 1,000 bytes: a prompt of 40 kB costs 10 ms. */
const MILLISECONDS_PER_1000_BYTES = 0.25
/** Weight of the newest connection. */
const SMOOTHING = 0.1
/** Largest ratio of a connection's time to the estimate that counts; a lost packet delays one by a second. */
const MAX_RATIO = 3
/** Times in milliseconds below which a connection was kept open from an earlier request. */
const KEPT_CONNECTION_MS = 0.1

export interface CrossingCosts {
  /** Records in how many milliseconds a connection was open. */
  recordConnection: (entry: UpstreamEntry, milliseconds: number) => void
  /** Returns the cost of sending a request of this many bytes to a data centre; 0 for the own one. */
  costOf: (dataCentre: string, bytes: number) => number
}

export function createCrossingCosts (ownDataCentre: string): CrossingCosts {
  /** Smoothed milliseconds to open a connection, by data centre. */
  const connections = new Map<string, number>()
  return {
    recordConnection ({ dataCentre }, milliseconds) {
      if (milliseconds < KEPT_CONNECTION_MS) return
      const previous = connections.get(dataCentre)
      if (previous === undefined) {
        connections.set(dataCentre, milliseconds)
        return
      }
      const bounded = Math.min(milliseconds, previous * MAX_RATIO)
      connections.set(dataCentre, previous + (bounded - previous) * SMOOTHING)
    },
    costOf (dataCentre, bytes) {
      if (dataCentre === ownDataCentre) return 0
      const connection = connections.get(dataCentre)
      const trips = connection === undefined
        ? DEFAULT_CROSSING_MS
        : Math.max(0, connection - (connections.get(ownDataCentre) ?? 0)) * ROUND_TRIPS
      return trips + bytes / 1000 * MILLISECONDS_PER_1000_BYTES
    }
  }
}
