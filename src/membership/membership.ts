/** Membership of the fleet of routers: who is known, who is alive, and which peers this instance connects to. */
import type { Greeting } from '../peer/messages'
import { InstanceState, type Endpoint, type Incarnation, type ListedInstance, type MonotonicMilliseconds } from '../types'
import { rankByRendezvous } from '../rendezvous'

/** Milliseconds without a heartbeat after which a peer is suspected. */
export const SUSPICION_MS = 3000
/** Up to this number of instances, all are connected with all. */
export const FULL_MESH_LIMIT = 16
/** Instances of each data centre that connect to other data centres in a larger fleet. */
export const RELAYS = 2
/** Time after which an instance that is neither listed nor a seed nor heard of is forgotten. */
const FORGET_MS = 600_000

export interface MembershipOptions {
  self: { name: string, dataCentre: string, incarnation: Incarnation, endpoint: Endpoint }
  /** Peer addresses of the settings. @default [] */
  seeds?: readonly Endpoint[]
}

export interface Member {
  name: string
  dataCentre: string
  endpoint: Endpoint
  /** Known from a greeting only; undefined while the instance is known from the list alone. */
  incarnation: Incarnation | undefined
  state: InstanceState
  /** When something was last received from it. */
  heardAt: MonotonicMilliseconds | undefined
}

/** A process has ended, because a newer incarnation runs under its name or at its address. */
export interface ReplacedIncarnation {
  name: string
  endpoint: Endpoint
  incarnation: Incarnation
}

export interface Membership {
  /** Takes in the platform's list. Absence from it does not end a member: the platform may have lost sight of it. */
  setList: (instances: readonly ListedInstance[], now: MonotonicMilliseconds) => void
  /** Takes in a greeting. Returns the incarnations that have thereby ended; a greeting of an older incarnation changes nothing. */
  greeted: (greeting: Greeting, now: MonotonicMilliseconds) => readonly ReplacedIncarnation[]
  /** Notes a heartbeat or any other message of a connected peer. */
  heard: (name: string, state: InstanceState, now: MonotonicMilliseconds) => void
  /** Addresses that should be connected now, without this instance's own. */
  wantedConnections: (now: MonotonicMilliseconds) => readonly Endpoint[]
  /** Peers heard of within the suspicion time, with this instance itself. */
  alive: (now: MonotonicMilliseconds) => readonly Member[]
  /** Peers that were heard of once and are silent for longer than the suspicion time. */
  suspected: (now: MonotonicMilliseconds) => readonly Member[]
  /** Live instances of the own data centre, with this one; the quota of the data centre is divided by their number. */
  aliveInDataCentre: (now: MonotonicMilliseconds) => readonly Member[]
  /** True when this instance is one of its data centre's relays, or the fleet is small enough to have none. */
  isRelay: (now: MonotonicMilliseconds) => boolean
  members: () => readonly Member[]
}

