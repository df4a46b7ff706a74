/**
 * Selects the instances from which an instance reads the tables of the store. One hub of the whole fleet reads the
 * store. Two relays per data centre read from the hub, or from its deputy in another data centre. All other instances
 * read from a relay of their data centre. An instance, also the deputy, that reaches none of its sources reads the store
 * itself.
 *
 * Load patterns:
 * - A large idle fleet: calls to the store must not grow with the number of instances or data centres.
 * - All instances start at once, and each sees a different part of the instance list. Hub, deputy and relays only read
 *   from instances that precede them in one order of all names, so that instances never wait for each other in a cycle.
 * - A hub or relay that is lost, suspended or disconnected: the next one is used, or the store.
 */
import { rankByRendezvous } from '../rendezvous'
import type { Peer } from './types'

/** Number of relays per data centre. */
const RELAYS_PER_DATA_CENTRE = 2
/** Key of the order of all names, from which the hub, its deputy and the relays are derived. */
const ORDER_KEY = 'relays'

interface DataCentreMembers { dataCentre: string, names: string[] }

/** Groups the instances by data centre, both in the order of the names. */
function groupByDataCentre (order: readonly string[], dataCentreOf: (name: string) => string): DataCentreMembers[] {
  const namesByDataCentre = new Map<string, string[]>()
  for (const name of order) {
    const dataCentre = dataCentreOf(name)
    const names = namesByDataCentre.get(dataCentre)
    if (names === undefined) namesByDataCentre.set(dataCentre, [name])
    else names.push(name)
  }
  return [...namesByDataCentre].map(([dataCentre, names]) => ({ dataCentre, names }))
}

/**
 * Returns the first instance, and the first one of the second data centre, or the second one of the only data centre.
 */
function hubAndDeputy ([first, second]: readonly DataCentreMembers[]): string[] {
  return [first!.names[0]!, second?.names[0] ?? first!.names[1]].flatMap((name) => name ?? [])
}

export interface RelayChoice {
  /** Instances to read from, in order of preference; undefined if this instance reads the store. */
  sources: readonly Peer[] | undefined
  /** Whether this instance serves the other instances of its data centre. */
  isRelay: boolean
}

/** @param peers the other known instances */
export function chooseRelays (instance: string, dataCentre: string, peers: readonly Peer[]): RelayChoice {
  const known = new Map(peers.map((peer) => [peer.name, peer]))
  const order = rankByRendezvous(ORDER_KEY, [instance, ...known.keys()])
  const dataCentres = groupByDataCentre(order, (name) => known.get(name)?.dataCentre ?? dataCentre)
  const hubs = hubAndDeputy(dataCentres)
  const relays = dataCentres.find((group) => group.dataCentre === dataCentre)!.names.slice(0, RELAYS_PER_DATA_CENTRE)
  const isRelay = relays.includes(instance)
  const toPeers = (names: readonly string[]): Peer[] => names.flatMap((name) => known.get(name) ?? [])
  const sources = (): Peer[] => {
    if (!isRelay) return toPeers(rankByRendezvous(instance, relays))
    const preceding = new Set(order.slice(0, order.indexOf(instance)))
    return toPeers(hubs.filter((name) => preceding.has(name)))
  }
  return { sources: instance === hubs[0] ? undefined : sources(), isRelay }
}
