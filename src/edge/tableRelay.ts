/**
 * Relays tables of the store, so that the fleet reads each table once. A hub follows the store. Relays request the
 * changes from the hub, and other instances request them from relays, together with the time since the store confirmed
 * them. An instance that gets no usable response reads the store. Requests and responses name the era of the store, so
 * that the side that is behind learns of a newer one and no rows of an older one are used.
 */
import { HistoryLostError, PlatformUnavailableError } from '../errors'
import { EdgeEvent, type EdgeLog } from './events'
import { elapsed } from './freshness'
import { PeerRequestKind, type PeerLinks, type PeerValue } from './peerLinks'
import { chooseRelays, type RelayChoice } from './relayChoice'
import { keepHigherRows } from './storeEra/keptRows'
import { decodeReadResult, encodeRows } from './storeEra/relayMessages'
import { createStoreEra, EraOrder, parseEra, type StoreEra } from './storeEra/storeEra'
import { createTableHistory, type TableChanges, type TableHistory } from './tableHistory'
import type { Instant, Peer, Store, StoreReadResult, StoreRow } from './types'

/** Fraction of a store call's wait for which a request to a relay waits, so that both ages together stay small. */
const RELAY_WAIT_FRACTION = 0.3
/** Fraction of a store call's wait for which the hub's own call waits. */
const HUB_WAIT_FRACTION = 0.5
/**
 * Maximum age of the store's last confirmation that may be relayed, as a fraction of that wait. It covers two calls of
 * the hub, one of them in flight, and the request to a relay.
 */
const MAX_AGE_FRACTION = 2 * HUB_WAIT_FRACTION + RELAY_WAIT_FRACTION
/** Timeout in milliseconds for the response to a request, in addition to its wait. */
const REQUEST_TIMEOUT_MS = 400
/** Time in milliseconds added to the maximum age; store calls take part of it. */
const AGE_MARGIN_MS = 500
/** Wait in milliseconds assumed for a read of all rows when computing the maximum age. */
const READ_WAIT_MS = 2000
/** Time in milliseconds for which no requests about a table are sent to a relay that has rejected one. */
const REJECTION_BACKOFF_MS = 1000

/** Time in milliseconds for which a request that began in an earlier era waits until the table has been read again. */
const REREAD_WAIT_MS = 300

/** Callbacks by which a table's follower keeps the relay up to date. */
export interface RelayedTable {
  replaced: (rows: readonly StoreRow[], version: number) => void
  changed: (rows: readonly StoreRow[], version: number, changedAfter: Instant | undefined, afterOutage: boolean) => void
  /** The rows were current as of this instant. */
  confirmed: (at: Instant) => void
  /** The last call failed. */
  lost: () => void
}

export interface TableRelayOptions {
  store: Pick<Store, 'read' | 'follow'>
  links: Pick<PeerLinks, 'request' | 'isUsable'>
  instance: string
  dataCentre: string
  /** Returns the other instances. */
  peers: () => readonly Peer[]
  /**
   * Whether the source of a table permits few concurrent calls, so that only relays read it. The versions of such a
   * table may restart.
   * @default none
   */
  hasLimitedSource?: (table: string) => boolean
  /** Era of the store. @default one that never changes */
  storeEra?: StoreEra
  /** Returns the version of a row's content, by which the relay keeps a row over a change of era. @default none */
  rankOf?: (table: string, row: StoreRow) => number | undefined
  log: EdgeLog
  now: () => Instant
}

export interface TableRelay {
  /** Store interface for followers, which reads through relays where possible. */
  store: Pick<Store, 'read' | 'follow'>
  table: (name: string) => RelayedTable
  /** Responds to a peer's request for the rows or changes of a table. */
  handleRequest: (request: PeerValue) => Promise<PeerValue>
  /** Returns the number of peers' requests that are waiting for a change. */
  pendingRequests: () => number
}

interface TableState {
  history: TableHistory
  confirmedAt: Instant | undefined
  afterOutage: boolean
  isLost: boolean
  waiters: Set<() => void>
}

