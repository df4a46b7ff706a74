/**
 * Plans which peers to request loans from, and the amounts: for a single request that the local level does not cover,
 * and ahead of demand for customers whose traffic exceeds the local rate. Peers of the own data centre are preferred.
 */
import type { MonotonicMilliseconds } from '../types'
import type { CustomerDemand, InstanceQuotaAccounts } from './accounts'
import { capacityForRate } from './allowance'
import { DEMAND_HEADROOM } from './demand'
import { LOAN_MAXIMUM_MS } from './loans'
import type { LoanReply, LoanRequest } from './types'

/** Timeouts for loan replies in milliseconds: from peers of the own data centre only, and from any peer. */
const OWN_DATA_CENTRE_WAIT_MS = 50
const ANY_DATA_CENTRE_WAIT_MS = 250

/** Milliseconds between calls of `planAhead`: several calls fit into the second half of a loan, when it is renewed. */
export const BORROWING_INTERVAL_MS = 250

/** Back-off in milliseconds for a peer that had almost nothing to lend. */
const EXHAUSTED_BACK_OFF_MS = 100

/** Fraction of the request below which a reply shows that the lender has almost nothing to lend. */
const EXHAUSTED_FRACTION = 0.1

/** Fraction of the request below which a reply shows that the lender has nothing more for the same request. */
const PARTLY_EXHAUSTED_FRACTION = 0.9

/** Back-off in milliseconds after such a reply; about the lifetime of the loans of one request. */
const PARTLY_EXHAUSTED_BACK_OFF_MS = 10

/** Fraction of the capacity below which a level is topped up, to twice this fraction, by peers more than half full. */
const LOW_LEVEL_FRACTION = 0.25

/** Number of peers that a top-up is requested from at the same time. */
const TOP_UP_PEERS = 2

/**
 * Factor by which the tokens requested from several peers for one request exceed the missing tokens, since some peers
 * have less than others. Unneeded loans are returned immediately.
 */
const OVER_REQUEST_FACTOR = 2

/** Maximum number of peers in one plan, unless even shares of that many peers would not cover the missing amount. */
const MAXIMUM_CONCURRENT_PEERS = 8

/** Back-off in milliseconds for a peer that did not reply in time. */
const TIMEOUT_BACK_OFF_MS = 2000

/** Milliseconds after which the loans of an unfinished plan are returned. */
const UNFINISHED_PLAN_TIMEOUT_MS = 1000

/** Shortfall above which loans are requested ahead of demand, as a fraction of the customer's rate. */
const MINIMUM_SHORTFALL_FRACTION = 0.01

/** Connected instance that loans can be requested from. */
export interface LoanPeer {
  instance: string
  dataCentre: string
}

export interface PlannedLoan {
  /** Instance that the request is sent to. */
  peer: string
  request: LoanRequest
}

export interface LoanPlan {
  loans: readonly PlannedLoan[]
  /**
   * Maximum time in milliseconds to wait for all replies before the request is admitted or rejected. Admission can be
   * retried after each reply.
   */
  waitMilliseconds: number
}

export interface LoanPlannerOptions {
  accounts: InstanceQuotaAccounts
  dataCentre: string
  /** Prefix that makes loan identifiers unique across the fleet and across restarts: instance and incarnation. */
  identifierPrefix: string
}

export interface LoanPlanner {
  /**
   * Plans loans that would let this instance admit a request of `tokens` that was rejected because of the rate. Returns
   * undefined when the level suffices, when the cost exceeds the customer's burst, or when no peer is left; the request
   * is then rejected. A second call after the replies selects peers that were not asked before or may have more. Call
   * `finish` with every plan once the request has been admitted or rejected.
   */
  planLoans: (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ) => LoanPlan | undefined
  /** Gives the loans of a plan back to their lenders. An unfinished plan ends automatically after one second. */
  finish: (plan: LoanPlan, now: MonotonicMilliseconds) => void
  /**
   * Plans loans for customers whose demand exceeds the local rate and renewals of loans that are still needed. The
   * result also contains the pending messages that return loans.
   */
  planAhead: (peers: readonly LoanPeer[], now: MonotonicMilliseconds) => readonly PlannedLoan[]
  /** Processes a reply of a peer and applies it to the accounts. */
  receive: (reply: LoanReply, now: MonotonicMilliseconds) => void
  /** Removes and returns the pending messages that return loans; to be sent after `receive` and `finish`. */
  takeReturns: () => readonly PlannedLoan[]
}

/** Kinds of loans, with separate back-off: a peer that has no rate to lend may still have tokens, and vice versa. */
const KINDS = ['rate', 'tokens'] as const
type LoanKind = typeof KINDS[number]

interface PendingRequest {
  peer: string
  request: LoanRequest
  sentAt: MonotonicMilliseconds
  replyDeadline: MonotonicMilliseconds
  /** False when the loan is to be returned as soon as the reply arrives. */
  isNeeded: boolean
}

interface ActiveLoan {
  peer: string
  customer: string
  rate: number
  capacity: number
  sentAt: MonotonicMilliseconds
  duration: number
}