export function createMembership (options: MembershipOptions): Membership {
  const { self, seeds = [] } = options
  const members = new Map<string, Member>()
  const listed = new Set<string>()
  const seenAt = new Map<string, MonotonicMilliseconds>()
  const own: Member = { ...self, state: InstanceState.live, heardAt: undefined }

  function isAlive (member: Member, now: MonotonicMilliseconds): boolean {
    return member === own || (member.heardAt !== undefined && now - member.heardAt <= SUSPICION_MS)
  }

  function everyone (): readonly Member[] {
    return [own, ...members.values()]
  }

  /** Members that may serve as relays: all except those known to be silent, so that a new fleet can connect at all. */
  function plausible (now: MonotonicMilliseconds): readonly Member[] {
    return everyone().filter(member => member.heardAt === undefined || isAlive(member, now))
  }

  function relaysOf (dataCentre: string, candidates: readonly Member[]): readonly Member[] {
    const names = rankByRendezvous(
      dataCentre, candidates.filter(member => member.dataCentre === dataCentre).map(({ name }) => name)
    )
    return names.slice(0, RELAYS).map(name => candidates.find(member => member.name === name)!)
  }

  function forgetOld (now: MonotonicMilliseconds): void {
    for (const [name] of members) {
      if (!listed.has(name) && now - (seenAt.get(name) ?? now) > FORGET_MS) {
        members.delete(name)
        seenAt.delete(name)
      }
    }
  }

  function wantedMembers (now: MonotonicMilliseconds): readonly Member[] {
    const all = everyone()
    if (all.length <= FULL_MESH_LIMIT) return all
    const candidates = plausible(now)
    const near = all.filter(member => member.dataCentre === self.dataCentre)
    if (!relaysOf(self.dataCentre, candidates).includes(own)) return near
    const others = [
      ...new Set(all.map(member => member.dataCentre))
    ].filter(dataCentre => dataCentre !== self.dataCentre)
    // A data centre whose members are all silent is still tried, so that a healed partition is noticed.
    const far = others.flatMap(dataCentre => {
      const relays = relaysOf(dataCentre, candidates)
      return relays.length > 0 ? relays : relaysOf(dataCentre, all)
    })
    return [...near, ...far]
  }

  return {
    setList (instances, now) {
      listed.clear()
      for (const instance of instances) {
        if (instance.kind !== 'router' || instance.peerEndpoint === undefined || instance.name === self.name) continue
        listed.add(instance.name)
        seenAt.set(instance.name, now)
        const present = members.get(instance.name)
        // What a peer said about itself is newer than the list, which lags behind.
        if (present?.incarnation !== undefined && isAlive(present, now)) continue
        members.set(instance.name, {
          name: instance.name,
          dataCentre: instance.dataCentre,
          endpoint: instance.peerEndpoint,
          incarnation: present?.incarnation,
          state: instance.state,
          heardAt: present?.heardAt
        })
      }
      forgetOld(now)
    },
    greeted (greeting, now) {
      const { instance: name, incarnation, dataCentre, endpoint } = greeting
      if (name === self.name) return []
      const present = members.get(name)
      if (present?.incarnation !== undefined && present.incarnation > incarnation) return []
      const ended = [...members.values()].filter((member) => {
        return member.incarnation !== undefined && member.incarnation < incarnation &&
          (member.name === name || sameEndpoint(member.endpoint, endpoint))
      })
      for (const member of ended) members.delete(member.name)
      members.set(name, { name, dataCentre, endpoint, incarnation, state: InstanceState.live, heardAt: now })
      seenAt.set(name, now)
      return ended.map(member => ({ name: member.name, endpoint: member.endpoint, incarnation: member.incarnation! }))
    },
    heard (name, state, now) {
      const member = members.get(name)
      if (member === undefined) return
      members.set(name, { ...member, state, heardAt: Math.max(member.heardAt ?? now, now) })
      seenAt.set(name, now)
    },
    wantedConnections (now) {
      const wanted = wantedMembers(now).filter(member => member !== own).map(member => member.endpoint)
      // Seeds matter while nothing else is known or reachable; afterwards their members are known by name.
      const connected = [...members.values()].some(member => isAlive(member, now))
      const all = connected ? wanted : [...wanted, ...seeds]
      return uniqueEndpoints(all).filter(endpoint => !sameEndpoint(endpoint, self.endpoint))
    },
    alive: now => everyone().filter(member => isAlive(member, now)),
    suspected: now => [...members.values()].filter(member => member.heardAt !== undefined && !isAlive(member, now)),
    aliveInDataCentre: now => everyone().filter(
      member => member.dataCentre === self.dataCentre && isAlive(member, now)
    ),
    isRelay: now => everyone().length <= FULL_MESH_LIMIT || relaysOf(self.dataCentre, plausible(now)).includes(own),
    members: () => [...members.values()]
  }
}

function sameEndpoint (left: Endpoint, right: Endpoint): boolean {
  return left.host === right.host && left.port === right.port
}

function uniqueEndpoints (endpoints: readonly Endpoint[]): readonly Endpoint[] {
  return [...new Map(endpoints.map(endpoint => [`${endpoint.host} ${endpoint.port}`, endpoint])).values()]
}
