/**
 * Decides among which data centres a request is placed.
 *
 * Loads behind these decisions:
 * - Prompts and calls that find room at home: traffic between data centres is slower and costs money, so they stay.
 * - More shared prefixes than the engines of one data centre can cache: where reading a prefix again costs more than the
 *   way to the engine that holds it, prompts are placed over all data centres.
 * - Too few upstreams at home: a share of the requests may leave, and does if another data centre is better by more than
 *   the way there costs.
 * - Data centres that are cut off, in whole or in part, get nothing from elsewhere.
 */
import type { MonotonicMilliseconds, RandomSource } from '../../types'
import { EdgeEvent, type EdgeLog } from '../events'
import type { UpstreamEntry } from '../types'
import type { Upstream } from '../upstreamDirectory'
import { createCrossingCosts } from './crossingCosts'
import { createOverflow } from './overflow'
import { createPrefixPopulation } from './prefixPopulation'
import { createReachability } from './reachability'

/** Fraction of an engine's memory that holds cached prefixes besides those of running requests. */
const CACHE_FRACTION = 0.5
/** Ratio of saved time to cost from which prompts are placed over all data centres, and below which they no longer are. */
const SPREAD_RATIO = 1.2
const GATHER_RATIO = 0.8
/** Interval in milliseconds between looks for data centres that are cut off. */
const REACHABILITY_INTERVAL_MS = 100

export interface CrossingRequest {
  service: string
  /** Identifies the shared prefix; undefined without one. */
  prefixKey: string | undefined
  sharedTokens: number
  /** Milliseconds to process the shared tokens again. */
  missCost: number
  /** Bytes of the request's body. */
  bytes: number
  /** Latency target in milliseconds; 0 if there is none. */
  latencyTarget: number
  /** Uniform in [0, 1). */
  draw: number
  /** Returns the milliseconds that the request would wait at an upstream. */
  waitAt: (upstream: Upstream) => number
}

export interface CrossingChoice {
  /** Upstreams among which the request is placed. */
  candidates: readonly Upstream[]
  /** Returns the cost in milliseconds of the way to an upstream; undefined for the constant of the placement. */
  cost: ((upstream: Upstream) => number) | undefined
  /** Whether each data centre has its own holders of a prefix. */
  isRankedPerDataCentre: boolean
  /** Fraction of the holders that a prefix needs in the whole fleet which each of the ranked groups needs. */
  holderShare: number
}

export interface Crossing {
  /** Records the demand for a shared prefix; called once for each request. */
  recordPrefix: (service: string, prefixKey: string) => void
  choose: (request: CrossingRequest, candidates: readonly Upstream[], now: MonotonicMilliseconds) => CrossingChoice
  /** Records in how many milliseconds a connection to an upstream was open. */
  recordConnection: (entry: UpstreamEntry, milliseconds: number) => void
  /** Returns the share of each service's requests that may leave the data centre. */
  shares: () => ReadonlyMap<string, number>
}

/** Places requests with no regard to what the way to other data centres costs at present. */
export const FREE_CROSSING: Crossing = {
  recordPrefix () {},
  choose: (_request, candidates) => ({ candidates, cost: undefined, isRankedPerDataCentre: false, holderShare: 1 }),
  recordConnection () {},
  shares: () => new Map()
}

export interface CrossingOptions {
  dataCentre: string
  /** Returns all upstreams, by which data centres are found to be cut off. */
  upstreams: () => Iterable<Upstream>
  /** Returns the tokens that the memory of an engine holds; Infinity if that is not known. */
  memoryTokensOf: (upstream: Upstream) => number
  log: EdgeLog
  random: RandomSource
}

