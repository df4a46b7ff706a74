/** Updates that the holder of the lease publishes on its work: the progress of weights and the shares of rollouts. */
import type { MonotonicMilliseconds } from '../../types'
import type { PeerBroadcast } from '../peerBroadcast'
import { PeerRequestKind, type PeerValue } from '../peerLinks'
import { parseRolloutUpdate, type RolloutUpdate, type ServiceRollouts } from '../serviceRollouts'
import type { StoreEra } from '../storeEra/storeEra'
import type { UpstreamDirectory } from '../upstreamDirectory'
import { parseProgress, type LoadProgress, type WeightsRollout } from '../weightsRollout'

/**
 * Time in milliseconds after an update of the lease holder for which the lease counts as held; the holder sends four
 * updates per second.
 */
const LEASE_HOLDER_ACTIVE_MS = 1000

export interface HolderUpdatesOptions {
  createBroadcast: (kind: PeerRequestKind, onNotification: (content: PeerValue) => void) => PeerBroadcast
  weightsRollout: WeightsRollout
  serviceRollouts: ServiceRollouts
  directory: UpstreamDirectory
  storeEra: Pick<StoreEra, 'current'>
  now: () => MonotonicMilliseconds
}

export interface HolderUpdates {
  /** Whether another instance has recently published updates as the lease holder. */
  isHeldByOther: () => boolean
  publishProgress: (progress: LoadProgress) => void
  publishRollout: (update: RolloutUpdate) => void
  handleProgress: PeerBroadcast['handleRequest']
  handleRollout: PeerBroadcast['handleRequest']
}

export function createHolderUpdates (options: HolderUpdatesOptions): HolderUpdates {
  const { createBroadcast, weightsRollout, serviceRollouts, directory, storeEra, now } = options
  let holderSeenAt = -Infinity
  const progressBroadcast = createBroadcast(PeerRequestKind.weightsProgress, (content) => {
    const progress = parseProgress(content)
    holderSeenAt = now()
    if (progress !== undefined) weightsRollout.applyProgress(progress, directory.all(), now())
  })
  const rolloutBroadcast = createBroadcast(PeerRequestKind.serviceRollouts, (content) => {
    const update = parseRolloutUpdate(content, storeEra.current())
    holderSeenAt = now()
    if (update !== undefined) serviceRollouts.applyUpdate(update, now())
  })
  return {
    isHeldByOther: () => now() - holderSeenAt < LEASE_HOLDER_ACTIVE_MS,
    publishProgress: (progress) => { progressBroadcast.send({ ...progress }) },
    publishRollout: (update) => { rolloutBroadcast.send({ ...update, era: storeEra.current() }) },
    handleProgress: progressBroadcast.handleRequest,
    handleRollout: rolloutBroadcast.handleRequest
  }
}
