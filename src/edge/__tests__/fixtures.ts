/** Values that the tests of the edge share. */
import { RepeatRule } from '../types'
import type { EdgeConfiguration, EdgeCustomer, EdgeRoute, UpstreamEntry } from '../types'
import { createUpstreamDirectory, type Upstream } from '../upstreamDirectory'

export function createRoute (values: Partial<EdgeRoute> = {}): EdgeRoute {
  return {
    name: 'chat',
    host: 'chat.example',
    prefix: '/chat/',
    repeat: RepeatRule.stream,
    resumable: false,
    timeout: 4000,
    latencyTarget: 400,
    priority: 1,
    services: [{ service: 'engines', weight: 1 }],
    maximumAttempts: 1,
    open: false,
    ...values
  }
}

export function createCustomer (values: Partial<EdgeCustomer> = {}): EdgeCustomer {
  return {
    name: 'bakery',
    keys: ['bakery-key'],
    priority: undefined,
    isolated: false,
    rate: 1000,
    burst: 1000,
    unit: 'token',
    defaultCost: 200,
    ...values
  }
}

export function createConfiguration (values: Partial<EdgeConfiguration> = {}): EdgeConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'engines', engine: { slots: 8, cacheTokens: 100_000, models: ['small'] } }],
    cacheStores: [],
    customers: [createCustomer()],
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeout: 3000, idleTimeout: 15_000 },
    ...values
  }
}

export function createEntry (identifier: string, values: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    identifier,
    service: 'engines',
    endpoint: { host: '127.0.0.1', port: 9000 },
    dataCentre: 'north',
    slots: 8,
    leaving: false,
    startedAt: 1,
    weights: [{ model: 'small', version: 1 }],
    ...values
  }
}

export function createUpstreams (entries: readonly UpstreamEntry[]): Upstream[] {
  const directory = createUpstreamDirectory()
  directory.replace(entries, false, 0)
  return [...directory.all()]
}
