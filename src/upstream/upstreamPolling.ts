/** Polls upstreams for reports and cache events, and sends due probes. The caller schedules the polling rounds. */
import type { BlockIndex } from '../prefix/types'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import { LogEvent } from '../observability/events'
import type { EventLog } from '../observability/events'
import type { UpstreamRegistry, UpstreamView } from './registryTypes'
import type { UpstreamClient } from './types'

/** Maximum number of concurrent polls. Bounds connections and bursts of work in fleets with hundreds of engines. */
const MAXIMUM_PARALLEL_POLLS = 32

export interface UpstreamPollingOptions {
  client: Pick<UpstreamClient, 'report' | 'cacheEvents' | 'probe'>
  registry: UpstreamRegistry
  index: BlockIndex
  /** Called after a round that may have changed the state of upstreams, so that queued requests can be dispatched. */
  onChanged: () => void
  log: EventLog
  now: () => MonotonicMilliseconds
}

export interface UpstreamPolling {
  /** Requests the reports of the engines. Skips engines whose previous poll is still in progress. */
  pollReports: () => Promise<void>
  /** Requests the cache events of the engines. */
  pollEvents: () => Promise<void>
  /** Probes the upstreams that the registry reports as due. */
  probe: () => Promise<void>
}

export function createUpstreamPolling (options: UpstreamPollingOptions): UpstreamPolling {
  const { client, registry, index, now } = options

  function createPollingRound (
    select: () => readonly UpstreamView[], poll: (view: UpstreamView) => Promise<void>
  ): () => Promise<void> {
    /** Upstreams with a poll in progress, so that polls of an unresponsive upstream do not accumulate. */
    const busy = new Set<string>()
    return async () => {
      const due = select().filter(({ name }) => !busy.has(name)).slice(0, MAXIMUM_PARALLEL_POLLS - busy.size)
      await Promise.all(due.map(async (view) => {
        busy.add(view.name)
        await poll(view).finally(() => { busy.delete(view.name) })
      }))
      if (due.length > 0) options.onChanged()
    }
  }

  /** Incarnation of each engine at its last poll for cache events. */
  const lastIncarnations = new Map<string, Incarnation>()
  const engines = (): readonly UpstreamView[] => registry.upstreams(now()).filter(({ kind }) => kind === 'engine')

  /** Returns a selector that rotates the engines, so that successive bounded rounds cover all of them. */
  function rotateEngines (): () => readonly UpstreamView[] {
    let offset = 0
    return () => {
      const all = engines()
      if (all.length === 0) return all
      offset = (offset + MAXIMUM_PARALLEL_POLLS) % all.length
      return all.length <= MAXIMUM_PARALLEL_POLLS ? all : [...all.slice(offset), ...all.slice(0, offset)]
    }
  }

  return {
    pollReports: createPollingRound(rotateEngines(), async ({ name, endpoint }) => {
      try {
        registry.applyReport(name, await client.report(endpoint), now())
      } catch {
        registry.recordFailure(name, now())
      }
    }),
    pollEvents: createPollingRound(rotateEngines(), async ({ name, endpoint }) => {
      const after = index.newestSequence(name)
      try {
        let batch = await client.cacheEvents(endpoint, after)
        // A restarted engine numbers its events from the start, so the position in the old stream would skip some.
        if (after > 0 && batch.incarnation !== lastIncarnations.get(name)) batch = await client.cacheEvents(endpoint, 0)
        lastIncarnations.set(name, batch.incarnation)
        const first = batch.events[0]
        if (first !== undefined && after > 0 && first.sequence > after + 1) {
          options.log(LogEvent.cacheEventsLost, { upstream: name, after, first: first.sequence }, 'debug')
        }
        index.applyEvents(name, batch, now())
      } catch {
        // The index treats the entries of an unresponsive engine as uncertain. Reports determine the engine's state.
      }
    }),
    probe: createPollingRound(() => registry.probesDue(now()), async ({ name, endpoint }) => {
      try {
        registry.recordSuccess(name, now(), await client.probe(endpoint))
      } catch {
        registry.recordFailure(name, now())
      }
    })
  }
}
