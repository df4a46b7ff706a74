/** Leads service rollouts while this instance holds the lease, and publishes their state to the other instances. */
import { createRolloutJudge, type RolloutJudge } from '../rollout/judge'
import type { RolloutSample } from '../rollout/types'
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import type { LeaseTask } from './leaseTask'
import { NEW_VERSION, OLD_VERSION, type RolloutSampler } from './rolloutSampler'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import { eraPosition, type StoreEra } from './storeEra/storeEra'
import type { RolloutObservations, RolloutUpdate, RolloutStep, ServiceRollouts } from './serviceRollouts'
import { ServiceRolloutState, type Instant, type Peer, type Store, type StoreRecordCodec } from './types'
import type { UpstreamDirectory } from './upstreamDirectory'

/** Interval in milliseconds at which the task checks for work and publishes the shares. */
const TICK_MS = 250
/**
 * Interval in milliseconds between evaluations; each covers the samples that all instances counted since the last one.
 */
const EVALUATION_INTERVAL_MS = 1000
/** Timeout in milliseconds for a peer's samples. */
const SAMPLE_TIMEOUT_MS = 200
/** Time in milliseconds for which updates are still published after the last rollout has ended. */
const PUBLISH_AFTER_MS = 1500
/** Delay in milliseconds before a failed read or write of a status is retried. */
const RETRY_MS = 500

export interface ServiceRolloutsTaskOptions {
  store: Pick<Store, 'read' | 'commit'>
  records: Pick<StoreRecordCodec, 'tables' | 'rolloutStatusKey' | 'readRolloutStatus' | 'writeRolloutStatus'>
  lease: Pick<LeaseTask, 'token'>
  storeEra: Pick<StoreEra, 'subscribe'>
  rollouts: ServiceRollouts
  sampler: RolloutSampler
  directory: UpstreamDirectory
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  /** Returns the other instances. */
  peers: () => readonly Peer[]
  publish: (update: RolloutUpdate) => void
  isStopping: () => boolean
  log: EdgeLog
  now: () => Instant
}

export interface ServiceRolloutsTask {
  /** Reads the stored status of a rollout whose request may be old. */
  readStatus: (service: string) => void
  /** Responds to the lease holder with the samples of this instance. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
  stop: () => void
}

interface LedRollout {
  judge: RolloutJudge
  /** Version of the stored status; 0 if there is none. */
  statusVersion: number
}

function isSampleList (value: unknown): value is RolloutSample[] {
  return Array.isArray(value) && (value as Array<Partial<RolloutSample>>).every((sample) => (
    typeof sample.route === 'string' && typeof sample.version === 'string' &&
    Object.values(sample).every((field) => typeof field !== 'number' || Number.isFinite(field))
  ))
}

