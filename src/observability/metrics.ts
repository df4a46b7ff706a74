/** Sends metrics over StatsD. */
import { StatsD } from 'hot-shots'
import type { Endpoint } from '../types'
import type { Metrics } from './events'

/** Names of all metrics. Timings are in milliseconds. */
export const MetricName = {
  requests: 'requests',
  requestDuration: 'request.duration',
  timeToFirstToken: 'request.time_to_first_token',
  timeInQueue: 'request.time_in_queue',
  refusals: 'requests.refused',
  attempts: 'attempts',
  attemptFailures: 'attempts.failed',
  resumes: 'attempts.resumed',
  promptTokens: 'tokens.prompt',
  cachedTokens: 'tokens.cached',
  outputTokens: 'tokens.output',
  queueSize: 'queue.size',
  indexEntries: 'prefix.index_entries',
  upstreams: 'upstreams',
  peers: 'peers',
  platformFailures: 'platform.failures',
  eventLoopDelay: 'process.event_loop_delay'
} as const
export type MetricName = typeof MetricName[keyof typeof MetricName]

export interface MetricsOptions {
  /** StatsD address. Without it, no metrics are sent. @default undefined */
  address?: Endpoint
  /** Prefix of every metric name. @default 'waxwingspoke.' */
  prefix?: string
  instance: string
  dataCentre: string
}

export interface MetricsHandle extends Metrics {
  close: () => Promise<void>
}

/** Creates the metrics client of one process. */
export function createMetrics (options: MetricsOptions): MetricsHandle {
  const client = new StatsD({
    host: options.address?.host ?? '127.0.0.1',
    port: options.address?.port ?? 8125,
    mock: options.address === undefined,
    prefix: options.prefix ?? 'waxwingspoke.',
    globalTags: { instance: options.instance, data_centre: options.dataCentre },
    cacheDns: true,
    // Ignores send errors: a lost metric does not justify a log line.
    errorHandler: () => {}
  })
  // Without an address the client is not called at all: in mock mode it would buffer every metric in memory.
  const active = options.address !== undefined
  return {
    increment (name, tags, value = 1) {
      if (active) client.increment(name, value, tags === undefined ? undefined : { ...tags })
    },
    gauge (name, value, tags) {
      if (active) client.gauge(name, value, tags === undefined ? undefined : { ...tags })
    },
    timing (name, milliseconds, tags) {
      if (active) client.timing(name, milliseconds, tags === undefined ? undefined : { ...tags })
    },
    close: async () => await new Promise<void>((resolve) => { client.close(() => { resolve() }) })
  }
}
