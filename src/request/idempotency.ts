/**
 * Fleet-wide at-most-once execution by idempotency key. Before a request is executed, a row is inserted into the
 * platform's table; only the instance that inserted the row may execute the request.
 */
import { createHash } from 'node:crypto'
import { PlatformTable } from '../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { Incarnation, WallClockMilliseconds } from '../types'

/** Maximum size of a response stored in the row; larger ones are stored in the object store. */
const INLINE_RESPONSE_BYTES = 16_384

/** Length in bytes that is assumed for an object whose row does not tell it; answers of services are at most as long. */
const UNKNOWN_OBJECT_BYTES = 16_777_216

/** Number of times that an object is held while it is read. */
const OBJECT_COPIES = 2

/** Maximum number of inserts for one reservation when platform responses are lost or released rows are replaced. */
const RESERVATION_ATTEMPTS = 3

/**
 * Time in milliseconds for which a stored response is returned for a repeated key; after that, a request with this key
 * may be executed again. Without a limit the table would grow by one row for each request with a key.
 */
export const RETENTION_MS = 24 * 3600 * 1000

/** Maximum number of rows deleted in one sweep, which keeps a sweep within a small part of the store's write rate. */
const SWEEP_LIMIT = 100

/** Maximum number of pending writes; the oldest are discarded first. */
const MAXIMUM_PENDING_WRITES = 1000

export interface StoredResponse {
  status: number
  contentType: string
  body: Uint8Array
}

/** Row of the idempotency table. */
export interface ReservationRecord {
  state: 'reserved' | 'done' | 'released'
  /** Unique for each reservation, so that reading the row reveals the outcome of an insert whose response was lost. */
  operation: string
  instance: string
  incarnation: Incarnation
  fingerprint: string
  reservedAt: WallClockMilliseconds
  answer?: {
    status: number
    contentType: string
    body?: string
    object?: string
    /** Length of the object in bytes. */
    objectBytes?: number
  }
}

/** Permission to execute a request; must be passed to `complete` or `release`. */
export interface Reservation {
  key: string
  record: ReservationRecord
  version: number
}

export type ReservationOutcome =
  /** The caller of `reserve` must execute the request. */
  | { kind: 'run', reservation: Reservation }
  /** The request was executed before, with this response. */
  | { kind: 'stored', response: StoredResponse }
  /** Another request with this key is being executed, or its outcome was lost. */
  | { kind: 'inDoubt' }
  /** The key was used before for a request with different content. */
  | { kind: 'mismatch' }
  /** The platform is unavailable; the request was not executed. */
  | { kind: 'unavailable' }

export interface IdempotencyGuardOptions {
  platform: PlatformClient
  instance: string
  incarnation: Incarnation
  /** Returns an identifier that is unique in the fleet. */
  createIdentifier: () => string
}

export interface IdempotencyGuard {
  /** @param reserveMemory called before a long response is read; it is read once it resolves */
  reserve: (
    customer: string, idempotencyKey: string, fingerprint: string, wallClock: WallClockMilliseconds,
    reserveMemory?: (bytes: number) => Promise<void>
  ) => Promise<ReservationOutcome>
  /** Stores the response. When the platform is unavailable, `tick` retries the write. */
  complete: (reservation: Reservation, answer: StoredResponse) => Promise<void>
  /** Releases the key when it is certain that the request never reached an upstream. */
  release: (reservation: Reservation) => Promise<void>
  /** Retries pending writes. Should be called about once per second. */
  tick: () => Promise<void>
  /**
   * Deletes rows of a customer, or of another owner, that are older than `RETENTION_MS`. Returns the number of deleted
   * rows. Does nothing while the platform is unavailable.
   */
  sweep: (customer: string, wallClock: WallClockMilliseconds) => Promise<number>
  pendingWrites: () => number
}

const SHA256_DIGITS = 64

/** Returns the owner of a call's idempotency key: its customer, or the route when the route needs no customer. */
export function reservationOwner (customer: string | undefined, route: string): string {
  return customer ?? `route ${route}`
}

