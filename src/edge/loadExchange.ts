/**
 * Makes the prompt tokens that all instances have sent to each engine known to each instance. Aggregators of each data
 * centre collect the loads of its instances and exchange their sums; an instance queries one of them right before it
 * places a prompt.
 */
import { rankByRendezvous } from '../rendezvous'
import { createReportedLoads, decodeLoad, encodeLoad, type EngineLoad } from './engineLoad'
import { requestIfReachable, PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import { PlatformUnavailableError } from '../errors'
import type { Peer } from './types'
import { recordFleetLoad, type UpstreamDirectory } from './upstreamDirectory'

/** Instances per aggregator, so that its processor load stays small however large the data centre is. */
const INSTANCES_PER_AGGREGATOR = 24
/** Timeout in milliseconds for an aggregator's response; several round trips within a region. */
const RESPONSE_TIMEOUT_MS = 30
/** Milliseconds between exchanges of aggregators; a prefill takes longer. */
const EXCHANGE_INTERVAL_MS = 50
/** Delay in milliseconds before a completed prefill is reported; sent prompts are reported at once. */
const PREFILL_NOTIFY_DELAY_MS = 30
/** Milliseconds without a query after which an instance no longer counts as an aggregator and stops sending its sum. */
const AGGREGATOR_VALIDITY_MS = 1000

/** Milliseconds between reports while something is in flight, so that others do not drop the last one as outdated. */
const REPORT_REPEAT_MS = 200

/** Further figures that travel with the loads, in fields of their own that instances of earlier releases ignore. */
export interface LoadSupplement {
  /** Fields of this instance's own report. */
  ownFields: (now: number) => PeerValue
  /** Fields of the sum over the instances that query this one, for the other aggregators. */
  sumFields: (now: number) => PeerValue
  /** Fields of the sum over all instances. */
  totalFields: (now: number) => PeerValue
  recordMember: (name: string, message: PeerValue, now: number) => void
  recordAggregator: (name: string, message: PeerValue, now: number) => void
  /** Applies the fields of a sum over all instances. */
  applyTotal: (message: PeerValue, now: number) => void
  /** Whether this instance has something in flight that its report counts. */
  hasLoad: () => boolean
}

const NO_FIELDS: PeerValue = {}

export interface LoadExchangeOptions {
  links: Pick<PeerLinks, 'request' | 'notify' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  directory: Pick<UpstreamDirectory, 'all'>
  /** Monotonic clock in milliseconds. */
  now: () => number
  supplement?: LoadSupplement | undefined
}

export interface LoadExchange {
  /** Resolves once the newest loads are applied, or at once when no aggregator can be reached. */
  refresh: () => Promise<void>
  /** Reports that a prompt was sent to an engine. */
  promptSent: () => void
  /** Reports that the prefill of a prompt has completed or was cancelled. */
  prefillEnded: () => void
  /** Handles a query of another instance or a sum of another aggregator. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
  stop: () => void
}

export function createLoadExchange (options: LoadExchangeOptions): LoadExchange {
  const { links, instance, dataCentre, directory, now, supplement } = options
  /** Loads of the instances that query this one, and sums of other aggregators. */
  const memberReports = createReportedLoads()
  const aggregatorReports = createReportedLoads()
  let rankedPeers: readonly Peer[] | undefined
  /**
   * Aggregators in this instance's order of preference: those of the local data centre, then their standby; undefined
   * represents this instance.
   */
  let candidates: ReadonlyArray<Peer | undefined> = []
  /** Names of the aggregators of all data centres. */
  let aggregatorNames: ReadonlySet<string> = new Set()
  /** When each of the other aggregators last reported its sum. */
  const lastReportAt = new Map<string, number>()
  let lastRequestAt = -Infinity
  let wasIdle = true
  let lastSentAt = -Infinity
  let pendingRefresh: Promise<void> | undefined
  let notifyTimer: NodeJS.Timeout | undefined
  let exchangeTimer: NodeJS.Timeout | undefined
  let repeatTimer: NodeJS.Timeout | undefined

  function aggregatorsIn (location: string, peers: readonly Peer[]): { names: string[], standby: string[] } {
    const names = peers.filter((peer) => peer.dataCentre === location).map(({ name }) => name)
    if (location === dataCentre) names.push(instance)
    const count = Math.ceil(names.length / INSTANCES_PER_AGGREGATOR)
    // The order differs from that of the relays, so that one instance does not have both roles.
    const ranked = rankByRendezvous(`loads of ${location}`, names)
    return { names: ranked.slice(0, count), standby: ranked.slice(count, count + 1) }
  }

  function updateRanking (): void {
    const peers = options.peers()
    if (peers === rankedPeers) return
    rankedPeers = peers
    const byName = new Map(peers.map((peer) => [peer.name, peer]))
    const otherDataCentres = new Set(peers.map((peer) => peer.dataCentre).filter((place) => place !== dataCentre))
    const own = aggregatorsIn(dataCentre, peers)
    candidates = [...rankByRendezvous(instance, own.names), ...own.standby].map((name) => byName.get(name))
    const others = [...otherDataCentres].flatMap((place) => aggregatorsIn(place, peers).names)
    aggregatorNames = new Set([...own.names, ...others])
  }

  /** Returns the aggregator to query; undefined when it is this instance. */
  function currentAggregator (): Peer | undefined {
    updateRanking()
    return candidates.find((peer) => peer === undefined || links.isUsable(peer.endpoint))
  }

  function ownLoad (): EngineLoad {
    return new Map([...directory.all()].flatMap(({ loadKey, pendingPrefillTokens }) => (
      pendingPrefillTokens > 0 ? [[loadKey, pendingPrefillTokens] as const] : []
    )))
  }

  function memberLoads (): EngineLoad {
    return memberReports.sum(ownLoad(), now())
  }

  function applyTotals (total: EngineLoad): void {
    const present = now()
    for (const upstream of directory.all()) recordFleetLoad(upstream, total.get(upstream.loadKey) ?? 0, present)
  }

  function ownReport (): PeerValue {
    return {
      kind: PeerRequestKind.engineLoads, from: instance, load: encodeLoad(ownLoad()), ...supplement?.ownFields(now())
    }
  }

  async function fetchTotals (): Promise<void> {
    const peer = currentAggregator()
    if (peer === undefined) {
      startExchanging()
      applyTotals(aggregatorReports.sum(memberLoads(), now()))
      supplement?.applyTotal(supplement.totalFields(now()), now())
      return
    }
    const response = await requestIfReachable(links, peer.endpoint, ownReport(), RESPONSE_TIMEOUT_MS)
    const total = decodeLoad(response?.load)
    if (total === undefined) return
    applyTotals(total)
    supplement?.applyTotal(response!, now())
  }

  function reportLoad (): void {
    clearTimeout(notifyTimer)
    notifyTimer = undefined
    const peer = currentAggregator()
    if (peer !== undefined) links.notify(peer.endpoint, ownReport())
    const isLoaded = supplement !== undefined && (supplement.hasLoad() || ownLoad().size > 0)
    if (isLoaded) repeatTimer ??= setTimeout(repeatReport, REPORT_REPEAT_MS)
  }

  function repeatReport (): void {
    repeatTimer = undefined
    reportLoad()
  }

  /** Reports the sum to the other aggregators while this instance is queried as one. */
  function sendSum (): void {
    if (now() - lastRequestAt > AGGREGATOR_VALIDITY_MS) {
      clearInterval(exchangeTimer)
      exchangeTimer = undefined
      return
    }
    updateRanking()
    const load = encodeLoad(memberLoads())
    const fields = supplement?.sumFields(now()) ?? NO_FIELDS
    const isEmpty = load.length === 0 && Object.keys(fields).length === 0
    const isIdle = isEmpty && wasIdle
    wasIdle = isEmpty
    // The other aggregators must know of a standby that has taken over before there is a load.
    if (isIdle && now() - lastSentAt < AGGREGATOR_VALIDITY_MS / 2) return
    lastSentAt = now()
    const report = { kind: PeerRequestKind.engineLoads, collector: instance, load, ...fields }
    for (const { name, endpoint } of options.peers()) {
      // A standby that took over from a lost aggregator reports its sum without being on the list.
      const isAggregator = aggregatorNames.has(name) ||
        now() - (lastReportAt.get(name) ?? -Infinity) < AGGREGATOR_VALIDITY_MS
      if (isAggregator && links.isUsable(endpoint)) links.notify(endpoint, report)
    }
  }

  function startExchanging (): void {
    lastRequestAt = now()
    exchangeTimer ??= setInterval(sendSum, EXCHANGE_INTERVAL_MS)
  }

  return {
    async refresh () {
      pendingRefresh ??= fetchTotals().finally(() => { pendingRefresh = undefined })
      await pendingRefresh
    },
    promptSent: reportLoad,
    prefillEnded () { notifyTimer ??= setTimeout(reportLoad, PREFILL_NOTIFY_DELAY_MS) },
    async handleRequest (request) {
      const { from, collector: name, load } = request
      const reportedLoad = decodeLoad(load)
      if (reportedLoad === undefined) throw new PlatformUnavailableError('engine load is malformed')
      if (typeof name === 'string') {
        aggregatorReports.record(name, reportedLoad, now())
        supplement?.recordAggregator(name, request, now())
        lastReportAt.set(name, now())
        return {}
      }
      startExchanging()
      memberReports.record(String(from), reportedLoad, now())
      supplement?.recordMember(String(from), request, now())
      return { load: encodeLoad(aggregatorReports.sum(memberLoads(), now())), ...supplement?.totalFields(now()) }
    },
    stop () {
      clearInterval(exchangeTimer)
      clearTimeout(notifyTimer)
      clearTimeout(repeatTimer)
    }
  }
}
