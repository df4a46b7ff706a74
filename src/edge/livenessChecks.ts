/**
 * Runs liveness checks on engines that have been silent for a while, before their running work is restarted elsewhere.
 *
 * Load pattern: an instance of a large fleet has one request at an engine at a time. While that request is queued, the
 * engine stays silent for longer than the time after which a lost engine is detected. Treating it as lost would send
 * the prompt to the next queue, make the whole data centre avoid the engine, and prefill the prompt twice.
 */
import { OverloadedError } from '../errors'
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import type { SendPermits } from './sendPermits'
import type { EngineControl, UpstreamHint } from './types'
import { isLeaving, recordLivenessResponse, takeDueLivenessChecks, type Upstream } from './upstreamDirectory'

/**
 * Longest time in milliseconds that a check waits for a permit; with the wait, it still ends before the silence of the
 * engine counts as a failure.
 */
const MAX_PERMIT_WAIT_MS = 200

export interface LivenessChecksOptions {
  control: Pick<EngineControl, 'report'>
  permits: Pick<SendPermits, 'waitFor'>
  upstreams: () => Iterable<Upstream>
  onHint: (upstream: Upstream, hint: UpstreamHint) => void
  log: EdgeLog
  /** Monotonic clock in milliseconds. */
  now: () => number
}

export interface LivenessChecks {
  /** Checks all engines that are due; called a few times per second. */
  runDue: () => void
}

export function createLivenessChecks (
  { control, permits, upstreams, onHint, log, now }: LivenessChecksOptions
): LivenessChecks {
  function check (upstream: Upstream): void {
    let hasResponded = false
    permits.waitFor(upstream.entry, MAX_PERMIT_WAIT_MS).then(async (isPermitted) => {
      if (!isPermitted) throw new OverloadedError('the request limit of the engine permits no check')
      // The engine may have announced that it is leaving during the wait for the permit.
      if (isLeaving(upstream)) return
      await control.report(upstream.entry, (hint) => {
        hasResponded = true
        recordLivenessResponse(upstream, now())
        onHint(upstream, hint)
      })
    }).catch((error: unknown) => {
      // A response that is not a valid report still proves that the engine is alive.
      if (
        !hasResponded
      ) log(EdgeEvent.upstreamSilent, { upstream: upstream.entry.identifier, reason: errorMessage(error) })
    })
  }

  return {
    runDue () {
      for (const upstream of takeDueLivenessChecks(upstreams(), now())) check(upstream)
    }
  }
}
