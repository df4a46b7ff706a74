/**
 * Fetches crashes and convictions that this instance has missed from other instances, one at a time. Notifications reach
 * neither an instance that starts later nor one that is unreachable for a moment.
 */
import type { MonotonicMilliseconds, RandomSource } from '../types'
import { rendezvousWeight } from '../rendezvous'
import type { CrashAttribution, TraitDepths } from '../upstream/crashAttribution'
import type { CrashReports } from './crashReports'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import type { Peer } from './types'

/** Milliseconds between requests. */
const INTERVAL_MS = 2000
/** Number of peers that are asked by the first request. */
const FIRST_PEERS = 3
/** Timeout in milliseconds for the response of a peer. */
const RESPONSE_TIMEOUT_MS = 200
/** Milliseconds for which instances complete each other's traits of a crash; most reports arrive much earlier. */
const RECENT_MS = 60_000
/** Traits in one response, with which it stays far below the longest message. */
const MAX_TRAITS = 2000

/** Identifies a set of traits, regardless of their order. */
function digestOf (traits: TraitDepths): number {
  return [...traits.keys()].reduce((digest, trait) => digest ^ rendezvousWeight('traits', trait), 0)
}

/** Parses pairs of a run and the digest of its traits; others are ignored. */
function parseDigests (value: unknown): Map<string, number> {
  const pairs = Array.isArray(value) ? value.filter(Array.isArray) as unknown[][] : []
  return new Map(pairs.flatMap(([run, digest]) => (
    typeof run === 'string' && typeof digest === 'number' ? [[run, digest]] : []
  )))
}

export interface CrashSync {
  /** Asks a peer if that is due; called several times per second. */
  check: (now: MonotonicMilliseconds) => void
  /** Returns the crashes of which a peer does not know, or not all traits, and all convictions. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
}

export interface CrashSyncOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  /** The other instances. */
  peers: () => readonly Peer[]
  attribution: CrashAttribution
  crashReports: Pick<CrashReports, 'receive'>
  /** Monotonic clock in milliseconds. */
  now: () => number
  random: RandomSource
  onFault: (error: unknown) => void
}

export function createCrashSync (options: CrashSyncOptions): CrashSync {
  const { links, attribution, crashReports, now, random } = options
  let nextAt = -Infinity

  async function fetchFrom ({ endpoint }: Peer): Promise<void> {
    const known = attribution.charged().map(({ run, traits }) => [run, digestOf(traits)])
    const request = { kind: PeerRequestKind.crashSync, known }
    const response = await requestIfReachable(links, endpoint, request, RESPONSE_TIMEOUT_MS)
    if (response !== undefined) crashReports.receive(response, now())
  }

  return {
    check (present) {
      if (present < nextAt) return
      const peers = options.peers().filter(({ endpoint }) => links.isUsable(endpoint))
      if (peers.length === 0) return
      const isFirst = nextAt === -Infinity
      nextAt = present + INTERVAL_MS
      // An instance that has just started may ask another one that knows nothing yet.
      for (let count = isFirst ? FIRST_PEERS : 1; count > 0 && peers.length > 0; count -= 1) {
        const [peer] = peers.splice(Math.floor(random() * peers.length), 1)
        fetchFrom(peer!).catch(options.onFault)
      }
    },
    async handleRequest ({ known }) {
      const present = now()
      const knownDigests = parseDigests(known)
      let count = 0
      const crashes = attribution.charged().filter(({ run, at, traits }) => {
        const digest = knownDigests.get(run)
        const isKnown = digest !== undefined && (digest === digestOf(traits) || present - at > RECENT_MS)
        if (isKnown) return false
        count += traits.size
        return count <= MAX_TRAITS
      })
      return {
        crashes: crashes.map(({ run, at, traits, trials }) => ({
          run, age: present - at, trials, traits: [...traits].map(([trait, depth]) => ({ trait, depth }))
        })),
        convictions: attribution.convictions(present)
      }
    }
  }
}
