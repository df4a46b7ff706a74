/** Encodes and decodes the rows and eras that relays pass on. */
import { PlatformUnavailableError } from '../../errors'
import type { PeerValue } from '../peerLinks'
import type { StoreReadResult, StoreRow } from '../types'
import { parseEra } from './storeEra'

/** Key, content and version of a row; an array without field names, since a relay sends thousands per second. */
type EncodedRow = readonly [key: string, content: Uint8Array | null, version: number | null]

/** @param newest version of the result; null stands for it in the encoded rows */
export function encodeRows (rows: readonly StoreRow[], newest: number): EncodedRow[] {
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

/**
 * The era is undefined if the relay is of a release without eras.
 * @throws PlatformUnavailableError if the response is not a valid result
 */
export function decodeReadResult (response: PeerValue): StoreReadResult {
  const { version, age, unseenFor, afterOutage } = response
  const era = parseEra(response.era)
  const rows = typeof version === 'number' ? decodeRows(response.rows, version) : undefined
  if (rows === undefined || typeof version !== 'number' || typeof age !== 'number') {
    throw new PlatformUnavailableError('malformed response from a relay')
  }
  return {
    rows,
    version,
    storeTime: 0,
    ...(era === undefined ? {} : { era }),
    relayed: {
      age,
      changedWithin: typeof unseenFor === 'number' ? unseenFor : undefined,
      afterOutage: afterOutage === true
    }
  }
}
