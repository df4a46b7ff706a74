/** In-memory tables and objects for unit tests, with lost responses and outages controlled by the test. */
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../../errors'
import type { ListedInstance } from '../../types'
import type { PlatformClient, TableRow } from '../types'

/** Fault of one call: none, or a failure before or after the call takes effect. */
export type Fault = 'none' | 'unavailable' | 'lostBefore' | 'lostAfter'

export interface FakePlatform extends PlatformClient {
  /** Faults of the next write calls, in order. */
  writeFaults: Fault[]
  readFaults: Fault[]
  objects: Map<string, Uint8Array>
  instances: ListedInstance[]
  rows: (table: string) => ReadonlyArray<TableRow<any>>
  /** Called once before the next commit takes effect, so that a test can simulate a concurrent writer. */
  beforeCommit: (() => void) | undefined
}

export function createFakePlatform (): FakePlatform {
  const tables = new Map<string, Map<string, TableRow>>()
  let version = 0
  const tableOf = (name: string) => tables.get(name) ?? tables.set(name, new Map()).get(name)!
  const copy = <Value>(value: Value): Value => value === undefined ? value : JSON.parse(JSON.stringify(value)) as Value

  async function applyFault<Value> (fault: Fault | undefined, action: () => Value): Promise<Value> {
    if (fault === 'unavailable') throw new PlatformUnavailableError('injected fault')
    if (fault === 'lostBefore') throw new OutcomeUnknownError('injected fault')
    const value = action()
    if (fault === 'lostAfter') throw new OutcomeUnknownError('injected fault')
    return value
  }
  const read = async <Value>(action: () => Value): Promise<Value> => {
    const fault = fake.readFaults.shift()
    return await applyFault(fault === undefined || fault === 'none' ? 'none' : 'unavailable', action)
  }

  const fake: FakePlatform = {
    writeFaults: [],
    readFaults: [],
    objects: new Map(),
    instances: [],
    beforeCommit: undefined,
    rows: table => [...tableOf(table).values()],
    readRow: async <Value>(table: string, key: string) => {
      return await read(() => copy(tableOf(table).get(key)) as TableRow<Value> | undefined)
    },
    readTable: async <Value>(table: string, options: { afterVersion?: number, prefix?: string } = {}) => {
      return await read(() => copy([...tableOf(table).values()].filter(row => {
        return row.version > (options.afterVersion ?? 0) && row.key.startsWith(options.prefix ?? '')
      })) as Array<TableRow<Value>>)
    },
    commit: async ({ conditions, writes }) => {
      const before = fake.beforeCommit
      fake.beforeCommit = undefined
      before?.()
      return await applyFault(fake.writeFaults.shift(), () => {
        for (const condition of conditions) {
          if ((tableOf(condition.table).get(condition.key)?.version ?? 0) !== condition.version) {
            throw new TransactionConflictError(`row ${condition.table}/${condition.key}`)
          }
        }
        version++
        for (const { table, key, value } of writes) {
          if (value === undefined) tableOf(table).delete(key)
          else tableOf(table).set(key, { key, value: copy(value), version })
        }
        return { version }
      })
    },
    readObject: async name => await read(() => fake.objects.get(name)),
    writeObject: async (name, content) => {
      await applyFault(fake.writeFaults.shift(), () => { fake.objects.set(name, content) })
    },
    listInstances: async () => await read(() => ({ instances: fake.instances, asOf: 0 })),
    close: async () => {}
  }
  return fake
}
