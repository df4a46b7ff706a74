import { describe, expect, it } from 'vitest'
import { EndReason } from '../../request/endReason'
import { answers, collect, complete, refuses, resets, resetsAfter, silentAfter, startFleet } from './scriptedEngines'
import type { FleetOptions } from './scriptedEngines'

describe('the log of a completion without a whole answer', () => {
  // Guards against a log that does not tell which limit has ended a request.
  it.each<[string, string, FleetOptions]>([
    [EndReason.deadline, 'its engine stays silent', { engines: { e0: silentAfter(5, 60_000), e1: refuses }, whole: 800 }],
    [EndReason.deadline, 'no engine takes the stream over',
      { engines: { e0: resetsAfter(5), e1: answers }, full: ['e1'], whole: 800 }],
    [EndReason.attemptsUsed, 'all attempts of a stream that has begun were reset',
      { engines: { e0: resetsAfter(5), e1: resets, e2: resets, e3: resets } }],
    [EndReason.retryBudget, 'the first attempt was reset', { engines: { e0: resets, e1: answers }, retryTokens: 0 }],
    [EndReason.queueWait, 'all engines are full', { engines: { e0: answers }, full: ['e0'] }],
    [EndReason.noUpstream, 'there is no engine', { engines: {} }]
  ])('tells %s if %s', async (reason, _, options) => {
    const fleet = await startFleet(options)
    await expect(collect(fleet.execute)).rejects.toThrow()
    const ends = fleet.logged.filter(({ event }) => event === 'request.failed' || event === 'request.refused')
    expect(ends).toMatchObject([{ reason }])
  })

  it('tells that the caller has disconnected', async () => {
    const fleet = await startFleet({ engines: { e0: silentAfter(5, 60_000) } })
    const abort = new AbortController()
    setTimeout(() => { abort.abort(new Error('gone')) }, 300)
    await expect(collect(fleet.execute, abort.signal)).rejects.toThrow()
    expect(fleet.logged.filter(({ event }) => event === 'request.cancelled'))
      .toMatchObject([{ reason: EndReason.callerDisconnected }])
  })

  // Guards against a successful completion that is logged as cancelled, since its reader stops at the final piece.
  it('tells nothing if the reader stops after the final piece', async () => {
    const fleet = await startFleet({ engines: { e0: answers } })
    for await (const piece of complete(fleet.execute)) if (piece.end !== undefined) break
    expect(fleet.logged.map(({ event }) => event)).toEqual(['request.received', 'request.routed', 'request.finished'])
  })

  it('tells that the caller does not read', async () => {
    const fleet = await startFleet({ engines: { e0: answers } })
    for await (const piece of complete(fleet.execute)) if (piece.text !== '') break
    expect(fleet.logged.filter(({ event }) => event === 'request.cancelled'))
      .toMatchObject([{ reason: EndReason.callerNotReading }])
  })
})
