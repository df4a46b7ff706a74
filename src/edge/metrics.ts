/** Metrics of an edge daemon in the Prometheus text format. Most are derived from log events. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { createMemoryAccount, type MemoryAccount } from '../http/memoryAccount/account'
import { Obstacle } from './attemptDecision'
import { EdgeEvent } from './events'
import type { StoreEra } from './storeEra/storeEra'
import type { Store } from './types'

/** Upper bounds of the latency buckets in milliseconds; latency targets and timeouts of deployments fall between them. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2000, 4000, 8000, 16_000]
/** Upper bounds of the buckets for responses of peers in milliseconds. */
const PEER_LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 30, 60, 120, 500, 1000]

type Fields = Readonly<Record<string, unknown>>

/** Values that are read when the metrics are rendered. */
export interface MetricSources {
  exchanges: () => number
  instances: () => number
  /** Number of queries of peers that wait for a change of a table. */
  pendingPeerQueries: () => number
  /** Version of the current configuration; 0 before the first one. */
  configurationVersion: () => number
  /** Time in milliseconds since the configuration was last confirmed to be the newest one; Infinity if it never was. */
  configurationAge: () => number
  storeEra: () => Pick<StoreEra, 'current' | 'changes'>
  /** Account of the bytes held for callers and upstreams. @default an empty one */
  account?: Pick<MemoryAccount, 'heldByKind' | 'bound' | 'shares'>
  /** Part of the demand that the admission order admits, per service, as last decided. */
  admittedParts: () => ReadonlyMap<string, number>
  /** Number of listed upstreams per service. */
  upstreams: () => ReadonlyMap<string, number>
  /** Number of listed upstreams that are cold. */
  coldUpstreams: () => number
  evacuatedDataCentres: () => number
  /** Median learned speed in milliseconds for 1,000 prompt tokens, per service in use. */
  engineSpeeds: () => ReadonlyMap<string, number>
  /** Share of requests that may leave the data centre, per service. */
  crossingShares: () => ReadonlyMap<string, number>
}

export interface EdgeMetrics {
  /** Counts a log event, whether its line was written or dropped. */
  observe: (event: EdgeEvent, fields: Fields) => void
  countDroppedLine: () => void
  observePeerResponse: (kind: string, milliseconds: number) => void
  /** Wraps a store so that its calls are counted. */
  withCallCounts: (store: Store) => Store
  /** Returns the metrics in the Prometheus text format. */
  render: () => Promise<string>
  contentType: string
  /** Returns the names of all metrics. */
  names: () => readonly string[]
}

