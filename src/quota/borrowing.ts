/**
 * Decides which peers to ask for a loan and for how much: for one request that the local level does not cover, and ahead
 * of demand for customers whose traffic exceeds the local rate. Peers of the own data centre are asked first.
 */
import type { MonotonicMilliseconds } from '../types'
import type { CustomerDemand, InstanceQuotaAccounts } from './accounts'
import { capacityForRate } from './allowance'
import { DEMAND_HEADROOM } from './demand'
import { LOAN_MAXIMUM_MS } from './loans'
import type { LoanReply, LoanRequest } from './types'

/** Longest wait for replies in milliseconds: from peers of the own data centre only, and from any peer. */
const OWN_DATA_CENTRE_WAIT_MS = 50
const ANY_DATA_CENTRE_WAIT_MS = 250

/** Milliseconds between calls of `planAhead`: several within the half of a loan in which it is renewed. */
export const BORROWING_INTERVAL_MS = 250

/** Milliseconds for which a peer is not asked again after it had next to nothing to lend. */
const EXHAUSTED_MS = 100

/** A reply below this part of the request shows that the lender has next to nothing. */
const NEXT_TO_NOTHING = 0.1

/** A reply below this part shows that the lender has no more for the same request. */
const NEARLY_ALL = 0.9

/** Milliseconds for which a peer is not asked again after such a reply; about the life of a request's loans. */
const PARTLY_EXHAUSTED_MS = 10

/** Below this part of its capacity a level is topped up, to twice this part, from peers that are more than half full. */
const LOW_LEVEL = 0.25

/** Peers asked for a top-up at the same time. */
const TOP_UP_PEERS = 2

/**
 * Tokens asked of several peers for one request, as a multiple of the missing tokens. Some have less than others; what is
 * not needed goes back at once.
 */
const SURPLUS = 2

/** Peers asked at the same time, unless even parts of so many would not cover the need. */
const MAXIMUM_ASKED = 8

/** Milliseconds for which a peer is not asked again after it did not answer. */
const SILENT_MS = 2000

/** Milliseconds after which the loans of a plan that was not finished are given back. */
const UNFINISHED_MS = 1000

/** Shortfall, as a part of the customer's rate, from which loans are requested ahead of demand. */
const SMALLEST_SHORTFALL = 0.01

/** A connected instance that can be asked for a loan. */
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
   * How long to wait at most for all replies before the request is admitted or refused. Admission can be tried again
   * after each reply.
   */
  waitMilliseconds: number
}

export interface LoanPlannerOptions {
  accounts: InstanceQuotaAccounts
  dataCentre: string
  /** Text that makes loan identifiers unique over the fleet and over restarts: instance and incarnation. */
  identifierPrefix: string
}

export interface LoanPlanner {
  /**
   * Loans that would let this instance admit a request of `tokens` after its admission was refused for the rate.
   * Undefined when the level suffices, when the customer's burst does not, or when there is no peer left to ask; the
   * request is then refused. A second call after the replies asks peers that were not asked or may have more. Call `finish` with every plan once the request has been admitted or refused.
   */
  planLoans: (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ) => LoanPlan | undefined
  /** Gives back what a plan has borrowed. A plan that nobody finishes ends by itself after a second. */
  finish: (plan: LoanPlan, now: MonotonicMilliseconds) => void
  /**
   * Loans for customers whose demand exceeds the local rate, renewals of loans still needed, and messages that give loans
   * back and were not taken yet.
   */
  planAhead: (peers: readonly LoanPeer[], now: MonotonicMilliseconds) => readonly PlannedLoan[]
  /** Takes in a reply of a peer and passes it to the accounts. */
  receive: (reply: LoanReply, now: MonotonicMilliseconds) => void
  /** Messages that give loans back, to be sent after `receive` and `finish`; sooner than with the next `planAhead`. */
  takeReturns: () => readonly PlannedLoan[]
}

/** A peer that has no rate to lend may still have tokens, and the reverse. */
const KINDS = ['rate', 'tokens'] as const
type LoanKind = typeof KINDS[number]

interface Asked {
  peer: string
  request: LoanRequest
  sentAt: MonotonicMilliseconds
  answerBy: MonotonicMilliseconds
  /** False when the request that the loan was meant for has ended. */
  isWanted: boolean
}

interface Borrowed {
  peer: string
  customer: string
  rate: number
  capacity: number
  sentAt: MonotonicMilliseconds
  duration: number
}

