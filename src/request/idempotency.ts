/**
 * Fleet-wide at-most-once execution by idempotency key. A row in the platform's table is inserted before the request
 * runs; whoever inserted it is the only one that may run it.
 */
import { createHash } from 'node:crypto'
import { PlatformTable } from '../constants'
import { OutcomeUnknownError, PlatformUnavailableError, TransactionConflictError } from '../errors'
import type { PlatformClient, TableRow } from '../platform/types'
import type { Incarnation, WallClockMilliseconds } from '../types'

/** Answers up to this size are kept in the row; larger ones go to the object store. */
const INLINE_ANSWER_BYTES = 16_384

/** Inserts tried when the platform's answer is lost. */
const RESERVATION_TRIES = 3

/**
 * Milliseconds for which a reservation answers repeats; afterwards the same key runs anew. Without an end the table would
 * grow by a row for each request with a key.
 */
export const RETENTION_MS = 24 * 3600 * 1000

/** Rows deleted in one sweep, so that a sweep stays a small part of the store's write budget. */
const SWEEP_LIMIT = 100

/** Unfinished writes kept for repetition; the oldest are given up first. */
const MAXIMUM_PENDING_WRITES = 1000

export interface StoredAnswer {
  status: number
  contentType: string
  body: Uint8Array
}

/** Row of the idempotency table. */
export interface ReservationRecord {
  state: 'reserved' | 'done' | 'released'
  /** Unique for each reservation attempt, so that a lost answer can be resolved by reading. */
  operation: string
  instance: string
  incarnation: Incarnation
  fingerprint: string
  reservedAt: WallClockMilliseconds
  answer?: { status: number, contentType: string, body?: string, object?: string }
}

/** Permission to run a request; pass it to `complete` or `release`. */
export interface Reservation {
  key: string
  record: ReservationRecord
  version: number
}

export type ReservationOutcome =
  /** This caller runs the request. */
  | { kind: 'run', reservation: Reservation }
  /** It ran before; this is its answer. */
  | { kind: 'stored', answer: StoredAnswer }
  /** Another attempt with this key is running, or its outcome was lost. */
  | { kind: 'inDoubt' }
  /** The key was used before for a request with other content. */
  | { kind: 'mismatch' }
  /** The platform cannot be asked; nothing ran. */
  | { kind: 'unavailable' }

export interface IdempotencyGuardOptions {
  platform: PlatformClient
  instance: string
  incarnation: Incarnation
  /** Makes an identifier that is unique over the fleet. */
  createIdentifier: () => string
}

export interface IdempotencyGuard {
  reserve: (
    customer: string, idempotencyKey: string, fingerprint: string, wallClock: WallClockMilliseconds
  ) => Promise<ReservationOutcome>
  /** Stores the answer. When the platform is away, `tick` repeats the write. */
  complete: (reservation: Reservation, answer: StoredAnswer) => Promise<void>
  /** Gives the key back after an attempt that certainly never reached an upstream. */
  release: (reservation: Reservation) => Promise<void>
  /** Repeats unfinished writes; call it every second or so. */
  tick: () => Promise<void>
  /** Deletes rows of a customer, or of another owner, that are older than `RETENTION_MS`; returns how many. Does nothing while the platform is away. */
  sweep: (customer: string, wallClock: WallClockMilliseconds) => Promise<number>
  pendingWrites: () => number
}

const SHA256_DIGITS = 64

/** Whose idempotency keys a call belongs to: its customer's, or on a route open to all the route's. */
export function reservationOwner (customer: string | undefined, route: string): string {
  return customer ?? `route ${route}`
}

