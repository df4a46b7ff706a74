/** The platform in memory, with faults that can be switched on: used by the stand-in server and by tests. */
import {
  OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError
} from '../errors'
import type { ListedInstance } from '../types'
import type { InstanceList, PlatformClient, ReadOptions, ReadTableOptions, TableRow, Transaction } from './types'

/** Milliseconds for which superseded row versions and lists are kept for lagging reads. */
const HISTORY_MS = 60_000

/** Milliseconds for which a call waits at most when the platform is at its rate limit. */
const LONGEST_QUEUE_MS = 2000

/** Faults in force. All are off at the start. */
export interface PlatformFaults {
  /** Every call fails with `PlatformUnavailableError`. @default false */
  outage: boolean
  /** Number of coming writes that take effect and then fail with `OutcomeUnknownError`. @default 0 */
  loseAnswers: number
  /** Milliseconds by which replica reads lag behind. @default 0 */
  replicaLag: number
  /** Milliseconds by which the instance list lags behind. @default 0 */
  listLag: number
  /** Milliseconds that each call takes. @default 0 */
  latency: number
  /** Reads a second that the platform handles; more wait, and are refused after 2 s of waiting. 0 for no limit. @default 0 */
  readRate: number
  /** Writes a second, likewise. @default 0 */
  writeRate: number
}

export interface MemoryPlatformOptions {
  /** Wall clock in milliseconds. @default Date.now */
  clock?: () => number
}

export interface MemoryPlatform {
  client: PlatformClient
  /** Faults can be changed at any time by assignment. */
  faults: PlatformFaults
  /** Replaces the list of live and leaving instances; with list lag, readers see it later. */
  setInstances: (instances: readonly ListedInstance[]) => void
  /** Replaces one entry of the list by name, or adds it. */
  putInstance: (instance: ListedInstance) => void
  removeInstance: (name: string) => void
  /** Counts of reads and writes that reached the platform. */
  counts: { reads: number, writes: number }
  /** Calls `listener` after each commit; returns a function that ends the subscription. */
  onCommit: (listener: (transaction: Transaction, version: number) => void) => () => void
}

interface RowState {
  version: number
  at: number
  /** JSON text; undefined when the row is deleted. */
  text: string | undefined
}

/** Drops the states that no read with a lag of up to `HISTORY_MS` can see any more. */
function recentHistory<State extends { at: number }> (states: readonly State[], now: number): State[] {
  return states.filter((_, index) => (states[index + 1]?.at ?? Infinity) > now - HISTORY_MS)
}

/** Creates an empty platform. */
export function createMemoryPlatform (options: MemoryPlatformOptions = {}): MemoryPlatform {
  const clock = options.clock ?? Date.now
  const faults: PlatformFaults = {
    outage: false, loseAnswers: 0, replicaLag: 0, listLag: 0, latency: 0, readRate: 0, writeRate: 0
  }
  /** Wall-clock time at which the queue of reads or writes is empty. */
  const busyUntil = { reads: 0, writes: 0 }
  const counts = { reads: 0, writes: 0 }
  const tables = new Map<string, Map<string, RowState[]>>()
  const objects = new Map<string, Uint8Array>()
  const listeners = new Set<(transaction: Transaction, version: number) => void>()
  let lists: Array<{ at: number, instances: readonly ListedInstance[] }> = [{ at: -Infinity, instances: [] }]
  let version = 0

  async function begin (kind: keyof typeof counts): Promise<void> {
    const rate = kind === 'reads' ? faults.readRate : faults.writeRate
    const now = clock()
    const queue = Math.max(0, busyUntil[kind] - now)
    if (queue > LONGEST_QUEUE_MS) throw new PlatformUnavailableError('platform overloaded', { execution: 'not_run' })
    busyUntil[kind] = now + queue + (rate > 0 ? 1000 / rate : 0)
    const wait = queue + faults.latency
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    if (faults.outage) throw new PlatformUnavailableError('platform outage', { execution: 'not_run' })
    counts[kind]++
  }

  function finishWrite (): void {
    if (faults.loseAnswers <= 0) return
    faults.loseAnswers--
    throw new OutcomeUnknownError('the answer to a write was lost', { execution: 'unknown' })
  }

  function rowAt (states: readonly RowState[] | undefined, time: number): RowState | undefined {
    return states?.findLast((state) => state.at <= time)
  }

  function readTime (consistency: 'strong' | 'replica' | undefined): number {
    return consistency === 'replica' && faults.replicaLag > 0 ? clock() - faults.replicaLag : Infinity
  }

  function toRow<Value> (key: string, state: RowState | undefined): TableRow<Value> | undefined {
    if (state?.text === undefined) return undefined
    return { key, value: JSON.parse(state.text) as Value, version: state.version }
  }

  function write (table: string, key: string, value: unknown, now: number): void {
    let rows = tables.get(table)
    if (rows === undefined) tables.set(table, rows = new Map())
    const kept = recentHistory(rows.get(key) ?? [], now)
    kept.push({ version, at: now, text: value === undefined ? undefined : JSON.stringify(value) })
    rows.set(key, kept)
  }

  function setInstances (instances: readonly ListedInstance[]): void {
    const now = clock()
    lists = recentHistory(lists, now)
    lists.push({ at: now, instances: structuredClone(instances) })
  }

  function currentInstances (): readonly ListedInstance[] {
    return lists.at(-1)?.instances ?? []
  }

  const client: PlatformClient = {
    async readRow<Value> (table: string, key: string, read: ReadOptions = {}) {
      await begin('reads')
      return toRow<Value>(key, rowAt(tables.get(table)?.get(key), readTime(read.consistency)))
    },
    async readTable<Value> (table: string, read: ReadTableOptions = {}) {
      await begin('reads')
      const { afterVersion = 0, prefix = '', consistency } = read
      const time = readTime(consistency)
      const rows: Array<TableRow<Value>> = []
      for (const [key, states] of tables.get(table) ?? []) {
        if (!key.startsWith(prefix)) continue
        const row = toRow<Value>(key, rowAt(states, time))
        if (row !== undefined && row.version > afterVersion) rows.push(row)
      }
      return rows.sort((left, right) => left.key < right.key ? -1 : 1)
    },
    async commit (transaction) {
      await begin('writes')
      for (const condition of transaction.conditions) {
        const state = tables.get(condition.table)?.get(condition.key)?.at(-1)
        const present = state?.text === undefined ? 0 : state.version
        if (present !== condition.version) {
          throw new TransactionConflictError(
            `row ${condition.table}/${condition.key} has version ${present}, expected ${condition.version}`)
        }
      }
      const committed = ++version
      const now = clock()
      for (const { table, key, value } of transaction.writes) write(table, key, value, now)
      for (const listener of listeners) listener(transaction, committed)
      finishWrite()
      return { version: committed }
    },
    async readObject (name) {
      await begin('reads')
      return objects.get(name)?.slice()
    },
    async writeObject (name, content) {
      await begin('writes')
      objects.set(name, content.slice())
      finishWrite()
    },
    async listInstances (): Promise<InstanceList> {
      await begin('reads')
      const now = clock()
      const list = lists.findLast((entry) => entry.at <= now - faults.listLag) ?? lists[0]
      return { instances: structuredClone(list?.instances ?? []), asOf: now - faults.listLag }
    },
    async close () {}
  }

  return {
    client,
    faults,
    counts,
    setInstances,
    putInstance (instance) {
      setInstances([...currentInstances().filter((entry) => entry.name !== instance.name), instance])
    },
    removeInstance (name) {
      setInstances(currentInstances().filter((entry) => entry.name !== name))
    },
    onCommit (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
