/**
 * List of the router instances in the store, by which quotas and retry budgets are divided. Each instance writes its
 * row when it starts; the response to this write also states the newest version of the store.
 */
import { EdgeEvent, errorMessage } from './events'
import { formatEndpoint, parseEndpoint } from '../http/endpoint'
import type { Endpoint } from '../types'
import type { StoreEra } from './storeEra/storeEra'
import { followTable, type Follower, type FollowerOptions } from './storeFollower'
import { createInstanceShares } from './instanceShares'
import type { PeerValue } from './peerLinks'
import type { TableRelay } from './tableRelay'
import type { Peer, Store, StoreRow } from './types'

const INSTANCE_TABLE = 'waxwingspoke-instances'
/**
 * Time in milliseconds that a call waits for changes. The list changes a few times per day, but a lost response hides
 * changes for as long, and all shares depend on them.
 */
const FOLLOW_MS = 4000
/**
 * Delay in milliseconds between received rows and the next call. Instances that start together change the list many
 * times per second, and each change costs a call of every instance that reads the store.
 */
const SETTLE_MS = 400
/**
 * Maximum time in milliseconds that a starting instance waits for the list, so that it can read all other tables from
 * peers.
 */
const START_TIMEOUT_MS = 500
/**
 * Time in milliseconds for which the sender of a message counts as an instance although the list does not contain it;
 * longer than it takes to read the list. The message may be from an instance that has been removed.
 */
const OBSERVED_MS = 10_000
/** Delay in milliseconds before a failed write of this instance's row is retried. */
const WRITE_RETRY_MS = 500
/**
 * Longest delay in milliseconds before the row is written again in a new era of the store, drawn at random, so that the
 * instances of a large fleet do not write at the same moment.
 */
const MAX_REWRITE_DELAY_MS = 300

/** Fields of an instance in its row and in messages to others. */
export interface InstanceFields {
  dataCentre: string
  /** `HOST:PORT` at which other instances reach it. */
  peer: string
}

/** Returns undefined if the fields do not describe an instance. */
function parsePeer (
  name: string, { dataCentre, peer }: Partial<Record<keyof InstanceFields, unknown>>
): Peer | undefined {
  const endpoint = typeof peer === 'string' ? parseEndpoint(peer) : undefined
  return typeof dataCentre === 'string' && endpoint !== undefined ? { name, dataCentre, endpoint } : undefined
}

/** Returns undefined for a row that was not written by an instance of the router. */
function readPeer (name: string, value: Buffer): Peer | undefined {
  try {
    return parsePeer(name, JSON.parse(value.toString('utf8')) as Record<string, unknown>)
  } catch {
    // Only instances of the router write to this table; a row that cannot be parsed is ignored.
    return undefined
  }
}

export interface InstanceList {
  /** Returns the number of instances, including this one. */
  count: () => number
  /** Returns the fraction, 0 to 1, of the fleet-wide limits that this instance may use. */
  share: () => number
  /** Returns the other instances. */
  peers: () => readonly Peer[]
  /** Returns the fields that identify this instance in messages to others. */
  sender: () => PeerValue
  /** Counts the sender of a message, which the list may not contain yet, for some seconds. */
  observe: (sender: unknown) => void
  /** Whether the list has been read; until then this instance may take itself for the only one. */
  isRead: () => boolean
  /** Calls the listener once the list has been read, or after a timeout if it cannot be read. */
  whenReady: (listener: () => void) => void
  stop: () => void
}

export interface InstanceListOptions extends Pick<FollowerOptions, 'log' | 'now' | 'random'> {
  storeEra: Pick<StoreEra, 'newestVersion' | 'subscribe'>
  commit: Store['commit']
  relay: TableRelay
  instance: string
  dataCentre: string
  /** Address at which other instances reach this one. */
  endpoint: Endpoint
}

