/**
 * Decides which peers to ask for a loan and for how much: for one request that the local level does not cover, and ahead
 * of demand for customers whose traffic exceeds the local rate. Peers of the own data centre are asked first.
 */
import type { MonotonicMilliseconds } from '../types'
import type { CustomerDemand, InstanceQuotaAccounts } from './accounts'
import { DEMAND_HEADROOM } from './demand'
import { LOAN_MAXIMUM_MS } from './loans'
import type { LoanReply, LoanRequest } from './types'

/** Longest wait for replies in milliseconds: from peers of the own data centre only, and from any peer. */
const OWN_DATA_CENTRE_WAIT_MS = 50
const ANY_DATA_CENTRE_WAIT_MS = 250

/** Milliseconds between calls of `planAhead`: several within the half of a loan in which it is renewed. */
export const BORROWING_INTERVAL_MS = 250

/** Milliseconds for which a peer is not asked again after it gave less than it was asked for. */
const EXHAUSTED_MS = 500

/** Milliseconds for which a peer is not asked again after it did not answer. */
const SILENT_MS = 2000

/** Shortfall, as a part of the customer's rate, from which loans are requested ahead of demand. */
const SMALLEST_SHORTFALL = 0.01

/** A reply below this part of the request shows that the lender has no more. */
const NEARLY_ALL = 0.99

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
   * request is then refused. After the replies, a second call asks those peers that were not asked before.
   */
  planLoans: (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ) => LoanPlan | undefined
  /** Loans for customers whose demand exceeds the local rate, and renewals of loans still needed. */
  planAhead: (peers: readonly LoanPeer[], now: MonotonicMilliseconds) => readonly PlannedLoan[]
  /** Takes in a reply of a peer; passes it to the accounts. */
  receive: (reply: LoanReply, now: MonotonicMilliseconds) => void
}

interface Asked {
  peer: string
  request: LoanRequest
  sentAt: MonotonicMilliseconds
  answerBy: MonotonicMilliseconds
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
  /** Instant until which a peer is not asked for a customer's quota, by customer and peer. */
  const avoidUntil = new Map<string, MonotonicMilliseconds>()
  let count = 0

  function forget (now: MonotonicMilliseconds): void {
    for (const [identifier, { peer, request, answerBy }] of asked) {
      if (answerBy > now) continue
      asked.delete(identifier)
      avoidUntil.set(pairKey(request.customer, peer), now + SILENT_MS)
    }
    for (const [series, { sentAt, duration }] of borrowed) if (sentAt + duration <= now) borrowed.delete(series)
    for (const [key, until] of avoidUntil) if (until <= now) avoidUntil.delete(key)
  }

  /** Sends go out at once; the accounts remember `now` as the time of sending. */
  function ask (
    peer: LoanPeer, wanted: Pick<LoanRequest, 'customer' | 'rate' | 'capacity' | 'tokens' | 'renews'>,
    now: MonotonicMilliseconds
  ): PlannedLoan[] {
    count += 1
    const request: LoanRequest = { identifier: `${identifierPrefix}/${count}`, duration: LOAN_MAXIMUM_MS, ...wanted }
    if (!accounts.expectLoan(request, now)) return []
    const answerBy = now + ANY_DATA_CENTRE_WAIT_MS
    asked.set(request.identifier, { peer: peer.instance, request, sentAt: now, answerBy })
    return [{ peer: peer.instance, request }]
  }

  /** Peers to ask, in order: just so many that even parts of the customer's quota would cover the wanted share. */
  function choosePeers (customer: string, share: number, peers: readonly LoanPeer[]): LoanPeer[] {
    const evenShare = 1 / (peers.length + 1)
    const usable = peers.filter(({ instance }) => !avoidUntil.has(pairKey(customer, instance)))
    const near = usable.filter((peer) => peer.dataCentre === dataCentre)
    const far = usable.filter((peer) => peer.dataCentre !== dataCentre)
    const needed = Math.ceil(share / evenShare - 1e-9)
    // Peers of the own data centre answer quickly, so all of them are asked for a little rather than few for much.
    return needed <= near.length ? near : [...near, ...far.slice(0, needed - near.length)]
  }

