/**
 * Adds the demand for the engines to the messages in which instances exchange the loads of the engines. Instances of
 * earlier releases ignore the field and do not send it.
 */
import type { MonotonicMilliseconds } from '../../types'
import type { LoadSupplement } from '../loadExchange'
import type { PeerValue } from '../peerLinks'
import { createDemandCounter, createReportedDemand, decodeDemand, encodeDemand, type Demand } from './demand'

/** Milliseconds between sums of the demand that aggregators exchange; it changes more slowly than the loads. */
const SUM_INTERVAL_MS = 200
/** Milliseconds after which the demand of all instances counts as unknown. */
const VALIDITY_MS = 1000

const NO_FIELDS: PeerValue = {}

export interface DemandExchange {
  /** Records a request of this instance. */
  record: (key: number, cost: number, now: MonotonicMilliseconds) => void
  /** Returns the demand of all instances, or of this one if the others are not known. */
  current: (now: MonotonicMilliseconds) => Demand
  /** Fields of the exchange of loads. */
  supplement: LoadSupplement
}

function encodeField (demand: Demand): PeerValue {
  return demand.size === 0 ? NO_FIELDS : { demand: encodeDemand(demand) }
}

export function createDemandExchange (): DemandExchange {
  const own = createDemandCounter()
  const members = createReportedDemand()
  const aggregators = createReportedDemand()
  let total: Demand = new Map()
  let totalAt: MonotonicMilliseconds = -Infinity
  let sumSentAt: MonotonicMilliseconds = -Infinity

  function sumOfMembers (now: MonotonicMilliseconds): Demand {
    return members.sum(own.current(now), now)
  }

  return {
    record: own.record,
    current: (now) => now - totalAt < VALIDITY_MS ? total : own.current(now),
    supplement: {
      ownFields: (now) => encodeField(own.current(now)),
      sumFields (now) {
        if (now - sumSentAt < SUM_INTERVAL_MS) return NO_FIELDS
        sumSentAt = now
        return encodeField(sumOfMembers(now))
      },
      // The field is always present, so that the instance can tell that there is no demand from that none is counted.
      totalFields: (now) => ({ demand: encodeDemand(aggregators.sum(sumOfMembers(now), now)) }),
      recordMember (name, message, now) {
        const demand = decodeDemand(message.demand)
        if (demand !== undefined) members.record(name, demand, now)
      },
      recordAggregator (name, message, now) {
        const demand = decodeDemand(message.demand)
        if (demand !== undefined) aggregators.record(name, demand, now)
      },
      applyTotal (message, now) {
        const demand = decodeDemand(message.demand)
        if (demand === undefined) return
        total = demand
        totalAt = now
      }
    }
  }
}
