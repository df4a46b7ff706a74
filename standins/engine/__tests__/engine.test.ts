/** The engine stand-in's model of batching, cache and faults, which other tests rely on. */
import { afterEach, describe, expect, it } from 'vitest'
import { createHttpUpstreamClient } from '../../../src/upstream/engineClient'
import type { CompletionChunk, EngineCompletionRequest, UpstreamClient } from '../../../src/upstream/types'
import type { EngineOptions } from '../core'
import { startEngineServer } from '../server'
import type { EngineServer } from '../server'

const closers: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

const timeouts = { connect: 1000, firstByte: 10_000, betweenChunks: 5000, whole: 20_000 }
const BLOCK = 'x'.repeat(4096)

interface Subject {
  engine: EngineServer
  client: UpstreamClient
  complete: (change?: Partial<EngineCompletionRequest>) => Promise<Outcome>
}

interface Outcome {
  /** Undefined when the completion failed. */
  final?: CompletionChunk
  /** Code of the error. */
  error?: string
  /** Milliseconds to the first chunk. */
  firstToken: number
}

async function start (options: EngineOptions = {}): Promise<Subject> {
  const engine = await startEngineServer({ prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1000, ...options })
  const client = createHttpUpstreamClient()
  closers.push(engine.close, client.close)
  let identifiers = 0
  return {
    engine,
    client,
    async complete (change = {}) {
      const order: EngineCompletionRequest = {
        requestIdentifier: `r${++identifiers}`,
        attempt: 1,
        model: 'model',
        version: 'v1',
        adapter: '',
        prompt: 'p',
        maximumOutputTokens: 3,
        priority: 0,
        blockKeys: [],
        cacheSalt: 's',
        resumeFrom: 0,
        resumeText: '',
        ...change
      }
      const began = performance.now()
      let firstToken = Infinity
      let final: CompletionChunk | undefined
      try {
        for await (const chunk of client.complete(engine.endpoint, order, timeouts, new AbortController().signal)) {
          firstToken = Math.min(firstToken, performance.now() - began)
          if (chunk.final) final = chunk
        }
        return { ...(final === undefined ? {} : { final }), firstToken }
      } catch (error) {
        return { error: (error as { code: string }).code, firstToken }
      }
    }
  }
}

