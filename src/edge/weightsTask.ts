/** Gives engines the orders that bring them to new weights, under the lease. */
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import { rankByRendezvous } from '../rendezvous'
import type { StoreLease } from './storeLease'
import type { EngineControl, Instant, Store } from './types'
import type { UpstreamDirectory } from './upstreamDirectory'
import type { LoadProgress, WeightsMove, WeightsStep } from './weightsMove'

/** Table with the lease; nobody follows it. */
const LEASE_TABLE = 'waxwingspoke-lease'
const LEASE_KEY = 'orders'
/** Milliseconds between looks at whether there is something to do. */
const TICK_MS = 100
/** Milliseconds between words to the other instances while engines load; a load takes about four times as long. */
const PUBLISH_MS = 250
/** Milliseconds for which the others are told more after the last engine has the newest weights. */
const PUBLISH_AFTER_MS = 1000
/** Milliseconds between attempts to get the lease while another instance holds it. */
const CLAIM_INTERVAL_MS = 1000
/**
 * Milliseconds that an instance waits for each one before it in the order of claims. Longer than a claim takes, so that
 * of a large fleet mostly the first live instance asks.
 */
const CLAIM_STEP_MS = 200
/** The wait for those before grows no further, so that the loss of many instances delays a move by seconds only. */
const LONGEST_CLAIM_DELAY_MS = 2500

export interface WeightsTaskOptions {
  instance: string
  store: Store
  control: EngineControl
  lease: StoreLease
  move: WeightsMove
  directory: UpstreamDirectory
  isStopping: () => boolean
  /** Names of the other instances. */
  peers: () => readonly string[]
  /** Tells the other instances how far the move is. */
  publish: (progress: LoadProgress) => void
  log: EdgeLog
  now: () => Instant
  random: () => number
}

export interface WeightsTask {
  stop: () => void
}

export function startWeightsTask (options: WeightsTaskOptions): WeightsTask {
  const { instance, store, control, lease, move, directory, log, now, random } = options
  let claiming = false
  let claimAt = -Infinity
  let held = false
  let wasPending = false
  let pendingAt = -Infinity
  let publishedAt = -Infinity
  const busy = new Set<string>()

  /** Milliseconds for those that are before this instance in the order of claims. */
  function claimDelay (): number {
    const rank = rankByRendezvous(LEASE_KEY, [instance, ...options.peers()]).indexOf(instance)
    return Math.min(LONGEST_CLAIM_DELAY_MS, rank * CLAIM_STEP_MS) + random() * CLAIM_STEP_MS
  }

  async function claim (): Promise<void> {
    const readAt = now()
    const reading = await store.read(LEASE_TABLE)
    lease.clock(reading.storeTime, readAt)
    lease.observe(reading.rows.find(({ key }) => key === LEASE_KEY))
    const sentAt = now()
    const claim = lease.claim(sentAt)
    if (claim === undefined) return
    if ('heldFor' in claim) {
      claimAt = sentAt.steady + claim.heldFor + claimDelay()
      return
    }
    const result = await store.commit({
      table: LEASE_TABLE,
      conditions: [{ key: LEASE_KEY, version: claim.version }],
      writes: [{ key: LEASE_KEY, value: claim.value }],
      removals: []
    })
    lease.clock(result.storeTime, sentAt)
    if (result.committed) lease.granted(result.version, sentAt)
    else lease.forget()
  }

  function wantLease (present: Instant): void {
    if (claiming || present.steady < claimAt || !lease.wantsRenewal(present)) return
    claiming = true
    claimAt = present.steady + CLAIM_INTERVAL_MS * (0.5 + random())
    claim().catch((error: unknown) => {
      // A write with an unknown outcome gives no lease; the next read shows what became of it.
      lease.forget()
      log(EdgeEvent.leaseLost, { reason: reasonOf(error) })
    }).finally(() => { claiming = false })
  }

  async function perform ({ kind, upstream, wanted }: WeightsStep): Promise<void> {
    const { identifier } = upstream.entry
    if (kind === 'report') {
      move.reported(upstream, await control.report(upstream.entry), now().steady)
      return
    }
    const fencingToken = lease.token(now())
    if (fencingToken === undefined) return
    const expectedOrders = move.acceptedOrders(upstream)
    const outcome = await control.orderWeights(upstream.entry, {
      ...wanted, holder: instance, fencingToken, expectedOrders
    }).catch((error: unknown) => {
      log(EdgeEvent.weightsOrderFailed, { upstream: identifier, ...wanted, reason: reasonOf(error) })
      return 'unknown' as const
    })
    log(EdgeEvent.weightsOrdered, { upstream: identifier, ...wanted, fencingToken, expectedOrders, outcome })
    move.ordered(upstream, outcome, now().steady)
  }

  function publish (pending: boolean, present: Instant): void {
    if (pending) pendingAt = present.steady
    if (present.steady - pendingAt > PUBLISH_AFTER_MS || present.steady - publishedAt < PUBLISH_MS) return
    publishedAt = present.steady
    options.publish(move.progress(directory.all(), present.steady))
  }

  function tick (): void {
    const present = now()
    const pending = move.isPending(directory.all())
    if (pending && !wasPending) claimAt = Math.max(claimAt, present.steady + claimDelay())
    wasPending = pending
    if (lease.token(present) !== undefined) publish(pending, present)
    if (!pending || options.isStopping()) return
    wantLease(present)
    const holds = lease.token(present) !== undefined
    if (holds !== held) {
      held = holds
      log(holds ? EdgeEvent.leaseTaken : EdgeEvent.leaseLost, { token: lease.token(present) })
      if (!holds) move.reset()
    }
    if (!holds) return
    for (const step of move.nextSteps(directory.all(), present.steady)) {
      const { identifier } = step.upstream.entry
      if (busy.has(identifier)) continue
      busy.add(identifier)
      perform(step).catch((error: unknown) => {
        log(EdgeEvent.weightsOrderFailed, { upstream: identifier, reason: reasonOf(error) })
        move.failed(step.upstream, now().steady)
      }).finally(() => { busy.delete(identifier) })
    }
  }

  const timer = setInterval(tick, TICK_MS)
  return { stop: () => { clearInterval(timer) } }
}
