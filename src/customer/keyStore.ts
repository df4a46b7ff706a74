/** Grants and withdraws keys in the platform's key table. Every change can safely be repeated after a lost response. */
import { PlatformTable } from '../constants'
import { InternalError, NotFoundError, OutcomeUnknownError, RouterError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { KeyRecord, WallClockMilliseconds } from '../types'
import { generateKey, hashKey } from './keys'
import { toKeyRecord } from './keyTask'

/** Value of a row in the key table. The row's key is the hash of the API key. */
export interface KeyRow {
  customer: string
  state: KeyRecord['state']
  /** Identifies the command that wrote the row. */
  operation: string
  changedAt: WallClockMilliseconds
}

/** Maximum number of write attempts. The row is read again before each retry after a conflict or an unknown outcome. */
const MAX_WRITE_ATTEMPTS = 4

export interface GrantedKey {
  /** The key itself. Shown once and not stored anywhere. */
  key: string
  record: KeyRecord
}

/**
 * Grants a new key.
 * @throws OutcomeUnknownError if it cannot be determined whether the row was written. The key must then not be used. The
 * error message contains its hash, with which it can be withdrawn.
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
 * Withdraws the key with this hash. The operation is idempotent.
 * @throws NotFoundError if the hash is unknown.
 * @throws OutcomeUnknownError if the key may or may not have been withdrawn. The command must be repeated.
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

/** Lists the keys of one customer, or of all customers if none is given. */
export async function listKeys (platform: PlatformClient, customer?: string): Promise<readonly KeyRecord[]> {
  const rows = await platform.readTable<KeyRow>(PlatformTable.keys)
  return rows.filter(row => customer === undefined || row.value.customer === customer).map(toKeyRecord)
}

/** Writes the row if it is unchanged since the last read. Reads it again after a conflict or an unknown outcome. */
async function writeRow (
  platform: PlatformClient, hash: string, row: KeyRow, initial: TableRow<KeyRow> | undefined,
  decide: (present: TableRow<KeyRow> | undefined) => 'write' | 'done'
): Promise<KeyRecord> {
  let present = initial
  let isOutcomeUncertain = false
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
      isOutcomeUncertain ||= error instanceof OutcomeUnknownError
      if (!conflict && !(error instanceof OutcomeUnknownError)) {
        throw isOutcomeUncertain ? createOutcomeUnknownError(row, hash, error) : error
      }
      if (attempt === MAX_WRITE_ATTEMPTS) throw isOutcomeUncertain ? createOutcomeUnknownError(row, hash, error) : error
    }
    try {
      present = await platform.readRow<KeyRow>(PlatformTable.keys, hash)
    } catch (error) {
      throw isOutcomeUncertain && error instanceof RouterError ? createOutcomeUnknownError(row, hash, error) : error
    }
    if (decide(present) === 'done') return toKeyRecord(present!)
  }
}

function createOutcomeUnknownError (row: KeyRow, hash: string, cause: unknown): OutcomeUnknownError {
  return new OutcomeUnknownError(`cannot tell whether the key with hash ${hash} is ${row.state}`, { cause })
}
