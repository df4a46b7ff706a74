/** Counters and histograms of one edge daemon in the text format of Prometheus. Most are derived from the log events. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { EdgeEvent } from './events'
import type { Store } from './types'

/** Upper limits of the latency histograms in milliseconds; the deployments' targets and time limits lie between them. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2000, 4000, 8000, 16_000]
/** The same for answers of peers. */
const PEER_BUCKETS_MS = [1, 2, 5, 10, 20, 30, 60, 120, 500, 1000]

type Fields = Readonly<Record<string, unknown>>

/** Values that are read when the metrics are asked for. */
export interface MetricReadings {
  exchanges: () => number
  instances: () => number
  /** Questions of peers that wait for a change of a table. */
  waitingQuestions: () => number
  /** 0 while none is known. */
  configurationVersion: () => number
  /** Milliseconds since the configuration was last proved to be the newest one; Infinity without a proof. */
  configurationAge: () => number
  /** Upstreams of each service that are listed. */
  upstreams: () => ReadonlyMap<string, number>
}

export interface EdgeMetrics {
  /** Counts a log event, whether its line was written or left out. */
  observe: (event: EdgeEvent, fields: Fields) => void
  lineLeftOut: () => void
  peerAnswered: (question: string, milliseconds: number) => void
  /** The same store, with its calls counted. */
  counted: (store: Store) => Store
  /** The text that is served. */
  page: () => Promise<string>
  contentType: string
  names: () => readonly string[]
}

export function createEdgeMetrics (readings: MetricReadings): EdgeMetrics {
  const registry = new Registry()
  const registers = [registry]
  const events = new Counter({
    name: 'waxwingspoke_events_total', help: 'Log events, lines that were left out included', labelNames: ['event'], registers
  })
  const answers = new Counter({
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
  const peerAnswers = new Histogram({
    name: 'waxwingspoke_peer_answer_milliseconds',
    help: 'Time until a peer answered a question',
    labelNames: ['question'],
    buckets: PEER_BUCKETS_MS,
    registers
  })
  const leftOut = new Counter({
    name: 'waxwingspoke_log_lines_left_out_total', help: 'Log lines beyond the budget', registers
  })
  const gauge = (name: string, help: string, read: () => number): Gauge => new Gauge({
    name, help, registers, collect () { this.set(read()) }
  })
  gauge('waxwingspoke_exchanges', 'Requests that are being answered', readings.exchanges)
  gauge('waxwingspoke_instances', 'Instances in the list, this one included', readings.instances)
  gauge('waxwingspoke_waiting_questions', 'Questions of peers that wait for a change', readings.waitingQuestions)
  gauge('waxwingspoke_configuration_version', 'Version of the configuration in force', readings.configurationVersion)
  gauge(
    'waxwingspoke_configuration_age_milliseconds', 'Time since the configuration was proved to be the newest one',
    readings.configurationAge
  )
  const upstreams = new Gauge({
    name: 'waxwingspoke_upstreams',
    help: 'Listed upstreams',
    labelNames: ['service'],
    registers,
    collect () {
      this.reset()
      for (const [service, count] of readings.upstreams()) this.set({ service }, count)
    }
  })
  upstreams.reset()

  const observers: Readonly<Partial<Record<EdgeEvent, (fields: Fields) => void>>> = {
    [EdgeEvent.requestFinished] ({ status, service, duration: whole, firstByte: first }) {
      answers.inc({ status: String(status) })
      const labels = { service: String(service) }
      if (typeof whole === 'number') duration.observe(labels, whole)
      if (typeof first === 'number') firstByte.observe(labels, first)
    },
    [EdgeEvent.requestRefused] ({ status }) { answers.inc({ status: String(status) }) }
  }

  return {
    observe (event, fields) {
      events.inc({ event })
      observers[event]?.(fields)
    },
    lineLeftOut () { leftOut.inc() },
    peerAnswered (question, milliseconds) { peerAnswers.observe({ question }, milliseconds) },
    counted: (store) => ({
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
    page: async () => await registry.metrics(),
    contentType: registry.contentType,
    names: () => registry.getMetricsAsArray().map(({ name }) => name)
  }
}
