/** The key set of one instance: which keys work, and for which customer. Only hashes of keys are kept. */
import { createHash } from 'node:crypto'
import { AuthenticationError, NotReadyError } from '../errors'
import { ExecutionStatus, type KeyRecord, type MonotonicMilliseconds } from '../types'

/** Marks a text as a key of this router, so that people and secret scanners recognise it. */
const KEY_PREFIX = 'wws_'

/** Random bytes of a key; 32 bytes cannot be guessed. */
export const KEY_BYTES = 32

/** Longest text that is looked up as a key; longer ones are refused before hashing. */
const MAXIMUM_KEY_LENGTH = 512

/** Builds a key from `KEY_BYTES` random bytes. The key is shown once and never stored. */
export function generateKey (randomBytes: Uint8Array): string {
  if (randomBytes.length < KEY_BYTES) throw new RangeError(`a key needs ${KEY_BYTES} random bytes`)
  return KEY_PREFIX + Buffer.from(randomBytes).toString('base64url')
}

/** SHA-256 in lower-case hexadecimal. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

export interface KeySetOptions {
  /** Age of the knowledge in milliseconds above which requests are refused; 0 never refuses. @default 0 */
  maximumAge?: number
}

export type WithdrawalListener = (record: KeyRecord) => void

export interface KeySet {
  /** Takes in records from any source. Returns those that changed something, for forwarding to peers. */
  apply: (records: readonly KeyRecord[]) => readonly KeyRecord[]
  /** Rejects with `AuthenticationError`, or with `NotReadyError` when the knowledge is too old. */
  authenticate: (key: string | undefined, now: MonotonicMilliseconds) => { customer: string, hash: string }
  /** True while the key with this hash works; running streams check it. */
  isGranted: (hash: string) => boolean
  /** Notes that the set agreed with the platform at this time, directly or through a peer. */
  confirm: (now: MonotonicMilliseconds) => void
  /** Milliseconds since the last confirmation; undefined when there was none. */
  age: (now: MonotonicMilliseconds) => number | undefined
  /** Highest version known; 0 when there is none. */
  version: () => number
  records: () => readonly KeyRecord[]
  /** Calls the listener once for each hash that is withdrawn. Returns a function that ends this. */
  onWithdrawn: (listener: WithdrawalListener) => () => void
}

export function createKeySet (options: KeySetOptions = {}): KeySet {
  const { maximumAge = 0 } = options
  const records = new Map<string, KeyRecord>()
  const listeners = new Set<WithdrawalListener>()
  let version = 0
  let confirmedAt: MonotonicMilliseconds | undefined

  function refuse (): never {
    throw new AuthenticationError('the key is missing, unknown or withdrawn', { execution: ExecutionStatus.notRun })
  }

  return {
    apply (changes) {
      const applied: KeyRecord[] = []
      for (const change of changes) {
        version = Math.max(version, change.version)
        const present = records.get(change.hash)
        const merged = mergeKeyRecords(present, change)
        if (merged === present) continue
        records.set(change.hash, merged)
        applied.push(merged)
        if (merged.state === 'withdrawn' && present?.state !== 'withdrawn') {
          for (const listener of [...listeners]) listener(merged)
        }
      }
      return applied
    },
    authenticate (key, now) {
      if (maximumAge > 0 && (confirmedAt === undefined || now - confirmedAt > maximumAge)) {
        throw new NotReadyError('the knowledge of keys is too old', { execution: ExecutionStatus.notRun, retryAfterSeconds: 1 })
      }
      if (key === undefined || key === '' || key.length > MAXIMUM_KEY_LENGTH) refuse()
      const hash = hashKey(key)
      const record = records.get(hash)
      if (record === undefined || record.state !== 'granted') refuse()
      return { customer: record.customer, hash }
    },
    isGranted: hash => records.get(hash)?.state === 'granted',
    confirm (now) {
      confirmedAt = Math.max(confirmedAt ?? now, now)
    },
    age: now => confirmedAt === undefined ? undefined : now - confirmedAt,
    version: () => version,
    records: () => [...records.values()],
    onWithdrawn (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}

/**
 * Joins two records of one hash; the result does not depend on their order. A withdrawal wins over any grant, whatever
 * the versions, because a hash is never granted again. Otherwise the higher version wins.
 */
export function mergeKeyRecords (present: KeyRecord | undefined, change: KeyRecord): KeyRecord {
  if (present === undefined) return change
  if (present.state !== change.state) return present.state === 'withdrawn' ? present : change
  return change.version > present.version ? change : present
}
