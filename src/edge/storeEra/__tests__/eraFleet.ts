/**
 * A fleet without a network that reads a store which may come back from an older copy. Calls to a store that is away, or
 * that answered in an earlier era, hang until their timeout, which is the slowest way to learn of it.
 */
import { HistoryLostError, PlatformUnavailableError } from '../../../errors'
import { followTable, type Follower } from '../../storeFollower'
import { createInstanceList, type InstanceList } from '../../instanceList'
import type { PeerValue } from '../../peerLinks'
import { createTableRelay, type TableRelay } from '../../tableRelay'
import type { Instant, Peer, Store, StoreReadResult, StoreRow } from '../../types'
import { withStoreEra } from '../eraStore'
import { createStoreEra, type StoreEra } from '../storeEra'

export const TABLE = 'op'
const WAIT_MS = 1750
const CALL_MS = 4
const HOP_MS = 3
/** Milliseconds after its wait for which a call waits for an answer. */
const CALL_TIMEOUT_MS = 1000
const STORE_POLL_MS = 10

export const now = (): Instant => ({ steady: Date.now(), wall: Date.now() })

export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

export interface SimulatedStore {
  /** Undefined while the store is away. */
  era: number | undefined
  write: (table: string, key: string, value: string) => void
  version: () => number
  /** The store goes away. */
  leave: () => void
  /** The store comes back without its newest versions. */
  restore: (lost: number) => void
  /** Creates the client of an instance that can reach the store while `isReached` says so. */
  client: (isReached: () => boolean, namesEra: boolean) => Store
  calls: () => number
}

export function createSimulatedStore (): SimulatedStore {
  let history: Array<StoreRow & { table: string }> = []
  let version = 0
  let lastEra = 1
  let calls = 0
  const store: SimulatedStore = {
    era: lastEra,
    version: () => version,
    write (table, key, value) {
      version += 1
      history.push({ table, key, value: Buffer.from(value), version })
    },
    leave () { store.era = undefined },
    restore (lost) {
      version -= lost
      history = history.filter((row) => row.version <= version)
      lastEra += 1
      store.era = lastEra
    },
    calls: () => calls,
    client (isReached, namesEra) {
      function answer (table: string, after: number): StoreReadResult {
        const changed = history.filter((row) => row.table === table && row.version > after)
        const rows = new Map(changed.map((row) => [row.key, row]))
        return {
          rows: [...rows.values()].map(({ key, value, version: rowVersion }) => ({ key, value, version: rowVersion })),
          version,
          storeTime: Date.now(),
          ...(namesEra && store.era !== undefined ? { era: store.era } : {})
        }
      }
      /** Resolves when the call has arrived; rejects at its timeout if it does not. */
      async function arrive (wait: number): Promise<number> {
        calls += 1
        await pause(CALL_MS)
        if (store.era !== undefined && isReached()) return store.era
        await pause(wait + CALL_TIMEOUT_MS)
        throw new PlatformUnavailableError('no answer')
      }
      async function follow (table: string, after: number, wait: number): Promise<StoreReadResult> {
        const era = await arrive(wait)
        if (after > version) throw new HistoryLostError('no such version')
        const end = Date.now() + wait
        while (answer(table, after).rows.length === 0 && Date.now() < end) {
          await pause(STORE_POLL_MS)
          if (store.era === era && isReached()) continue
          await pause(end - Date.now() + CALL_TIMEOUT_MS)
          throw new PlatformUnavailableError('no answer')
        }
        return answer(table, after)
      }
      return {
        follow,
        async read (table) {
          await arrive(0)
          return answer(table, 0)
        },
        async commit ({ table, writes }) {
          await arrive(0)
          for (const { key, value } of writes) store.write(table, key, value)
          const { era } = answer(table, version)
          return { committed: true, version, storeTime: Date.now(), ...(era === undefined ? {} : { era }) }
        },
        close () {}
      }
    }
  }
  return store
}

