import { describe, expect, it } from 'vitest'
import {
  answers, collect, longestOverlap, MAXIMUM_OVERLAP_MS, now, refuses, resets, silentAfter, silentBeforeAnswer,
  startFleet, WHOLE_TEXT
} from './scriptedEngines'
import type { Behaviour, FleetOptions } from './scriptedEngines'

describe('a completion whose engine is silent for a while and goes on', () => {
  const silent = { e0: silentAfter(5) }
  const silentLonger = silentBeforeAnswer(3000)
  const silentAtStart = { e0: silentBeforeAnswer() }

  // Guards against a stream that is cut because its engine was given up before another one had begun to answer.
  it.each<[string, FleetOptions]>([
    ['without another engine', { engines: silent }],
    ['beside a full engine', { engines: { ...silent, e1: answers }, full: ['e1'] }],
    ['beside engines that refuse', { engines: { ...silent, e1: refuses, e2: refuses, e3: refuses } }],
    ['beside engines that reset', { engines: { ...silent, e1: resets, e2: resets, e3: resets } }],
    ['beside engines that are silent too', { engines: { ...silent, e1: silentLonger, e2: silentLonger, e3: silentLonger } }],
    ['with the retry budget used up, beside engines that refuse',
      { engines: { ...silent, e1: refuses, e2: refuses }, retryTokens: 0 }],
    ['with the retry budget used up, beside a full engine',
      { engines: { ...silent, e1: answers }, full: ['e1'], retryTokens: 0 }],
    ['before the first chunk, without another engine', { engines: silentAtStart }],
    ['before the first chunk, beside engines that refuse',
      { engines: { ...silentAtStart, e1: refuses, e2: refuses, e3: refuses } }],
    ['before the first chunk, beside engines that reset', { engines: { ...silentAtStart, e1: resets, e2: resets, e3: resets } }],
    ['before the first chunk, with the retry budget used up', { engines: { ...silentAtStart, e1: refuses }, retryTokens: 0 }]
  ])('is whole %s', async (_, options) => {
    const fleet = await startFleet(options)
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
    expect(longestOverlap(fleet.runs)).toBeLessThanOrEqual(MAXIMUM_OVERLAP_MS)
    const sent = fleet.runs.filter(({ engine }) => options.engines[engine] !== refuses)
    expect(sent.length).toBeLessThanOrEqual(4)
  })

  // Guards against a silent engine that keeps a stream which another engine would finish.
  it.each<[string, FleetOptions]>([
    ['in mid-stream', { engines: { e0: silentAfter(5, 60_000), e1: answers } }],
    ['before the first chunk', { engines: { e0: silentBeforeAnswer(60_000), e1: answers } }],
    ['beside another one that is silent too',
      { engines: { e0: silentAfter(5, 60_000), e1: silentBeforeAnswer(60_000), e2: answers } }],
    ['after one engine has refused', { engines: { e0: silentAfter(5, 60_000), e1: refuses, e2: answers } }],
    ['after one engine has reset the connection', { engines: { e0: silentAfter(5, 60_000), e1: resets, e2: answers } }]
  ])('is taken over by an engine that answers, %s', async (_, options) => {
    const startedAt = now()
    const fleet = await startFleet(options)
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
    expect(now() - startedAt).toBeLessThan(3000)
    await expect.poll(() => fleet.runs.filter(({ endedAt }) => endedAt === undefined)).toEqual([])
    expect(longestOverlap(fleet.runs)).toBeLessThanOrEqual(MAXIMUM_OVERLAP_MS)
  })

  // Guards against connections that are lost without a reset, at the only engine.
  it('is whole when its connection is lost and the only engine answers on a new one', async () => {
    let calls = 0
    const losesFirst: Behaviour = async (call) => {
      await (calls++ === 0 ? silentAfter(5, 60_000)(call) : answers(call))
    }
    const fleet = await startFleet({ engines: { e0: losesFirst } })
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
  })

  // Guards against a stream that waits for a process which has ended, whose connection was lost without a reset.
  it('is taken over without a retry token when the process of its engine has ended', async () => {
    const ends: Behaviour = async (call) => {
      call.server.close()
      await silentAfter(5, 60_000)(call)
    }
    const fleet = await startFleet({ engines: { e0: ends, e1: answers }, retryTokens: 0 })
    expect(await collect(fleet.execute)).toBe(WHOLE_TEXT)
  })

  it('ends at its time limit, if the engine stays silent and no other takes it over', async () => {
    const fleet = await startFleet({ engines: { e0: silentAfter(5, 60_000), e1: refuses }, whole: 1200 })
    const startedAt = now()
    await expect(collect(fleet.execute)).rejects.toMatchObject({ code: 'upstream_timeout', execution: 'unknown' })
    expect(now() - startedAt).toBeGreaterThanOrEqual(1150)
  })

  it('leaves no engine at work when its caller disconnects during the silence', async () => {
    const fleet = await startFleet({ engines: { e0: silentAfter(5, 60_000), e1: silentBeforeAnswer(60_000) } })
    const abort = new AbortController()
    setTimeout(() => { abort.abort(new Error('gone')) }, 700)
    await expect(collect(fleet.execute, abort.signal)).rejects.toThrow('gone')
    expect(fleet.runs.map(({ engine }) => engine)).toEqual(expect.arrayContaining(['e0', 'e1']))
    await expect.poll(() => fleet.runs.filter(({ endedAt }) => endedAt === undefined)).toEqual([])
  })

  // Guards against requests with the same prefix that wait for an engine which computes nothing.
  it('holds up no other request with the same cold prefix after its engine has fallen silent', async () => {
    let calls = 0
    const firstIsSilent: Behaviour = async (call) => {
      await (calls++ === 0 ? silentBeforeAnswer(60_000)(call) : answers(call))
    }
    const fleet = await startFleet({ engines: { e0: firstIsSilent }, retryTokens: 0, maximumWait: 3000 })
    const prompt = 'a long prompt '.repeat(1000)
    const abort = new AbortController()
    const silentRequest = expect(collect(fleet.execute, abort.signal, 'silent', prompt)).rejects.toThrow('end')
    await expect.poll(() => fleet.logged.some(({ event }) => event === 'attempt.silent')).toBe(true)
    const startedAt = now()
    expect(await collect(fleet.execute, undefined, 'next', prompt)).toBe(WHOLE_TEXT)
    expect(now() - startedAt).toBeLessThan(1000)
    abort.abort(new Error('end'))
    await silentRequest
  })
})
