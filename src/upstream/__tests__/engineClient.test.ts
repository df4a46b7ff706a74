/** Tests the engine client against a fake engine server in the same process, with one case per fault. */
import fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import type { EngineOptions } from '../../../standins/engine/core'
import type { EngineFaults } from '../../../standins/engine/faults'
import { startEngineServer } from '../../../standins/engine/server'
import type { EngineServer } from '../../../standins/engine/server'
import { generateText } from '../../../standins/engine/text'
import { RouterError, StaleFencingTokenError } from '../../errors'
import { createHttpUpstreamClient, progressOf, reportsLeaving } from '../engineClient'
import type { AttemptTimeouts, CompletionChunk, EngineCompletionRequest, UpstreamClient } from '../types'

const closers: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

async function start (options: EngineOptions = {}): Promise<{ engine: EngineServer, client: UpstreamClient }> {
  const engine = await startEngineServer({ prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1000, ...options })
  const client = createHttpUpstreamClient({ controlTimeout: 500 })
  closers.push(async () => await engine.close(), async () => await client.close())
  return { engine, client }
}

const timeouts: AttemptTimeouts = { connect: 500, firstByte: 500, betweenChunks: 300, whole: 5000 }
const neverAborted = new AbortController().signal

function requestWith (change: Partial<EngineCompletionRequest> = {}): EngineCompletionRequest {
  return {
    requestIdentifier: 'r1',
    attempt: 1,
    model: 'model',
    version: 'v1',
    adapter: '',
    prompt: 'tell me label=chat',
    maximumOutputTokens: 20,
    priority: 0,
    blockKeys: [],
    cacheSalt: 'customer',
    resumeFrom: 0,
    resumeText: '',
    ...change
  }
}

interface Outcome {
  chunks: CompletionChunk[]
  error: unknown
}

async function run (
  engine: EngineServer,
  client: UpstreamClient,
  change: Partial<EngineCompletionRequest> = {},
  overrides: Partial<AttemptTimeouts> = {},
  signal: AbortSignal = neverAborted,
  onChunk: (chunk: CompletionChunk) => Promise<void> | void = () => undefined
): Promise<Outcome> {
  const chunks: CompletionChunk[] = []
  try {
    for await (const chunk of client.complete(
      engine.endpoint, requestWith(change), { ...timeouts, ...overrides }, signal
    )) {
      chunks.push(chunk)
      await onChunk(chunk)
    }
    return { chunks, error: undefined }
  } catch (error) {
    return { chunks, error }
  }
}

const textOf = (chunks: readonly CompletionChunk[]): string => chunks.map((chunk) => chunk.text).join('')
const wait = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds))

describe('a completion', () => {
  it('arrives complete, in order and with a final chunk', async () => {
    const { engine, client } = await start()
    const { chunks, error } = await run(engine, client)
    expect(error).toBeUndefined()
    expect(chunks.map((chunk) => chunk.index)).toEqual(Array.from({ length: 21 }, (_, index) => index))
    expect(textOf(chunks)).toBe(generateText('model', 'v1', requestWith().prompt).textBefore(20))
    expect(chunks.at(-1)).toMatchObject({ final: true, finishReason: 'length', cachedTokens: 0, promptTokens: 5 })
    expect(engine.core.journal.entries()).toMatchObject([{ requestIdentifier: 'r1', attempt: 1, outcome: 'complete' }])
  })

  it('continues the same text when resumed from any index', async () => {
    const { engine, client } = await start()
    const text = generateText('model', 'v1', requestWith().prompt)
    for (const resumeFrom of [1, 7, 20]) {
      const { chunks, error } = await run(engine, client, { resumeFrom, resumeText: text.textBefore(resumeFrom) })
      expect(error).toBeUndefined()
      expect(text.textBefore(resumeFrom) + textOf(chunks)).toBe(text.textBefore(20))
    }
  })

  it('uses cached blocks only with the same salt', async () => {
    const { engine, client } = await start()
    const change = { prompt: 'x'.repeat(9000), blockKeys: ['k1', 'k2'] }
    const cached = async (cacheSalt: string): Promise<number | undefined> =>
      (await run(engine, client, { ...change, cacheSalt })).chunks.at(-1)?.cachedTokens
    expect([await cached('a'), await cached('a'), await cached('b')]).toEqual([0, 2048, 0])
  })

  it('leaves its connection open for reuse by the next request', async () => {
    const { engine, client } = await start()
    for (let round = 0; round < 5; round++) {
      expect((await run(engine, client)).error).toBeUndefined()
      // The end of the body is awaited in the background after the final chunk.
      await wait(10)
    }
    expect(engine.sockets().length).toBe(1)
  })

  it('is cancelled in the engine when the signal aborts, which frees its slot', async () => {
    const { engine, client } = await start()
    const aborter = new AbortController()
    const { error } = await run(engine, client, { maximumOutputTokens: 5000 }, {}, aborter.signal, (chunk) => {
      if (chunk.index === 3) aborter.abort()
    })
    expect(progressOf(error)).toBe('started')
    await wait(50)
    expect(engine.core.journal.entries().at(-1)).toMatchObject({ outcome: 'cancelled' })
    expect(engine.core.scheduler.running()).toBe(0)
  })

  it('is cancelled by a cancel request', async () => {
    const { engine, client } = await start()
    const running = run(engine, client, { maximumOutputTokens: 5000 })
    await wait(50)
    await client.cancel(engine.endpoint, 'r1', 1)
    expect((await running).error).toBeInstanceOf(RouterError)
    expect(engine.core.journal.entries().at(-1)).toMatchObject({ outcome: 'cancelled' })
  })

  it('pauses with its consumer, without growing buffers', async () => {
    const { engine, client } = await start({ decodeTokensPerSecond: 1e6 })
    let produced = 0
    await run(engine, client, { maximumOutputTokens: 200_000 }, {}, neverAborted, async (chunk) => {
      if (chunk.index !== 0) return
      await wait(1500)
      produced = engine.core.running.size
      const before = process.memoryUsage().arrayBuffers
      await wait(500)
      expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(8 * 1024 * 1024)
      throw new Error('consumer stops')
    })
    expect(produced).toBe(1)
  })
})

