/**
 * Lets each instance know what all instances have sent to each engine. Collectors of each data centre know the loads of
 * its instances and exchange their sums; an instance asks one of them right before it places a prompt.
 */
import { rankByRendezvous } from '../rendezvous'
import { createToldLoads, decodeLoad, encodeLoad, type EngineLoad } from './engineLoad'
import { askIfReachable, PeerQuestion, type PeerLinks, type PeerValue } from './peerLinks'
import { PlatformUnavailableError } from '../errors'
import type { Peer } from './types'
import { recordFleetLoad, type UpstreamDirectory } from './upstreamDirectory'

/** Instances for one collector, so that its share of the processor stays small however large the data centre is. */
const INSTANCES_PER_COLLECTOR = 24
/** Milliseconds for a collector's answer; several round trips within a region. */
const ANSWER_TIMEOUT_MS = 30
/** Milliseconds between exchanges of collectors; a prompt takes longer to read. */
const EXCHANGE_MS = 50
/** Milliseconds after which a prompt that was read is told; prompts that were sent are told at once. */
const READ_DELAY_MS = 30
/** Milliseconds without a question after which an instance is no longer asked as a collector and stops to exchange. */
const COLLECTING_MS = 1000

export interface LoadExchangeOptions {
  links: Pick<PeerLinks, 'ask' | 'tell' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  directory: Pick<UpstreamDirectory, 'all'>
  /** Milliseconds of the steady clock. */
  now: () => number
}

export interface LoadExchange {
  /** Resolves when the newest loads are noted, or at once when no collector can be reached. */
  refresh: () => Promise<void>
  /** A prompt was sent to an engine. */
  sent: () => void
  /** A prompt was read, or given up. */
  read: () => void
  /** Answers another instance or another collector. */
  answer: (question: PeerValue) => Promise<PeerValue>
  stop: () => void
}

export function createLoadExchange (options: LoadExchangeOptions): LoadExchange {
  const { links, instance, dataCentre, directory, now } = options
  /** Loads of the instances that ask this one, and sums of other collectors. */
  const members = createToldLoads()
  const collectors = createToldLoads()
  let rankedPeers: readonly Peer[] | undefined
  /**
   * Whom to ask, in this instance's order: the collectors of the own data centre, then the one that takes over from them;
   * undefined stands for this instance.
   */
  let near: ReadonlyArray<Peer | undefined> = []
  /** Names of the collectors of all data centres. */
  let chosen: ReadonlySet<string> = new Set()
  /** When other collectors last told their sums. */
  const heardAt = new Map<string, number>()
  let askedAt = -Infinity
  let wasIdle = true
  let toldAt = -Infinity
  let running: Promise<void> | undefined
  let readTimer: NodeJS.Timeout | undefined
  let exchangeTimer: NodeJS.Timeout | undefined

  function collectorsOf (place: string, peers: readonly Peer[]): { names: string[], spare: string[] } {
    const names = peers.filter((peer) => peer.dataCentre === place).map(({ name }) => name)
    if (place === dataCentre) names.push(instance)
    const count = Math.ceil(names.length / INSTANCES_PER_COLLECTOR)
    // Another order than that of the relays, so that one instance is not both.
    const ranked = rankByRendezvous(`loads of ${place}`, names)
    return { names: ranked.slice(0, count), spare: ranked.slice(count, count + 1) }
  }

  function rank (): void {
    const peers = options.peers()
    if (peers === rankedPeers) return
    rankedPeers = peers
    const byName = new Map(peers.map((peer) => [peer.name, peer]))
    const places = new Set(peers.map((peer) => peer.dataCentre).filter((place) => place !== dataCentre))
    const own = collectorsOf(dataCentre, peers)
    near = [...rankByRendezvous(instance, own.names), ...own.spare].map((name) => byName.get(name))
    const others = [...places].flatMap((place) => collectorsOf(place, peers).names)
    chosen = new Set([...own.names, ...others])
  }

  /** Undefined when this instance is the collector to ask. */
  function collector (): Peer | undefined {
    rank()
    return near.find((peer) => peer === undefined || links.isUsable(peer.endpoint))
  }

  function ownLoad (): EngineLoad {
    return new Map([...directory.all()].flatMap(({ loadKey, unreadTokens }) => (
      unreadTokens > 0 ? [[loadKey, unreadTokens] as const] : []
    )))
  }

  function memberLoads (): EngineLoad {
    return members.sum(ownLoad(), now())
  }

  function note (total: EngineLoad): void {
    const present = now()
    for (const upstream of directory.all()) recordFleetLoad(upstream, total.get(upstream.loadKey) ?? 0, present)
  }

  function ownWord (): PeerValue {
    return { kind: PeerQuestion.engineLoads, from: instance, load: encodeLoad(ownLoad()) }
  }

  async function ask (): Promise<void> {
    const peer = collector()
    if (peer === undefined) {
      startExchanging()
      note(collectors.sum(memberLoads(), now()))
      return
    }
    const answer = await askIfReachable(links, peer.endpoint, ownWord(), ANSWER_TIMEOUT_MS)
    const total = decodeLoad(answer?.load)
    if (total !== undefined) note(total)
  }

  function tell (): void {
    clearTimeout(readTimer)
    readTimer = undefined
    const peer = collector()
    if (peer !== undefined) links.tell(peer.endpoint, ownWord())
  }

  /** Tells the other collectors, while this instance is asked as one. */
  function exchange (): void {
    if (now() - askedAt > COLLECTING_MS) {
      clearInterval(exchangeTimer)
      exchangeTimer = undefined
      return
    }
    rank()
    const load = encodeLoad(memberLoads())
    const isIdle = load.length === 0 && wasIdle
    wasIdle = load.length === 0
    // The others should know of a collector that took over before there is a load.
    if (isIdle && now() - toldAt < COLLECTING_MS / 2) return
    toldAt = now()
    const word = { kind: PeerQuestion.engineLoads, collector: instance, load }
    for (const { name, endpoint } of options.peers()) {
      // One that took over from a lost collector tells its sum without being chosen.
      const isCollector = chosen.has(name) || now() - (heardAt.get(name) ?? -Infinity) < COLLECTING_MS
      if (isCollector && links.isUsable(endpoint)) links.tell(endpoint, word)
    }
  }

  function startExchanging (): void {
    askedAt = now()
    exchangeTimer ??= setInterval(exchange, EXCHANGE_MS)
  }

  return {
    async refresh () {
      running ??= ask().finally(() => { running = undefined })
      await running
    },
    sent: tell,
    read () { readTimer ??= setTimeout(tell, READ_DELAY_MS) },
    async answer ({ from, collector: name, load }) {
      const told = decodeLoad(load)
      if (told === undefined) throw new PlatformUnavailableError('the load cannot be read')
      if (typeof name === 'string') {
        collectors.take(name, told, now())
        heardAt.set(name, now())
        return {}
      }
      startExchanging()
      members.take(String(from), told, now())
      return { load: encodeLoad(collectors.sum(memberLoads(), now())) }
    },
    stop () {
      clearInterval(exchangeTimer)
      clearTimeout(readTimer)
    }
  }
}
