/** Wires the admission order of an instance. */
import type { EdgeSettings } from '../settings'
import { createAdmissionOrder, type AdmissionOrder, type AdmissionOrderOptions } from './admissionOrder'
import { createDemandExchange, type DemandExchange } from './demandExchange'

/** Returns undefined if the settings do not ask for the order. */
export function composeDemandExchange ({ order }: EdgeSettings['admission']): DemandExchange | undefined {
  return order ? createDemandExchange() : undefined
}

/** Returns undefined if the settings do not ask for the order. */
export function composeAdmissionOrder (
  demand: DemandExchange | undefined, parts: Omit<AdmissionOrderOptions, 'demand'>
): AdmissionOrder | undefined {
  return demand === undefined ? undefined : createAdmissionOrder({ ...parts, demand })
}
