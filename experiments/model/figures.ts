/** Figures of one run. */
import { build } from 'hdr-histogram-js'
import { BLOCK_TOKENS } from '../../src/prefix/routing'
import type { Arrival } from './workload'

/** Time to first token within which a request counts as served in time, in milliseconds (design 2.5). */
const SERVED_LIMIT_MS = 1200
/** Arrivals before this time fill the empty caches and count in the timeline only. */
export const WARM_UP_MS = 8000
/** Precision of the histogram in milliseconds. */
const UNIT_MS = 0.1

export interface RunFigures {
  requests: number
  /** Part of the prompt tokens in full blocks that came from a cache. */
  hitRate: number
  /** Time to first token in milliseconds over all requests that got one. */
  p50: number
  p95: number
  p99: number
  /** Tokens computed although another live engine had them cached. */
  wastedTokens: number
  /** The same as a part of all prompt tokens. */
  wastedShare: number
  /**
   * Over customers inside their rate: part of the requests served within 1.2 s, lowest customer divided by the mean.
   */
  worstServed: number
  /** Over customers inside their rate: mean time to first token, highest customer divided by the mean. */
  worstMeanTtft: number
  /** Part of the requests inside the rate that were refused, timed out or were still waiting at the end of the run. */
  refusedShare: number
  /** By customer, inside its rate. */
  customers: Record<string, CustomerCounts>
  /** p95 by second of arrival, for the plots. */
  timeline: number[]
}

export interface Figures {
  arrived: (arrival: Arrival) => void
  firstToken: (arrival: Arrival, milliseconds: number, cachedTokens: number) => void
  refused: (arrival: Arrival) => void
  /** A block was computed at this time although another live engine had it cached. */
  wasted: (now: number) => void
  /** Ends the run: requests without an answer count as refused. */
  result: () => RunFigures
}

export interface CustomerCounts {
  requests: number
  /** Requests with a first token within 1.2 s. */
  served: number
  /** Requests with a first token, and the sum of their times to it. */
  answered: number
  milliseconds: number
}

/** Part of the requests served in time: the lowest customer divided by the mean over customers. */
export function worstServedOf (customers: Readonly<Record<string, CustomerCounts>>): number {
  const shares = Object.values(customers).map(({ served, requests }) => served / requests)
  return Math.min(...shares) / average(shares)
}

/** Mean time to first token: the highest customer divided by the mean over customers. */
export function worstMeanTtftOf (customers: Readonly<Record<string, CustomerCounts>>): number {
  const means = Object.values(customers).map(({ milliseconds, answered }) => milliseconds / Math.max(1, answered))
  return Math.max(...means) / average(means)
}

export function createFigures (): Figures {
  const histogram = build({
    lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3
  })
  const customers = new Map<string, CustomerCounts>()
  const seconds: number[][] = []
  const open = new Set<Arrival>()
  let cached = 0
  let shareable = 0
  let promptTokens = 0
  let wastedBlocks = 0
  let requests = 0
  let inside = 0
  let refusedInside = 0

  function countsOf (customer: string): CustomerCounts {
    const known = customers.get(customer) ?? { requests: 0, served: 0, answered: 0, milliseconds: 0 }
    customers.set(customer, known)
    return known
  }

  function countRefusal (arrival: Arrival): void {
    open.delete(arrival)
    if (arrival.time < WARM_UP_MS) return
    requests++
    if (!arrival.insideRate) return
    inside++
    refusedInside++
    countsOf(arrival.customer).requests++
  }

  return {
    arrived (arrival) {
      open.add(arrival)
    },
    firstToken (arrival, milliseconds, cachedTokens) {
      open.delete(arrival)
      const second = Math.floor(arrival.time / 1000)
      ;(seconds[second] ??= []).push(milliseconds)
      if (arrival.time < WARM_UP_MS) return
      requests++
      cached += cachedTokens
      shareable += arrival.blockKeys.length * BLOCK_TOKENS
      promptTokens += arrival.promptTokens
      histogram.recordValue(Math.max(1, Math.round(milliseconds / UNIT_MS)))
      if (!arrival.insideRate) return
      inside++
      const counts = countsOf(arrival.customer)
      counts.requests++
      counts.answered++
      counts.milliseconds += milliseconds
      if (milliseconds <= SERVED_LIMIT_MS) counts.served++
    },
    refused: countRefusal,
    wasted (now) {
      if (now >= WARM_UP_MS) wastedBlocks++
    },
    result () {
      for (const arrival of open) countRefusal(arrival)
      const byCustomer = Object.fromEntries([...customers].sort(([left], [right]) => left < right ? -1 : 1))
      return {
        requests,
        hitRate: cached / Math.max(1, shareable),
        p50: histogram.getValueAtPercentile(50) * UNIT_MS,
        p95: histogram.getValueAtPercentile(95) * UNIT_MS,
        p99: histogram.getValueAtPercentile(99) * UNIT_MS,
        wastedTokens: wastedBlocks * BLOCK_TOKENS,
        wastedShare: wastedBlocks * BLOCK_TOKENS / Math.max(1, promptTokens),
        worstServed: worstServedOf(byCustomer),
        worstMeanTtft: worstMeanTtftOf(byCustomer),
        refusedShare: refusedInside / Math.max(1, inside),
        customers: byCustomer,
        timeline: Array.from(seconds, values => percentile(values ?? [], 0.95))
      }
    }
  }
}

export function average (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export function percentile (values: readonly number[], part: number): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))]!
}
