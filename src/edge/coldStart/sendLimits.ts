/** Composes what limits the requests to single upstreams: what they state about themselves, and the permits. */
import type { RandomSource } from '../../types'
import type { EdgeLog } from '../events'
import type { InstanceList } from '../instanceList'
import { createPeerBroadcast } from '../peerBroadcast'
import { PeerRequestKind, type HandlePeerRequest, type PeerLinks } from '../peerLinks'
import { createRequestLimits, type RequestLimits } from '../requestLimits'
import { createSendPermits, type SendPermits } from '../sendPermits'
import type { UpstreamDirectory } from '../upstreamDirectory'
import { createUpstreamHints, type UpstreamHints } from '../upstreamHints'
import { createColdLimits, type ColdLimits } from './coldLimits'

export interface SendLimitsOptions {
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  instance: string
  dataCentre: string
  instances: Pick<InstanceList, 'peers' | 'sender' | 'share' | 'observe' | 'isRead'>
  directory: Pick<UpstreamDirectory, 'markLeaving'>
  log: EdgeLog
  /** Monotonic clock in milliseconds. */
  now: () => number
  random: RandomSource
  onFault: (error: unknown) => void
}

type SendLimitRequestKind =
  | typeof PeerRequestKind.leaving | typeof PeerRequestKind.requestLimits | typeof PeerRequestKind.sendPermits

export interface SendLimits {
  requestLimits: RequestLimits
  coldLimits: ColdLimits
  sendPermits: SendPermits
  upstreamHints: UpstreamHints
  requestHandlers: Readonly<Record<SendLimitRequestKind, HandlePeerRequest>>
}

export function createSendLimits (options: SendLimitsOptions): SendLimits {
  const { instances, now, log } = options
  const shared = { ...options, peers: instances.peers }
  const leavingBroadcast = createPeerBroadcast({
    ...shared,
    kind: PeerRequestKind.leaving,
    onNotification: (content) => { upstreamHints.receive(content) }
  })
  // Each kind of limit ignores the notifications of the other.
  const limitBroadcast = createPeerBroadcast({
    ...shared,
    kind: PeerRequestKind.requestLimits,
    onNotification (content) {
      instances.observe(content.sender)
      requestLimits.receive(content, now())
      coldLimits.receive(content, now())
    }
  })
  const limitOptions = {
    broadcast: (content: object) => { limitBroadcast.send({ ...content, sender: instances.sender() }) }, log
  }
  const requestLimits = createRequestLimits(limitOptions)
  const coldLimits = createColdLimits(limitOptions)
  const sendPermits = createSendPermits({
    ...shared,
    sender: instances.sender,
    share: () => instances.share(),
    isListRead: instances.isRead,
    limits: requestLimits,
    coldLimits
  })
  const upstreamHints = createUpstreamHints({ ...options, broadcast: leavingBroadcast.send, requestLimits, coldLimits })
  return {
    requestLimits,
    coldLimits,
    sendPermits,
    upstreamHints,
    requestHandlers: {
      [PeerRequestKind.leaving]: leavingBroadcast.handleRequest,
      [PeerRequestKind.requestLimits]: limitBroadcast.handleRequest,
      async [PeerRequestKind.sendPermits] (query) {
        instances.observe(query.sender)
        return await sendPermits.handleRequest(query)
      }
    }
  }
}