interface FaultCase {
  name: string
  faults: Partial<EngineFaults>
  change?: Partial<EngineCompletionRequest>
  limits?: Partial<AttemptTimeouts>
  error: string
  progress: string
  execution: string
}

describe('an attempt that fails', () => {
  it.each<FaultCase>([
    { name: 'a chunk of another request', faults: { crossedAnswers: 1 }, error: 'stream_integrity', progress: 'started', execution: 'unknown' },
    { name: 'a missing chunk', faults: { lostChunks: 0.5 }, error: 'stream_integrity', progress: 'started', execution: 'unknown' },
    { name: 'a stream without its final chunk', faults: { truncatedStreams: 1 }, error: 'upstream_failed', progress: 'started', execution: 'unknown' },
    { name: 'a response later than the first-byte limit', faults: { lateAnswers: 800 }, error: 'upstream_timeout', progress: 'maybeStarted', execution: 'unknown' },
    { name: 'no response on any connection', faults: { silence: 'all' }, error: 'upstream_timeout', progress: 'maybeStarted', execution: 'unknown' },
    { name: 'slow decode beyond the limit between chunks', faults: { slowVersions: { v1: { factor: 500 } } }, limits: { firstByte: 3000 }, error: 'upstream_timeout', progress: 'started', execution: 'unknown' },
    { name: 'a stream longer than the total limit', faults: {}, change: { maximumOutputTokens: 100_000 }, limits: { whole: 300 }, error: 'upstream_timeout', progress: 'started', execution: 'unknown' },
    { name: 'a version that fails before the first token', faults: { failVersions: { v1: { fraction: 1 } } }, error: 'upstream_failed', progress: 'started', execution: 'failed' },
    { name: 'a version that fails during the stream', faults: { failVersions: { v1: { fraction: 1, afterTokens: 3 } } }, error: 'upstream_failed', progress: 'started', execution: 'failed' },
    { name: 'a rejection before the request runs', faults: { refuse: 1 }, error: 'upstream_failed', progress: 'notSent', execution: 'not_run' },
    { name: 'a version that is not loaded', faults: {}, change: { version: 'v9' }, error: 'upstream_failed', progress: 'notSent', execution: 'not_run' },
    { name: 'a crash on the prompt', faults: { crashOnText: ['tell me'] }, error: 'upstream_failed', progress: 'maybeStarted', execution: 'unknown' }
  ])('reports $name', async ({ faults, change, limits, error: code, progress, execution }) => {
    const { engine, client } = await start()
    await fetch(`http://127.0.0.1:${engine.endpoint.port}/control/faults`, { method: 'PUT', body: JSON.stringify(faults) })
    const { error, chunks } = await run(engine, client, change, limits)
    expect(error).toMatchObject({ code, execution })
    expect(progressOf(error)).toBe(progress)
    expect(chunks.some((chunk) => chunk.final)).toBe(false)
    // The chunks yielded before the failure are a prefix of the expected text.
    expect(generateText('model', 'v1', requestWith().prompt).textBefore(chunks.length)).toBe(textOf(chunks))
  })

  it('is reported as not sent when the port is closed', async () => {
    const { engine, client } = await start()
    await engine.close()
    const { error } = await run(engine, client)
    expect(error).toMatchObject({ code: 'upstream_failed', execution: 'not_run' })
    expect(progressOf(error)).toBe('notSent')
  })

  it('due to a replayed previous response closes the connection, and the next request succeeds', async () => {
    const { engine, client } = await start()
    await run(engine, client, { requestIdentifier: 'r0' })
    await wait(10)
    engine.core.faults.replayPrevious = true
    expect((await run(engine, client)).error).toMatchObject({ code: 'stream_integrity' })
    expect((await run(engine, client)).error).toBeUndefined()
  })

  it('due to a replayed previous response closes the connection even if that response was received completely', async () => {
    const { engine, client } = await start()
    engine.core.faults.replayPrevious = true
    const outcomes: unknown[] = []
    for (let attempt = 1; attempt <= 6; attempt++) {
      const { error } = await run(engine, client, { attempt, maximumOutputTokens: 0 })
      outcomes.push((error as RouterError | undefined)?.code)
      await wait(10)
    }
    // Each replayed response fails one attempt; the next one opens a new connection, which has no previous response.
    const alternating = [undefined, 'stream_integrity']
    expect(outcomes).toEqual([...alternating, ...alternating, ...alternating])
  })

  it('on an unresponsive open connection is followed by one on a new connection', async () => {
    const { engine, client } = await start()
    await run(engine, client)
    await fetch(`http://127.0.0.1:${engine.endpoint.port}/control/faults`, { method: 'PUT', body: '{"silence":"existing"}' })
    expect((await run(engine, client)).error).toMatchObject({ code: 'upstream_timeout' })
    expect((await run(engine, client)).error).toBeUndefined()
    expect(await client.probe(engine.endpoint)).toBe(engine.core.incarnation)
  })

  it('on a leaving engine is reported as such', async () => {
    const { engine, client } = await start()
    engine.core.leaving = true
    const { error } = await run(engine, client)
    expect([progressOf(error), reportsLeaving(error)]).toEqual(['notSent', true])
    expect((await client.report(engine.endpoint)).leaving).toBe(true)
  })
})

