import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { startEngineServer } from '../../../standins/engine/server'
import type { EngineServer } from '../../../standins/engine/server'
import { createConcurrencyLimit } from '../../fairness/concurrencyLimit'
import { createFairQueue } from '../../fairness/fairQueue'
import { createBlockIndex } from '../../prefix/blockIndex'
import { createBlockKeyFunction } from '../../prefix/blockKeys'
import { createColdPrefixGate } from '../../prefix/coldPrefix'
import { chooseUpstream } from '../../prefix/routing'
import { createQuotaAccounts } from '../../quota/accounts'
import { createRetryBudget } from '../../request/retryBudget'
import type { RequestOutcome } from '../../rollout/sampler'
import { createCrashLedger } from '../../upstream/crashLedger'
import { createHttpUpstreamClient } from '../../upstream/engineClient'
import { createUpstreamRegistry } from '../../upstream/registry'
import type { UpstreamClient } from '../../upstream/types'
import { createAdmission } from '../admission'
import { createAttemptOutcomes } from '../attemptOutcome'
import { createCompletionExecutor } from '../completionExecutor'
import { createCompletionRun } from '../completionRun'
import type { CompletionExecutor, CompletionJob, CompletionPiece } from '../completionTypes'
import { createDispatcher } from '../dispatcher'

/** A fault fails the test run. */
const reportFault = (error: unknown): never => { throw error }

const OUTPUT_TOKENS = 24
const BURST = 100_000
const now = (): number => performance.now()
const log = (): void => {}
const metrics = { increment () {}, gauge () {}, timing () {} }

let engines: EngineServer[]
let client: UpstreamClient
let execute: CompletionExecutor
let outcomes: RequestOutcome[]
let quotaLevel: () => number
let crashes: ReturnType<typeof createCrashLedger>

beforeEach(async () => {
  engines = await Promise.all([1, 2, 3].map(async (incarnation) => await startEngineServer({
    loaded: ['m@v1', 'm@v2'], prefillTokensPerSecond: 200_000, decodeTokensPerSecond: 200, incarnation
  })))
  client = createHttpUpstreamClient()
  outcomes = []
  const limits = new Map(engines.map((_, index) => [`e${index}`, createConcurrencyLimit()]))
  const registry = createUpstreamRegistry({ dataCentre: 'a' })
  registry.applyList(engines.map(({ endpoint }, index) => {
    return { name: `e${index}`, kind: 'engine' as const, dataCentre: 'a', endpoint, state: 'live' as const }
  }), 1, now())
  for (const [index, { endpoint }] of engines.entries()) registry.applyReport(`e${index}`, await client.report(endpoint), now())
  const accounts = createQuotaAccounts()
  const past = now() - 60_000
  accounts.setLimits([{ customer: 'c', rate: BURST, burst: BURST }], past)
  accounts.setGrant('floor', 10_000, now() + 600_000, past)
  // The bucket is full at this point and does not refill noticeably during the test.
  accounts.setLimits([{ customer: 'c', rate: 0.001, burst: BURST }], now())
  quotaLevel = () => accounts.inspect('c', now()).level
  crashes = createCrashLedger()
  const index = createBlockIndex({ maximumEntries: 1024 })
  const dispatcher = createDispatcher({
    queue: createFairQueue(),
    registry,
    index,
    gate: createColdPrefixGate(),
    choose: chooseUpstream,
    limitOf: (name) => limits.get(name)!,
    now,
    random: () => 0.5
  })
  const run = createCompletionRun({
    dispatcher,
    client,
    outcomes: createAttemptOutcomes({
      client, registry, crashes, publishCrashes () {}, reportFault, log, metrics, now
    }),
    crashes,
    retryBudget: createRetryBudget(),
    index,
    blockKeys: await createBlockKeyFunction(),
    chooseVersion: (_, failed) => failed === 'v2' ? 'v1' : 'v2',
    recordOutcome: (outcome) => { outcomes.push(outcome) },
    timeouts: { connect: 500, firstByte: 1000, betweenChunks: 300, whole: 20_000 },
    maximumWait: 2000,
    log,
    metrics,
    now
  })
  execute = createCompletionExecutor({
    configuration: () => ({
      dataCentres: [],
      customers: [],
      models: [{ name: 'm', version: 'v2', finishBy: undefined, maximumOutputTokens: OUTPUT_TOKENS, parallelLoads: 1 }],
      routes: []
    }),
    admission: createAdmission({ accounts, borrow: () => undefined, now }),
    accounts,
    crashes,
    run,
    log,
    metrics,
    now
  })
})

afterEach(async () => {
  await client.close()
  await Promise.all(engines.map(async (engine) => { await engine.close().catch(() => {}) }))
})

function job (identifier: string, overrides: Partial<CompletionJob> = {}, prompt = 'a prompt'): CompletionJob {
  return {
    identifier,
    caller: { customer: 'c', keyHash: '' },
    fingerprint: identifier,
    request: {
      style: 'chat', model: 'm', adapter: '', prompt, maximumOutputTokens: undefined, stream: true, includeUsage: false
    },
    signal: new AbortController().signal,
    ...overrides
  }
}

