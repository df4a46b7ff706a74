/**
 * Plans which instances to request quota units from. In a large fleet the share of one instance is smaller than one
 * long prompt, so that units are idle at some instances while others reject requests. Units are transferred for one
 * request at a time: the sender lowers its share first, and units lost in transit stay lost, so that all instances
 * together never exceed the rate.
 */
import type { MonotonicMilliseconds, RandomSource } from '../types'
import type { Peer } from './types'

/** Rounds of requests for one caller request; each addresses instances that were not addressed before. */
const MAX_ROUNDS = 3
/** Number of instances per round; the first round uses the minimum, which doubles with each later round. */
const MIN_PEERS_PER_ROUND = 2
const MAX_PEERS_PER_ROUND = 16
/** Expected fill level of an instance's share, as a fraction. */
const EXPECTED_FILL = 0.4
/** Total units requested as a multiple of what is missing, since some instances have less. */
const REQUEST_SURPLUS = 1.5
/** Milliseconds without further requests after all rounds have failed; the shares refill little in less time. */
const EXHAUSTION_PAUSE_MS = 100

export interface TokenRequest {
  peer: Peer
  units: number
}

export interface TokenRequestRound {
  /** The usable peers. */
  peers: readonly Peer[]
  dataCentre: string
  /** Names of the peers that were already addressed for this caller request. */
  requestedPeers: ReadonlySet<string>
  missing: number
  /** Maximum units that one share holds. */
  capacity: number
  /** 0 for the first round. */
  round: number
}

function shuffled<Item> (items: readonly Item[], random: RandomSource): Item[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item)
}

/** Returns the requests of one round, instances of the local data centre first; empty after the last round. */
export function planTokenRequests (options: TokenRequestRound, random: RandomSource): readonly TokenRequest[] {
  const { peers, dataCentre, requestedPeers, missing, capacity, round } = options
  if (round >= MAX_ROUNDS || missing <= 0 || capacity <= 0) return []
  const others = shuffled(peers.filter(({ name }) => !requestedPeers.has(name)), random)
  const nearPeers = others.filter((peer) => peer.dataCentre === dataCentre)
  const candidates = [...nearPeers, ...others.filter((peer) => peer.dataCentre !== dataCentre)]
  const peersNeeded = Math.ceil(missing / (capacity * EXPECTED_FILL))
  const chosen = candidates.slice(
    0, Math.min(MAX_PEERS_PER_ROUND, Math.max(MIN_PEERS_PER_ROUND * 2 ** round, peersNeeded))
  )
  return chosen.map((peer) => ({ peer, units: Math.min(missing, missing * REQUEST_SURPLUS / chosen.length) }))
}

/** Remembers customers whose units are exhausted at all instances. */
export interface ExhaustedCustomers {
  /** @param responses instances that responded with too few units */
  record: (customer: string, responses: number, now: MonotonicMilliseconds) => void
  /** Returns the recent number of responses; undefined when other instances may have units. */
  responses: (customer: string, now: MonotonicMilliseconds) => number | undefined
}

export function createExhaustedCustomers (): ExhaustedCustomers {
  const exhausted = new Map<string, { responses: number, until: MonotonicMilliseconds }>()
  return {
    record (customer, responses, now) { exhausted.set(customer, { responses, until: now + EXHAUSTION_PAUSE_MS }) },
    responses (customer, now) {
      const entry = exhausted.get(customer)
      return entry !== undefined && now < entry.until ? entry.responses : undefined
    }
  }
}
