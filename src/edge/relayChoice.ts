/**
 * Whom an instance asks for what the store holds. One hub of the whole fleet reads the store; two relays of each data centre
 * ask the hub, or its deputy in another data centre; all others ask a relay of their data centre. Whoever reaches none of
 * them reads the store itself, the deputy too.
 *
 * Load patterns:
 * - A large fleet at rest: calls to the store must not grow with instances or data centres.
 * - All instances start at once, and each sees another part of the list. Everyone asks only those that stand before it in
 *   one order of all names, so that instances never wait for each other in a circle.
 * - A hub or relay that is lost, frozen or cut off: the next one is asked, or the store.
 */
import { rankByRendezvous } from '../rendezvous'
import type { Peer } from './types'

/** Instances of each data centre that ask the hub. */
const RELAYS = 2
/** Orders all names; the hub, its deputy and the relays follow from it. */
const ORDER_KEY = 'relays'

interface Place { dataCentre: string, names: string[] }

/** The data centres, and their instances, in the order of the names. */
function placesOf (order: readonly string[], dataCentreOf: (name: string) => string): Place[] {
  const places = new Map<string, string[]>()
  for (const name of order) {
    const dataCentre = dataCentreOf(name)
    const names = places.get(dataCentre)
    if (names === undefined) places.set(dataCentre, [name])
    else names.push(name)
  }
  return [...places].map(([dataCentre, names]) => ({ dataCentre, names }))
}

/** The first instance, and the first one of the next data centre, or of the only one. */
function hubAndDeputy ([first, second]: readonly Place[]): string[] {
  return [first!.names[0]!, second?.names[0] ?? first!.names[1]].flatMap((name) => name ?? [])
}

export interface RelayChoice {
  /** Instances to ask, in order; undefined when this one reads the store. */
  sources: readonly Peer[] | undefined
  /** It is one of those that answer its data centre. */
  isRelay: boolean
}

/** @param peers the other instances that are known */
export function chooseRelays (instance: string, dataCentre: string, peers: readonly Peer[]): RelayChoice {
  const known = new Map(peers.map((peer) => [peer.name, peer]))
  const order = rankByRendezvous(ORDER_KEY, [instance, ...known.keys()])
  const places = placesOf(order, (name) => known.get(name)?.dataCentre ?? dataCentre)
  const hubs = hubAndDeputy(places)
  const relays = places.find((place) => place.dataCentre === dataCentre)!.names.slice(0, RELAYS)
  const isRelay = relays.includes(instance)
  const asked = (names: readonly string[]): Peer[] => names.flatMap((name) => known.get(name) ?? [])
  const sources = (): Peer[] => {
    if (!isRelay) return asked(rankByRendezvous(instance, relays))
    const before = new Set(order.slice(0, order.indexOf(instance)))
    return asked(hubs.filter((name) => before.has(name)))
  }
  return { sources: instance === hubs[0] ? undefined : sources(), isRelay }
}
