/**
 * The list of edge instances in the store, by which quotas and retries are shared out. Each instance writes its row when
 * it starts, which also tells it the newest version of the store.
 */
import { EdgeEvent, reasonOf } from './events'
import { formatEndpoint, parseEndpoint } from '../http/endpoint'
import type { Endpoint } from '../types'
import { followTable, type Follower, type FollowerOptions } from './storeFollower'
import { createInstanceShares } from './instanceShares'
import type { TableRelay } from './tableRelay'
import type { Peer, Store, StoreRow } from './types'

const INSTANCE_TABLE = 'waxwingspoke-instances'
/** Milliseconds that a call waits; the list changes a few times a day. */
const FOLLOW_MS = 25_000
/**
 * Milliseconds between a reading and the next call. Instances that start together change the list many times in a second,
 * and each change costs a call of every instance that reads the store.
 */
const SETTLE_MS = 400
/** Milliseconds for which an instance that starts waits for the list, so that it can ask others for all else. */
const START_TIMEOUT_MS = 500
/** Milliseconds between attempts to write the own row. */
const WRITE_RETRY_MS = 500

/** Undefined for a row that no edge instance wrote. */
function readPeer (name: string, value: Buffer): Peer | undefined {
  try {
    const { dataCentre, peer } = JSON.parse(value.toString('utf8')) as { dataCentre?: unknown, peer?: unknown }
    const endpoint = typeof peer === 'string' ? parseEndpoint(peer) : undefined
    return typeof dataCentre === 'string' && endpoint !== undefined ? { name, dataCentre, endpoint } : undefined
  } catch {
    // Only edge instances write here; a row that cannot be read counts as none.
    return undefined
  }
}

export interface InstanceList {
  /** Instances, this one included. */
  count: () => number
  /** Part between 0 and 1 that this instance has of what all may do together. */
  share: () => number
  /** The other instances. */
  peers: () => readonly Peer[]
  /** Calls the listener when the list has been read once, or after a while when it cannot be. */
  whenReady: (listener: () => void) => void
  stop: () => void
}

export interface InstanceListOptions extends Pick<FollowerOptions, 'log' | 'now' | 'random'> {
  newestVersion: { value: number }
  commit: Store['commit']
  relay: TableRelay
  instance: string
  dataCentre: string
  /** Where other instances ask this one. */
  endpoint: Endpoint
}

export function createInstanceList (options: InstanceListOptions): InstanceList {
  const { commit, newestVersion, instance, dataCentre, endpoint, log } = options
  const shares = createInstanceShares()
  shares.set(instance, dataCentre)
  const listed = new Map<string, Peer>()
  let peers: readonly Peer[] = []
  let timer: NodeJS.Timeout | undefined

  async function register (): Promise<void> {
    const writes = [{ key: instance, value: JSON.stringify({ dataCentre, peer: formatEndpoint(endpoint) }) }]
    const result = await commit({ table: INSTANCE_TABLE, conditions: [], writes, removals: [] })
    if (result.committed) newestVersion.value = Math.max(newestVersion.value, result.version)
  }

  function tryRegister (): void {
    register().catch((error: unknown) => {
      log(EdgeEvent.storeLost, { table: INSTANCE_TABLE, reason: reasonOf(error) })
      timer = setTimeout(tryRegister, WRITE_RETRY_MS)
    })
  }

  function applyRow ({ key, value }: StoreRow): void {
    if (key === instance) return
    const peer = value === undefined ? undefined : readPeer(key, value)
    if (peer !== undefined) {
      shares.set(key, peer.dataCentre)
      listed.set(key, peer)
    } else {
      shares.delete(key)
      listed.delete(key)
    }
  }

  function handleChange (): void {
    peers = [...listed.values()]
    log(EdgeEvent.instancesChanged, { count: shares.count(), share: shares.share(dataCentre) })
  }

  let isReady = false
  const waiting: Array<() => void> = []
  const readyTimer = setTimeout(markReady, START_TIMEOUT_MS)

  function markReady (): void {
    isReady = true
    for (const listener of waiting.splice(0)) listener()
  }

  tryRegister()
  const follower: Follower = followTable({
    ...options,
    store: options.relay.store,
    table: INSTANCE_TABLE,
    relay: options.relay.table(INSTANCE_TABLE),
    wait: FOLLOW_MS,
    settle: () => SETTLE_MS,
    onRows (rows) {
      shares.clear()
      listed.clear()
      shares.set(instance, dataCentre)
      for (const row of rows) applyRow(row)
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
    whenReady (listener) {
      if (isReady) listener()
      else waiting.push(listener)
    },
    stop () {
      clearTimeout(timer)
      clearTimeout(readyTimer)
      follower.stop()
    }
  }
}
