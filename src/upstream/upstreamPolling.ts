/** Polls upstreams for their reports and cache events, and probes those that are due. Timers belong to the caller. */
import type { BlockIndex } from '../prefix/types'
import type { Incarnation, MonotonicMilliseconds } from '../types'
import { LogEvent } from '../observability/events'
import type { EventLog } from '../observability/events'
import type { UpstreamRegistry, UpstreamView } from './registryTypes'
import type { UpstreamClient } from './types'

/** Polls under way at the same time; bounds connections and bursts of work when there are hundreds of engines. */
const MAXIMUM_PARALLEL = 32

export interface UpstreamPollingOptions {
  client: Pick<UpstreamClient, 'report' | 'cacheEvents' | 'probe'>
  registry: UpstreamRegistry
  index: BlockIndex
  /** Called after something was learned that may let waiting work start. */
  onChanged: () => void
  log: EventLog
  now: () => MonotonicMilliseconds
}

export interface UpstreamPolling {
  /** Asks each engine for its report. An engine whose last poll has not ended is left out. */
  pollReports: () => Promise<void>
  /** Asks each engine for its cache events. */
  pollEvents: () => Promise<void>
  /** Probes the upstreams that the registry names. */
  probe: () => Promise<void>
}

export function createUpstreamPolling (options: UpstreamPollingOptions): UpstreamPolling {
  const { client, registry, index, now } = options

  function createRound (
    select: () => readonly UpstreamView[], act: (view: UpstreamView) => Promise<void>
  ): () => Promise<void> {
    /** Upstreams with a poll under way, so that a silent one does not collect polls. */
    const busy = new Set<string>()
    return async () => {
      const due = select().filter(({ name }) => !busy.has(name)).slice(0, MAXIMUM_PARALLEL - busy.size)
      await Promise.all(due.map(async (view) => {
        busy.add(view.name)
        await act(view).finally(() => { busy.delete(view.name) })
      }))
      if (due.length > 0) options.onChanged()
    }
  }

  /** Incarnations whose event streams were read last. */
  const known = new Map<string, Incarnation>()
  const engines = (): readonly UpstreamView[] => registry.upstreams(now()).filter(({ kind }) => kind === 'engine')

  /** Engines in turn, so that a bounded round reaches all of them. */
  function rotating (): () => readonly UpstreamView[] {
    let offset = 0
    return () => {
      const all = engines()
      if (all.length === 0) return all
      offset = (offset + MAXIMUM_PARALLEL) % all.length
      return all.length <= MAXIMUM_PARALLEL ? all : [...all.slice(offset), ...all.slice(0, offset)]
    }
  }

  return {
    pollReports: createRound(rotating(), async ({ name, endpoint }) => {
      try {
        registry.applyReport(name, await client.report(endpoint), now())
      } catch {
        registry.recordFailure(name, now())
      }
    }),
    pollEvents: createRound(rotating(), async ({ name, endpoint }) => {
      const after = index.newestSequence(name)
      try {
        let batch = await client.cacheEvents(endpoint, after)
        // A restarted engine counts its events from the start, so that the position in the old stream skips some.
        if (after > 0 && batch.incarnation !== known.get(name)) batch = await client.cacheEvents(endpoint, 0)
        known.set(name, batch.incarnation)
        const first = batch.events[0]
        if (first !== undefined && after > 0 && first.sequence > after + 1) {
          options.log(LogEvent.cacheEventsLost, { upstream: name, after, first: first.sequence }, 'debug')
        }
        index.applyEvents(name, batch, now())
      } catch {
        // The index counts the entries as uncertain when an engine stays silent; reports decide about its state.
      }
    }),
    probe: createRound(() => registry.probesDue(now()), async ({ name, endpoint }) => {
      try {
        registry.recordSuccess(name, now(), await client.probe(endpoint))
      } catch {
        registry.recordFailure(name, now())
      }
    })
  }
}
