/** Fleet membership: which router instances are known, which are alive, and to which peers this instance connects. */
import type { Greeting } from '../peer/messages'
import { InstanceState, type Endpoint, type Incarnation, type ListedInstance, type MonotonicMilliseconds } from '../types'
import { rankByRendezvous } from '../rendezvous'

/** Time in milliseconds without a message after which a peer is suspected of having failed. */
export const SUSPICION_TIMEOUT_MS = 3000
/** Largest fleet, in instances, that uses a full mesh. */
export const FULL_MESH_LIMIT = 16
/** Number of instances per data centre that connect to other data centres in a fleet without a full mesh. */
export const RELAYS_PER_DATA_CENTRE = 2
/** Time in milliseconds after which a member is removed that is not listed and from which nothing was received. */
const MEMBER_RETENTION_MS = 600_000

export interface MembershipOptions {
  self: { name: string, dataCentre: string, incarnation: Incarnation, endpoint: Endpoint }
  /** Peer addresses from the settings. @default [] */
  seeds?: readonly Endpoint[]
}

export interface Member {
  name: string
  dataCentre: string
  endpoint: Endpoint
  /** Set by a greeting; undefined while the instance is known only from the platform's list. */
  incarnation: Incarnation | undefined
  state: InstanceState
  /** Time of the last message from the member; undefined if none was received. */
  lastHeardAt: MonotonicMilliseconds | undefined
}

/** A process that has ended, as shown by a newer incarnation with its name or at its address. */
export interface ReplacedIncarnation {
  name: string
  endpoint: Endpoint
  incarnation: Incarnation
}

export interface Membership {
  /** Applies the platform's list. Members that it lacks are not removed at once, because the list may be incomplete. */
  setList: (instances: readonly ListedInstance[], now: MonotonicMilliseconds) => void
  /** Applies a greeting and returns the incarnations that it replaces. Greetings of older incarnations are ignored. */
  applyGreeting: (greeting: Greeting, now: MonotonicMilliseconds) => readonly ReplacedIncarnation[]
  /** Records the receipt of a heartbeat or any other message from a connected peer. */
  recordActivity: (name: string, state: InstanceState, now: MonotonicMilliseconds) => void
  /** Returns the addresses to which this instance should be connected, excluding its own. */
  wantedConnections: (now: MonotonicMilliseconds) => readonly Endpoint[]
  /** Returns the peers from which a message was received within the suspicion timeout, and this instance. */
  alive: (now: MonotonicMilliseconds) => readonly Member[]
  /** Returns the peers that sent messages before, but none within the suspicion timeout. */
  suspected: (now: MonotonicMilliseconds) => readonly Member[]
  /** Returns the live instances of this data centre, including this one. Its quota is divided by their number. */
  aliveInDataCentre: (now: MonotonicMilliseconds) => readonly Member[]
  /** Returns true if this instance is a relay of its data centre, or if the fleet is a full mesh without relays. */
  isRelay: (now: MonotonicMilliseconds) => boolean
  members: () => readonly Member[]
}

