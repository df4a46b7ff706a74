import { describe, expect, it } from 'vitest'
import { createStoreLease, type StoreLease } from '../storeLease'
import type { StoreRow } from '../types'

const DURATION = 3000
const at = (time: number): { steady: number, wall: number } => ({ steady: time, wall: time })
const row = (record: unknown, version = 7): StoreRow => ({
  key: 'orders', value: Buffer.from(typeof record === 'string' ? record : JSON.stringify(record)), version
})

function claimAt (lease: StoreLease, present: StoreRow | undefined, storeTime: number): ReturnType<StoreLease['claim']> {
  lease.clock(storeTime, at(0))
  lease.observe(present)
  return lease.claim(at(0))
}

describe('claim', () => {
  it.each<[string, StoreRow | undefined, number, number | undefined]>([
    ['no row', undefined, 1000, 0],
    ['a lease of another that has not ended', row({ holder: 'b', incarnation: 1, expires: 4000 }), 3000, undefined],
    ['one that ended less than a lease before its last order', row({ holder: 'b', incarnation: 1, expires: 4000 }), 6400, undefined],
    ['one that ended long ago', row({ holder: 'b', incarnation: 1, expires: 4000 }), 6401, 7],
    ['the own lease', row({ holder: 'a', incarnation: 5, expires: 4000 }), 3000, 7],
    ['a lease of an earlier run of this instance', row({ holder: 'a', incarnation: 4, expires: 4000 }), 3000, undefined],
    ['a row that cannot be read', row('{'), 1000, 7]
  ])('%s', (_title, present, storeTime, version) => {
    const claim = claimAt(createStoreLease('a', 5, DURATION), present, storeTime)!
    expect('version' in claim ? claim.version : undefined).toBe(version)
  })

  it('tells when a held lease can be taken over', () => {
    const present = row({ holder: 'b', incarnation: 1, expires: 4000 })
    expect(claimAt(createStoreLease('a', 5, DURATION), present, 3000)).toEqual({ heldFor: 3400 })
  })

  it('needs a reading first', () => {
    expect(createStoreLease('a', 5, DURATION).claim(at(0))).toBeUndefined()
  })
})

describe('renewal', () => {
  it.each([
    ['needs no reading while the lease is held', at(2000), 9],
    ['needs one when its time is over', at(2100), undefined],
    ['needs one after a freeze that only the wall clock shows', { steady: 100, wall: 5000 }, undefined]
  ])('%s', (_title, now, version) => {
    const lease = createStoreLease('a', 5, DURATION)
    claimAt(lease, row({ holder: 'b', incarnation: 1, expires: 4000 }), 50_000)
    lease.granted(9, at(0))
    // The row that was read before names another holder whose lease is not long over.
    lease.observe(row({ holder: 'b', incarnation: 1, expires: 49_000 }, 7))
    const claim = lease.claim(now)!
    expect('version' in claim ? claim.version : undefined).toBe(version)
  })
})

describe('token', () => {
  it.each([
    ['right after the grant', at(100), 9],
    ['near the end of the holder\'s part', at(2099), 9],
    ['after it', at(2100), undefined],
    ['after a freeze that only the wall clock shows', { steady: 100, wall: 5000 }, undefined]
  ])('%s', (_title, now, token) => {
    const lease = createStoreLease('a', 5, DURATION)
    lease.granted(9, at(0))
    expect(lease.token(now)).toBe(token)
  })

  it('ends when a newer row is seen', () => {
    const lease = createStoreLease('a', 5, DURATION)
    lease.granted(9, at(0))
    lease.observe(row({ holder: 'b', incarnation: 1, expires: 1 }, 10))
    expect(lease.token(at(10))).toBeUndefined()
  })

  it('a whole lease lies between the last order of one holder and the first of the next', () => {
    const first = createStoreLease('a', 1, DURATION)
    first.clock(50_000, at(0))
    first.observe(undefined)
    const claim = first.claim(at(20)) as { value: string }
    first.granted(9, at(20))
    let lastOrder = 0
    for (let time = 20; time < 10_000; time += 10) if (first.token(at(time)) !== undefined) lastOrder = time
    const second = createStoreLease('b', 1, DURATION)
    let firstOrder = 0
    for (let time = 20; firstOrder === 0; time += 10) {
      second.clock(50_000 + time, at(time))
      second.observe({ key: 'orders', value: Buffer.from(claim.value), version: 9 })
      if ('version' in second.claim(at(time))!) firstOrder = time
    }
    expect(firstOrder - lastOrder).toBeGreaterThanOrEqual(DURATION)
  })
})