export function createLoanPlanner (options: LoanPlannerOptions): LoanPlanner {
  const { accounts, dataCentre, identifierPrefix } = options
  const asked = new Map<string, Asked>()
  /** By series. */
  const borrowed = new Map<string, Borrowed>()
  /** Instant until which a peer is not asked, by kind, customer and peer. */
  const avoidUntil = new Map<string, MonotonicMilliseconds>()
  const returns: PlannedLoan[] = []
  let count = 0

  function forget (now: MonotonicMilliseconds): void {
    for (const [identifier, { peer, request, answerBy }] of asked) {
      if (answerBy > now) continue
      asked.delete(identifier)
      for (const kind of KINDS) avoidUntil.set(avoidKey(request.customer, peer, kind), now + SILENT_MS)
    }
    for (const [series, { sentAt, duration }] of borrowed) if (sentAt + duration <= now) borrowed.delete(series)
    for (const [key, until] of avoidUntil) if (until <= now) avoidUntil.delete(key)
  }

  /** Sends go out at once; the accounts remember `now` as the time of sending. */
  function ask (
    peer: LoanPeer, wanted: Pick<LoanRequest, 'customer' | 'rate' | 'capacity' | 'tokens' | 'renews' | 'surplusOnly'>,
    now: MonotonicMilliseconds
  ): PlannedLoan[] {
    count += 1
    const request: LoanRequest = { identifier: `${identifierPrefix}/${count}`, duration: LOAN_MAXIMUM_MS, ...wanted }
    if (!accounts.expectLoan(request, now)) return []
    const answerBy = now + ANY_DATA_CENTRE_WAIT_MS
    asked.set(request.identifier, { peer: peer.instance, request, sentAt: now, answerBy, isWanted: true })
    return [{ peer: peer.instance, request }]
  }

  /**
   * Peers to ask: those of the own data centre, and others as far as even parts of the quota do not cover the share. The
   * first one changes from call to call, so that the load spreads.
   */
  function choosePeers (customer: string, kind: LoanKind, share: number, peers: readonly LoanPeer[]): LoanPeer[] {
    const evenShare = 1 / (peers.length + 1)
    const usable = peers.filter(({ instance }) => !avoidUntil.has(avoidKey(customer, instance, kind)))
    const near = usable.filter((peer) => peer.dataCentre === dataCentre)
    const far = usable.filter((peer) => peer.dataCentre !== dataCentre)
    const needed = Math.ceil(share / evenShare - 1e-9)
    const ordered = needed <= near.length ? rotate(near) : [...rotate(near), ...rotate(far)]
    return ordered.slice(0, Math.max(MAXIMUM_ASKED, needed))
  }

  function rotate (peers: readonly LoanPeer[]): LoanPeer[] {
    const first = peers.length === 0 ? 0 : count % peers.length
    return [...peers.slice(first), ...peers.slice(0, first)]
  }

  function planLoans (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): LoanPlan | undefined {
    forget(now)
    const demand = accounts.demand(customer, now)
    if (demand === undefined || tokens > demand.limit.burst || tokens <= demand.level) return undefined
    const missing = tokens - demand.level
    const chosen = choosePeers(customer, 'tokens', missing / demand.limit.burst, peers)
    const amount = Math.min(missing, SURPLUS * missing / chosen.length)
    const loans = chosen.flatMap((peer) => ask(peer, { customer, rate: 0, capacity: amount, tokens: amount }, now))
    if (loans.length === 0) return undefined
    const isNear = chosen.every((peer) => peer.dataCentre === dataCentre)
    return {
      loans,
      waitMilliseconds: isNear ? OWN_DATA_CENTRE_WAIT_MS : ANY_DATA_CENTRE_WAIT_MS
    }
  }

  function giveBack (series: string, now: MonotonicMilliseconds): void {
    const loan = borrowed.get(series)
    if (loan === undefined) return
    borrowed.delete(series)
    count += 1
    const request = accounts.returnLoan(`${identifierPrefix}/${count}`, loan.customer, series, now)
    if (request !== undefined) returns.push({ peer: loan.peer, request })
  }

  function finish (plan: LoanPlan, now: MonotonicMilliseconds): void {
    for (const { request } of plan.loans) {
      const question = asked.get(request.identifier)
      if (question !== undefined) question.isWanted = false
      giveBack(request.identifier, now)
    }
  }

  function takeReturns (): readonly PlannedLoan[] {
    return returns.splice(0)
  }

  function planRenewals (
    demand: CustomerDemand, needed: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): PlannedLoan[] {
    const { customer } = demand
    const own = [...borrowed].filter(([, loan]) => loan.customer === customer && loan.rate > 0)
    let missing = needed - (demand.allowedRate - own.reduce((sum, [, { rate }]) => sum + rate, 0))
    const loans: PlannedLoan[] = []
    for (const [series, loan] of own) {
      const isDue = now >= loan.sentAt + loan.duration / 2
      if (missing <= 0) {
        if (isDue && !isAsked(series)) giveBack(series, now)
        continue
      }
      missing -= loan.rate
      const peer = peers.find(({ instance }) => instance === loan.peer)
      if (!isDue || peer === undefined || isAsked(series) || avoidUntil.has(avoidKey(customer, loan.peer, 'rate'))) continue
      loans.push(...ask(peer, { customer, rate: loan.rate, capacity: loan.capacity, tokens: 0, renews: series }, now))
    }
    return loans
  }

  function isAsked (series: string): boolean {
    for (const { request } of asked.values()) if (request.renews === series) return true
    return false
  }

  /**
   * Moves tokens from fuller peers to a low level: a loan that is given back at once, without its tokens. An instance that
   * is full loses its refill while others have room for it.
   */
  function planTopUp (demand: CustomerDemand, peers: readonly LoanPeer[], now: MonotonicMilliseconds): PlannedLoan[] {
    const { customer, level, capacity } = demand
    if (demand.rate <= 0 || level >= LOW_LEVEL * capacity || peers.length === 0) return []
    const amount = (2 * LOW_LEVEL * capacity - level) / TOP_UP_PEERS
    const loans = rotate(peers).slice(0, TOP_UP_PEERS).flatMap((peer) =>
      ask(peer, { customer, rate: 0, capacity: amount, tokens: amount, surplusOnly: true }, now))
    for (const { request } of loans) asked.get(request.identifier)!.isWanted = false
    return loans
  }

  function planAhead (peers: readonly LoanPeer[], now: MonotonicMilliseconds): readonly PlannedLoan[] {
    forget(now)
    for (const [series, { rate, sentAt }] of borrowed) {
      if (rate === 0 && now - sentAt >= UNFINISHED_MS) giveBack(series, now)
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
      for (const { request } of asked.values()) {
        if (request.customer === customer && request.renews === undefined) missing -= request.rate
      }
      if (missing <= limit.rate * SMALLEST_SHORTFALL) continue
      const share = missing / limit.rate
      const chosen = choosePeers(customer, 'rate', share, peers)
      const rate = missing / chosen.length
      const capacity = capacityForRate(rate, limit)
      loans.push(...chosen.flatMap((peer) => ask(peer, { customer, rate, capacity, tokens: 0 }, now)))
    }
    return [...loans, ...takeReturns()]
  }

  function receive (reply: LoanReply, now: MonotonicMilliseconds): void {
    accounts.acceptLoan(reply, now)
    const question = asked.get(reply.identifier)
    if (question === undefined) return
    asked.delete(reply.identifier)
    const { peer, request, sentAt, isWanted } = question
    const { customer } = request
    const part = Math.min(partOf(reply.rate, request.rate), partOf(reply.capacity, request.capacity))
    const avoidFor = part < NEXT_TO_NOTHING ? EXHAUSTED_MS : part < NEARLY_ALL ? PARTLY_EXHAUSTED_MS : 0
    // A peer without a surplus may still lend to a request that waits.
    if (avoidFor > 0 && request.surplusOnly !== true) {
      avoidUntil.set(avoidKey(customer, peer, request.rate > 0 ? 'rate' : 'tokens'), now + avoidFor)
    }
    const series = request.renews ?? request.identifier
    // A lender that refuses a renewal needs its part; what is left of the level goes back with it.
    if (!(reply.duration > 0)) {
      if (request.renews !== undefined) giveBack(series, now)
      return
    }
    borrowed.set(series, {
      peer, customer, rate: reply.rate, capacity: reply.capacity, sentAt, duration: reply.duration
    })
    if (!isWanted) giveBack(series, now)
  }

  return { planLoans, finish, planAhead, receive, takeReturns }
}

function partOf (given: number, wanted: number): number {
  return wanted > 0 ? given / wanted : 1
}

function avoidKey (customer: string, peer: string, kind: LoanKind): string {
  return `${kind}\n${customer}\n${peer}`
}
