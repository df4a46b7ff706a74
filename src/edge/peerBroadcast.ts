/**
 * Broadcasts notifications to all instances: to one relay of each data centre, which forwards them to the others there.
 * A lost notification is not repeated; the next one replaces it.
 */
import { PlatformUnavailableError } from '../errors'
import { rankByRendezvous } from '../rendezvous'
import { requestIfReachable, type PeerLinks, type PeerRequestKind, type PeerValue } from './peerLinks'
import type { Peer } from './types'

/** Timeout in milliseconds for the acknowledgement of a notification. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 200

export interface PeerBroadcastOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  kind: PeerRequestKind
  /** Applies a notification of another instance. */
  onNotification: (content: PeerValue) => void
  onFault: (error: unknown) => void
}

export interface PeerBroadcast {
  send: (content: PeerValue) => void
  /** Sends only to the instances of the local data centre. */
  sendWithinDataCentre: (content: PeerValue) => void
  /** Handles a notification from a peer. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
}

export function createPeerBroadcast (options: PeerBroadcastOptions): PeerBroadcast {
  const { links, dataCentre, kind, onNotification, onFault } = options

  function deliver ({ endpoint }: Peer, content: PeerValue, passOn: boolean): void {
    requestIfReachable(links, endpoint, { kind, passOn, content }, ACKNOWLEDGEMENT_TIMEOUT_MS).catch(onFault)
  }

  function usablePeersByDataCentre (): Map<string, Peer[]> {
    const groups = new Map<string, Peer[]>()
    for (const peer of options.peers()) {
      if (!links.isUsable(peer.endpoint)) continue
      const group = groups.get(peer.dataCentre)
      if (group === undefined) groups.set(peer.dataCentre, [peer])
      else group.push(peer)
    }
    return groups
  }

  function deliverWithinDataCentre (content: PeerValue): void {
    for (const peer of usablePeersByDataCentre().get(dataCentre) ?? []) deliver(peer, content, false)
  }

  return {
    send (content) {
      for (const [place, group] of usablePeersByDataCentre()) {
        if (place === dataCentre) continue
        const [relay] = rankByRendezvous(place, group.map(({ name }) => name))
        deliver(group.find(({ name }) => name === relay)!, content, true)
      }
      deliverWithinDataCentre(content)
    },
    sendWithinDataCentre: deliverWithinDataCentre,
    async handleRequest ({ passOn, content }) {
      if (typeof content !== 'object' || content === null) throw new PlatformUnavailableError('peer notification has no content')
      onNotification(content as PeerValue)
      if (passOn === true) deliverWithinDataCentre(content as PeerValue)
      return {}
    }
  }
}
