/** In-memory implementation of the platform with fault injection, used by the fake platform server and by tests. */
import {
  OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError
} from '../errors'
import type { ListedInstance } from '../types'
import type { InstanceList, PlatformClient, ReadOptions, ReadTableOptions, TableRow, Transaction } from './types'

/** Time in milliseconds for which superseded row versions and instance lists are retained for lagging reads. */
const HISTORY_MS = 60_000

/** Longest time in milliseconds for which a call is queued when the rate limit is reached. */
const MAXIMUM_QUEUE_MS = 2000

/** Injected faults. All are off by default. */
export interface PlatformFaults {
  /** Every call fails with `PlatformUnavailableError`. @default false */
  outage: boolean
  /** Number of next writes that take effect and then fail with `OutcomeUnknownError`. @default 0 */
  loseAnswers: number
  /** Lag of replica reads in milliseconds. @default 0 */
  replicaLag: number
  /** Lag of the instance list in milliseconds. @default 0 */
  listLag: number
  /** Latency of each call in milliseconds. @default 0 */
  latency: number
  /**
   * Maximum reads per second, or 0 for no limit. Further reads are queued, and rejected if they would wait for more
   * than 2 s.
   * @default 0
   */
  readRate: number
  /** Maximum writes per second, with the same queueing as `readRate`. @default 0 */
  writeRate: number
}

export interface MemoryPlatformOptions {
  /** Wall clock in milliseconds. @default Date.now */
  clock?: () => number
}

export interface MemoryPlatform {
  client: PlatformClient
  /** Injected faults; properties can be assigned at any time. */
  faults: PlatformFaults
  /** Replaces the list of live and leaving instances. Readers see the new list after `listLag`. */
  setInstances: (instances: readonly ListedInstance[]) => void
  /** Adds an instance to the list, or replaces the entry with the same name. */
  putInstance: (instance: ListedInstance) => void
  removeInstance: (name: string) => void
  /** Number of reads and writes that reached the platform. */
  counts: { reads: number, writes: number }
  /** Registers a listener that is called after each commit. Returns a function that removes it. */
  onCommit: (listener: (transaction: Transaction, version: number) => void) => () => void
}

interface RowState {
  version: number
  at: number
  /** JSON text of the value; undefined if the row was deleted. */
  text: string | undefined
}

/** Returns the states without those that can no longer be seen by a read with a lag of up to `HISTORY_MS`. */
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

  async function beginCall (kind: keyof typeof counts): Promise<void> {
    const rate = kind === 'reads' ? faults.readRate : faults.writeRate
    const now = clock()
    const queue = Math.max(0, busyUntil[kind] - now)
    if (queue > MAXIMUM_QUEUE_MS) throw new PlatformUnavailableError('platform overloaded', { execution: 'not_run' })
    busyUntil[kind] = now + queue + (rate > 0 ? 1000 / rate : 0)
    const wait = queue + faults.latency
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    if (faults.outage) throw new PlatformUnavailableError('platform outage', { execution: 'not_run' })
    counts[kind]++
  }

  function injectLostResponse (): void {
    if (faults.loseAnswers <= 0) return
    faults.loseAnswers--
    throw new OutcomeUnknownError('response to a write was lost', { execution: 'unknown' })
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

  function writeRow (table: string, key: string, value: unknown, now: number): void {
    let rows = tables.get(table)
    if (rows === undefined) tables.set(table, rows = new Map())
    const history = recentHistory(rows.get(key) ?? [], now)
    history.push({ version, at: now, text: value === undefined ? undefined : JSON.stringify(value) })
    rows.set(key, history)
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
    async readRow<Value> (table: string, key: string, readOptions: ReadOptions = {}) {
      await beginCall('reads')
      return toRow<Value>(key, rowAt(tables.get(table)?.get(key), readTime(readOptions.consistency)))
    },
    async readTable<Value> (table: string, readOptions: ReadTableOptions = {}) {
      await beginCall('reads')
      const { afterVersion = 0, prefix = '', consistency } = readOptions
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
      await beginCall('writes')
      for (const condition of transaction.conditions) {
        const state = tables.get(condition.table)?.get(condition.key)?.at(-1)
        const currentVersion = state?.text === undefined ? 0 : state.version
        if (currentVersion !== condition.version) {
          throw new TransactionConflictError(
            `row ${condition.table}/${condition.key} has version ${currentVersion}, expected ${condition.version}`)
        }
      }
      const committedVersion = ++version
      const now = clock()
      for (const { table, key, value } of transaction.writes) writeRow(table, key, value, now)
      for (const listener of listeners) listener(transaction, committedVersion)
      injectLostResponse()
      return { version: committedVersion }
    },
    async readObject (name) {
      await beginCall('reads')
      return objects.get(name)?.slice()
    },
    async writeObject (name, content) {
      await beginCall('writes')
      objects.set(name, content.slice())
      injectLostResponse()
    },
    async listInstances (): Promise<InstanceList> {
      await beginCall('reads')
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