export function createLoanPlanner (options: LoanPlannerOptions): LoanPlanner {
  const { accounts, dataCentre, identifierPrefix } = options
  const pendingRequests = new Map<string, PendingRequest>()
  /** Borrowed loans, by series. */
  const activeLoans = new Map<string, ActiveLoan>()
  /** Time until which no loan is requested from a peer, by kind, customer and peer. */
  const backOffUntil = new Map<string, MonotonicMilliseconds>()
  const pendingReturns: PlannedLoan[] = []
  let requestCount = 0

  function removeExpired (now: MonotonicMilliseconds): void {
    for (const [identifier, { peer, request, replyDeadline }] of pendingRequests) {
      if (replyDeadline > now) continue
      pendingRequests.delete(identifier)
      for (const kind of KINDS) backOffUntil.set(backOffKey(request.customer, peer, kind), now + TIMEOUT_BACK_OFF_MS)
    }
    for (const [series, { sentAt, duration }] of activeLoans) if (sentAt + duration <= now) activeLoans.delete(series)
    for (const [key, until] of backOffUntil) if (until <= now) backOffUntil.delete(key)
  }

  /** Builds a request. The accounts record `now` as its send time, so it must be sent immediately. */
  function createRequest (
    peer: LoanPeer, amounts: Pick<LoanRequest, 'customer' | 'rate' | 'capacity' | 'tokens' | 'renews' | 'surplusOnly'>,
    now: MonotonicMilliseconds
  ): PlannedLoan[] {
    requestCount += 1
    const request: LoanRequest = {
      identifier: `${identifierPrefix}/${requestCount}`, duration: LOAN_MAXIMUM_MS, ...amounts
    }
    if (!accounts.registerLoanRequest(request, now)) return []
    const replyDeadline = now + ANY_DATA_CENTRE_WAIT_MS
    pendingRequests.set(request.identifier, {
      peer: peer.instance, request, sentAt: now, replyDeadline, isNeeded: true
    })
    return [{ peer: peer.instance, request }]
  }

  /**
   * Selects the peers to request a loan from: those of the own data centre, and also remote ones when even shares of
   * the local peers do not cover `share`. The first peer rotates from call to call, which spreads the load.
   */
  function choosePeers (customer: string, kind: LoanKind, share: number, peers: readonly LoanPeer[]): LoanPeer[] {
    const evenShare = 1 / (peers.length + 1)
    const available = peers.filter(({ instance }) => !backOffUntil.has(backOffKey(customer, instance, kind)))
    const local = available.filter((peer) => peer.dataCentre === dataCentre)
    const remote = available.filter((peer) => peer.dataCentre !== dataCentre)
    const neededPeers = Math.ceil(share / evenShare - 1e-9)
    const ordered = neededPeers <= local.length ? rotate(local) : [...rotate(local), ...rotate(remote)]
    return ordered.slice(0, Math.max(MAXIMUM_CONCURRENT_PEERS, neededPeers))
  }

  function rotate (peers: readonly LoanPeer[]): LoanPeer[] {
    const first = peers.length === 0 ? 0 : requestCount % peers.length
    return [...peers.slice(first), ...peers.slice(0, first)]
  }

  function planLoans (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): LoanPlan | undefined {
    removeExpired(now)
    const demand = accounts.demand(customer, now)
    if (demand === undefined || tokens > demand.limit.burst || tokens <= demand.level) return undefined
    const missing = tokens - demand.level
    const chosen = choosePeers(customer, 'tokens', missing / demand.limit.burst, peers)
    const amount = Math.min(missing, OVER_REQUEST_FACTOR * missing / chosen.length)
    const loans = chosen.flatMap((peer) =>
      createRequest(peer, { customer, rate: 0, capacity: amount, tokens: amount }, now))
    if (loans.length === 0) return undefined
    const isLocal = chosen.every((peer) => peer.dataCentre === dataCentre)
    return {
      loans,
      waitMilliseconds: isLocal ? OWN_DATA_CENTRE_WAIT_MS : ANY_DATA_CENTRE_WAIT_MS
    }
  }

  function returnLoan (series: string, now: MonotonicMilliseconds): void {
    const loan = activeLoans.get(series)
    if (loan === undefined) return
    activeLoans.delete(series)
    requestCount += 1
    const request = accounts.returnLoan(`${identifierPrefix}/${requestCount}`, loan.customer, series, now)
    if (request !== undefined) pendingReturns.push({ peer: loan.peer, request })
  }

  function finish (plan: LoanPlan, now: MonotonicMilliseconds): void {
    for (const { request } of plan.loans) {
      const pending = pendingRequests.get(request.identifier)
      if (pending !== undefined) pending.isNeeded = false
      returnLoan(request.identifier, now)
    }
  }

  function takeReturns (): readonly PlannedLoan[] {
    return pendingReturns.splice(0)
  }

  function planRenewals (
    demand: CustomerDemand, needed: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): PlannedLoan[] {
    const { customer } = demand
    const customerLoans = [...activeLoans].filter(([, loan]) => loan.customer === customer && loan.rate > 0)
    let missing = needed - (demand.allowedRate - customerLoans.reduce((sum, [, { rate }]) => sum + rate, 0))
    const loans: PlannedLoan[] = []
    for (const [series, loan] of customerLoans) {
      const isDue = now >= loan.sentAt + loan.duration / 2
      if (missing <= 0) {
        if (isDue && !isRenewalPending(series)) returnLoan(series, now)
        continue
      }
      missing -= loan.rate
      const peer = peers.find(({ instance }) => instance === loan.peer)
      if (
        !isDue || peer === undefined || isRenewalPending(series) ||
        backOffUntil.has(backOffKey(customer, loan.peer, 'rate'))
      ) continue
      loans.push(...createRequest(
        peer, { customer, rate: loan.rate, capacity: loan.capacity, tokens: 0, renews: series }, now
      ))
    }
    return loans
  }

  function isRenewalPending (series: string): boolean {
    for (const { request } of pendingRequests.values()) if (request.renews === series) return true
    return false
  }

  /**
   * Tops up a low level with tokens of fuller peers, by loans that are returned immediately without their tokens. An
   * instance whose bucket is full wastes its refill while others have capacity for it.
   */
  function planTopUp (demand: CustomerDemand, peers: readonly LoanPeer[], now: MonotonicMilliseconds): PlannedLoan[] {
    const { customer, level, capacity } = demand
    if (demand.rate <= 0 || level >= LOW_LEVEL_FRACTION * capacity || peers.length === 0) return []
    const amount = (2 * LOW_LEVEL_FRACTION * capacity - level) / TOP_UP_PEERS
    const loans = rotate(peers).slice(0, TOP_UP_PEERS).flatMap((peer) =>
      createRequest(peer, { customer, rate: 0, capacity: amount, tokens: amount, surplusOnly: true }, now))
    for (const { request } of loans) pendingRequests.get(request.identifier)!.isNeeded = false
    return loans
  }

  function planAhead (peers: readonly LoanPeer[], now: MonotonicMilliseconds): readonly PlannedLoan[] {
    removeExpired(now)
    for (const [series, { rate, sentAt }] of activeLoans) {
      if (rate === 0 && now - sentAt >= UNFINISHED_PLAN_TIMEOUT_MS) returnLoan(series, now)
    }
    const loans: PlannedLoan[] = []
    for (const customer of accounts.customers()) {
      const demand = accounts.demand(customer, now)
      if (demand === undefined) continue
      loans.push(...planTopUp(demand, peers, now))
      if (demand.sustainedRate <= 0) continue
      const { limit } = demand
      const needed = Math.min(limit.rate, DEMAND_HEADROOM * demand.sustainedRate)
      loans.push(...planRenewals(demand, needed, peers, now))
      let missing = needed - demand.allowedRate
      for (const { request } of pendingRequests.values()) {
        if (request.customer === customer && request.renews === undefined) missing -= request.rate
      }
      if (missing <= limit.rate * MINIMUM_SHORTFALL_FRACTION) continue
      const share = missing / limit.rate
      const chosen = choosePeers(customer, 'rate', share, peers)
      const rate = missing / chosen.length
      const capacity = capacityForRate(rate, limit)
      loans.push(...chosen.flatMap((peer) => createRequest(peer, { customer, rate, capacity, tokens: 0 }, now)))
    }
    return [...loans, ...takeReturns()]
  }

  function receive (reply: LoanReply, now: MonotonicMilliseconds): void {
    accounts.acceptLoan(reply, now)
    const pending = pendingRequests.get(reply.identifier)
    if (pending === undefined) return
    pendingRequests.delete(reply.identifier)
    const { peer, request, sentAt, isNeeded } = pending
    const { customer } = request
    const fulfilled = Math.min(fractionOf(reply.rate, request.rate), fractionOf(reply.capacity, request.capacity))
    const backOff = fulfilled < EXHAUSTED_FRACTION
      ? EXHAUSTED_BACK_OFF_MS
      : fulfilled < PARTLY_EXHAUSTED_FRACTION ? PARTLY_EXHAUSTED_BACK_OFF_MS : 0
    // A peer without a surplus may still lend to a waiting request.
    if (backOff > 0 && request.surplusOnly !== true) {
      backOffUntil.set(backOffKey(customer, peer, request.rate > 0 ? 'rate' : 'tokens'), now + backOff)
    }
    const series = request.renews ?? request.identifier
    // A lender that rejects a renewal needs the loan itself; the remaining tokens of its level are returned with it.
    if (!(reply.duration > 0)) {
      if (request.renews !== undefined) returnLoan(series, now)
      return
    }
    activeLoans.set(series, {
      peer, customer, rate: reply.rate, capacity: reply.capacity, sentAt, duration: reply.duration
    })
    if (!isNeeded) returnLoan(series, now)
  }

  return { planLoans, finish, planAhead, receive, takeReturns }
}

function fractionOf (lent: number, requested: number): number {
  return requested > 0 ? lent / requested : 1
}

function backOffKey (customer: string, peer: string, kind: LoanKind): string {
  return `${kind}\n${customer}\n${peer}`
}
