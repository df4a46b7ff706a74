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
    ['gives a single instance everything', { a: 1 }, 'a', 1],
    ['gives data centres equal shares', { a: 4, b: 2, c: 3 }, 'b', 1 / 6],
    ['divides the share of a data centre among its instances', { a: 4, b: 2, c: 3 }, 'a', 1 / 12]
  ])('%s', (_title, counts, dataCentre, expected) => {
    expect(createFleet(counts).share(dataCentre)).toBeCloseTo(expected)
  })

  it('assigns shares that add up to 1', () => {
    const counts = { a: 23, b: 1, c: 17, d: 28 }
    const shares = createFleet(counts)
    const sum = Object.entries(counts).reduce((total, [name, count]) => total + count * shares.share(name), 0)
    expect(sum).toBeCloseTo(1)
  })

  it('updates shares when instances join and leave', () => {
    const shares = createFleet({ a: 2 })
    shares.delete('a-0')
    expect(shares.share('a')).toBe(1)
    shares.clear()
    expect(shares.count()).toBe(0)
  })
})
