/**
 * Adds the demand for the engines and the calls in flight at plain upstreams to the messages in which instances exchange
 * the loads of the engines. Instances of earlier releases ignore the fields and send none.
 */
import type { MonotonicMilliseconds } from '../../types'
import { createReportedLoads, type ReportedLoads } from '../engineLoad'
import type { LoadSupplement } from '../loadExchange'
import type { PeerValue } from '../peerLinks'
import { createReportedDemand, decodeDemand, encodeDemand, type Demand, type ReportedDemand } from './demand'
import { decodeCounts, encodeCounts, type CallCounts, type PlaceCounts } from './placeCounts'

/** Milliseconds between sums of the demand that aggregators exchange; it changes more slowly than the loads. */
const DEMAND_INTERVAL_MS = 200
/** Milliseconds after which the demand of all instances counts as unknown. */
const DEMAND_VALIDITY_MS = 1000

export interface SupplementParts {
  ownDemand: (now: MonotonicMilliseconds) => Demand
  places: Pick<PlaceCounts, 'own' | 'applyTotal'>
}

export interface OrderSupplement extends LoadSupplement {
  /** Returns the demand of all instances; undefined if it is not known. */
  fleetDemand: (now: MonotonicMilliseconds) => Demand | undefined
}

function encodeFields (demand: Demand | undefined, calls: CallCounts): PeerValue {
  return {
    ...(demand === undefined || demand.size === 0 ? {} : { demand: encodeDemand(demand) }),
    ...(calls.size === 0 ? {} : { calls: encodeCounts(calls) })
  }
}

export function createLoadSupplement ({ ownDemand, places }: SupplementParts): OrderSupplement {
  const memberDemand = createReportedDemand()
  const aggregatorDemand = createReportedDemand()
  const memberCounts = createReportedLoads()
  const aggregatorCounts = createReportedLoads()
  let total: Demand = new Map()
  let totalAt: MonotonicMilliseconds = -Infinity
  let demandSentAt: MonotonicMilliseconds = -Infinity

  function record (
    demands: ReportedDemand, counts: ReportedLoads, name: string, message: PeerValue, now: MonotonicMilliseconds
  ): void {
    const demand = decodeDemand(message.demand)
    if (demand !== undefined) demands.record(name, demand, now)
    // A report without the field has no calls in flight, or comes from an instance that does not count them.
    counts.record(name, decodeCounts(message.calls) ?? new Map(), now)
  }

  function memberCallCounts (now: MonotonicMilliseconds): CallCounts {
    return memberCounts.sum(places.own(), now)
  }

  return {
    ownFields: (now) => encodeFields(ownDemand(now), places.own()),
    sumFields (now) {
      const isDemandDue = now - demandSentAt >= DEMAND_INTERVAL_MS
      if (isDemandDue) demandSentAt = now
      return encodeFields(isDemandDue ? memberDemand.sum(ownDemand(now), now) : undefined, memberCallCounts(now))
    },
    // Both fields are always present, so that the instance can tell that none are in flight from that none are counted.
    totalFields: (now) => ({
      demand: encodeDemand(aggregatorDemand.sum(memberDemand.sum(ownDemand(now), now), now)),
      calls: encodeCounts(aggregatorCounts.sum(memberCallCounts(now), now))
    }),
    recordMember (name, message, now) { record(memberDemand, memberCounts, name, message, now) },
    recordAggregator (name, message, now) { record(aggregatorDemand, aggregatorCounts, name, message, now) },
    applyTotal (message, now) {
      const calls = decodeCounts(message.calls)
      if (calls !== undefined) places.applyTotal(calls, now)
      const demand = decodeDemand(message.demand)
      if (demand === undefined) return
      total = demand
      totalAt = now
    },
    hasLoad: () => places.own().size > 0,
    fleetDemand: (now) => now - totalAt < DEMAND_VALIDITY_MS ? total : undefined
  }
}