export interface SimulatedInstance extends Peer {
  storeEra: StoreEra
  instances: InstanceList
  /** Newest value of each row of the table that this instance has been given. */
  rows: Map<string, string>
  provedAt: Instant | undefined
}

export interface SimulatedFleet {
  store: SimulatedStore
  instances: SimulatedInstance[]
  /** Instances that the store does not reach. */
  storeCut: Set<string>
  /** Instances that reach no peer of another data centre. */
  peersCut: Set<string>
  stop: () => void
}

/** @param isPrevious whether an instance is of the release before eras */
export function startSimulatedFleet (
  names: ReadonlyArray<{ name: string, dataCentre: string }>, isPrevious: (name: string) => boolean = () => false
): SimulatedFleet {
  const store = createSimulatedStore()
  const storeCut = new Set<string>()
  const peersCut = new Set<string>()
  const relays = new Map<string, TableRelay>()
  const pausedUntil = new Map<string, number>()
  const followers: Follower[] = []
  const peers: Peer[] = names.map(({ name, dataCentre }) => ({ name, dataCentre, endpoint: { host: name, port: 1 } }))
  const dataCentreOf = new Map(peers.map(({ name, dataCentre }) => [name, dataCentre]))
  const withoutEra = (message: PeerValue): PeerValue => ({ ...message, era: undefined })
  store.write(TABLE, 'config', '0')

  function isLinked (one: string, other: string): boolean {
    return dataCentreOf.get(one) === dataCentreOf.get(other) || !(peersCut.has(one) || peersCut.has(other))
  }

  const instances = peers.map((peer): SimulatedInstance => {
    const { name, dataCentre } = peer
    const storeEra = createStoreEra()
    const client = withStoreEra(store.client(() => !storeCut.has(name), !isPrevious(name)), storeEra, now)
    const relay = createTableRelay({
      store: client,
      links: {
        isUsable: ({ host }) => (pausedUntil.get(`${name}/${host}`) ?? 0) <= Date.now(),
        async request ({ host }, question, timeout) {
          await pause(HOP_MS)
          const sent = isPrevious(name) || isPrevious(host) ? withoutEra(question) : question
          const reached = isLinked(name, host) ? relays.get(host)!.handleRequest(sent) : pause(timeout)
          const given = await Promise.race([reached, pause(timeout)])
          if (given === undefined) {
            pausedUntil.set(`${name}/${host}`, Date.now() + 500)
            throw new PlatformUnavailableError(`no answer in ${timeout} ms`)
          }
          await pause(HOP_MS)
          return isPrevious(name) || isPrevious(host) ? withoutEra(given) : given
        }
      },
      instance: name,
      dataCentre,
      peers: () => list.peers(),
      storeEra,
      rankOf: (_table, { value }) => value === undefined ? undefined : Number(value.toString()),
      log: () => {},
      now
    })
    relays.set(name, relay)
    const shared = { storeEra, log: () => {}, now, random: () => 0.5 }
    const list = createInstanceList({
      ...shared, commit: client.commit, relay, instance: name, dataCentre, endpoint: peer.endpoint
    })
    const instance: SimulatedInstance = { ...peer, storeEra, instances: list, rows: new Map(), provedAt: undefined }
    const apply = (rows: readonly StoreRow[]): void => {
      for (const { key, value } of rows) if (value !== undefined) instance.rows.set(key, value.toString())
    }
    followers.push(followTable({
      ...shared,
      store: relay.store,
      table: TABLE,
      relay: relay.table(TABLE),
      wait: WAIT_MS,
      whenReady: list.whenReady,
      onRows: apply,
      onChanges: apply,
      onConfirmed (at) {
        if (instance.provedAt === undefined || at.steady >= instance.provedAt.steady) instance.provedAt = at
      }
    }))
    return instance
  })
  return {
    store,
    instances,
    storeCut,
    peersCut,
    stop () {
      for (const follower of followers) follower.stop()
      for (const { instances: list } of instances) list.stop()
    }
  }
}