export function createMembership (options: MembershipOptions): Membership {
  const { self, seeds = [] } = options
  const members = new Map<string, Member>()
  const listed = new Set<string>()
  const lastSeenAt = new Map<string, MonotonicMilliseconds>()
  const ownMember: Member = { ...self, state: InstanceState.live, lastHeardAt: undefined }

  function isAlive (member: Member, now: MonotonicMilliseconds): boolean {
    return member === ownMember || (
      member.lastHeardAt !== undefined && now - member.lastHeardAt <= SUSPICION_TIMEOUT_MS
    )
  }

  function allMembers (): readonly Member[] {
    return [ownMember, ...members.values()]
  }

  /**
   * Returns the members that may serve as relays: all except suspected ones. Members that have not sent a message yet
   * are included, so that a new fleet can connect.
   */
  function relayCandidates (now: MonotonicMilliseconds): readonly Member[] {
    return allMembers().filter(member => member.lastHeardAt === undefined || isAlive(member, now))
  }

  function relaysOf (dataCentre: string, candidates: readonly Member[]): readonly Member[] {
    const names = rankByRendezvous(
      dataCentre, candidates.filter(member => member.dataCentre === dataCentre).map(({ name }) => name)
    )
    return names.slice(0, RELAYS_PER_DATA_CENTRE).map(name => candidates.find(member => member.name === name)!)
  }

  function removeExpiredMembers (now: MonotonicMilliseconds): void {
    for (const [name] of members) {
      if (!listed.has(name) && now - (lastSeenAt.get(name) ?? now) > MEMBER_RETENTION_MS) {
        members.delete(name)
        lastSeenAt.delete(name)
      }
    }
  }

  function wantedMembers (now: MonotonicMilliseconds): readonly Member[] {
    const all = allMembers()
    if (all.length <= FULL_MESH_LIMIT) return all
    const candidates = relayCandidates(now)
    const localMembers = all.filter(member => member.dataCentre === self.dataCentre)
    if (!relaysOf(self.dataCentre, candidates).includes(ownMember)) return localMembers
    const remoteDataCentres = [
      ...new Set(all.map(member => member.dataCentre))
    ].filter(dataCentre => dataCentre !== self.dataCentre)
    // Keep trying a data centre whose members are all suspected, so that the end of a network partition is noticed.
    const remoteRelays = remoteDataCentres.flatMap(dataCentre => {
      const relays = relaysOf(dataCentre, candidates)
      return relays.length > 0 ? relays : relaysOf(dataCentre, all)
    })
    return [...localMembers, ...remoteRelays]
  }

  return {
    setList (instances, now) {
      listed.clear()
      for (const instance of instances) {
        if (instance.kind !== 'router' || instance.peerEndpoint === undefined || instance.name === self.name) continue
        listed.add(instance.name)
        lastSeenAt.set(instance.name, now)
        const existing = members.get(instance.name)
        // The peer's own messages are newer than the list, which lags behind.
        if (existing?.incarnation !== undefined && isAlive(existing, now)) continue
        members.set(instance.name, {
          name: instance.name,
          dataCentre: instance.dataCentre,
          endpoint: instance.peerEndpoint,
          incarnation: existing?.incarnation,
          state: instance.state,
          lastHeardAt: existing?.lastHeardAt
        })
      }
      removeExpiredMembers(now)
    },
    applyGreeting (greeting, now) {
      const { instance: name, incarnation, dataCentre, endpoint } = greeting
      if (name === self.name) return []
      const existing = members.get(name)
      if (existing?.incarnation !== undefined && existing.incarnation > incarnation) return []
      const replaced = [...members.values()].filter((member) => {
        return member.incarnation !== undefined && member.incarnation < incarnation &&
          (member.name === name || sameEndpoint(member.endpoint, endpoint))
      })
      for (const member of replaced) members.delete(member.name)
      members.set(name, { name, dataCentre, endpoint, incarnation, state: InstanceState.live, lastHeardAt: now })
      lastSeenAt.set(name, now)
      return replaced.map(
        member => ({ name: member.name, endpoint: member.endpoint, incarnation: member.incarnation! })
      )
    },
    recordActivity (name, state, now) {
      const member = members.get(name)
      if (member === undefined) return
      members.set(name, { ...member, state, lastHeardAt: Math.max(member.lastHeardAt ?? now, now) })
      lastSeenAt.set(name, now)
    },
    wantedConnections (now) {
      const wanted = wantedMembers(now).filter(member => member !== ownMember).map(member => member.endpoint)
      // Seeds are needed only while no peer is alive; afterwards the instances at their addresses are known as members.
      const connected = [...members.values()].some(member => isAlive(member, now))
      const all = connected ? wanted : [...wanted, ...seeds]
      return uniqueEndpoints(all).filter(endpoint => !sameEndpoint(endpoint, self.endpoint))
    },
    alive: now => allMembers().filter(member => isAlive(member, now)),
    suspected: now => [...members.values()].filter(member => member.lastHeardAt !== undefined && !isAlive(member, now)),
    aliveInDataCentre: now => allMembers().filter(
      member => member.dataCentre === self.dataCentre && isAlive(member, now)
    ),
    isRelay: now => allMembers().length <= FULL_MESH_LIMIT ||
      relaysOf(self.dataCentre, relayCandidates(now)).includes(ownMember),
    members: () => [...members.values()]
  }
}

function sameEndpoint (left: Endpoint, right: Endpoint): boolean {
  return left.host === right.host && left.port === right.port
}

function uniqueEndpoints (endpoints: readonly Endpoint[]): readonly Endpoint[] {
  return [...new Map(endpoints.map(endpoint => [`${endpoint.host} ${endpoint.port}`, endpoint])).values()]
}
