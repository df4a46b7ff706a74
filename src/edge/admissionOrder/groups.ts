/** Divides the requests for engines into groups of one service, priority and customer, by the configuration in force. */
import { rendezvousWeight } from '../../rendezvous'
import { urgencyOf } from '../promptPlan'
import { RepeatRule, type EdgeConfiguration, type EdgeCustomer, type EdgeRoute } from '../types'

/** Name under which requests without a customer are grouped. */
const NO_CUSTOMER = ''

export interface AdmissionGroup {
  /** Identifies the group in the demand that instances exchange. */
  key: number
  /** Priority; 0 is the most urgent. */
  priority: number
  /** Name of the customer; empty for requests without one. */
  customer: string
  /** Configured rate of the customer in units per second; 0 if unlimited. */
  rate: number
  unit: EdgeCustomer['unit']
}

export interface ServiceGroups {
  /** Groups by key. */
  groups: ReadonlyMap<number, AdmissionGroup>
  /** Shortest latency target in milliseconds of the kinds of the service; 0 if none has one. */
  target: number
  /** Shortest latency target in milliseconds by the urgency at the engines, for the kinds that have one. */
  targetByUrgency: ReadonlyMap<number, number>
}

/** The priority of the customer replaces that of the route. */
export function admissionPriority (route: Pick<EdgeRoute, 'priority'>, customer: EdgeCustomer | undefined): number {
  return customer?.priority ?? route.priority
}

/** Returns the key of a group in four bytes; groups with the same key share their demand. */
export function groupKey (service: string, priority: number, customer: string | undefined): number {
  return rendezvousWeight(`demand for ${service}/${priority}`, customer ?? NO_CUSTOMER)
}

/** Returns the groups of all services that serve streams. */
export function groupsOf ({ routes, customers }: EdgeConfiguration): ReadonlyMap<string, ServiceGroups> {
  const services = new Map<string, ServiceGroups & {
    groups: Map<number, AdmissionGroup>, targetByUrgency: Map<number, number>
  }>()
  for (const route of routes) {
    if (route.repeat !== RepeatRule.stream) continue
    for (const { service } of route.services) {
      const known = services.get(service) ?? { groups: new Map(), target: 0, targetByUrgency: new Map() }
      services.set(service, known)
      if (route.latencyTarget > 0) known.target = Math.min(known.target || Infinity, route.latencyTarget)
      for (const customer of [undefined, ...customers]) {
        const priority = admissionPriority(route, customer)
        const key = groupKey(service, priority, customer?.name)
        const urgency = urgencyOf(route, customer)
        if (route.latencyTarget > 0 && urgency !== undefined) {
          const target = Math.min(known.targetByUrgency.get(urgency) ?? Infinity, route.latencyTarget)
          known.targetByUrgency.set(urgency, target)
        }
        known.groups.set(key, {
          key, priority, customer: customer?.name ?? NO_CUSTOMER, rate: customer?.rate ?? 0, unit: customer?.unit ?? 'token'
        })
      }
    }
  }
  return services
}
