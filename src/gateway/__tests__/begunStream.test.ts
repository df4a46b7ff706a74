import { describe, expect, it } from 'vitest'
import { answers, collect, now, refuses, resetsAfter, startFleet, WHOLE_TEXT } from './scriptedEngines'
import type { Behaviour, FleetOptions } from './scriptedEngines'

describe('a begun stream whose engine has reset the connection', () => {
  /** Refuses for a while, then answers. */
  const refusesFor = (milliseconds: number): Behaviour => {
    const until = now() + milliseconds
    return async (call) => { await (now() < until ? refuses(call) : answers(call)) }
  }

  // Guards against a begun stream that is cut by a limit that is meant for new work, while time is left.
  it.each<[string, () => FleetOptions]>([
    ['the other engines refuse for a while', () => ({ engines: { e0: resetsAfter(5), e1: refusesFor(1500), e2: refuses } })],
    ['the same with the retry budget used up', () => ({ engines: { e0: resetsAfter(5), e1: refusesFor(1500), e2: refuses }, retryTokens: 0 })]
  ])('is whole when %s', async (_, options) => {
    const fleet = await startFleet(options())
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
    expect([...fleet.received.values()].reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(24)
  })

  it('is whole when the only other engine is full for longer than a new request may wait', async () => {
    const fleet = await startFleet({
      engines: { e0: resetsAfter(5), e1: answers }, full: ['e1'], fullMilliseconds: 1200, maximumWait: 300
    })
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
  })
})