export function createTableRelay (options: TableRelayOptions): TableRelay {
  const {
    store, links, instance, dataCentre, hasLimitedSource = () => false, storeEra = createStoreEra(), rankOf, log, now
  } = options
  const tables = new Map<string, TableState>()
  /** Back-off by relay and table: a relay that cannot serve the table of a cache store may still serve the others. */
  const backOffUntil = new Map<string, number>()

  function tableState (name: string): TableState {
    const present = tables.get(name)
    if (present !== undefined) return present
    const table: TableState = {
      history: createTableHistory(),
      confirmedAt: undefined,
      afterOutage: false,
      isLost: false,
      waiters: new Set()
    }
    tables.set(name, table)
    return table
  }

  storeEra.subscribe(() => {
    for (const [name, table] of tables) {
      if (!hasLimitedSource(name)) Object.assign(table, { confirmedAt: undefined, isLost: false })
    }
  })

  /** Before the first confirmation in an era there is nothing to respond. */
  function notifyWaiters (table: TableState): void {
    if (table.confirmedAt === undefined) return
    for (const go of [...table.waiters]) go()
  }

  let chosenFrom: readonly Peer[] | undefined
  let chosen: RelayChoice | undefined

  function currentChoice (): RelayChoice {
    const peers = options.peers()
    if (chosen === undefined || peers !== chosenFrom) {
      chosenFrom = peers
      chosen = chooseRelays(instance, dataCentre, peers)
    }
    return chosen
  }

  /** Returns the instances to request a table from; undefined if this instance reads it from its source. */
  function sourcesOf (table: string): readonly Peer[] | undefined {
    const { sources, isRelay } = currentChoice()
    return hasLimitedSource(table) && isRelay ? undefined : sources
  }

  function isUsable ({ name, endpoint }: Peer, table: string): boolean {
    return links.isUsable(endpoint) && (backOffUntil.get(`${name}/${table}`) ?? -Infinity) <= now().steady
  }

  /**
   * Rejects with `HistoryLostError` if the relay's history starts after the requested version.
   * @param after version since which to request changes; undefined for all rows
   * @param wait time in milliseconds that a call to the store would wait
   */
  async function requestFromRelay (
    relay: Peer, table: string, after: number | undefined, wait: number
  ): Promise<StoreReadResult> {
    const relayWait = Math.round(wait * RELAY_WAIT_FRACTION)
    const longestAge = wait * MAX_AGE_FRACTION + AGE_MARGIN_MS
    const era = hasLimitedSource(table) ? undefined : storeEra.current()
    const request = { kind: PeerRequestKind.changes, table, after, wait: relayWait, longestAge, era }
    let response: PeerValue
    try {
      response = await links.request(relay.endpoint, request, relayWait + REQUEST_TIMEOUT_MS)
      if (!hasLimitedSource(table)) requireCurrentEra(response)
    } catch (error) {
      if (error instanceof PlatformUnavailableError) {
        log(EdgeEvent.relayRejected, { peer: relay.name, table, reason: error.message })
        backOffUntil.set(`${relay.name}/${table}`, now().steady + REJECTION_BACKOFF_MS)
      }
      throw error
    }
    if (response.isForgotten === true) throw new HistoryLostError(`relay ${relay.name} has no history after that version`)
    return decodeReadResult(response)
  }

  /** @throws PlatformUnavailableError if the relay is behind, or may be because it is of a release without eras */
  function requireCurrentEra ({ era: named }: PeerValue): void {
    const era = parseEra(named)
    if (era === undefined && storeEra.changes() === 0) return
    if (era !== undefined && storeEra.observe(era, now()) !== EraOrder.older) return
    throw new PlatformUnavailableError(`the relay is behind era ${storeEra.current()} of the store`)
  }

  /** Falls back to the store if the relay gives no usable response. */
  async function requestFromRelayOrStore (
    relay: Peer, table: string, after: number | undefined, wait: number, readStore: () => Promise<StoreReadResult>
  ): Promise<StoreReadResult> {
    try {
      return await requestFromRelay(relay, table, after, wait)
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError) || hasLimitedSource(table)) throw error
      return await readStore()
    }
  }

  function usableRelay (relays: readonly Peer[], table: string): Peer | undefined {
    const relay = relays.find((one) => isUsable(one, table))
    if (relay === undefined && hasLimitedSource(table)) {
      throw new PlatformUnavailableError(`no usable relay for table ${table}`)
    }
    return relay
  }

  /** Resolves at the next change of the table, but no later than after the given time. */
  async function waitForChange ({ waiters }: TableState, milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const go = (): void => {
        clearTimeout(timer)
        waiters.delete(go)
        resolve()
      }
      const timer = setTimeout(go, milliseconds)
      waiters.add(go)
    })
  }

  /**
   * Returns the milliseconds between the store's last confirmation and a request; 0 if the confirmation is newer. The
   * requester subtracts them from the time at which it sent the request, so that neither its wait nor a suspension of
   * either process makes the confirmation look newer than it is.
   * @throws PlatformUnavailableError if the confirmation is too old to be relayed
   */
  function confirmationAge (requestedAt: Instant, { confirmedAt, isLost }: TableState, longestAge: number): number {
    const age = confirmedAt === undefined ? Infinity : elapsed(confirmedAt, now())
    if (confirmedAt === undefined || isLost || age > longestAge) {
      const last = Number.isFinite(age) ? `last reached ${Math.round(age)} ms ago` : 'never reached'
      throw new PlatformUnavailableError(`the store was ${last}`)
    }
    return Math.max(0, elapsed(confirmedAt, requestedAt))
  }

  /** Returns the era that a response about a table names. */
  function eraOf (table: string): { era?: number } {
    return hasLimitedSource(table) ? {} : { era: storeEra.current() }
  }

  /** Waits while the instance is about to read the table, at its start or in a new era, at most for the given time. */
  async function waitForReading (table: TableState, milliseconds: number): Promise<void> {
    if (table.confirmedAt === undefined && !table.isLost) await waitForChange(table, milliseconds)
  }

  /**
   * Returns undefined if the peer must read the complete table.
   * @param named era of the version; undefined if the peer is of a release without eras
   * @param known era that this instance knew when the request arrived
   */
  function changesSince (
    name: string, { history }: TableState, after: number, named: number | undefined, known: number
  ): TableChanges | undefined {
    const isLimited = hasLimitedSource(name)
    if (!isLimited && (named ?? known) < storeEra.current()) return undefined
    const mayStartAnew = isLimited || (named === undefined && storeEra.changes() > 0)
    const startedAnew = mayStartAnew && after > history.version()
    return startedAnew ? undefined : history.changesSince(after, now())
  }

  return {
    store: {
      async read (table) {
        const relays = sourcesOf(table)
        const relay = relays === undefined ? undefined : usableRelay(relays, table)
        if (relay === undefined) return await store.read(table)
        return await requestFromRelayOrStore(relay, table, undefined, READ_WAIT_MS, async () => await store.read(table))
      },
      async follow (table, after, wait) {
        const relays = sourcesOf(table)
        if (relays === undefined) return await store.follow(table, after, Math.round(wait * HUB_WAIT_FRACTION))
        const relay = usableRelay(relays, table)
        if (relay === undefined) return await store.follow(table, after, wait)
        // Does not wait, to make up for the time that the request took.
        return await requestFromRelayOrStore(relay, table, after, wait, async () => await store.follow(table, after, 0))
      }
    },
    table (name) {
      const table = tableState(name)
      return {
        replaced (rows, version) {
          const isKeeping = rankOf !== undefined && storeEra.changes() > 0
          table.history.replaceAll(isKeeping
            ? keepHigherRows(table.history.presentRows(), rows, version, (row) => rankOf(name, row))
            : rows, version)
          notifyWaiters(table)
        },
        changed (rows, version, changedAfter, afterOutage) {
          table.history.addChanges(rows, version, changedAfter)
          table.afterOutage = afterOutage
          if (rows.length > 0) notifyWaiters(table)
        },
        confirmed (at) {
          const isFirst = table.confirmedAt === undefined
          table.confirmedAt = at
          table.isLost = false
          if (isFirst) notifyWaiters(table)
        },
        lost () { table.isLost = true }
      }
    },
    pendingRequests: () => [...tables.values()].reduce((sum, { waiters: waiting }) => sum + waiting.size, 0),
    async handleRequest (request) {
      const receivedAt = now()
      const { table: name, after, wait, longestAge } = request
      const isSound = typeof name === 'string' && typeof wait === 'number' && typeof longestAge === 'number' &&
        (typeof after === 'number' || after === undefined)
      if (!isSound) throw new PlatformUnavailableError('malformed request for a table')
      const named = hasLimitedSource(name) ? undefined : parseEra(request.era)
      if (named !== undefined) storeEra.observe(named, receivedAt)
      const known = storeEra.current()
      const table = tables.get(name)
      if (table === undefined) throw new PlatformUnavailableError(`table ${name} is not followed by this instance`)
      // When a fleet starts, the relays are about to read the table themselves.
      await waitForReading(table, wait)
      const age = confirmationAge(receivedAt, table, longestAge)
      if (after === undefined) {
        const newest = table.history.version()
        return { rows: encodeRows(table.history.presentRows(), newest), version: newest, age, ...eraOf(name) }
      }
      if (changesSince(name, table, after, named, known)?.rows.length === 0) await waitForChange(table, wait)
      await waitForReading(table, REREAD_WAIT_MS)
      const laterAge = confirmationAge(receivedAt, table, longestAge)
      const changes = changesSince(name, table, after, named, known)
      if (changes === undefined) return { isForgotten: true, ...eraOf(name) }
      const { rows, version, changedWithin } = changes
      return {
        rows: encodeRows(rows, version),
        version,
        age: laterAge,
        unseenFor: changedWithin,
        afterOutage: table.afterOutage,
        ...eraOf(name)
      }
    }
  }
}
