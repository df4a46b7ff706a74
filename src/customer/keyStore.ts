/** Grants and withdraws keys in the platform's table. Every change is safe to repeat after a lost answer. */
import { PlatformTable } from '../constants'
import { InternalError, NotFoundError, OutcomeUnknownError, RouterError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { KeyRecord, WallClockMilliseconds } from '../types'
import { generateKey, hashKey } from './keys'
import { toKeyRecord } from './keyTask'

/** Value of a row of the key table; the row's key is the hash. */
export interface KeyRow {
  customer: string
  state: KeyRecord['state']
  /** Identifies the command that wrote the row. */
  operation: string
  changedAt: WallClockMilliseconds
}

/** Attempts to write after unknown outcomes and conflicts, each preceded by a read. */
const MAXIMUM_ATTEMPTS = 4

export interface GrantedKey {
  /** Shown once; not stored anywhere. */
  key: string
  record: KeyRecord
}

/**
 * Grants a new key. Rejects with `OutcomeUnknownError` when the platform cannot be asked whether the row was written; the
 * key must then not be used; the message names its hash, which can be withdrawn.
 */
export async function grantKey (
  platform: PlatformClient, customer: string, randomBytes: Uint8Array, operation: string, now: WallClockMilliseconds
): Promise<GrantedKey> {
  const key = generateKey(randomBytes)
  const hash = hashKey(key)
  const row: KeyRow = { customer, state: 'granted', operation, changedAt: now }
  const record = await writeRow(platform, hash, row, undefined, (present) => {
    if (present === undefined) return 'write'
    if (present.value.operation === operation) return 'done'
    throw new InternalError('the random bytes of a new key repeat those of an existing one')
  })
  return { key, record }
}

/**
 * Withdraws the key with this hash. Repeating it is harmless. Rejects with `NotFoundError` for an unknown hash.
 * `OutcomeUnknownError` means that the key may or may not be withdrawn; repeat the command.
 */
export async function withdrawKey (
  platform: PlatformClient, hash: string, operation: string, now: WallClockMilliseconds
): Promise<KeyRecord> {
  const present = await platform.readRow<KeyRow>(PlatformTable.keys, hash)
  if (present === undefined) throw new NotFoundError(`no key has the hash ${hash}`)
  if (present.value.state === 'withdrawn') return toKeyRecord(present)
  const row: KeyRow = { customer: present.value.customer, state: 'withdrawn', operation, changedAt: now }
  return await writeRow(platform, hash, row, present, other => other?.value.state === 'withdrawn' ? 'done' : 'write')
}

/** Lists the keys of all customers or of one. */
export async function listKeys (platform: PlatformClient, customer?: string): Promise<readonly KeyRecord[]> {
  const rows = await platform.readTable<KeyRow>(PlatformTable.keys)
  return rows.filter(row => customer === undefined || row.value.customer === customer).map(toKeyRecord)
}

/** Writes under the condition that the row is as last read; reads it again after every failed or unknown attempt. */
async function writeRow (
  platform: PlatformClient, hash: string, row: KeyRow, first: TableRow<KeyRow> | undefined,
  decide: (present: TableRow<KeyRow> | undefined) => 'write' | 'done'
): Promise<KeyRecord> {
  let present = first
  let uncertain = false
  for (let attempt = 1; ; attempt++) {
    try {
      const { version } = await platform.commit({
        identifier: `${row.operation}/${attempt}`,
        conditions: [{ table: PlatformTable.keys, key: hash, version: present?.version ?? 0 }],
        writes: [{ table: PlatformTable.keys, key: hash, value: row }]
      })
      return { hash, customer: row.customer, state: row.state, version }
    } catch (error) {
      const conflict = error instanceof TransactionConflictError
      uncertain ||= error instanceof OutcomeUnknownError
      if (!conflict && !(error instanceof OutcomeUnknownError)) {
        throw uncertain ? unknownOutcome(row, hash, error) : error
      }
      if (attempt === MAXIMUM_ATTEMPTS) throw uncertain ? unknownOutcome(row, hash, error) : error
    }
    try {
      present = await platform.readRow<KeyRow>(PlatformTable.keys, hash)
    } catch (error) {
      throw uncertain && error instanceof RouterError ? unknownOutcome(row, hash, error) : error
    }
    if (decide(present) === 'done') return toKeyRecord(present!)
  }
}

function unknownOutcome (row: KeyRow, hash: string, cause: unknown): OutcomeUnknownError {
  return new OutcomeUnknownError(`cannot tell whether the key with hash ${hash} is ${row.state}`, { cause })
}
