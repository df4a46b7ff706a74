/** Wires the admission order of an instance. */
import type { Backlog } from '../backlog'
import type { EdgeSettings } from '../settings'
import type { EdgeConfiguration } from '../types'
import type { UpstreamDirectory } from '../upstreamDirectory'
import { createAdmissionOrder, type AdmissionOrder } from './admissionOrder'
import { createPendingTokenRoom } from './pendingTokenRoom'

export interface OrderParts {
  directory: Pick<UpstreamDirectory, 'all' | 'listed' | 'usable'>
  configuration: () => EdgeConfiguration | undefined
  /** Returns this instance's backlog of one service and urgency. */
  backlog: (key: string) => Backlog
}

/** Returns undefined if the settings do not ask for the order. */
export function composeAdmissionOrder (
  { order }: EdgeSettings['admission'], { directory, configuration, backlog }: OrderParts
): AdmissionOrder | undefined {
  if (!order) return undefined
  return createAdmissionOrder({
    directory, room: createPendingTokenRoom(directory), configuration, backlog
  })
}
