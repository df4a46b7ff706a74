/** Guards against requests of one customer that take all that a process has for requests, and against more than it has. */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { callerBounds, type ProcessLimits } from '../bounds'
import { createRequestShares, excessOf, FORWARDED_REQUEST, type RequestShare, type RequestShares } from '../requestShares'

const KB = 1024
const MB = 1024 * KB

describe('a group may use', () => {
  const cases: ReadonlyArray<[name: string, used: number, usedByGroup: number, needed: number, excess: number]> = [
    ['what it needs while nothing is used', 0, 0, 10, 0],
    ['twice what is free', 60, 60, 10, 0],
    ['no more than twice what is free', 68, 68, 2, 2],
    ['what is free, if it uses nothing itself', 90, 0, 10, 0],
    ['no more than is free', 90, 0, 11, 1],
    ['nothing while more is used than there is', 110, 0, 0, 10]
  ]

  it.each(cases)('%s', (_name, used, usedByGroup, needed, excess) => {
    expect(excessOf({ bound: 100, used, usedByGroup }, needed)).toBe(excess)
  })
})

/** Forwards requests of a group until one is refused, `limit` at most. */
function forwardAll (shares: RequestShares, group: string, limit = 1000, now = 0): RequestShare[] {
  const open: RequestShare[] = []
  while (open.length < limit) {
    const share = shares.open()
    share.join(group, now)
    if (!share.forward(now).admitted) {
      share.close()
      break
    }
    open.push(share)
  }
  return open
}

describe('requests in progress', () => {
  it('of one customer leave a third of the connections to upstreams free', () => {
    const shares = createRequestShares({ objectBytes: Infinity, forwarded: 90 })
    expect(forwardAll(shares, 'crowd')).toHaveLength(60)
    expect(forwardAll(shares, 'ordinary', 10)).toHaveLength(10)
  })

  it('of one customer leave a third of the objects free', () => {
    const shares = createRequestShares({ objectBytes: 90 * FORWARDED_REQUEST.objectBytes, forwarded: Infinity })
    expect(forwardAll(shares, 'crowd')).toHaveLength(60)
    expect(forwardAll(shares, 'ordinary', 10)).toHaveLength(10)
  })

  it('of a customer beyond its share are refused although they use only objects so far', () => {
    const shares = createRequestShares({ objectBytes: 100 * KB, forwarded: 10 })
    const decisions = Array.from({ length: 8 }, () => {
      const share = shares.open()
      share.addObjects(10 * KB)
      return share.join('crowd', 0).admitted
    })
    expect(decisions).toEqual([true, true, true, true, true, true, false, false])
    const ordinary = shares.open()
    ordinary.addObjects(10 * KB)
    expect(ordinary.join('ordinary', 0).admitted).toBe(true)
  })

  it('let a refused one come back when as many are expected to have ended as it needs', () => {
    const shares = createRequestShares({ objectBytes: Infinity, forwarded: 90 })
    forwardAll(shares, 'crowd')
    const refused = shares.open()
    refused.join('crowd', 600)
    const decision = refused.forward(600)
    // A third of one of 60 requests, which have lasted for 590 ms on average, this one included.
    expect(decision).toEqual({ admitted: false, retryAfter: expect.closeTo(590 / 3 / 60, 1), mustRelease: false })
  })

  it.each([
    ['much', 20, 90, true], ['much, while the others do not exceed their bound', 20, 75, false], ['little', 9, 100, false]
  ])('that are refused must be released at once if they use %s', (_name, ownKb, otherKb, mustRelease) => {
    const shares = createRequestShares({ objectBytes: 100 * KB, forwarded: 10 })
    const other = shares.open()
    other.addObjects(otherKb * KB)
    other.join('crowd', 0)
    const share = shares.open()
    share.addObjects(ownKb * KB)
    expect(share.join('crowd', 0)).toMatchObject({ admitted: false, mustRelease })
  })

  it('make connections read one request at a time from half of a bound on', () => {
    const shares = createRequestShares({ objectBytes: Infinity, forwarded: 90 })
    const open = forwardAll(shares, 'crowd', 46)
    expect(shares.isTight()).toBe(true)
    open[0]!.close()
    expect(shares.isTight()).toBe(false)
  })

  it('stay within the bounds, leave room for other customers, and leave nothing behind', () => {
    const bounds = { objectBytes: 20 * FORWARDED_REQUEST.objectBytes, forwarded: 16 }
    const step = fc.record({
      group: fc.constantFrom('a', 'b', 'c'),
      objectBytes: fc.integer({ min: 0, max: 2 * FORWARDED_REQUEST.objectBytes }),
      closes: fc.nat(40),
      isForwarded: fc.boolean()
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const shares = createRequestShares(bounds)
      let open: RequestShare[] = []
      for (const [now, { group, objectBytes, closes, isForwarded }] of steps.entries()) {
        const share = shares.open()
        share.addObjects(objectBytes)
        const isAdmitted = share.join(group, now).admitted && (!isForwarded || share.forward(now).admitted)
        if (isAdmitted) open.push(share)
        else share.close()
        expect(shares.forwarded()).toBeLessThanOrEqual(bounds.forwarded)
        expect(shares.objectBytes()).toBeLessThanOrEqual(bounds.objectBytes)
        open = open.filter((other, index) => {
          if (index === closes) other.close()
          return index !== closes
        })
        const other = shares.open()
        other.join('other', now)
        const isFull = shares.objectBytes() + FORWARDED_REQUEST.objectBytes > bounds.objectBytes
        expect(other.forward(now).admitted || isFull).toBe(true)
        other.close()
      }
      for (const share of open) {
        share.close()
        share.close()
      }
      expect([shares.objectBytes(), shares.forwarded()]).toEqual([0, 0])
    }), { seed: 53, numRuns: 300 })
  })
})

describe('the bounds of connections and requests', () => {
  const cases: ReadonlyArray<[
    name: string, limits: ProcessLimits, objectMb: number, connections: number, forwarded: number
  ]> = [
    ['a machine', { memoryMb: 350, fileDescriptors: 4100, heapMb: 108 }, 48, 1950, 975],
    ['a machine with few descriptors', { memoryMb: 350, fileDescriptors: 600, heapMb: 108 }, 48, 200, 100],
    ['a machine with many descriptors', { memoryMb: 350, fileDescriptors: 8192, heapMb: 108 }, 48, 2048, 1998],
    ['a machine with little memory', { memoryMb: 178, fileDescriptors: 4100, heapMb: 108 }, 32, 1365, 975],
    ['a process with a small heap', { memoryMb: 350, fileDescriptors: 4100, heapMb: 20 }, 8, 341, 975]
  ]

  it.each(cases)('of %s leave half of the objects to requests', (_name, limits, objectMb, connections, forwarded) => {
    const bounds = callerBounds(limits)
    expect([bounds.connections, bounds.requests.forwarded]).toEqual([connections, forwarded])
    expect(bounds.requests.objectBytes + connections * 12 * KB).toBe(objectMb * MB)
    expect(bounds.requests.objectBytes).toBeGreaterThanOrEqual(objectMb / 2 * MB)
  })
})
