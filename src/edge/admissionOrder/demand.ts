/**
 * Counts what is asked of each service, by admission group, over all instances. The counts decay exponentially, so that
 * a report of another instance stays correct as it ages, and instances need not report in step.
 */
import type { MonotonicMilliseconds } from '../../types'

/** Time constant in milliseconds of the decaying counts; shorter than a burst, and long enough for a few requests. */
export const DEMAND_TIME_CONSTANT_MS = 1500
/** Milliseconds after which a report no longer matters: a twentieth of it is left. */
const REPORT_VALIDITY_MS = 3 * DEMAND_TIME_CONSTANT_MS
/** Decayed number of requests below which a group is dropped. */
const MIN_COUNT = 0.05
/** Bytes for each group: its key, its cost and its number of requests. */
const ENTRY_BYTES = 12

export interface GroupDemand {
  /** Decayed sum of the costs of its requests, in tokens. */
  cost: number
  /** Decayed number of its requests. */
  count: number
}

/** Demand by the key of the group. */
export type Demand = ReadonlyMap<number, GroupDemand>

function decayed (demand: Demand, age: number): Map<number, GroupDemand> {
  const factor = Math.exp(-Math.max(0, age) / DEMAND_TIME_CONSTANT_MS)
  const result = new Map<number, GroupDemand>()
  for (const [key, { cost, count }] of demand) {
    if (count * factor >= MIN_COUNT) result.set(key, { cost: cost * factor, count: count * factor })
  }
  return result
}

function addTo (total: Map<number, GroupDemand>, demand: Demand): void {
  for (const [key, { cost, count }] of demand) {
    const known = total.get(key)
    total.set(key, { cost: (known?.cost ?? 0) + cost, count: (known?.count ?? 0) + count })
  }
}

export interface DemandCounter {
  /** @param cost tokens of the request */
  record: (key: number, cost: number, now: MonotonicMilliseconds) => void
  current: (now: MonotonicMilliseconds) => Demand
}

export function createDemandCounter (): DemandCounter {
  let demand = new Map<number, GroupDemand>()
  let updatedAt: MonotonicMilliseconds = 0

  function update (now: MonotonicMilliseconds): void {
    demand = decayed(demand, now - updatedAt)
    updatedAt = now
  }

  return {
    record (key, cost, now) {
      update(now)
      addTo(demand, new Map([[key, { cost, count: 1 }]]))
    },
    current (now) {
      update(now)
      return demand
    }
  }
}

/** Keeps the newest demand reported by each sender. */
export interface ReportedDemand {
  record: (sender: string, demand: Demand, now: MonotonicMilliseconds) => void
  /** Returns the sum of `own` and all reports, as they have decayed since. */
  sum: (own: Demand, now: MonotonicMilliseconds) => Demand
}

export function createReportedDemand (): ReportedDemand {
  const reports = new Map<string, { demand: Demand, at: MonotonicMilliseconds }>()
  return {
    record (sender, demand, now) { reports.set(sender, { demand, at: now }) },
    sum (own, now) {
      const total = new Map(own)
      for (const [sender, { demand, at }] of reports) {
        if (now - at >= REPORT_VALIDITY_MS) reports.delete(sender)
        else addTo(total, decayed(demand, now - at))
      }
      return total
    }
  }
}

export function encodeDemand (demand: Demand): Buffer {
  const bytes = Buffer.alloc(demand.size * ENTRY_BYTES)
  let offset = 0
  for (const [key, { cost, count }] of demand) {
    bytes.writeUInt32LE(key, offset)
    bytes.writeFloatLE(cost, offset + 4)
    bytes.writeFloatLE(count, offset + 8)
    offset += ENTRY_BYTES
  }
  return bytes
}

function isAmount (value: number): boolean {
  return Number.isFinite(value) && value >= 0
}

/** Returns undefined when the value is not an encoded demand. */
export function decodeDemand (value: unknown): Demand | undefined {
  if (!(value instanceof Uint8Array) || value.length % ENTRY_BYTES !== 0) return undefined
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length)
  const demand = new Map<number, GroupDemand>()
  for (let offset = 0; offset < bytes.length; offset += ENTRY_BYTES) {
    const cost = bytes.readFloatLE(offset + 4)
    const count = bytes.readFloatLE(offset + 8)
    if (!isAmount(cost) || !isAmount(count)) return undefined
    demand.set(bytes.readUInt32LE(offset), { cost, count })
  }
  return demand
}
