/**
 * Permits to send requests that may crash upstreams: one at a time for each trait, over all instances together.
 *
 * - One instance, the allocator of the trait, hands out the permits. All instances find it by rendezvous hashing.
 * - An instance that cannot reach the allocator asks the next ones, and decides by itself if it reaches none of them. Where
 *   instances cannot reach each other, each group of them sends one request at a time.
 * - A permit ends when its holder returns it, or after some time if the holder is gone.
 */
import { setBounded } from '../boundedMap'
import { PlatformUnavailableError } from '../errors'
import { rankByRendezvous } from '../rendezvous'
import type { MonotonicMilliseconds } from '../types'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import type { Peer } from './types'

/** Timeout in milliseconds for the response of an allocator; several round trips between data centres. */
const RESPONSE_TIMEOUT_MS = 60
/** Number of allocators that are asked before an instance decides by itself. */
const MAX_ALLOCATORS = 3
/** Milliseconds until a permit ends that is not returned. */
const PERMIT_LIFETIME_MS = 10_000
/** Milliseconds from the report of a crash until all instances have judged it. */
const JUDGEMENT_MS = 500
/** Interval in milliseconds between requests for a permit that another request has. */
const POLL_MS = 25
/** Number of traits with a permit; more than are suspect at a time. */
const MAX_PERMITS = 1000

export interface TrialPermit {
  /**
   * Returns the permit.
   * @param holdFor milliseconds until the next one may be handed out, in which the outcome may still become known
   */
  release: (holdFor: number) => void
}

export interface TrialPermits {
  /** Hands out the next permits soon, because the outcome of these trials is known. */
  endTrials: (traits: readonly string[]) => void
  /**
   * Waits for a permit that another request has. Resolves to undefined if it came too late or is not needed any more.
   * @param maximumWait milliseconds
   * @param isNeeded whether the trait is still suspect
   */
  waitFor: (trait: string, maximumWait: number, isNeeded: () => boolean) => Promise<TrialPermit | undefined>
  /** Handles the request of another instance for a permit, or its return. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
}

export interface TrialPermitsOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  instance: string
  /** The other instances. */
  peers: () => readonly Peer[]
  /** Monotonic clock in milliseconds. */
  now: () => number
  onFault: (error: unknown) => void
}

interface Grant {
  token: string
  until: MonotonicMilliseconds
}

export function createTrialPermits (options: TrialPermitsOptions): TrialPermits {
  const { links, instance, peers, now, onFault } = options
  /** Permits that this instance has handed out, by trait. */
  const grants = new Map<string, Grant>()
  let lastNumber = 0

  function grant (trait: string, token: string, present: MonotonicMilliseconds): boolean {
    if (present < (grants.get(trait)?.until ?? -Infinity)) return false
    setBounded(grants, trait, { token, until: present + PERMIT_LIFETIME_MS }, MAX_PERMITS)
    return true
  }

  function takeBack (trait: string, token: string, holdFor: number, present: MonotonicMilliseconds): void {
    const granted = grants.get(trait)
    if (granted?.token === token) granted.until = present + Math.min(holdFor, PERMIT_LIFETIME_MS)
  }

  function grantLocally (trait: string, token: string): TrialPermit | undefined {
    if (!grant(trait, token, now())) return undefined
    return { release (holdFor) { takeBack(trait, token, holdFor, now()) } }
  }

  async function askPeer ({ endpoint }: Peer, content: PeerValue): Promise<PeerValue | undefined> {
    return await requestIfReachable(
      links, endpoint, { kind: PeerRequestKind.trialPermits, ...content }, RESPONSE_TIMEOUT_MS
    )
  }

  async function acquire (trait: string): Promise<TrialPermit | undefined> {
    lastNumber += 1
    const token = `${instance}/${lastNumber}`
    const usablePeers = peers().filter(({ endpoint }) => links.isUsable(endpoint))
    const others = new Map(usablePeers.map((peer) => [peer.name, peer]))
    const allocators = rankByRendezvous(`trial of ${trait}`, [instance, ...others.keys()]).slice(0, MAX_ALLOCATORS)
    for (const name of allocators) {
      const peer = others.get(name)
      if (peer === undefined) break
      const response = await askPeer(peer, { trait, token })
      if (typeof response?.granted !== 'boolean') continue
      if (!response.granted) return undefined
      return { release (holdFor) { askPeer(peer, { trait, token, holdFor }).catch(onFault) } }
    }
    return grantLocally(trait, token)
  }

  return {
    endTrials (traits) {
      for (const trait of traits) {
        const granted = grants.get(trait)
        if (granted !== undefined) granted.until = Math.min(granted.until, now() + JUDGEMENT_MS)
      }
    },
    async waitFor (trait, maximumWait, isNeeded) {
      const end = now() + maximumWait
      while (isNeeded()) {
        const permit = await acquire(trait)
        if (permit !== undefined || now() + POLL_MS > end) return permit
        await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
      }
      return undefined
    },
    async handleRequest ({ trait, token, holdFor }) {
      if (typeof trait !== 'string' || typeof token !== 'string') {
        throw new PlatformUnavailableError('request for a trial permit is malformed')
      }
      if (typeof holdFor !== 'number') return { granted: grant(trait, token, now()) }
      takeBack(trait, token, holdFor, now())
      return {}
    }
  }
}