/** Returns how often each name occurs. */
export function countBy (names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

export function createEdgeMetrics (sources: MetricSources): EdgeMetrics {
  const registry = new Registry()
  const registers = [registry]
  const events = new Counter({
    name: 'waxwingspoke_events_total', help: 'Log events, lines that were left out included', labelNames: ['event'], registers
  })
  const responses = new Counter({
    name: 'waxwingspoke_answers_total', help: 'Answers to callers by status', labelNames: ['status'], registers
  })
  const duration = new Histogram({
    name: 'waxwingspoke_request_duration_milliseconds',
    help: 'Time from the head of a request to the end of its answer, for served requests',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_MS,
    registers
  })
  const firstByte = new Histogram({
    name: 'waxwingspoke_first_byte_milliseconds',
    help: 'Time from the head of a request to the first byte of its answer, for served requests',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_MS,
    registers
  })
  const storeCalls = new Counter({
    name: 'waxwingspoke_store_calls_total', help: 'Calls to the store', labelNames: ['call', 'table'], registers
  })
  const peerResponses = new Histogram({
    name: 'waxwingspoke_peer_answer_milliseconds',
    help: 'Time until a peer answered a question',
    labelNames: ['question'],
    buckets: PEER_LATENCY_BUCKETS_MS,
    registers
  })
  const droppedLines = new Counter({
    name: 'waxwingspoke_log_lines_left_out_total', help: 'Log lines beyond the budget', registers
  })
  const gauge = (name: string, help: string, read: () => number): Gauge => new Gauge({
    name, help, registers, collect () { this.set(read()) }
  })
  gauge('waxwingspoke_exchanges', 'Requests that are being answered', sources.exchanges)
  gauge('waxwingspoke_instances', 'Instances in the list, this one included', sources.instances)
  gauge('waxwingspoke_waiting_questions', 'Questions of peers that wait for a change', sources.pendingPeerQueries)
  gauge('waxwingspoke_configuration_version', 'Version of the configuration in force', sources.configurationVersion)
  gauge('waxwingspoke_store_era', 'Era of the store, which rises when it comes back from an older copy', () => (
    sources.storeEra().current()
  ))
  gauge('waxwingspoke_store_era_changes', 'Changes of the era since the start', () => sources.storeEra().changes())
  gauge(
    'waxwingspoke_configuration_age_milliseconds', 'Time since the configuration was proved to be the newest one',
    sources.configurationAge
  )
  registerAccount(sources.account ?? createMemoryAccount({ bound: 0 }))
  gauge('waxwingspoke_cold_upstreams', 'Listed upstreams that are cold', sources.coldUpstreams)
  gauge('waxwingspoke_evacuated_data_centres', 'Data centres to which nothing is sent', sources.evacuatedDataCentres)
  const homeRefusals = new Counter({
    name: 'waxwingspoke_home_refusals_total',
    help: 'Requests refused because no upstream is in a region that their route and customer allow',
    registers
  })
  const gaugeByService = (name: string, help: string, read: () => ReadonlyMap<string, number>): void => {
    new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers,
      collect () {
        this.reset()
        for (const [service, value] of read()) this.set({ service }, value)
      }
    }).reset()
  }
  gaugeByService('waxwingspoke_upstreams', 'Listed upstreams', sources.upstreams)
  gaugeByService(
    'waxwingspoke_engine_speed_milliseconds', 'Learned median time for 1,000 prompt tokens, where it replaces the constant',
    sources.engineSpeeds
  )
  gaugeByService(
    'waxwingspoke_crossing_share', 'Share of requests that may leave the data centre', sources.crossingShares
  )
  gaugeByService(
    'waxwingspoke_admitted_part', 'Part of the demand that the admission order admits, as last decided', sources.admittedParts
  )
  const orderRefusals = new Counter({
    name: 'waxwingspoke_order_refusals_total',
    help: 'Requests that the admission order refused',
    labelNames: ['reason', 'priority'],
    registers
  })

  function registerAccount ({ heldByKind, bound, shares }: NonNullable<MetricSources['account']>): void {
    gauge('waxwingspoke_request_object_bytes', 'Bytes of objects of requests in progress, by estimate', shares.objectBytes)
    gauge('waxwingspoke_request_object_bytes_bound', 'Maximum number of these bytes', () => shares.bounds.objectBytes)
    gauge('waxwingspoke_forwarded_requests', 'Requests that are being forwarded to upstreams', shares.forwarded)
    gauge('waxwingspoke_forwarded_requests_bound', 'Maximum number of these requests', () => shares.bounds.forwarded)
    gauge('waxwingspoke_held_bytes_bound', 'Maximum number of bytes held for callers and upstreams', () => bound)
    const heldBytes = new Gauge({
      name: 'waxwingspoke_held_bytes',
      help: 'Bytes held for callers and upstreams',
      labelNames: ['kind'],
      registers,
      collect () {
        for (const [kind, bytes] of heldByKind()) this.set({ kind }, bytes)
      }
    })
    heldBytes.reset()
  }

  const observers: Readonly<Partial<Record<EdgeEvent, (fields: Fields) => void>>> = {
    [EdgeEvent.requestFinished] ({ status, service, duration: totalMs, firstByte: firstByteMs }) {
      responses.inc({ status: String(status) })
      const labels = { service: String(service) }
      if (typeof totalMs === 'number') duration.observe(labels, totalMs)
      if (typeof firstByteMs === 'number') firstByte.observe(labels, firstByteMs)
    },
    [EdgeEvent.requestRejected] ({ status, obstacle, refusedFor, priority }) {
      responses.inc({ status: String(status) })
      if (obstacle === Obstacle.homes) homeRefusals.inc()
      if (refusedFor !== undefined) orderRefusals.inc({ reason: String(refusedFor), priority: String(priority) })
    }
  }

  return {
    observe (event, fields) {
      events.inc({ event })
      observers[event]?.(fields)
    },
    countDroppedLine () { droppedLines.inc() },
    observePeerResponse (kind, milliseconds) { peerResponses.observe({ question: kind }, milliseconds) },
    withCallCounts: (store) => ({
      async read (table) {
        storeCalls.inc({ call: 'read', table })
        return await store.read(table)
      },
      async follow (table, after, wait) {
        storeCalls.inc({ call: 'follow', table })
        return await store.follow(table, after, wait)
      },
      async commit (commit) {
        storeCalls.inc({ call: 'commit', table: commit.table })
        return await store.commit(commit)
      },
      close: store.close
    }),
    render: async () => await registry.metrics(),
    contentType: registry.contentType,
    names: () => registry.getMetricsAsArray().map(({ name }) => name)
  }
}
