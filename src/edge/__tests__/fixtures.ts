/** Shared fixtures of the edge tests. */
import { readFileSync } from 'node:fs'
import { RepeatRule } from '../types'
import type { EdgeConfiguration, EdgeCustomer, EdgeRoute, UpstreamEntry } from '../types'
import type { ExchangeContext } from '../exchangeContext'
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
    cacheStores: [],
    engineCapacities: [],
    customers: [createCustomer()],
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeout: 3000, idleTimeout: 15_000 },
    ...values
  }
}

export function createEntry (identifier: string, values: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    identifier,
    service: 'engines',
    softwareVersion: 'v1',
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

/** Engines of which only the slots are known. */
export const UNBOUNDED_ROOM: ExchangeContext['engineRoom'] = {
  expectedStart: () => 0,
  drainRate: () => 0,
  capacityOf: ({ entry }) => ({ memoryTokens: Infinity, slots: entry.slots }),
  recordEnd () {}
}

/** Speeds of engines that nothing has shown yet. */
export const UNKNOWN_SPEEDS: ExchangeContext['engineSpeeds'] = {
  ofService: () => undefined, medianOf: () => 8, probe: () => undefined, observe () {}
}

/** Values that the platform inserts into the settings template. */
export const PLATFORM_VALUES: Readonly<Record<string, string>> = {
  nodeName: 'router-1',
  zone: 'north',
  'listenAddresses.front': '10.0.0.1:8606',
  'listenAddresses.ready': '10.0.0.1:8605',
  ipAddress: '10.0.0.1',
  'internalPortRange.0': '7600',
  'platform.address': '10.0.0.9:8601',
  'bounds.strictRevocation': 'true',
  'bounds.revocationMs': '5000',
  'bounds.budgetWindowS': '10',
  'bounds.budgetRatio': '0.2',
  'bounds.extraRetries': '58',
  'bounds.quotaWindowS': '8',
  'bounds.quotaOverage': '0.1',
  'bounds.quotaSlack': '110000',
  'bounds.versionMs': '12000',
  'bounds.leaseMs': '3000',
  'bounds.gracePeriodS': '8'
}

/** Renders the settings template as the platform does. */
export function renderSettings (changes: Readonly<Record<string, string>> = {}): string {
  const values = { ...PLATFORM_VALUES, ...changes }
  const template = readFileSync('deploy/settings.ini.template', 'utf8')
  return template.replace(/\{\{([\w.]+)\}\}/g, (_match, name: string) => values[name] ?? '')
}