async function collect (
  pieces: AsyncIterable<CompletionPiece>, onPiece: (count: number) => void = () => {}
): Promise<string> {
  const texts: string[] = []
  for await (const piece of pieces) {
    texts.push(piece.text)
    onPiece(texts.length)
  }
  return texts.join('')
}

/** Returns the engine that is running the request. */
function engineRunning (identifier: string): EngineServer {
  const found = engines.find(({ core }) => core.journal.entries().some((entry) => {
    return entry.requestIdentifier === identifier && entry.finished === undefined
  }))
  if (found === undefined) throw new Error(`no engine runs ${identifier}`)
  return found
}

describe('createCompletionExecutor', () => {
  it('returns the complete text and charges the tokens used', async () => {
    const before = quotaLevel()
    const text = await collect(execute(job('r1')))
    expect(text).not.toBe('')
    expect(before - quotaLevel()).toBeGreaterThan(OUTPUT_TOKENS)
    expect(before - quotaLevel()).toBeLessThanOrEqual(OUTPUT_TOKENS + 2)
    expect(outcomes).toMatchObject([{ version: 'v2', failed: false, firstToken: expect.any(Number) }])
  })

  // Guards against lost or duplicated text: without a correct resume, each fault would drop or repeat a part of it.
  it.each([
    ['is killed', async (engine: EngineServer) => { await engine.close() }],
    ['stops responding', async (engine: EngineServer) => { await setFaults(engine, { silence: 'all' }) }],
    ['loses chunks', async (engine: EngineServer) => { await setFaults(engine, { lostChunks: 1 }) }],
    ['mixes up responses', async (engine: EngineServer) => { await setFaults(engine, { crossedAnswers: 1 }) }]
  ])('returns the complete text once when the engine %s in mid-stream', async (_, injectFault) => {
    const expected = await collect(execute(job('reference')))
    const before = quotaLevel()
    const text = await collect(execute(job('r1')), (count) => { if (count === 5) injectFault(engineRunning('r1')).catch(() => {}) })
    expect(text).toBe(expected)
    expect(before - quotaLevel()).toBeLessThanOrEqual(OUTPUT_TOKENS + 2)
  })

  it('restarts on the old version if the new version fails before its first chunk', async () => {
    for (const engine of engines) await setFaults(engine, { failVersions: { v2: { fraction: 1 } } })
    await collect(execute(job('r1')))
    expect(outcomes.map(({ version, failed }) => [version, failed])).toEqual([['v2', true], ['v1', false]])
  })

  // Guards against a request that crashes one engine after another.
  it('rejects a request that crashed two engines, even when it is sent again', async () => {
    for (const engine of engines) await setFaults(engine, { crashOnText: ['poison'] })
    const poisonJob = (identifier: string): CompletionJob => job(identifier, { fingerprint: 'poison' }, 'poison')
    await expect(collect(execute(poisonJob('r1')))).rejects.toMatchObject({ code: 'crashing_request', execution: 'unknown' })
    await expect(collect(execute(poisonJob('r2')))).rejects.toMatchObject({ code: 'crashing_request', execution: 'not_run' })
    const probes = await Promise.allSettled(engines.map(async ({ endpoint }) => await client.probe(endpoint)))
    expect(probes.filter(({ status }) => status === 'fulfilled')).toHaveLength(1)
  })

  it.each([
    ['an unknown model', { model: 'x' }, 'model_not_found'],
    ['a prompt over the burst', { prompt: 'x'.repeat(4 * BURST) }, 'burst_exceeded']
  ])('rejects %s without a charge', async (_, change, code) => {
    const before = quotaLevel()
    const { request, ...rest } = job('r1')
    const pieces = execute({ ...rest, request: { ...request, ...change } })
    await expect(collect(pieces)).rejects.toMatchObject({ code, execution: 'not_run' })
    expect(before - quotaLevel()).toBeLessThanOrEqual(0)
  })

  it('cancels the engine and refunds the rest when the caller disconnects', async () => {
    const before = quotaLevel()
    const abort = new AbortController()
    await expect(collect(execute(job('r1', { signal: abort.signal })), (count) => {
      if (count === 3) abort.abort(new Error('gone'))
    })).rejects.toThrow()
    const ends = (): unknown[] => engines.flatMap(({ core }) => core.journal.entries()).map(({ outcome }) => outcome)
    await expect.poll(ends).toEqual(['cancelled'])
    expect(before - quotaLevel()).toBeLessThan(OUTPUT_TOKENS)
  })
})

async function setFaults (engine: EngineServer, faults: object): Promise<void> {
  const { host, port } = engine.endpoint
  await fetch(`http://${host}:${port}/control/faults`, { method: 'PUT', body: JSON.stringify(faults) })
}
