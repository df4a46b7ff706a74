/**
 * Reads tables of the store once for all instances. A hub follows the store; relays ask it, and the others ask the relays,
 * what changed and how long ago the store itself said so. Whoever gets no good answer asks the store.
 */
import { HistoryLostError, PlatformUnavailableError } from '../errors'
import { EdgeEvent, type EdgeLog } from './events'
import { elapsed } from './freshness'
import { PeerQuestion, type PeerLinks, type PeerValue } from './peerLinks'
import { chooseRelays, type RelayChoice } from './relayChoice'
import { createTableHistory, type TableChanges, type TableHistory } from './tableHistory'
import type { Instant, Peer, Store, StoreReading, StoreRow } from './types'

/** Part of the wait of a call to the store that a question to a relay waits, so that both ages together stay small. */
const ASKED_WAIT_SHARE = 0.3
/** Part of that wait that the hub's own call waits. */
const HUB_WAIT_SHARE = 0.5
/**
 * Largest age of the store's last word that is good enough for others, as a part of that wait: two calls of the hub, one
 * of which is on its way, and the question of a relay.
 */
const LONGEST_AGE_SHARE = 2 * HUB_WAIT_SHARE + ASKED_WAIT_SHARE
/** Milliseconds for the answer to a question besides its wait. */
const ASK_TIMEOUT_MS = 400
/** Milliseconds besides for which it is good enough; calls take a few of them. */
const CONTACT_MARGIN_MS = 500
/** Milliseconds that stand for the wait of a call that reads all rows, for the age that is good enough. */
const READ_MS = 2000
/** Milliseconds for which a relay is not asked after it could not tell what the store holds. */
const REFUSAL_PAUSE_MS = 1000

/** What a table's follower tells the relay about it. */
export interface RelayedTable {
  replaced: (rows: readonly StoreRow[], version: number) => void
  changed: (rows: readonly StoreRow[], version: number, unseenSince: Instant | undefined, afterOutage: boolean) => void
  /** The rows are the newest ones as of this instant. */
  contacted: (at: Instant) => void
  /** The last call failed. */
  lost: () => void
}

export interface TableRelayOptions {
  store: Pick<Store, 'read' | 'follow'>
  links: Pick<PeerLinks, 'ask' | 'isUsable'>
  instance: string
  dataCentre: string
  /** The other instances. */
  peers: () => readonly Peer[]
  /**
   * Whether a table's source takes few calls at a time: only relays read it. Its versions may start anew.
   * @default none
   */
  isScarce?: (table: string) => boolean
  log: EdgeLog
  now: () => Instant
}

export interface TableRelay {
  /** The store as followers should read it. */
  store: Pick<Store, 'read' | 'follow'>
  table: (name: string) => RelayedTable
  /** Answers a peer's question about a table. */
  answer: (question: PeerValue) => Promise<PeerValue>
  /** Questions of peers that wait for a change. */
  waitingQuestions: () => number
}

interface KnownTable {
  history: TableHistory
  contactAt: Instant | undefined
  afterOutage: boolean
  isLost: boolean
  waiting: Set<() => void>
}

/** Key, content and version of a row, without names since a relay sends thousands a second; null stands for none. */
type EncodedRow = readonly [key: string, content: Uint8Array | null, version: number | null]

/** @param newest version of the reading; rows of the same version leave it out */
function encodeRows (rows: readonly StoreRow[], newest: number): EncodedRow[] {
  return rows.map(({ key, value, version }) => [key, value ?? null, version === newest ? null : version])
}

function isEncodedRow (row: unknown): row is EncodedRow {
  if (!Array.isArray(row)) return false
  const [key, content, version] = row as unknown[]
  return typeof key === 'string' && (content === null || content instanceof Uint8Array) &&
    (version === null || typeof version === 'number')
}

function decodeRows (rows: unknown, newest: number): StoreRow[] | undefined {
  if (!Array.isArray(rows) || !rows.every(isEncodedRow)) return undefined
  return rows.map(([key, content, version]) => ({
    key, value: content === null ? undefined : Buffer.from(content), version: version ?? newest
  }))
}

