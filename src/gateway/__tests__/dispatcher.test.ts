import { beforeEach, describe, expect, it } from 'vitest'
import { createConcurrencyLimit } from '../../fairness/concurrencyLimit'
import { createFairQueue } from '../../fairness/fairQueue'
import { createBlockIndex } from '../../prefix/blockIndex'
import { createColdPrefixGate } from '../../prefix/coldPrefix'
import { chooseUpstream } from '../../prefix/routing'
import type { CrashVerdict } from '../../upstream/crashLedger'
import { createUpstreamRegistry } from '../../upstream/registry'
import type { UpstreamRegistry } from '../../upstream/registryTypes'
import { createDispatcher } from '../dispatcher'
import type { Dispatcher, DispatchWork, Placement } from '../dispatcher'

const neverAborted = new AbortController().signal
const LIMIT = 2
let time = 0
let registry: UpstreamRegistry
let dispatcher: Dispatcher

function addEngine (name: string, loaded = ['m@v1']): void {
  const endpoint = { host: '127.0.0.1', port: 1 }
  registry.applyList([
    ...registry.upstreams(time).map((view) => ({ ...view, state: 'live' as const, service: undefined })),
    { name, kind: 'engine' as const, dataCentre: 'a', endpoint, state: 'live' as const }
  ] as never, time, time)
  registry.applyReport(name, {
    incarnation: 1, leaving: false, loaded, running: 0, waiting: 0, waitingTokens: 0, prefillTokensPerSecond: 8000
  }, time)
}

function work (identifier: string, more: Partial<DispatchWork> = {}): DispatchWork {
  return {
    identifier,
    customer: 'c',
    model: 'm',
    version: 'v1',
    adapter: '',
    routing: { blockKeys: [], promptTokens: 10 },
    cost: 10,
    deadline: time + 10_000,
    exclude: [],
    excludeStrictly: [],
    fingerprint: identifier,
    verdict: () => ({ kind: 'clear' }),
    isResumption: false,
    ...more
  }
}

beforeEach(() => {
  time = 1000
  const limits = new Map<string, ReturnType<typeof createConcurrencyLimit>>()
  const limitOf = (name: string) => {
    const limit = limits.get(name) ?? createConcurrencyLimit({ initial: LIMIT, maximum: LIMIT, minimum: LIMIT })
    limits.set(name, limit)
    return limit
  }
  registry = createUpstreamRegistry({
    dataCentre: 'a', hasRoom: (name) => limitOf(name).inFlight() < limitOf(name).limit()
  })
  dispatcher = createDispatcher({
    queue: createFairQueue(),
    registry,
    index: createBlockIndex({ maximumEntries: 1024 }),
    gate: createColdPrefixGate(),
    choose: chooseUpstream,
    limitOf,
    now: () => time,
    random: () => 0.5
  })
})

async function placeAll (...all: DispatchWork[]): Promise<Placement[]> {
  return await Promise.all(all.map(async (one) => await dispatcher.place(one, neverAborted)))
}

