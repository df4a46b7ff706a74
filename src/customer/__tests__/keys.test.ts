import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AuthenticationError, NotFoundError, NotReadyError, OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { createFakePlatform, type Fault } from '../../platform/__tests__/fakePlatform'
import type { KeyRecord } from '../../types'
import { grantKey, listKeys, withdrawKey } from '../keyStore'
import { createKeySet, generateKey, hashKey } from '../keys'
import { createKeyTask } from '../keyTask'

const bytes = (fill: number) => new Uint8Array(32).fill(fill)
const recordArbitrary = fc.record<KeyRecord>({
  hash: fc.constantFrom('h1', 'h2'),
  customer: fc.constant('bakery'),
  state: fc.constantFrom('granted', 'withdrawn'),
  version: fc.nat(20)
})

describe('key set', () => {
  it('converges to the same state in any order of records and never accepts a withdrawn hash again', () => {
    fc.assert(fc.property(fc.array(recordArbitrary), fc.array(fc.nat()), (records, order) => {
      const shuffled = records.map(
        (record, index) => ({ record, rank: order[index] ?? index })
      ).sort((a, b) => a.rank - b.rank)
      const [left, right] = [createKeySet(), createKeySet()]
      left.apply(records)
      for (const { record } of shuffled) right.apply([record])
      for (const hash of ['h1', 'h2']) {
        const withdrawn = records.some(record => record.hash === hash && record.state === 'withdrawn')
        expect(left.isGranted(hash)).toBe(!withdrawn && records.some(record => record.hash === hash))
        expect(right.isGranted(hash)).toBe(left.isGranted(hash))
      }
      expect(right.version()).toBe(left.version())
    }))
  })

  it('notifies listeners once per withdrawal, so that running streams end', () => {
    const keys = createKeySet()
    const withdrawn: string[] = []
    keys.onWithdrawn(record => withdrawn.push(record.hash))
    const grant: KeyRecord = { hash: 'h', customer: 'c', state: 'granted', version: 1 }
    keys.apply([grant, { ...grant, state: 'withdrawn', version: 2 }, { ...grant, state: 'withdrawn', version: 3 }, { ...grant, version: 4 }])
    expect(withdrawn).toEqual(['h'])
  })

  it.each([undefined, '', 'unknown', 'x'.repeat(10_000)])('rejects key %j', (key) => {
    expect(() => createKeySet().authenticate(key, 0)).toThrow(AuthenticationError)
  })

  it('rejects all keys when the key set exceeds its maximum age', () => {
    const keys = createKeySet({ maximumAge: 1000 })
    const key = generateKey(bytes(1))
    keys.apply([{ hash: hashKey(key), customer: 'bakery', state: 'granted', version: 1 }])
    expect(() => keys.authenticate(key, 0)).toThrow(NotReadyError)
    keys.confirm(500)
    expect(keys.authenticate(key, 1500)).toEqual({ customer: 'bakery', hash: hashKey(key) })
    expect(() => keys.authenticate(key, 1501)).toThrow(NotReadyError)
  })
})

describe('key store and task', () => {
  it('grants, lists and withdraws keys, and the polling task applies the changes', async () => {
    const platform = createFakePlatform()
    const keys = createKeySet()
    const forwarded: KeyRecord[] = []
    const task = createKeyTask({ platform, keys, onChanged: records => forwarded.push(...records) })
    const { key, record } = await grantKey(platform, 'bakery', bytes(1), 'op1', 0)
    expect(JSON.stringify(platform.rows('keys'))).not.toContain(key)
    // A notification with a later version must not cause the poll to skip the earlier row.
    keys.apply([{ hash: 'other', customer: 'mill', state: 'granted', version: 99 }])
    await task.tick(0)
    expect(keys.authenticate(key, 0)).toEqual({ customer: 'bakery', hash: record.hash })
    await withdrawKey(platform, record.hash, 'op2', 0)
    await task.tick(1)
    expect(() => keys.authenticate(key, 1)).toThrow(AuthenticationError)
    expect(forwarded.map(change => change.state)).toEqual(['granted', 'withdrawn'])
    expect(await listKeys(platform, 'bakery')).toMatchObject([{ hash: record.hash, state: 'withdrawn' }])
    await expect(withdrawKey(platform, 'f'.repeat(64), 'op3', 0)).rejects.toThrow(NotFoundError)
  })

  it.each(['grant', 'withdraw'] as const)('%s reports the actual outcome regardless of which responses are lost', async (command) => {
    const faults = fc.array(fc.constantFrom<Fault>('none', 'unavailable', 'lostBefore', 'lostAfter'), { maxLength: 6 })
    await fc.assert(fc.asyncProperty(faults, faults, async (writeFaults, readFaults) => {
      const platform = createFakePlatform()
      const hash = command === 'withdraw' ? (await grantKey(platform, 'bakery', bytes(1), 'op0', 0)).record.hash : hashKey(generateKey(bytes(1)))
      Object.assign(platform, { writeFaults: [...writeFaults], readFaults: [...readFaults] })
      const outcome = command === 'grant'
        ? await grantKey(platform, 'bakery', bytes(1), 'op1', 0).catch((error: unknown) => error)
        : await withdrawKey(platform, hash, 'op1', 0).catch((error: unknown) => error)
      const done = platform.rows('keys')[0]?.value.operation === 'op1'
      if (!(outcome instanceof Error)) expect(done).toBe(true)
      else if (outcome instanceof PlatformUnavailableError) expect(done).toBe(false)
      else expect(outcome).toBeInstanceOf(OutcomeUnknownError)
    }))
  })
})
