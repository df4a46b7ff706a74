/** Wires the admission order of an instance. */
import type { EngineRoom } from '../engineRoom/engineRoom'
import type { EdgeSettings } from '../settings'
import type { UpstreamDirectory } from '../upstreamDirectory'
import { createAdmissionOrder, type AdmissionOrder, type AdmissionOrderOptions } from './admissionOrder'
import { createCrowding } from './crowding'
import { createDemandExchange, type DemandExchange } from './demandExchange'
import type { ServiceRoom } from './types'

export interface OrderParts extends Omit<AdmissionOrderOptions, 'demand' | 'isUncrowded'> {
  directory: Pick<UpstreamDirectory, 'listed' | 'usable'>
  room: ServiceRoom & Pick<EngineRoom, 'capacityOf'>
}

/** Returns undefined if the settings do not ask for the order. */
export function composeDemandExchange ({ order }: EdgeSettings['admission']): DemandExchange | undefined {
  return order ? createDemandExchange() : undefined
}

/** Returns undefined if the settings do not ask for the order. */
export function composeAdmissionOrder (
  demand: DemandExchange | undefined, parts: OrderParts
): AdmissionOrder | undefined {
  if (demand === undefined) return undefined
  const isUncrowded = createCrowding({ directory: parts.directory, capacityOf: parts.room.capacityOf })
  return createAdmissionOrder({ ...parts, demand, isUncrowded })
}