export function createInstanceList (options: InstanceListOptions): InstanceList {
  const { commit, storeEra, instance, dataCentre, endpoint, log, random } = options
  const ownFields: InstanceFields = { dataCentre, peer: formatEndpoint(endpoint) }
  const shares = createInstanceShares()
  shares.set(instance, dataCentre)
  const listed = new Map<string, Peer>()
  /** Timers of the instances that count only because they have sent a message. */
  const observed = new Map<string, NodeJS.Timeout>()
  let peers: readonly Peer[] = []
  let timer: NodeJS.Timeout | undefined

  async function register (): Promise<void> {
    const writes = [{ key: instance, value: JSON.stringify(ownFields) }]
    const result = await commit({ table: INSTANCE_TABLE, conditions: [], writes, removals: [] })
    if (!result.committed) return
    storeEra.newestVersion.value = Math.max(storeEra.newestVersion.value, result.version)
  }

  function tryRegister (): void {
    clearTimeout(timer)
    register().catch((error: unknown) => {
      log(EdgeEvent.storeLost, { table: INSTANCE_TABLE, reason: errorMessage(error) })
      clearTimeout(timer)
      timer = setTimeout(tryRegister, WRITE_RETRY_MS)
    })
  }

  function stopObserving (name: string): void {
    clearTimeout(observed.get(name))
    observed.delete(name)
  }

  function remove (name: string): void {
    stopObserving(name)
    shares.delete(name)
    listed.delete(name)
  }

  function applyRow ({ key, value }: StoreRow): void {
    if (key === instance) return
    stopObserving(key)
    const peer = value === undefined ? undefined : readPeer(key, value)
    if (peer !== undefined) {
      shares.set(key, peer.dataCentre)
      listed.set(key, peer)
    } else remove(key)
  }

  /** Counts an instance that the list does not contain, until it has been silent for some seconds. */
  function countForAWhile (peer: Peer): void {
    stopObserving(peer.name)
    observed.set(peer.name, setTimeout(() => {
      remove(peer.name)
      handleChange()
    }, OBSERVED_MS))
    if (listed.has(peer.name)) return
    shares.set(peer.name, peer.dataCentre)
    listed.set(peer.name, peer)
  }

  function handleChange (): void {
    peers = [...listed.values()]
    log(EdgeEvent.instancesChanged, { count: shares.count(), share: shares.share(dataCentre) })
  }

  let isReady = false
  let isRead = false
  const waiting: Array<() => void> = []
  const readyTimer = setTimeout(markReady, START_TIMEOUT_MS)

  function markReady (): void {
    isReady = true
    for (const listener of waiting.splice(0)) listener()
  }

  tryRegister()
  let isStopped = false
  storeEra.subscribe(() => {
    if (isStopped) return
    clearTimeout(timer)
    timer = setTimeout(tryRegister, MAX_REWRITE_DELAY_MS * random())
  })
  const follower: Follower = followTable({
    ...options,
    store: options.relay.store,
    table: INSTANCE_TABLE,
    relay: options.relay.table(INSTANCE_TABLE),
    wait: FOLLOW_MS,
    settleDelay: () => SETTLE_MS,
    onRows (rows, { isNewEra = false }) {
      const before = isNewEra ? [...listed.values()] : []
      for (const name of [...listed.keys()]) remove(name)
      shares.clear()
      shares.set(instance, dataCentre)
      for (const row of rows) applyRow(row)
      // Their rows may be lost with the old era; they write them again.
      for (const peer of before) if (!listed.has(peer.name)) countForAWhile(peer)
      isRead = true
      handleChange()
      markReady()
    },
    onChanges (rows) {
      for (const row of rows) applyRow(row)
      handleChange()
    }
  })

  return {
    count: shares.count,
    share: () => shares.share(dataCentre),
    peers: () => peers,
    sender: () => ({ name: instance, ...ownFields }),
    observe (sender) {
      const { name, ...fields } = (sender ?? {}) as Record<string, unknown>
      if (typeof name !== 'string' || name === instance) return
      const isKnown = listed.has(name)
      const peer = parsePeer(name, fields)
      if (peer === undefined || (isKnown && !observed.has(name))) return
      countForAWhile(peer)
      if (!isKnown) handleChange()
    },
    isRead: () => isRead,
    whenReady (listener) {
      if (isReady) listener()
      else waiting.push(listener)
    },
    stop () {
      isStopped = true
      clearTimeout(timer)
      clearTimeout(readyTimer)
      for (const pending of observed.values()) clearTimeout(pending)
      follower.stop()
    }
  }
}
