import { describe, expect, it } from 'vitest'
import { createInstanceShares } from '../instanceShares'

function createFleet (counts: Readonly<Record<string, number>>): ReturnType<typeof createInstanceShares> {
  const shares = createInstanceShares()
  for (const [dataCentre, count] of Object.entries(counts)) {
    for (let index = 0; index < count; index += 1) shares.set(`${dataCentre}-${index}`, dataCentre)
  }
  return shares
}

describe('createInstanceShares', () => {
  it.each([
    ['one instance has all', { a: 1 }, 'a', 1],
    ['data centres have equal parts', { a: 4, b: 2, c: 3 }, 'b', 1 / 6],
    ['that their instances share', { a: 4, b: 2, c: 3 }, 'a', 1 / 12]
  ])('%s', (_title, counts, dataCentre, expected) => {
    expect(createFleet(counts).share(dataCentre)).toBeCloseTo(expected)
  })

  it('shares never exceed the whole', () => {
    const counts = { a: 23, b: 1, c: 17, d: 28 }
    const shares = createFleet(counts)
    const sum = Object.entries(counts).reduce((total, [name, count]) => total + count * shares.share(name), 0)
    expect(sum).toBeCloseTo(1)
  })

  it('follows instances that come and go', () => {
    const shares = createFleet({ a: 2 })
    shares.delete('a-0')
    expect(shares.share('a')).toBe(1)
    shares.clear()
    expect(shares.count()).toBe(0)
  })
})