describe('the engine', () => {
  it('spends prefill time on blocks that are not cached only', async () => {
    const { complete } = await start({ prefillTokensPerSecond: 10_000 })
    const order = { prompt: BLOCK.repeat(4), blockKeys: ['a', 'b', 'c', 'd'] }
    const cold = await complete(order)
    const warm = await complete(order)
    expect(cold.firstToken).toBeGreaterThan(400)
    expect(warm.firstToken).toBeLessThan(200)
    expect([cold.final?.cachedTokens, warm.final?.cachedTokens]).toEqual([0, 4096])
  })

  it('evicts the least recently used blocks and tells so with contiguous events', async () => {
    const { engine, client, complete } = await start({ blocks: 3 })
    await complete({ prompt: BLOCK.repeat(2), blockKeys: ['a', 'b'] })
    await complete({ prompt: BLOCK, blockKeys: ['c'] })
    await complete({ prompt: BLOCK, blockKeys: ['a'] })
    await complete({ prompt: BLOCK, blockKeys: ['d'] })
    const batch = await client.cacheEvents(engine.endpoint, 0)
    expect(batch.events.map(({ sequence, kind, blockKeys }) => [sequence, kind, ...blockKeys])).toEqual([
      [1, 'stored', 'a', 'b'], [2, 'stored', 'c'], [3, 'stored', 'd'], [4, 'evicted', 'b']
    ])
    expect(batch.newestSequence).toBe(4)
    expect((await client.cacheEvents(engine.endpoint, 3)).events).toHaveLength(1)
  })

  it('shows lost events as gaps, and late ones later', async () => {
    const { engine, client, complete } = await start()
    engine.core.faults.eventLoss = 1
    await complete({ blockKeys: ['a'] })
    engine.core.faults.eventLoss = 0
    await complete({ blockKeys: ['b'] })
    engine.core.faults.eventLag = 10_000
    expect(await client.cacheEvents(engine.endpoint, 0)).toMatchObject({ newestSequence: 2, events: [] })
    engine.core.faults.eventLag = 0
    expect((await client.cacheEvents(engine.endpoint, 0)).events.map((event) => event.sequence)).toEqual([2])
  })

  it('records when a block of one version is used for another', async () => {
    const { engine, complete } = await start({ loaded: ['model@v1', 'model@v2'] })
    await complete({ prompt: BLOCK, blockKeys: ['a'] })
    expect(engine.core.misuses).toEqual([])
    await complete({ prompt: BLOCK, blockKeys: ['a'], version: 'v2' })
    expect(engine.core.misuses).toMatchObject([{ block: { version: 'v1' }, user: { version: 'v2' } }])
  })

  it('lets higher priority go first and keeps the others in order', async () => {
    const { complete, engine } = await start({ prefillTokensPerSecond: 20_000 })
    const ended: string[] = []
    const run = async (name: string, priority: number, prompt = BLOCK): Promise<void> => {
      await complete({ prompt, priority, maximumOutputTokens: 1, requestIdentifier: name })
      ended.push(name)
    }
    // The first prefill takes a second, so that the other three are all waiting when it ends, also on a busy machine.
    const first = run('first', 0, BLOCK.repeat(20))
    while (engine.core.scheduler.running() === 0) await new Promise((resolve) => setTimeout(resolve, 1))
    await Promise.all([first, run('low-1', 0), run('low-2', 0), run('high', 5)])
    expect(ended).toEqual(['first', 'high', 'low-1', 'low-2'])
  })

  it('runs at most as many sequences as it has slots and reports the rest as waiting', async () => {
    const { engine, client, complete } = await start({ slots: 2, decodeTokensPerSecond: 100 })
    const all = Promise.all(Array.from({ length: 5 }, async () => await complete({ maximumOutputTokens: 20 })))
    while (engine.core.running.size < 5) await new Promise((resolve) => setTimeout(resolve, 1))
    await new Promise((resolve) => setTimeout(resolve, 30))
    expect(await client.report(engine.endpoint)).toMatchObject({ running: 2, waiting: 3, waitingTokens: 3 })
    expect((await all).filter((outcome) => outcome.final === undefined)).toEqual([])
    expect(await client.report(engine.endpoint)).toMatchObject({ running: 0, waiting: 0 })
  })

  it('repeats an old report until the lag has passed', async () => {
    const { engine, client } = await start()
    engine.core.faults.reportLag = 200
    expect((await client.report(engine.endpoint)).leaving).toBe(false)
    engine.core.leaving = true
    expect((await client.report(engine.endpoint)).leaving).toBe(false)
    await new Promise((resolve) => setTimeout(resolve, 220))
    expect((await client.report(engine.endpoint)).leaving).toBe(true)
  })

  it('refuses to resume a text that the version did not generate', async () => {
    const { complete, engine } = await start()
    expect(await complete({ resumeFrom: 1, resumeText: 'bad ' })).toMatchObject({ error: 'upstream_failed' })
    expect(engine.core.journal.entries()).toEqual([])
  })
})

describe('a fault of a version', () => {
  it('begins after the given number of requests', async () => {
    const { engine, complete } = await start()
    engine.core.faults.failVersions = { v1: { fraction: 1, afterRequests: 2 } }
    const errors = [await complete(), await complete(), await complete()].map((outcome) => outcome.error)
    expect(errors).toEqual([undefined, undefined, 'upstream_failed'])
  })

  it('shows only above the given concurrency', async () => {
    const { engine, complete } = await start({ decodeTokensPerSecond: 100 })
    engine.core.faults.failVersions = { v1: { fraction: 1, aboveConcurrent: 1 } }
    expect((await complete()).error).toBeUndefined()
    const errors = await Promise.all(Array.from({ length: 4 }, async () => await complete({ maximumOutputTokens: 20 })))
    expect(errors.filter((outcome) => outcome.error !== undefined).length).toBe(2)
  })

  it('concerns one label and one version only', async () => {
    const { engine, complete } = await start({ loaded: ['model@v1', 'model@v2'] })
    engine.core.faults.failVersions = { v2: { fraction: 1, label: 'chat' } }
    const errors = [
      await complete({ version: 'v2', prompt: 'label=chat' }),
      await complete({ version: 'v2', prompt: 'label=search' }),
      await complete({ version: 'v1', prompt: 'label=chat' })
    ].map((outcome) => outcome.error)
    expect(errors).toEqual(['upstream_failed', undefined, undefined])
  })

  it('slows prefill by its factor', async () => {
    const { engine, complete } = await start({ prefillTokensPerSecond: 50_000 })
    engine.core.faults.slowVersions = { v1: { factor: 10 } }
    expect((await complete({ prompt: BLOCK })).firstToken).toBeGreaterThan(190)
  })
})
