/** Interface to the platform's services. Adapters implement it; decision logic depends only on these types. */
import type { ListedInstance, WallClockMilliseconds } from '../types'

/** A row of a platform table. Values are plain JSON data. */
export interface TableRow<Value = unknown> {
  key: string
  value: Value
  /** Number of the commit that wrote the row; increases across all tables. */
  version: number
}

/** A condition of a transaction: the row's version must equal `version`; 0 means that the row is absent. */
export interface TransactionCondition {
  table: string
  key: string
  version: number
}

/** A write of a transaction. An undefined `value` deletes the row. */
export interface TransactionWrite {
  table: string
  key: string
  value: unknown
}

export interface Transaction {
  /** Chosen by the writer, unique for each attempt of a change. The service does not store it. */
  identifier: string
  conditions: readonly TransactionCondition[]
  writes: readonly TransactionWrite[]
}

export interface CommitResult {
  /** Version assigned to every row written by the transaction. */
  version: number
}

export interface ReadOptions {
  /** `strong` reads the newest state; `replica` may lag behind. @default 'strong' */
  consistency?: 'strong' | 'replica'
}

export interface ReadTableOptions extends ReadOptions {
  /** Returns only rows with a higher version. @default 0 */
  afterVersion?: number
  /** Returns only rows whose key starts with this prefix. @default '' */
  prefix?: string
}

export interface InstanceList {
  instances: readonly ListedInstance[]
  /** Time at which the platform created the list, which may lag by seconds. */
  asOf: WallClockMilliseconds
}

/**
 * Client for the platform's tables, objects and instance list.
 * If a call fails, its promise rejects with `PlatformUnavailableError` if nothing was changed, and with
 * `OutcomeUnknownError` if a write may have taken effect.
 */
export interface PlatformClient {
  readRow: <Value>(table: string, key: string, options?: ReadOptions) => Promise<TableRow<Value> | undefined>
  readTable: <Value>(table: string, options?: ReadTableOptions) => Promise<ReadonlyArray<TableRow<Value>>>
  /** Rejects with `TransactionConflictError`, without writing anything, if a condition does not hold. */
  commit: (transaction: Transaction) => Promise<CommitResult>
  readObject: (name: string) => Promise<Uint8Array | undefined>
  writeObject: (name: string, content: Uint8Array) => Promise<void>
  listInstances: () => Promise<InstanceList>
  close: () => Promise<void>
}
