/** Guards against requests that are counted for the wrong callers, or with less than their objects use. */
import { describe, expect, it } from 'vitest'
import { createMemoryAccount } from '../../../http/memoryAccount/account'
import type { EdgeCustomer } from '../../types'
import { createExchangeShare, describeShareRefusal, type ExchangeShare } from '../exchangeShare'

const KB = 1024
const SEGMENTS = 80
/** Objects of a request with so many prompt segments. */
const REQUEST_BYTES = SEGMENTS * 128

function customer (name: string): EdgeCustomer {
  return { name } as EdgeCustomer
}

function play (): { open: (segments?: number) => ExchangeShare, objectBytes: () => number } {
  const requestBounds = { objectBytes: 10 * REQUEST_BYTES, forwarded: 10 }
  const account = createMemoryAccount({ bound: Infinity, requestBounds })
  const connection = account.openConnection({ close () {}, refuseInput () {} }, 0)
  return {
    open (segments = SEGMENTS) {
      const promptSegments = Array.from({ length: segments }, () => ({ identifier: 'a', tokens: 1 }))
      return createExchangeShare(connection.openRequest(0), { promptSegments }, () => 0)
    },
    objectBytes: account.shares.objectBytes
  }
}

describe('a request', () => {
  it('is counted with the segments of its prompt', () => {
    const { open, objectBytes } = play()
    open(1000)
    expect(objectBytes()).toBe(125 * KB)
  })

  it('is not bounded without an account', () => {
    const share = createExchangeShare(undefined, { promptSegments: [] }, () => 0)
    expect([share.join(undefined), share.joinRejected(), share.forward()]).toEqual([undefined, undefined, undefined])
  })

  const groups: ReadonlyArray<[name: string, join: (share: ExchangeShare) => unknown]> = [
    ['one customer', (share) => share.join(customer('crowd'))],
    ['callers without a key', (share) => share.join(undefined)],
    ['callers that are refused', (share) => share.joinRejected()]
  ]
  it.each(groups)('of %s is refused beyond two thirds, and those of others are not', (_name, join) => {
    const { open } = play()
    const refusals = Array.from({ length: 8 }, () => join(open()) !== undefined)
    expect(refusals).toEqual([false, false, false, false, false, false, true, true])
    const others = groups.filter(([, other]) => other !== join)
    expect(others.map(([, other]) => other(open(1)))).toEqual([undefined, undefined])
    expect(open(1).join(customer('anonymous'))).toBeUndefined()
  })
})

describe('the refusal of a request beyond its share', () => {
  it.each([[0, 50], [300, 300], [60_000, 1000]])('after an estimate of %d ms lets it come back in %d ms', (estimate, retryAfter) => {
    const refusal = describeShareRefusal({ admitted: false, retryAfter: estimate, mustRelease: false })
    expect(refusal).toMatchObject({ status: 503, retryAfter })
  })
})
