/** Lookup of routes and customers in one configuration. */
import type { EdgeConfiguration, EdgeCustomer, EdgeRoute } from './types'

export interface RouteTable {
  configuration: EdgeConfiguration
  /** Returns the route of the host with the longest matching path prefix. */
  route: (host: string | undefined, path: string) => EdgeRoute | undefined
  customerOfKey: (key: string) => EdgeCustomer | undefined
  customer: (name: string) => EdgeCustomer | undefined
}

/** Removes the port and converts to lower case, so that host names are compared without them. */
function normalizeHost (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

export function createRouteTable (configuration: EdgeConfiguration): RouteTable {
  const hosts = new Map<string, EdgeRoute[]>()
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host)
    hosts.set(host, [...(hosts.get(host) ?? []), route])
  }
  for (const routes of hosts.values()) routes.sort((one, other) => other.prefix.length - one.prefix.length)
  const keys = new Map<string, EdgeCustomer>()
  const customers = new Map(configuration.customers.map((customer) => [customer.name, customer]))
  for (const customer of configuration.customers) for (const key of customer.keys) keys.set(key, customer)
  return {
    configuration,
    route: (host, path) => hosts.get(normalizeHost(host ?? ''))?.find(({ prefix }) => path.startsWith(prefix)),
    customerOfKey: (key) => keys.get(key),
    customer: (name) => customers.get(name)
  }
}