export function startServiceRolloutsTask (options: ServiceRolloutsTaskOptions): ServiceRolloutsTask {
  const { store, records, lease, rollouts, sampler, directory, links, log, now } = options
  /** Rollouts that this instance leads, by service. */
  const led = new Map<string, LedRollout>()
  const busy = new Set<string>()
  let evaluatedAt = -Infinity
  let lastPendingAt = -Infinity
  let retryAt = -Infinity
  let wasHeld = false

  /** Reads and applies the stored status; returns the version of its row. */
  async function refreshStatus (service: string): Promise<number> {
    const { rows, era = 0 } = await store.read(records.tables.statuses)
    const row = rows.find(({ key }) => key === records.rolloutStatusKey(service))
    const status = row?.value === undefined ? undefined : records.readRolloutStatus(service, row.value)
    rollouts.applyStoredStatus(service, status, eraPosition(era, row?.version ?? 0))
    return row?.version ?? 0
  }

  async function writeStatus (service: string, state: ServiceRolloutState): Promise<void> {
    const ledRollout = led.get(service)
    const request = rollouts.requestOf(service)
    if (ledRollout === undefined || request === undefined) return
    const key = records.rolloutStatusKey(service)
    const result = await store.commit({
      table: records.tables.statuses,
      conditions: [{ key, version: ledRollout.statusVersion }],
      writes: [{ key, value: records.writeRolloutStatus({ service, toVersion: request.toVersion, state }) }],
      removals: []
    })
    if (!result.committed) {
      // Another instance has written in the meantime; the next tick takes over from the status that it wrote.
      led.delete(service)
      return
    }
    ledRollout.statusVersion = result.version
    if (state !== ServiceRolloutState.running) rollouts.markReported(service)
    log(EdgeEvent.rolloutStatusReported, { service, toVersion: request.toVersion, state })
  }

  /** Starts leading a rollout, or reporting its final state, unless that state is already stored. */
  async function takeOver (service: string): Promise<void> {
    const statusVersion = await refreshStatus(service)
    if (!rollouts.pending().includes(service)) return
    const judge = createRolloutJudge({ fromVersion: OLD_VERSION, toVersion: NEW_VERSION })
    led.set(service, { judge, statusVersion })
    rollouts.takeOver(service, now().steady)
    await writeStatus(service, rollouts.finalState(service) ?? ServiceRolloutState.running)
  }

  /**
   * Ends the rollout. Routing changes at once, even if the store is unavailable; the status write is retried until it
   * succeeds.
   */
  async function endRollout (service: string, state: ServiceRolloutState): Promise<void> {
    rollouts.end(service, state)
    rollouts.updates().forEach(options.publish)
    await writeStatus(service, state)
  }

  function oldInFlight (service: string): number {
    return directory.ofService(service)
      .filter((upstream) => !rollouts.hasTargetVersion(upstream))
      .reduce((sum, { inFlight }) => sum + inFlight, 0)
  }

  /**
   * Collects the samples of all instances. Returns the number of requests on the old version, undefined if any instance
   * did not respond.
   */
  async function gatherSamples (service: string, judge: RolloutJudge): Promise<number | undefined> {
    judge.add('', sampler.drain(service))
    const counts = await Promise.all(options.peers().map(async ({ name, endpoint }) => {
      const request = { kind: PeerRequestKind.rolloutCounts, service }
      const { samples, oldInFlight: count } = await requestIfReachable(
        links, endpoint, request, SAMPLE_TIMEOUT_MS
      ) ?? {}
      if (!isSampleList(samples) || typeof count !== 'number') return undefined
      judge.add(name, samples)
      return count
    }))
    return counts.reduce<number | undefined>((sum, count) => (
      sum === undefined || count === undefined ? undefined : sum + count
    ), oldInFlight(service))
  }

  async function applyStep (
    step: RolloutStep, service: string, { newUpstreams, oldUpstreams }: RolloutObservations
  ): Promise<void> {
    if (step.kind === 'share') {
      rollouts.setShare(service, step.share, now().steady)
      log(EdgeEvent.rolloutShareChanged, { service, share: step.share, newUpstreams, oldUpstreams })
      return
    }
    if (step.kind === 'complete') return await endRollout(service, ServiceRolloutState.completed)
    log(EdgeEvent.rolloutRolledBack, { service, reason: step.reason })
    await endRollout(service, ServiceRolloutState.rolledBack)
  }

  async function advance (service: string): Promise<void> {
    const ledRollout = led.get(service)
    if (ledRollout === undefined) return await takeOver(service)
    const endState = rollouts.finalState(service)
    if (endState !== undefined) return await writeStatus(service, endState)
    const { judge } = ledRollout
    const oldInFlightCount = await gatherSamples(service, judge)
    const verdict = judge.evaluate()
    const present = now()
    if (lease.token() === undefined) return
    const usable = directory.usable(service, present.steady)
    const newUpstreams = usable.filter((upstream) => rollouts.hasTargetVersion(upstream)).length
    const observations: RolloutObservations = {
      fault: verdict === undefined ? undefined : `${verdict.reason} on route ${verdict.route}`,
      isHealthy: judge.isSafeToAdvance(),
      oldInFlight: oldInFlightCount,
      oldUpstreams: usable.length - newUpstreams,
      newUpstreams
    }
    const step = rollouts.nextStep(service, observations, present.steady)
    if (step !== undefined) await applyStep(step, service, observations)
  }

  function publish (present: number): void {
    rollouts.renewShares(present)
    rollouts.updates().forEach(options.publish)
  }

  function tick (): void {
    const present = now().steady
    const holds = lease.token() !== undefined
    if (wasHeld && !holds) {
      led.clear()
      rollouts.reset()
    }
    const pending = rollouts.pending()
    // Before publishing, so that no instance applies a share that has expired.
    if (holds && !wasHeld) for (const service of pending) rollouts.takeOver(service, present)
    wasHeld = holds
    if (pending.length > 0) lastPendingAt = present
    if (!holds || options.isStopping()) return
    if (present - lastPendingAt < PUBLISH_AFTER_MS) publish(present)
    if (present < retryAt || present - evaluatedAt < EVALUATION_INTERVAL_MS) return
    evaluatedAt = present
    for (const service of pending) {
      if (busy.has(service)) continue
      busy.add(service)
      advance(service).catch((error: unknown) => {
        // The outcome of a write may be unknown; the next tick reads the stored status.
        led.delete(service)
        retryAt = now().steady + RETRY_MS
        log(EdgeEvent.rolloutTaskFailed, { service, reason: errorMessage(error) })
      }).finally(() => { busy.delete(service) })
    }
  }

  options.storeEra.subscribe(() => {
    // The versions of the stored statuses are void, and the last writes may be lost.
    led.clear()
    rollouts.startNewEra()
  })
  const timer = setInterval(tick, TICK_MS)
  return {
    readStatus (service) {
      refreshStatus(service).catch((error: unknown) => {
        log(EdgeEvent.rolloutTaskFailed, { service, reason: errorMessage(error) })
      })
    },
    async handleRequest ({ service }) {
      const name = typeof service === 'string' ? service : ''
      return { samples: sampler.drain(name), oldInFlight: oldInFlight(name) }
    },
    stop: () => { clearInterval(timer) }
  }
}
