/** Claims the lease on the store while this instance has work that one instance at a time may do. */
import { EdgeEvent, reasonOf, type EdgeLog } from './events'
import { rankByRendezvous } from '../rendezvous'
import type { StoreLease } from './storeLease'
import type { Instant, Store } from './types'

/** Table with the lease; nobody follows it. */
const LEASE_TABLE = 'waxwingspoke-lease'
const LEASE_KEY = 'orders'
/** Milliseconds between looks at whether the lease is wanted. */
const TICK_MS = 100
/** Milliseconds between attempts to get the lease while another instance holds it. */
const CLAIM_INTERVAL_MS = 1000
/**
 * Milliseconds that an instance waits for each one before it in the order of claims. Longer than a claim takes, so that
 * of a large fleet mostly the first live instance asks.
 */
const CLAIM_STEP_MS = 200
/** The wait for those before grows no further, so that the loss of many instances delays work by seconds only. */
const LONGEST_CLAIM_DELAY_MS = 2500

export interface LeaseTaskOptions {
  instance: string
  store: Pick<Store, 'read' | 'commit'>
  lease: StoreLease
  /** Another instance has told lately what it does under the lease. */
  isHeldByOther: () => boolean
  /** Whether this instance knows of work under the lease. */
  isWanted: () => boolean
  isStopping: () => boolean
  /** Names of the other instances. */
  peers: () => readonly string[]
  log: EdgeLog
  now: () => Instant
  random: () => number
}

export interface LeaseTask {
  /** Fencing token while this instance holds the lease, undefined otherwise. */
  token: () => number | undefined
  stop: () => void
}

export function startLeaseTask (options: LeaseTaskOptions): LeaseTask {
  const { instance, store, lease, log, now, random } = options
  let claiming = false
  let claimAt = -Infinity
  let wasWanted = false
  let wasHeld = false

  /** Milliseconds for those that are before this instance in the order of claims. */
  function claimDelay (): number {
    const rank = rankByRendezvous(LEASE_KEY, [instance, ...options.peers()]).indexOf(instance)
    return Math.min(LONGEST_CLAIM_DELAY_MS, rank * CLAIM_STEP_MS) + random() * CLAIM_STEP_MS
  }

  async function readLease (): Promise<void> {
    const readAt = now()
    const reading = await store.read(LEASE_TABLE)
    lease.clock(reading.storeTime, readAt)
    lease.observe(reading.rows.find(({ key }) => key === LEASE_KEY))
  }

  async function claim (): Promise<void> {
    if (lease.token(now()) === undefined) await readLease()
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

  function tick (): void {
    const present = now()
    // The store need not be asked while the holder is heard of; those that wait for it then do so in turn.
    const wanted = options.isWanted() && (wasHeld || !options.isHeldByOther())
    if (wanted && !wasWanted) claimAt = Math.max(claimAt, present.steady + claimDelay())
    wasWanted = wanted
    if (!wanted || options.isStopping()) return
    wantLease(present)
    const token = lease.token(present)
    if ((token !== undefined) === wasHeld) return
    wasHeld = token !== undefined
    log(wasHeld ? EdgeEvent.leaseTaken : EdgeEvent.leaseLost, { token })
  }

  const timer = setInterval(tick, TICK_MS)
  return {
    token: () => lease.token(now()),
    stop: () => { clearInterval(timer) }
  }
}
