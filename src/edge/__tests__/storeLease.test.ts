import { describe, expect, it } from 'vitest'
import { createStoreLease, type StoreLease } from '../storeLease'
import type { StoreRow } from '../types'

const DURATION = 3000
const at = (time: number): { steady: number, wall: number } => ({ steady: time, wall: time })
const row = (record: unknown, version = 7): StoreRow => ({
  key: 'orders', value: Buffer.from(typeof record === 'string' ? record : JSON.stringify(record)), version
})

function claimAt (lease: StoreLease, present: StoreRow | undefined, storeTime: number): ReturnType<StoreLease['prepareClaim']> {
  lease.observeStoreTime(storeTime, at(0))
  lease.observeRow(present)
  return lease.prepareClaim(at(0))
}

describe('prepareClaim', () => {
  it.each<[string, StoreRow | undefined, number, number | undefined]>([
    ['no row', undefined, 1000, 0],
    ['an unexpired lease of another instance', row({ holder: 'b', incarnation: 1, expires: 4000 }), 3000, undefined],
    ['a lease of another instance that expired less than the takeover delay ago', row({ holder: 'b', incarnation: 1, expires: 4000 }), 6400, undefined],
    ['a lease of another instance that expired before the takeover delay', row({ holder: 'b', incarnation: 1, expires: 4000 }), 6401, 7],
    ['the lease of this instance', row({ holder: 'a', incarnation: 5, expires: 4000 }), 3000, 7],
    ['an unexpired lease of an earlier process of this instance', row({ holder: 'a', incarnation: 4, expires: 4000 }), 3000, undefined],
    ['a row that cannot be parsed', row('{'), 1000, 7],
    ['a lease without an end', row('{"holder":"b","incarnation":1,"expires":1e400}'), 1000, 7],
    ['a lease that ends later than any instance sets', row({ holder: 'b', incarnation: 1, expires: 90_000 }), 1000, 7]
  ])('%s', (_title, present, storeTime, version) => {
    const claim = claimAt(createStoreLease('a', 5, DURATION), present, storeTime)!
    expect('version' in claim ? claim.version : undefined).toBe(version)
  })

  it('returns the time until a lease of another instance can be taken over', () => {
    const present = row({ holder: 'b', incarnation: 1, expires: 4000 })
    expect(claimAt(createStoreLease('a', 5, DURATION), present, 3000)).toEqual({ availableIn: 3400 })
  })

  it('returns undefined before the first read', () => {
    expect(createStoreLease('a', 5, DURATION).prepareClaim(at(0))).toBeUndefined()
  })
})

describe('renewal', () => {
  it.each([
    ['needs no read while the lease is held', at(2000), 9],
    ['needs a read once the hold time is over', at(2100), undefined],
    ['needs a read after a suspension that only the wall clock shows', { steady: 100, wall: 5000 }, undefined]
  ])('%s', (_title, now, version) => {
    const lease = createStoreLease('a', 5, DURATION)
    claimAt(lease, row({ holder: 'b', incarnation: 1, expires: 4000 }), 50_000)
    lease.recordGrant(9, at(0))
    // The row read earlier names another holder whose lease expired only recently.
    lease.observeRow(row({ holder: 'b', incarnation: 1, expires: 49_000 }, 7))
    const claim = lease.prepareClaim(now)!
    expect('version' in claim ? claim.version : undefined).toBe(version)
  })
})

describe('fencingToken', () => {
  it.each([
    ['right after the grant', at(100), 9],
    ['just before the end of the hold time', at(2099), 9],
    ['at the end of the hold time', at(2100), undefined],
    ['after a suspension that only the wall clock shows', { steady: 100, wall: 5000 }, undefined]
  ])('%s', (_title, now, token) => {
    const lease = createStoreLease('a', 5, DURATION)
    lease.recordGrant(9, at(0))
    expect(lease.fencingToken(now)).toBe(token)
  })

  it('is withdrawn when a newer row is observed', () => {
    const lease = createStoreLease('a', 5, DURATION)
    lease.recordGrant(9, at(0))
    lease.observeRow(row({ holder: 'b', incarnation: 1, expires: 1 }, 10))
    expect(lease.fencingToken(at(10))).toBeUndefined()
  })

  it('leaves at least one lease duration between the last command of one holder and the first of the next', () => {
    const first = createStoreLease('a', 1, DURATION)
    first.observeStoreTime(50_000, at(0))
    first.observeRow(undefined)
    const claim = first.prepareClaim(at(20)) as { value: string }
    first.recordGrant(9, at(20))
    let lastOrder = 0
    for (let time = 20; time < 10_000; time += 10) if (first.fencingToken(at(time)) !== undefined) lastOrder = time
    const second = createStoreLease('b', 1, DURATION)
    let firstOrder = 0
    for (let time = 20; firstOrder === 0; time += 10) {
      second.observeStoreTime(50_000 + time, at(time))
      second.observeRow({ key: 'orders', value: Buffer.from(claim.value), version: 9 })
      if ('version' in second.prepareClaim(at(time))!) firstOrder = time
    }
    expect(firstOrder - lastOrder).toBeGreaterThanOrEqual(DURATION)
  })
})
