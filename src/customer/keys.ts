/** The key set of one instance: the valid keys and their customers. Only hashes of keys are stored. */
import { createHash } from 'node:crypto'
import { AuthenticationError, NotReadyError } from '../errors'
import { ExecutionStatus, type KeyRecord, type MonotonicMilliseconds } from '../types'

/** Prefix of every key of this router, so that users and secret scanners recognise it. */
const KEY_PREFIX = 'wws_'

/** Number of random bytes in a key. 32 bytes cannot be guessed. */
export const KEY_BYTES = 32

/** Maximum length of a key. Longer texts are rejected before hashing. */
const MAX_KEY_LENGTH = 512

/** Generates a key from `KEY_BYTES` random bytes. The key is shown once and never stored. */
export function generateKey (randomBytes: Uint8Array): string {
  if (randomBytes.length < KEY_BYTES) throw new RangeError(`a key needs ${KEY_BYTES} random bytes`)
  return KEY_PREFIX + Buffer.from(randomBytes).toString('base64url')
}

/** Returns the SHA-256 hash of a key in lower-case hexadecimal. */
export function hashKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

export interface KeySetOptions {
  /** Maximum age of the key set in milliseconds, above which requests are rejected. 0 disables the check. @default 0 */
  maximumAge?: number
}

export type WithdrawalListener = (record: KeyRecord) => void

export interface KeySet {
  /** Merges records from any source. Returns the records that changed the set, for forwarding to peers. */
  apply: (records: readonly KeyRecord[]) => readonly KeyRecord[]
  /**
   * Returns the customer and the hash of a valid key.
   * @throws AuthenticationError if the key is missing, unknown or withdrawn.
   * @throws NotReadyError if the key set is older than `maximumAge`.
   */
  authenticate: (key: string | undefined, now: MonotonicMilliseconds) => { customer: string, hash: string }
  /** Checks whether the key with this hash is valid. Used for running streams. */
  isGranted: (hash: string) => boolean
  /** Records that the set matched the platform's table at this time, as confirmed by the platform or by a peer. */
  confirm: (now: MonotonicMilliseconds) => void
  /** Returns the time since the last confirmation in milliseconds, or undefined if there was none. */
  age: (now: MonotonicMilliseconds) => number | undefined
  /** Returns the highest known version, or 0 if there is none. */
  version: () => number
  records: () => readonly KeyRecord[]
  /** Calls the listener once for each withdrawn hash. Returns a function that removes the listener. */
  onWithdrawn: (listener: WithdrawalListener) => () => void
}

export function createKeySet (options: KeySetOptions = {}): KeySet {
  const { maximumAge = 0 } = options
  const records = new Map<string, KeyRecord>()
  const listeners = new Set<WithdrawalListener>()
  let version = 0
  let confirmedAt: MonotonicMilliseconds | undefined

  function rejectKey (): never {
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
      if (key === undefined || key === '' || key.length > MAX_KEY_LENGTH) rejectKey()
      const hash = hashKey(key)
      const record = records.get(hash)
      if (record === undefined || record.state !== 'granted') rejectKey()
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
 * Merges two records of the same hash. The result does not depend on their order. A withdrawal takes precedence over any
 * grant, regardless of the versions, because a hash is never granted again. Otherwise the higher version wins.
 */
export function mergeKeyRecords (present: KeyRecord | undefined, change: KeyRecord): KeyRecord {
  if (present === undefined) return change
  if (present.state !== change.state) return present.state === 'withdrawn' ? present : change
  return change.version > present.version ? change : present
}
