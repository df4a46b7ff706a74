/**
 * Makes what all instances have sent to each engine known to each instance, and the speeds that they have seen. Aggregators of each data
 * centre collect the loads of its instances and exchange their sums; an instance queries one of them right before it
 * places a prompt.
 */
import { rankByRendezvous } from '../rendezvous'
import { createEngineReports, createReportedLoads, decodeLoad, encodeLoad, type EngineLoad } from './engineLoad'
import { NO_USE, ownUse, recordFleetUse, sumUses } from './engineRoom/engineUse'
import { decodeUses, encodeUses, type EngineUses } from './engineRoom/useCodec'
import type { EngineSpeeds } from './engineSpeed/engineSpeeds'
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
/** Interval in milliseconds between reports while prompts are in progress; reports are valid for 500 ms. */
const REPORT_INTERVAL_MS = 200
/** Milliseconds between queries for the speeds of engines, which change only when an engine restarts. */
const SPEED_INTERVAL_MS = 1000

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
}

const NO_FIELDS: PeerValue = {}

export interface LoadExchangeOptions {
  links: Pick<PeerLinks, 'request' | 'notify' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  directory: Pick<UpstreamDirectory, 'all'>
  speeds: Pick<
    EngineSpeeds, 'takeSamples' | 'receiveSamples' | 'forwardSamples' | 'encodeEstimates' | 'receiveEstimates'
  >
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
  const { links, instance, dataCentre, directory, speeds, now, supplement } = options
  /** Loads of the instances that query this one, and sums of other aggregators. */
  const memberReports = createReportedLoads()
  const aggregatorReports = createReportedLoads()
  /** The same for what requests use. */
  const memberUses = createEngineReports(sumUses)
  const aggregatorUses = createEngineReports(sumUses)
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
  /** Timer of the next report while prompts are in progress. */
  let reportTimer: NodeJS.Timeout | undefined
  let speedsRequestedAt = -Infinity
  let exchangeTimer: NodeJS.Timeout | undefined

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

  function ownUses (): EngineUses {
    return new Map([...directory.all()].flatMap((upstream) => (
      upstream.inFlight > 0 ? [[upstream.loadKey, ownUse(upstream)] as const] : []
    )))
  }

  function memberLoads (): EngineLoad {
    return memberReports.sum(ownLoad(), now())
  }

  function sumOfMemberUses (): EngineUses {
    return memberUses.sum(ownUses(), now())
  }

  function applyTotals (total: EngineLoad, totalUses: EngineUses): void {
    const present = now()
    for (const upstream of directory.all()) {
      recordFleetLoad(upstream, total.get(upstream.loadKey) ?? 0, present)
      recordFleetUse(upstream, totalUses.get(upstream.loadKey) ?? NO_USE)
    }
  }

  function ownReport (): PeerValue {
    scheduleReport()
    const samples = speeds.takeSamples()
    return {
      kind: PeerRequestKind.engineLoads,
      from: instance,
      load: encodeLoad(ownLoad()),
      uses: encodeUses(ownUses()),
      ...(samples.length > 0 ? { samples } : {}),
      ...supplement?.ownFields(now())
    }
  }

  /** Repeats the report while prompts are in progress, which aggregators would otherwise forget. */
  function scheduleReport (): void {
    clearTimeout(reportTimer)
    const isHolding = [...directory.all()].some(({ heldTokens, inFlight }) => (
      heldTokens > 0 || (supplement !== undefined && inFlight > 0)
    ))
    reportTimer = isHolding ? setTimeout(reportLoad, REPORT_INTERVAL_MS) : undefined
  }

  async function fetchTotals (): Promise<void> {
    const peer = currentAggregator()
    if (peer === undefined) {
      startExchanging()
      applyTotals(aggregatorReports.sum(memberLoads(), now()), aggregatorUses.sum(sumOfMemberUses(), now()))
      supplement?.applyTotal(supplement.totalFields(now()), now())
      return
    }
    const wantsSpeeds = now() - speedsRequestedAt >= SPEED_INTERVAL_MS
    if (wantsSpeeds) speedsRequestedAt = now()
    const query = { ...ownReport(), ...(wantsSpeeds ? { wantsSpeeds } : {}) }
    const response = await requestIfReachable(links, peer.endpoint, query, RESPONSE_TIMEOUT_MS)
    const total = decodeLoad(response?.load)
    if (total !== undefined) applyTotals(total, decodeUses(response?.uses, total))
    if (response !== undefined) supplement?.applyTotal(response, now())
    if (wantsSpeeds) speeds.receiveEstimates(response?.speeds, now())
  }

  function reportLoad (): void {
    clearTimeout(notifyTimer)
    notifyTimer = undefined
    const peer = currentAggregator()
    if (peer !== undefined) links.notify(peer.endpoint, ownReport())
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
    const uses = encodeUses(sumOfMemberUses())
    const fields = supplement?.sumFields(now()) ?? NO_FIELDS
    const hasUse = load.length + uses.length + Object.keys(fields).length > 0
    const isIdle = !hasUse && wasIdle
    wasIdle = !hasUse
    // The other aggregators must know of a standby that has taken over before there is a load.
    if (isIdle && now() - lastSentAt < AGGREGATOR_VALIDITY_MS / 2) return
    lastSentAt = now()
    const samples = speeds.takeSamples()
    const report = {
      kind: PeerRequestKind.engineLoads,
      collector: instance,
      load,
      uses,
      ...(samples.length > 0 ? { samples } : {}),
      ...fields
    }
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
      const { from, collector: name, load, uses, samples, wantsSpeeds } = request
      const reportedLoad = decodeLoad(load)
      if (reportedLoad === undefined) throw new PlatformUnavailableError('engine load is malformed')
      const reportedUses = decodeUses(uses, reportedLoad)
      speeds.receiveSamples(samples, now())
      if (typeof name === 'string') {
        aggregatorUses.record(name, reportedUses, now())
        aggregatorReports.record(name, reportedLoad, now())
        supplement?.recordAggregator(name, request, now())
        lastReportAt.set(name, now())
        return {}
      }
      startExchanging()
      memberReports.record(String(from), reportedLoad, now())
      supplement?.recordMember(String(from), request, now())
      memberUses.record(String(from), reportedUses, now())
      speeds.forwardSamples(samples)
      return {
        load: encodeLoad(aggregatorReports.sum(memberLoads(), now())),
        uses: encodeUses(aggregatorUses.sum(sumOfMemberUses(), now())),
        ...(wantsSpeeds === true ? { speeds: speeds.encodeEstimates() } : {}),
        ...supplement?.totalFields(now())
      }
    },
    stop () {
      clearInterval(exchangeTimer)
      clearTimeout(notifyTimer)
      clearTimeout(reportTimer)
    }
  }
}