describe('a request that is retried after each failure', () => {
  it('delivers exactly the text of one version despite any faults', async () => {
    const { engine, client } = await start()
    let requests = 0
    const probability = fc.constantFrom(0, 0, 0.05, 0.3)
    const faults = fc.record({
      crossedAnswers: probability,
      lostChunks: probability,
      truncatedStreams: probability,
      refuse: probability,
      replayPrevious: fc.boolean(),
      failVersions: fc.record({ v1: fc.record({ fraction: probability, afterTokens: fc.nat(5) }) })
    })
    await fc.assert(fc.asyncProperty(faults, fc.nat(40), fc.string(), async (change, length, prompt) => {
      Object.assign(engine.core.faults, change)
      const expected = generateText('model', 'v1', prompt).textBefore(length)
      // Identifiers are unique in the fleet. With a reused one, replayed chunks would be indistinguishable from new ones.
      const requestIdentifier = `repeated-${++requests}`
      let text = ''
      let received = 0
      for (let attempt = 1; attempt <= 200; attempt++) {
        const { chunks } = await run(engine, client, {
          requestIdentifier, attempt, prompt, maximumOutputTokens: length, resumeFrom: received, resumeText: text
        })
        text += textOf(chunks)
        received += chunks.length
        expect(expected.startsWith(text)).toBe(true)
        if (chunks.at(-1)?.final === true) {
          expect(text).toBe(expected)
          return
        }
      }
      throw new Error('no attempt completed')
    }), { numRuns: 40 })
  })
})

describe('load and unload commands', () => {
  it('load and unload versions, and reject a stale fencing token unless the engine ignores it', async () => {
    const { engine, client } = await start({ loadMilliseconds: 5 })
    const order = { kind: 'load', model: 'model', version: 'v2', adapter: '', fencingToken: 7 } as const
    await client.order(engine.endpoint, order)
    expect((await client.report(engine.endpoint)).loaded).toContain('model@v2')
    const stale = { ...order, kind: 'unload', fencingToken: 6 } as const
    await expect(client.order(engine.endpoint, stale)).rejects.toBeInstanceOf(StaleFencingTokenError)
    engine.core.faults.ignoreFencing = true
    await client.order(engine.endpoint, stale)
    expect((await client.report(engine.endpoint)).loaded).toEqual(['model@v1'])
  })

  it('reject when loading fails, and the version stays unloaded', async () => {
    const { engine, client } = await start()
    engine.core.faults.failLoads = ['model@v2']
    const order = { kind: 'load', model: 'model', version: 'v2', adapter: '', fencingToken: 1 } as const
    await expect(client.order(engine.endpoint, order)).rejects.toMatchObject({ code: 'upstream_failed' })
    expect((await client.report(engine.endpoint)).loaded).toEqual(['model@v1'])
  })
})
