/** Interface to the platform's services. Adapters implement it; decisions depend only on these types. */
import type { ListedInstance, WallClockMilliseconds } from '../types'

/** A row of a platform table. Values are plain JSON data. */
export interface TableRow<Value = unknown> {
  key: string
  value: Value
  /** Number of the commit that wrote the row; grows over the whole service. */
  version: number
}

/** A condition of a transaction: the row's version must equal `version`; 0 means that the row is absent. */
export interface TransactionCondition {
  table: string
  key: string
  version: number
}

/** A write of a transaction. An undefined value deletes the row. */
export interface TransactionWrite {
  table: string
  key: string
  value: unknown
}

export interface Transaction {
  /** Chosen by the writer, unique for each attempt to change something; the service keeps no memory of it. */
  identifier: string
  conditions: readonly TransactionCondition[]
  writes: readonly TransactionWrite[]
}

export interface CommitResult {
  /** Version given to every row that the transaction wrote. */
  version: number
}

export interface ReadOptions {
  /** A replica may lag behind; `strong` reads the newest state. @default 'strong' */
  consistency?: 'strong' | 'replica'
}

export interface ReadTableOptions extends ReadOptions {
  /** Only rows whose version is higher. @default 0 */
  afterVersion?: number
  /** Only rows whose key starts with this text. @default '' */
  prefix?: string
}

export interface InstanceList {
  instances: readonly ListedInstance[]
  /** When the platform took the list. It may lag by seconds. */
  asOf: WallClockMilliseconds
}

/**
 * The platform's tables, objects and instance list.
 * Every method rejects with `PlatformUnavailableError` when nothing was changed and with `OutcomeUnknownError` when a
 * write may have taken effect.
 */
export interface PlatformClient {
  readRow: <Value>(table: string, key: string, options?: ReadOptions) => Promise<TableRow<Value> | undefined>
  readTable: <Value>(table: string, options?: ReadTableOptions) => Promise<ReadonlyArray<TableRow<Value>>>
  /** Rejects with `TransactionConflictError` when a condition does not hold; then nothing was written. */
  commit: (transaction: Transaction) => Promise<CommitResult>
  readObject: (name: string) => Promise<Uint8Array | undefined>
  writeObject: (name: string, content: Uint8Array) => Promise<void>
  listInstances: () => Promise<InstanceList>
  close: () => Promise<void>
}
