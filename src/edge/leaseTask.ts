/** Claims and renews the lease in the store while there is work that only one instance at a time may do. */
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import { rankByRendezvous } from '../rendezvous'
import type { StoreLease } from './storeLease'
import type { Instant, Store } from './types'

/** Table that contains the lease. No instance follows it. */
const LEASE_TABLE = 'waxwingspoke-lease'
const LEASE_KEY = 'orders'
/** Interval in milliseconds at which the task checks whether the lease is needed. */
const TICK_MS = 100
/** Mean time in milliseconds between attempts to claim the lease while another instance holds it. */
const CLAIM_INTERVAL_MS = 1000
/**
 * Delay in milliseconds per instance that precedes this one in the order of claims. Longer than a claim takes, so that
 * in a large fleet usually only the first live instance calls the store.
 */
const CLAIM_STEP_MS = 200
/** Upper bound for the delay by rank, so that the loss of many instances delays work by no more than a few seconds. */
const MAX_CLAIM_DELAY_MS = 2500

export interface LeaseTaskOptions {
  instance: string
  store: Pick<Store, 'read' | 'commit'>
  lease: StoreLease
  /** Whether another instance has recently published updates as the lease holder. */
  isHeldByOther: () => boolean
  /** Whether this instance knows of work that requires the lease. */
  isNeeded: () => boolean
  isStopping: () => boolean
  /** Returns the names of the other instances. */
  peers: () => readonly string[]
  log: EdgeLog
  now: () => Instant
  random: () => number
}

export interface LeaseTask {
  /** Returns the fencing token while this instance holds the lease, otherwise undefined. */
  token: () => number | undefined
  stop: () => void
}

export function startLeaseTask (options: LeaseTaskOptions): LeaseTask {
  const { instance, store, lease, log, now, random } = options
  let claiming = false
  let nextClaimAt = -Infinity
  let wasNeeded = false
  let wasHeld = false
  let couldReclaim = false

  /** Returns the delay in milliseconds that gives the preceding instances time to claim first. */
  function claimDelay (): number {
    const rank = rankByRendezvous(LEASE_KEY, [instance, ...options.peers()]).indexOf(instance)
    return Math.min(MAX_CLAIM_DELAY_MS, rank * CLAIM_STEP_MS) + random() * CLAIM_STEP_MS
  }

  async function readLease (): Promise<void> {
    const readSentAt = now()
    const reading = await store.read(LEASE_TABLE)
    lease.observeStoreTime(reading.storeTime, readSentAt, reading.era)
    lease.observeRow(reading.rows.find(({ key }) => key === LEASE_KEY), reading.era)
  }

  async function claimLease (): Promise<void> {
    if (lease.fencingToken(now()) === undefined) await readLease()
    const sentAt = now()
    const claim = lease.prepareClaim(sentAt)
    if (claim === undefined) return
    if ('availableIn' in claim) {
      nextClaimAt = sentAt.steady + claim.availableIn + claimDelay()
      return
    }
    const result = await store.commit({
      table: LEASE_TABLE,
      conditions: [{ key: LEASE_KEY, version: claim.version }],
      writes: [{ key: LEASE_KEY, value: claim.value }],
      removals: []
    })
    lease.observeStoreTime(result.storeTime, sentAt, result.era)
    const isOfClaimedEra = (result.era ?? 0) === claim.era
    if (result.committed && isOfClaimedEra) lease.recordGrant(result.version, sentAt, result.era)
    else lease.invalidate()
  }

  function claimIfDue (present: Instant): void {
    if (claiming || present.steady < nextClaimAt || !lease.needsRenewal(present)) return
    claiming = true
    nextClaimAt = present.steady + CLAIM_INTERVAL_MS * (0.5 + random())
    claimLease().catch((error: unknown) => {
      // A write with an unknown outcome grants no lease; the next read shows whether it was committed.
      lease.invalidate()
      log(EdgeEvent.leaseLost, { reason: errorMessage(error) })
    }).finally(() => { claiming = false })
  }

  function tick (): void {
    const present = now()
    // While updates of the holder arrive, the store need not be read. Once they stop, the instances claim in turn.
    const needed = options.isNeeded() && (wasHeld || !options.isHeldByOther())
    const mayReclaim = lease.mayReclaim(present)
    if (mayReclaim && !couldReclaim) nextClaimAt = -Infinity
    couldReclaim = mayReclaim
    if (needed && !wasNeeded) nextClaimAt = Math.max(nextClaimAt, present.steady + claimDelay())
    wasNeeded = needed
    if (!needed || options.isStopping()) return
    claimIfDue(present)
    const token = lease.fencingToken(present)
    if ((token !== undefined) === wasHeld) return
    wasHeld = token !== undefined
    log(wasHeld ? EdgeEvent.leaseAcquired : EdgeEvent.leaseLost, { token })
  }

  const timer = setInterval(tick, TICK_MS)
  return {
    token: () => lease.fencingToken(now()),
    stop: () => { clearInterval(timer) }
  }
}