  function planLoans (
    customer: string, tokens: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): LoanPlan | undefined {
    forget(now)
    const demand = accounts.demand(customer, now)
    if (demand === undefined || tokens > demand.limit.burst || tokens <= demand.level) return undefined
    const missing = tokens - demand.level
    const chosen = choosePeers(customer, missing / demand.limit.burst, peers)
    const amount = missing / chosen.length
    const loans = chosen.flatMap((peer) => ask(peer, { customer, rate: 0, capacity: amount, tokens: amount }, now))
    if (loans.length === 0) return undefined
    const isNear = chosen.every((peer) => peer.dataCentre === dataCentre)
    return { loans, waitMilliseconds: isNear ? OWN_DATA_CENTRE_WAIT_MS : ANY_DATA_CENTRE_WAIT_MS }
  }

  function planRenewals (
    demand: CustomerDemand, needed: number, peers: readonly LoanPeer[], now: MonotonicMilliseconds
  ): PlannedLoan[] {
    const { customer } = demand
    const own = [...borrowed].filter(([, loan]) => loan.customer === customer && loan.rate > 0)
    let missing = needed - (demand.allowedRate - own.reduce((sum, [, { rate }]) => sum + rate, 0))
    const loans: PlannedLoan[] = []
    for (const [series, loan] of own) {
      if (missing <= 0) break
      missing -= loan.rate
      const isDue = now >= loan.sentAt + loan.duration / 2
      const peer = peers.find(({ instance }) => instance === loan.peer)
      if (!isDue || peer === undefined || isAsked(series) || avoidUntil.has(pairKey(customer, loan.peer))) continue
      loans.push(...ask(peer, { customer, rate: loan.rate, capacity: loan.capacity, tokens: 0, renews: series }, now))
    }
    return loans
  }

  function isAsked (series: string): boolean {
    for (const { request } of asked.values()) if (request.renews === series) return true
    return false
  }

  function planAhead (peers: readonly LoanPeer[], now: MonotonicMilliseconds): readonly PlannedLoan[] {
    forget(now)
    const loans: PlannedLoan[] = []
    for (const customer of accounts.customers()) {
      const demand = accounts.demand(customer, now)
      if (demand === undefined || demand.rate <= 0) continue
      const { limit } = demand
      const needed = Math.min(limit.rate, DEMAND_HEADROOM * demand.rate)
      loans.push(...planRenewals(demand, needed, peers, now))
      let missing = needed - demand.allowedRate
      for (const { request } of asked.values()) {
        if (request.customer === customer && request.renews === undefined) missing -= request.rate
      }
      if (missing <= limit.rate * SMALLEST_SHORTFALL) continue
      const share = missing / limit.rate
      const chosen = choosePeers(customer, share, peers)
      const rate = missing / chosen.length
      const capacity = limit.burst * rate / limit.rate
      loans.push(...chosen.flatMap((peer) => ask(peer, { customer, rate, capacity, tokens: capacity }, now)))
    }
    return loans
  }

  function receive (reply: LoanReply, now: MonotonicMilliseconds): void {
    accounts.acceptLoan(reply, now)
    const question = asked.get(reply.identifier)
    if (question === undefined) return
    asked.delete(reply.identifier)
    const { peer, request, sentAt } = question
    const isExhausted = reply.rate < request.rate * NEARLY_ALL || reply.capacity < request.capacity * NEARLY_ALL ||
      reply.tokens < request.tokens * NEARLY_ALL
    if (isExhausted) avoidUntil.set(pairKey(request.customer, peer), now + EXHAUSTED_MS)
    if (!(reply.duration > 0)) return
    borrowed.set(request.renews ?? request.identifier, {
      peer, customer: request.customer, rate: reply.rate, capacity: reply.capacity, sentAt, duration: reply.duration
    })
  }

  return { planLoans, planAhead, receive }
}

function pairKey (customer: string, peer: string): string {
  return `${customer}\n${peer}`
}