export function createCrossing (options: CrossingOptions): Crossing {
  const { dataCentre, log, random } = options
  const costs = createCrossingCosts(dataCentre)
  const overflow = createOverflow(random)
  const reachability = createReachability(random)
  const populations = new Map<string, ReturnType<typeof createPrefixPopulation>>()
  /** Services whose prompts are placed over all data centres for the sake of the caches. */
  const spreadServices = new Set<string>()
  let reachabilityCheckedAt: MonotonicMilliseconds = -Infinity

  function checkReachability (now: MonotonicMilliseconds): void {
    if (now - reachabilityCheckedAt < REACHABILITY_INTERVAL_MS) return
    reachabilityCheckedAt = now
    const byDataCentre = new Map<string, Upstream[]>()
    for (const upstream of options.upstreams()) {
      const place = upstream.entry.dataCentre
      const others = byDataCentre.get(place)
      if (others === undefined) byDataCentre.set(place, [upstream])
      else others.push(upstream)
    }
    byDataCentre.delete(dataCentre)
    for (const [place, upstreams] of byDataCentre) {
      if (reachability.update(place, upstreams, now)) log(EdgeEvent.dataCentreClosed, { to: place })
    }
  }

  /** Returns the fraction of the prefixes that the caches of these engines do not hold. */
  function missRate (engines: readonly Upstream[], sharedTokens: number, prefixes: number): number {
    const tokens = engines.reduce((sum, engine) => sum + options.memoryTokensOf(engine), 0)
    return Math.max(0, 1 - tokens * CACHE_FRACTION / sharedTokens / prefixes)
  }

  /** Whether caches of all data centres together save more than the way to them costs. */
  function isSpread (
    { service, sharedTokens, missCost }: CrossingRequest, home: readonly Upstream[], all: readonly Upstream[],
    cost: number
  ): boolean {
    const prefixes = populations.get(service)?.estimate()
    const saved = prefixes === undefined || sharedTokens === 0
      ? 0
      : (missRate(home, sharedTokens, prefixes) - missRate(all, sharedTokens, prefixes)) * missCost
    const key = `${service}/${Math.round(Math.log2(sharedTokens + 1))}`
    if (saved > cost * SPREAD_RATIO) spreadServices.add(key)
    else if (saved < cost * GATHER_RATIO) spreadServices.delete(key)
    return spreadServices.has(key)
  }

  return {
    recordPrefix (service, prefixKey) {
      const population = populations.get(service) ?? createPrefixPopulation()
      populations.set(service, population)
      population.record(prefixKey)
    },
    choose (request, candidates, now) {
      checkReachability(now)
      const cost = ({ entry }: Upstream): number => costs.costOf(entry.dataCentre, request.bytes)
      const home = candidates.filter(({ entry }) => entry.dataCentre === dataCentre)
      const trialDraw = random()
      const away = candidates.filter(({ entry }) => entry.dataCentre !== dataCentre && (
        home.length === 0
          ? !reachability.isClosed(entry.dataCentre, now)
          : reachability.accepts(entry.dataCentre, trialDraw, now)
      ))
      const places = new Set(candidates.map(({ entry }) => entry.dataCentre))
      const perDataCentre = { cost, isRankedPerDataCentre: true, holderShare: 1 / Math.max(1, places.size) }
      const stay: CrossingChoice = { candidates: home, ...perDataCentre }
      if (away.length === 0) return stay
      const both = [...home, ...away]
      if (home.length === 0) return { candidates: away, ...perDataCentre }
      const crossingCost = Math.min(...away.map(cost))
      if (request.prefixKey !== undefined && isSpread(request, home, both, crossingCost)) {
        return { candidates: both, cost, isRankedPerDataCentre: false, holderShare: 1 }
      }
      const mayLeave = overflow.mayLeave({
        service: request.service,
        homeWait: Math.min(...home.map(request.waitAt)),
        latencyTarget: request.latencyTarget,
        crossingCost,
        draw: request.draw
      }, now)
      return mayLeave ? { candidates: both, ...perDataCentre } : stay
    },
    recordConnection: costs.recordConnection,
    shares: overflow.shares
  }
}