/** Table key of a reservation. The caller's idempotency key is hashed, since it may hold personal data. */
export function reservationKey (customer: string, idempotencyKey: string): string {
  return `${encodeURIComponent(customer)}/${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

export function createIdempotencyGuard (options: IdempotencyGuardOptions): IdempotencyGuard {
  const { platform } = options
  /** Writes to repeat, by operation. A value of `released` means that the request never ran. */
  const pending = new Map<string, { key: string, record: ReservationRecord }>()

  async function insert (key: string, record: ReservationRecord, expectedVersion: number): Promise<number> {
    const { version } = await platform.commit({
      identifier: record.operation,
      conditions: [{ table: PlatformTable.idempotency, key, version: expectedVersion }],
      writes: [{ table: PlatformTable.idempotency, key, value: record }]
    })
    return version
  }

  async function reserveRow (key: string, record: ReservationRecord): Promise<ReservationOutcome> {
    let mayHaveWritten = false
    let expectedVersion = 0
    for (let attempt = 0; attempt < RESERVATION_TRIES; attempt += 1) {
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
        if (row.value.state !== 'released') return await outcomeOf(row, record.fingerprint)
        expectedVersion = row.version
      }
    }
    // The row may appear later although nothing will run, so it is released as soon as the platform answers.
    if (mayHaveWritten) keepPending(key, { ...record, state: 'released' })
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

  async function outcomeOf (row: TableRow<ReservationRecord>, fingerprint: string): Promise<ReservationOutcome> {
    const { value } = row
    if (value.fingerprint !== fingerprint) return { kind: 'mismatch' }
    if (value.state !== 'done' || value.answer === undefined) return { kind: 'inDoubt' }
    const { status, contentType, body, object } = value.answer
    if (body !== undefined) return { kind: 'stored', answer: { status, contentType, body: Buffer.from(body, 'base64') } }
    const content = object === undefined ? undefined : await platform.readObject(object).catch(() => undefined)
    return content === undefined ? { kind: 'inDoubt' } : { kind: 'stored', answer: { status, contentType, body: content } }
  }

  function keepPending (key: string, record: ReservationRecord): void {
    pending.delete(record.operation)
    pending.set(record.operation, { key, record })
    const oldest = pending.keys().next().value
    if (pending.size > MAXIMUM_PENDING_WRITES && oldest !== undefined) pending.delete(oldest)
  }

  /** Writes the final record over the reservation with the same operation. True when nothing remains to be done. */
  async function finish (key: string, record: ReservationRecord): Promise<boolean> {
    try {
      const row = await platform.readRow<ReservationRecord>(PlatformTable.idempotency, key)
      if (row === undefined && record.state !== 'released') return false
      if (row === undefined) {
        // A slow store may still apply the lost insert. Writing the row now makes that insert fail its condition.
        await insert(key, record, 0)
        return true
      }
      if (row.value.operation !== record.operation || row.value.state !== 'reserved') return true
      await insert(key, record, row.version)
      return true
    } catch {
      // Every failure leaves the write pending; the next tick reads before it writes again.
      return false
    }
  }

  async function finishOrKeep (key: string, record: ReservationRecord): Promise<void> {
    keepPending(key, record)
    if (await finish(key, record)) pending.delete(record.operation)
  }

  /** True when the row is deleted, false when another writer was first. */
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
    async reserve (customer, idempotencyKey, fingerprint, wallClock) {
      return await reserveRow(reservationKey(customer, idempotencyKey), {
        state: 'reserved',
        operation: options.createIdentifier(),
        instance: options.instance,
        incarnation: options.incarnation,
        fingerprint,
        reservedAt: wallClock
      })
    },
    async complete ({ key, record }, { status, contentType, body }) {
      const content = Buffer.from(body)
      const answer: ReservationRecord['answer'] = { status, contentType }
      if (content.length <= INLINE_ANSWER_BYTES) answer.body = content.toString('base64')
      else {
        answer.object = `${PlatformTable.idempotency}/${record.operation}`
        // Without the object, a repeat is told that the outcome is in doubt; it never runs again.
        await platform.writeObject(answer.object, content).catch(() => undefined)
      }
      await finishOrKeep(key, { ...record, state: 'done', answer })
    },
    async release ({ key, record }) {
      await finishOrKeep(key, { ...record, state: 'released' })
    },
    async tick () {
      for (const [operation, { key, record }] of [...pending]) {
        if (await finish(key, record)) pending.delete(operation)
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
        // The next sweep finds what is left.
        if (!(error instanceof PlatformUnavailableError || error instanceof OutcomeUnknownError)) throw error
      }
      return deleted
    },
    pendingWrites: () => pending.size
  }
}