/** Returns the table key of a reservation. The idempotency key is hashed, since it may contain personal data. */
export function reservationKey (customer: string, idempotencyKey: string): string {
  return `${encodeURIComponent(customer)}/${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

export function createIdempotencyGuard (options: IdempotencyGuardOptions): IdempotencyGuard {
  const { platform } = options
  /** Writes to retry, by operation. The state `released` means that the request was never executed. */
  const pendingWrites = new Map<string, { key: string, record: ReservationRecord }>()

  async function insert (key: string, record: ReservationRecord, expectedVersion: number): Promise<number> {
    const { version } = await platform.commit({
      identifier: record.operation,
      conditions: [{ table: PlatformTable.idempotency, key, version: expectedVersion }],
      writes: [{ table: PlatformTable.idempotency, key, value: record }]
    })
    return version
  }

  async function reserveRow (
    key: string, record: ReservationRecord, reserveMemory: (bytes: number) => Promise<void>
  ): Promise<ReservationOutcome> {
    let mayHaveWritten = false
    let expectedVersion = 0
    for (let attempt = 0; attempt < RESERVATION_ATTEMPTS; attempt += 1) {
      try {
        const version = await insert(key, record, expectedVersion)
        return { kind: 'run', reservation: { key, record, version } }
      } catch (error) {
        if (error instanceof OutcomeUnknownError) {
          mayHaveWritten = true
          continue
        }
        if (error instanceof PlatformUnavailableError) break
        if (!(error instanceof TransactionConflictError)) throw error
        const row = await readExisting(key)
        if (row === undefined) break
        if (row.value.operation === record.operation) {
          return { kind: 'run', reservation: { key, record, version: row.version } }
        }
        if (row.value.state !== 'released') return await existingOutcome(row, record.fingerprint, reserveMemory)
        expectedVersion = row.version
      }
    }
    // The insert may be applied later although the request is not executed, so the row is released as soon as the
    // platform responds.
    if (mayHaveWritten) addPendingWrite(key, { ...record, state: 'released' })
    return { kind: 'unavailable' }
  }

  async function readExisting (key: string): Promise<TableRow<ReservationRecord> | undefined> {
    try {
      return await platform.readRow<ReservationRecord>(PlatformTable.idempotency, key)
    } catch (error) {
      if (error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError) return undefined
      throw error
    }
  }

  async function existingOutcome (
    row: TableRow<ReservationRecord>, fingerprint: string, reserveMemory: (bytes: number) => Promise<void>
  ): Promise<ReservationOutcome> {
    const { value } = row
    if (value.fingerprint !== fingerprint) return { kind: 'mismatch' }
    if (value.state !== 'done' || value.answer === undefined) return { kind: 'inDoubt' }
    const { status, contentType, body, object, objectBytes = UNKNOWN_OBJECT_BYTES } = value.answer
    if (body !== undefined) return { kind: 'stored', response: { status, contentType, body: Buffer.from(body, 'base64') } }
    if (object === undefined) return { kind: 'inDoubt' }
    await reserveMemory(objectBytes * OBJECT_COPIES)
    const content = await platform.readObject(object).catch(() => undefined)
    return content === undefined ? { kind: 'inDoubt' } : { kind: 'stored', response: { status, contentType, body: content } }
  }

  function addPendingWrite (key: string, record: ReservationRecord): void {
    pendingWrites.delete(record.operation)
    pendingWrites.set(record.operation, { key, record })
    const oldest = pendingWrites.keys().next().value
    if (pendingWrites.size > MAXIMUM_PENDING_WRITES && oldest !== undefined) pendingWrites.delete(oldest)
  }

  /** Replaces the reservation of the same operation by its final record. Returns whether the write is finished. */
  async function finish (key: string, record: ReservationRecord): Promise<boolean> {
    try {
      const row = await platform.readRow<ReservationRecord>(PlatformTable.idempotency, key)
      if (row === undefined && record.state !== 'released') return false
      if (row === undefined) {
        // A slow store may still apply the lost insert. Writing the row now makes the condition of that insert fail.
        await insert(key, record, 0)
        return true
      }
      if (row.value.operation !== record.operation || row.value.state !== 'reserved') return true
      await insert(key, record, row.version)
      return true
    } catch {
      // The write stays pending after any failure; the next tick reads the row before it writes again.
      return false
    }
  }

  async function finishOrRetryLater (key: string, record: ReservationRecord): Promise<void> {
    addPendingWrite(key, record)
    if (await finish(key, record)) pendingWrites.delete(record.operation)
  }

  /** Deletes a row. Returns false when the row has been changed in the meantime. */
  async function deleteRow (row: TableRow<ReservationRecord>): Promise<boolean> {
    const { key, version, value: { operation } } = row
    try {
      await platform.commit({
        identifier: `sweep/${operation}`,
        conditions: [{ table: PlatformTable.idempotency, key, version }],
        writes: [{ table: PlatformTable.idempotency, key, value: undefined }]
      })
      return true
    } catch (error) {
      if (error instanceof TransactionConflictError) return false
      throw error
    }
  }

  return {
    async reserve (customer, idempotencyKey, fingerprint, wallClock, reserveMemory = async () => {}) {
      return await reserveRow(reservationKey(customer, idempotencyKey), {
        state: 'reserved',
        operation: options.createIdentifier(),
        instance: options.instance,
        incarnation: options.incarnation,
        fingerprint,
        reservedAt: wallClock
      }, reserveMemory)
    },
    async complete ({ key, record }, { status, contentType, body }) {
      const content = Buffer.from(body)
      const answer: ReservationRecord['answer'] = { status, contentType }
      if (content.length <= INLINE_RESPONSE_BYTES) answer.body = content.toString('base64')
      else {
        answer.object = `${PlatformTable.idempotency}/${record.operation}`
        answer.objectBytes = content.length
        // Without the object, a repeated request gets the outcome `inDoubt` and is not executed again.
        await platform.writeObject(answer.object, content).catch(() => undefined)
      }
      await finishOrRetryLater(key, { ...record, state: 'done', answer })
    },
    async release ({ key, record }) {
      await finishOrRetryLater(key, { ...record, state: 'released' })
    },
    async tick () {
      for (const [operation, { key, record }] of [...pendingWrites]) {
        if (await finish(key, record)) pendingWrites.delete(operation)
        else return
      }
    },
    async sweep (customer, wallClock) {
      let deleted = 0
      try {
        const rows = await platform.readTable<ReservationRecord>(PlatformTable.idempotency, {
          prefix: reservationKey(customer, '').slice(0, -SHA256_DIGITS)
        })
        const old = rows.filter(({ value }) => wallClock - value.reservedAt > RETENTION_MS)
        for (const row of old.slice(0, SWEEP_LIMIT)) if (await deleteRow(row)) deleted += 1
      } catch (error) {
        // The next sweep deletes the remaining rows.
        if (!(error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError)) throw error
      }
      return deleted
    },
    pendingWrites: () => pendingWrites.size
  }
}