describe('createDispatcher', () => {
  it('rejects immediately when no engine serves the version or may become available', async () => {
    addEngine('e1')
    await expect(dispatcher.place(work('r', { version: 'v2' }), neverAborted)).rejects.toMatchObject({
      code: 'no_upstream', execution: 'not_run', retryAfterSeconds: expect.any(Number)
    })
  })

  // Guards against a restarted router that rejects requests until its first poll of the engines.
  it('waits for a first engine to become available, for a limited time', async () => {
    const placed = dispatcher.place(work('r1'), neverAborted)
    addEngine('e1')
    dispatcher.pump()
    expect((await placed).upstream).toBe('e1')
    const placement = dispatcher.place(work('r2', { version: 'v9', deadline: time + 100 }), neverAborted)
    const rejection = expect(placement).rejects.toMatchObject({ code: 'no_upstream' })
    time += 5000
    dispatcher.pump()
    await rejection
  })

  it('queues work over the concurrency limit until a slot is released', async () => {
    addEngine('e1')
    const [first] = await placeAll(work('r1'), work('r2'))
    let third: Placement | undefined
    const waiting = dispatcher.place(work('r3'), neverAborted).then((placement) => { third = placement })
    await Promise.resolve()
    expect(third).toBeUndefined()
    expect(dispatcher.size()).toBe(1)
    first!.recordFirstToken(0)
    first!.release(false)
    await waiting
    expect(third).toMatchObject({ upstream: 'e1' })
  })

  it('rejects work whose deadline has passed, with a retry-after time', async () => {
    addEngine('e1')
    await placeAll(work('r1'), work('r2'))
    const waiting = expect(dispatcher.place(work('r3', { deadline: time + 50 }), neverAborted)).rejects.toMatchObject({
      code: 'overloaded', execution: 'not_run', retryAfterSeconds: expect.any(Number)
    })
    time += 60
    dispatcher.pump()
    await waiting
    expect(dispatcher.size()).toBe(0)
  })

  it('removes work whose caller has disconnected', async () => {
    addEngine('e1')
    await placeAll(work('r1'), work('r2'))
    const abort = new AbortController()
    const waiting = expect(dispatcher.place(work('r3'), abort.signal)).rejects.toThrow('gone')
    abort.abort(new Error('gone'))
    await waiting
    expect(dispatcher.size()).toBe(0)
  })

  it('excludes failed upstreams unless no other upstream is available', async () => {
    addEngine('e1')
    expect((await placeAll(work('r1', { exclude: ['e1'] })))[0]).toMatchObject({ upstream: 'e1' })
    addEngine('e2')
    expect((await placeAll(work('r2', { exclude: ['e1'] })))[0]).toMatchObject({ upstream: 'e2' })
  })

  it('uses a strictly excluded upstream only if no other is usable', async () => {
    addEngine('e1')
    const excluded = { exclude: ['e1', 'e2'], excludeStrictly: ['e1'] }
    expect((await placeAll(work('r1', excluded)))[0]).toMatchObject({ upstream: 'e1' })
    addEngine('e2')
    expect((await placeAll(work('r2', excluded)))[0]).toMatchObject({ upstream: 'e2' })
  })

  // Guards against two requests that compute the same cold prefix concurrently.
  it('lets only one request at a time compute a cold prefix', async () => {
    addEngine('e1')
    addEngine('e2')
    const routing = { blockKeys: ['00000000000000aa', '00000000000000ab'], promptTokens: 2048 }
    const [first] = await placeAll(work('r1', { routing }))
    let second: Placement | undefined
    const waiting = dispatcher.place(work('r2', { routing }), neverAborted).then((placement) => { second = placement })
    await Promise.resolve()
    expect(second).toBeUndefined()
    first!.recordFirstToken(0)
    await waiting
    expect(second).toMatchObject({ upstream: first!.upstream, expectedBlocks: 2 })
  })

  // Guards against a single request that crashes several upstreams at the same time.
  it('runs a suspect on one upstream at a time and apart from other suspects', async () => {
    addEngine('e1')
    addEngine('e2')
    const verdict = (...avoid: string[]) => (): CrashVerdict => ({ kind: 'suspect', avoid })
    const [first] = await placeAll(work('r1', { fingerprint: 'f', verdict: verdict() }))
    const other = first!.upstream === 'e1' ? 'e2' : 'e1'
    const [second] = await placeAll(work('r2', { fingerprint: 'g', verdict: verdict(first!.upstream) }))
    expect(second!.upstream).toBe(other)
    let third: Placement | undefined
    const waiting = dispatcher.place(work('r3', { fingerprint: 'f', verdict: verdict() }), neverAborted)
      .then((placement) => { third = placement })
    await Promise.resolve()
    expect(third).toBeUndefined()
    first!.release(false)
    await waiting
  })

  it('rejects queued work once its content is known to crash upstreams', async () => {
    addEngine('e1')
    await placeAll(work('r1'), work('r2'))
    let verdict: CrashVerdict = { kind: 'clear' }
    const waiting = expect(dispatcher.place(work('r3', { verdict: () => verdict }), neverAborted)).rejects.toMatchObject({
      code: 'crashing_request', execution: 'not_run', retryAfterSeconds: 60
    })
    verdict = { kind: 'refused', retryAfterMilliseconds: 60_000 }
    dispatcher.pump()
    await waiting
  })
})
