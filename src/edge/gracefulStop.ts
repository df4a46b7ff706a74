/**
 * Stops an edge daemon: takes no new requests, waits for those in progress and for their responses to be sent, ends
 * those that are left, then closes everything.
 */
import { EdgeEvent, type EdgeLog } from './events'
import type { Exchange } from './exchange'

/**
 * Time in milliseconds after the stop signal for which requests are still accepted. The load balancer removes the
 * instance after two failed readiness checks, one per second. Requests that start later might not complete within the
 * grace period.
 */
const STOP_ACCEPT_MS = 2700
/** Time in milliseconds before the forced termination at which the exchanges in progress are ended. */
const STOP_MARGIN_MS = 500
/** Time in milliseconds that their final responses take to be sent. */
const FLUSH_MS = 100
/** Interval in milliseconds between checks whether all exchanges have finished and their responses are sent. */
const DRAIN_POLL_MS = 50

export interface GracefulStopOptions {
  /** Milliseconds from the stop signal until the process is terminated by force. */
  grace: number
  /** Exchanges in progress. */
  exchanges: ReadonlySet<Pick<Exchange, 'close'>>
  /** Whether the process holds parts of responses that the operating system has not taken yet; they end with it. */
  hasUnsentBytes: () => boolean
  log: EdgeLog
  /** Called at once. */
  onStopping: () => void
  /** Called when no further requests are accepted. */
  rejectRequests: () => void
  /** Closes all tasks, connections and servers. */
  close: () => void
}

/** Resolves once the time has passed and the requests that have arrived by then have been read. */
async function delay (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
  // In a process that was busy, timers come before the sockets. A connection closed with unread bytes is reset.
  await new Promise((resolve) => { setImmediate(resolve) })
}

export async function stopGracefully (options: GracefulStopOptions): Promise<void> {
  const { grace, exchanges, log } = options
  options.onStopping()
  log(EdgeEvent.stopping, { exchanges: exchanges.size })
  const end = performance.now() + grace - STOP_MARGIN_MS
  await delay(Math.min(STOP_ACCEPT_MS, grace / 2))
  options.rejectRequests()
  const isBusy = (): boolean => exchanges.size > 0 || options.hasUnsentBytes()
  while (isBusy() && performance.now() < end) await delay(DRAIN_POLL_MS)
  const unfinished = [...exchanges]
  for (const exchange of unfinished) exchange.close()
  if (unfinished.length > 0) await delay(FLUSH_MS)
  options.close()
  log(EdgeEvent.stopped, { exchanges: unfinished.length })
}