/** @throws PlatformUnavailableError for an answer that is not a reading */
function decodeReading (answer: PeerValue): StoreReading {
  const { version, age, unseenFor, afterOutage } = answer
  const rows = typeof version === 'number' ? decodeRows(answer.rows, version) : undefined
  if (rows === undefined || typeof version !== 'number' || typeof age !== 'number') {
    throw new PlatformUnavailableError('the answer of a relay cannot be read')
  }
  return {
    rows,
    version,
    storeTime: 0,
    relayed: { age, changedWithin: typeof unseenFor === 'number' ? unseenFor : undefined, afterOutage: afterOutage === true }
  }
}

export function createTableRelay (options: TableRelayOptions): TableRelay {
  const { store, links, instance, dataCentre, isScarce = () => false, log, now } = options
  const tables = new Map<string, KnownTable>()
  /** By relay and table: one that cannot tell what a cache store holds may know all else. */
  const pausedUntil = new Map<string, number>()

  function known (name: string): KnownTable {
    const present = tables.get(name)
    if (present !== undefined) return present
    const table: KnownTable = {
      history: createTableHistory(), contactAt: undefined, afterOutage: false, isLost: false, waiting: new Set()
    }
    tables.set(name, table)
    return table
  }

  function wake (table: KnownTable): void {
    for (const go of [...table.waiting]) go()
  }

  let chosenFrom: readonly Peer[] | undefined
  let chosen: RelayChoice | undefined

  function choice (): RelayChoice {
    const peers = options.peers()
    if (chosen === undefined || peers !== chosenFrom) {
      chosenFrom = peers
      chosen = chooseRelays(instance, dataCentre, peers)
    }
    return chosen
  }

  /** The instances to ask about a table; undefined when this one reads it from its source. */
  function sourcesOf (table: string): readonly Peer[] | undefined {
    const { sources, isRelay } = choice()
    return isScarce(table) && isRelay ? undefined : sources
  }

  function isUsable ({ name, endpoint }: Peer, table: string): boolean {
    return links.isUsable(endpoint) && (pausedUntil.get(`${name}/${table}`) ?? -Infinity) <= now().steady
  }

  /**
   * Rejects with `HistoryLostError` when the relay's history begins later.
   * @param after undefined for all rows
   * @param wait milliseconds that a call to the store would wait
   */
  async function ask (relay: Peer, table: string, after: number | undefined, wait: number): Promise<StoreReading> {
    const asked = Math.round(wait * ASKED_WAIT_SHARE)
    const longestAge = wait * LONGEST_AGE_SHARE + CONTACT_MARGIN_MS
    const question = { kind: PeerQuestion.changes, table, after, wait: asked, longestAge }
    let answer: PeerValue
    try {
      answer = await links.ask(relay.endpoint, question, asked + ASK_TIMEOUT_MS)
    } catch (error) {
      if (error instanceof PlatformUnavailableError) {
        log(EdgeEvent.relayRefused, { peer: relay.name, table, reason: error.message })
        pausedUntil.set(`${relay.name}/${table}`, now().steady + REFUSAL_PAUSE_MS)
      }
      throw error
    }
    if (answer.isForgotten === true) throw new HistoryLostError(`relay ${relay.name} has no history after that version`)
    return decodeReading(answer)
  }

  /** Asks the store itself when the relay gives no good answer. */
  async function askOr (
    relay: Peer, table: string, after: number | undefined, wait: number, askStore: () => Promise<StoreReading>
  ): Promise<StoreReading> {
    try {
      return await ask(relay, table, after, wait)
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError) || isScarce(table)) throw error
      return await askStore()
    }
  }

  function usableRelay (relays: readonly Peer[], table: string): Peer | undefined {
    const relay = relays.find((one) => isUsable(one, table))
    if (relay === undefined && isScarce(table)) {
      throw new PlatformUnavailableError(`no relay tells what table ${table} holds`)
    }
    return relay
  }

  /** Resolves at the next change of the table, at the latest after so many milliseconds. */
  async function pause ({ waiting }: KnownTable, milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const go = (): void => {
        clearTimeout(timer)
        waiting.delete(go)
        resolve()
      }
      const timer = setTimeout(go, milliseconds)
      waiting.add(go)
    })
  }

  /**
   * Milliseconds between the store's last word and a question; 0 for a word after the question. The asker counts them
   * back from when it sent the question, so that neither its wait nor a freeze of either makes the word look newer.
   * @throws PlatformUnavailableError when the word is too old to be passed on
   */
  function ageBefore (askedAt: Instant, { contactAt, isLost }: KnownTable, longestAge: number): number {
    const age = contactAt === undefined ? Infinity : elapsed(contactAt, now())
    if (contactAt === undefined || isLost || age > longestAge) {
      const last = Number.isFinite(age) ? `last reached ${Math.round(age)} ms ago` : 'never reached'
      throw new PlatformUnavailableError(`the store was ${last}`)
    }
    return Math.max(0, elapsed(contactAt, askedAt))
  }

  /** Undefined when the peer has to read the whole table. */
  function changesOf (name: string, { history }: KnownTable, after: number): TableChanges | undefined {
    const startedAnew = isScarce(name) && after > history.version()
    return startedAnew ? undefined : history.since(after, now())
  }

  return {
    store: {
      async read (table) {
        const relays = sourcesOf(table)
        const relay = relays === undefined ? undefined : usableRelay(relays, table)
        if (relay === undefined) return await store.read(table)
        return await askOr(relay, table, undefined, READ_MS, async () => await store.read(table))
      },
      async follow (table, after, wait) {
        const relays = sourcesOf(table)
        if (relays === undefined) return await store.follow(table, after, Math.round(wait * HUB_WAIT_SHARE))
        const relay = usableRelay(relays, table)
        if (relay === undefined) return await store.follow(table, after, wait)
        // No wait, to make up for the time that the question took.
        return await askOr(relay, table, after, wait, async () => await store.follow(table, after, 0))
      }
    },
    table (name) {
      const table = known(name)
      return {
        replaced (rows, version) {
          table.history.replace(rows, version)
          wake(table)
        },
        changed (rows, version, unseenSince, afterOutage) {
          table.history.add(rows, version, unseenSince)
          table.afterOutage = afterOutage
          if (rows.length > 0) wake(table)
        },
        contacted (at) {
          table.contactAt = at
          table.isLost = false
        },
        lost () { table.isLost = true }
      }
    },
    waitingQuestions: () => [...tables.values()].reduce((sum, { waiting }) => sum + waiting.size, 0),
    async answer (question) {
      const askedAt = now()
      const { table: name, after, wait, longestAge } = question
      const isSound = typeof name === 'string' && typeof wait === 'number' && typeof longestAge === 'number' &&
        (typeof after === 'number' || after === undefined)
      if (!isSound) throw new PlatformUnavailableError('the question cannot be read')
      const table = tables.get(name)
      if (table === undefined) throw new PlatformUnavailableError(`table ${name} is not known here`)
      // At the start of a fleet those that are asked are about to read the table themselves.
      if (table.contactAt === undefined && !table.isLost) await pause(table, wait)
      const age = ageBefore(askedAt, table, longestAge)
      if (after === undefined) {
        const newest = table.history.version()
        return { rows: encodeRows(table.history.all(), newest), version: newest, age }
      }
      if (changesOf(name, table, after)?.rows.length === 0) await pause(table, wait)
      const laterAge = ageBefore(askedAt, table, longestAge)
      const changes = changesOf(name, table, after)
      if (changes === undefined) return { isForgotten: true }
      const { rows, version, unseenFor } = changes
      return { rows: encodeRows(rows, version), version, age: laterAge, unseenFor, afterOutage: table.afterOutage }
    }
  }
}
