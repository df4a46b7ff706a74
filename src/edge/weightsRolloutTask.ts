/** Sends engines the commands to load new weights while this instance holds the lease. */
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import type { LeaseTask } from './leaseTask'
import type { SendPermits } from './sendPermits'
import type { EngineControl, Instant, ModelWeights, UpstreamHint } from './types'
import { isLeaving, type Upstream, type UpstreamDirectory } from './upstreamDirectory'
import type { LoadProgress, WeightsRollout, WeightsStep } from './weightsRollout'

/** Interval in milliseconds at which the task checks for steps to perform. */
const TICK_MS = 100
/** Interval in milliseconds at which progress is published while engines load; a load takes about four times as long. */
const PUBLISH_MS = 250
/** Time in milliseconds for which progress is still published after the last engine has the newest weights. */
const PUBLISH_AFTER_MS = 1000

/**
 * Longest time in milliseconds that a report or command waits for a permit, so that it gets one ahead of the requests of
 * callers.
 */
const MAX_PERMIT_WAIT_MS = 2000

export interface WeightsTaskOptions {
  instance: string
  control: EngineControl
  permits: Pick<SendPermits, 'waitFor'>
  lease: Pick<LeaseTask, 'token'>
  rollout: WeightsRollout
  directory: Pick<UpstreamDirectory, 'all' | 'get'>
  isStopping: () => boolean
  /** Fetches the loads of all engines, by which the schedule decides; the holder may not get any requests itself. */
  refreshLoads: () => Promise<void>
  /** Called with the hints in the response of an engine. */
  onUpstreamHint: (upstream: Upstream, hint: UpstreamHint) => void
  /** Publishes the progress of the rollout to the other instances. */
  publish: (progress: LoadProgress) => void
  log: EdgeLog
  now: () => Instant
}

export interface WeightsTask {
  stop: () => void
}

export function startWeightsTask (options: WeightsTaskOptions): WeightsTask {
  const { instance, control, permits, lease, rollout, directory, log, now } = options
  let wasHeld = false
  let pendingAt = -Infinity
  let publishedAt = -Infinity
  const busy = new Set<string>()

  /** Whether a step is still to be performed after the wait for its permit. */
  function isStillDue (upstream: Upstream, { model, version }: ModelWeights): boolean {
    return directory.get(upstream.entry.identifier) === upstream && !isLeaving(upstream) &&
      rollout.target(model) === version && !options.isStopping()
  }

  async function perform ({ kind, upstream, target }: WeightsStep): Promise<void> {
    const { identifier } = upstream.entry
    const onHint = (hint: UpstreamHint): void => { options.onUpstreamHint(upstream, hint) }
    if (!await permits.waitFor(upstream.entry, MAX_PERMIT_WAIT_MS) || !isStillDue(upstream, target)) return
    if (kind === 'report') {
      rollout.recordReport(upstream, await control.report(upstream.entry, onHint), now().steady)
      return
    }
    const fencingToken = lease.token()
    if (fencingToken === undefined) return
    const expectedCommands = rollout.acceptedCommands(upstream)
    const outcome = await control.sendWeightsCommand(upstream.entry, {
      ...target, holder: instance, fencingToken, expectedCommands
    }, onHint).catch((error: unknown) => {
      log(EdgeEvent.weightsCommandFailed, { upstream: identifier, ...target, reason: errorMessage(error) })
      return 'unknown' as const
    })
    log(EdgeEvent.weightsCommandSent, {
      upstream: identifier, ...target, fencingToken, expectedOrders: expectedCommands, outcome
    })
    rollout.recordCommand(upstream, outcome, now().steady)
  }

  function publish (pending: boolean, present: Instant): void {
    if (pending) pendingAt = present.steady
    if (present.steady - pendingAt > PUBLISH_AFTER_MS || present.steady - publishedAt < PUBLISH_MS) return
    publishedAt = present.steady
    options.publish(rollout.progress(directory.all(), present.steady))
  }

  /** The loads are used at the next tick; without them the smallest limit holds. */
  function refreshLoads (): void {
    options.refreshLoads().catch((error: unknown) => { log(EdgeEvent.fault, { reason: errorMessage(error) }) })
  }

  function tick (): void {
    const present = now()
    const pending = rollout.isPending(directory.all())
    const holds = lease.token() !== undefined
    if (holds) publish(pending, present)
    if (wasHeld && !holds) rollout.reset()
    wasHeld = holds
    if (!pending || !holds || options.isStopping()) return
    if (rollout.usesLoads) refreshLoads()
    for (const step of rollout.nextSteps(directory.all(), present.steady)) {
      const { identifier } = step.upstream.entry
      if (busy.has(identifier)) continue
      busy.add(identifier)
      perform(step).catch((error: unknown) => {
        log(EdgeEvent.weightsCommandFailed, { upstream: identifier, reason: errorMessage(error) })
        rollout.recordFailure(step.upstream, now().steady)
      }).finally(() => { busy.delete(identifier) })
    }
  }

  const timer = setInterval(tick, TICK_MS)
  return { stop: () => { clearInterval(timer) } }
}
