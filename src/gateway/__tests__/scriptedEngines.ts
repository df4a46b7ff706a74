/** Engines with scripted behaviour, and a completion executor that sends requests to them. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach } from 'vitest'
import { createConcurrencyLimit } from '../../fairness/concurrencyLimit'
import { createFairQueue } from '../../fairness/fairQueue'
import { createBlockIndex } from '../../prefix/blockIndex'
import { createBlockKeyFunction } from '../../prefix/blockKeys'
import { createColdPrefixGate } from '../../prefix/coldPrefix'
import { createQuotaAccounts } from '../../quota/accounts'
import { createRetryBudget } from '../../request/retryBudget'
import { createCrashLedger } from '../../upstream/crashLedger'
import { createHttpUpstreamClient } from '../../upstream/engineClient'
import { createUpstreamRegistry } from '../../upstream/registry'
import type { EngineCompletionRequest, UpstreamClient } from '../../upstream/types'
import type { ListedInstance } from '../../types'
import { createAdmission } from '../admission'
import { createAttemptOutcomes } from '../attemptOutcome'
import { createCompletionExecutor } from '../completionExecutor'
import { createCompletionRun } from '../completionRun'
import type { CompletionExecutor, CompletionPiece } from '../completionTypes'
import { createDispatcher } from '../dispatcher'

/** A fault fails the test run. */
const reportFault = (error: unknown): never => { throw error }

export const CHUNKS = 12
const BETWEEN_CHUNKS_MS = 200
const SILENCE_MS = 1000
export const WHOLE_TEXT = Array.from({ length: CHUNKS }, (_, index) => `t${index} `).join('')
/** Two engines may work on one stream for this time after the second one has begun to answer. */
export const MAXIMUM_OVERLAP_MS = 400
export const now = (): number => performance.now()
const metrics = { increment () {}, gauge () {}, timing () {} }

/** A run that an engine began, with the time of its first chunk and of its end. */
export interface EngineRun {
  request: string
  engine: string
  resumeFrom: number
  firstChunkAt: number | undefined
  endedAt: number | undefined
}

export interface EngineCall {
  order: EngineCompletionRequest
  request: IncomingMessage
  response: ServerResponse
  run: EngineRun
  server: Server
}

export type Behaviour = (call: EngineCall) => Promise<void>

export interface Fleet {
  execute: CompletionExecutor
  runs: EngineRun[]
  /** Number of requests that each engine received. */
  received: Map<string, number>
  logged: Array<{ event: string, [field: string]: unknown }>
}

export interface FleetOptions {
  engines: Record<string, Behaviour>
  /** Engines whose concurrency limit is used up. */
  full?: readonly string[]
  /** Time in milliseconds after which these engines have room. */
  fullMilliseconds?: number
  retryTokens?: number
  whole?: number
  maximumWait?: number
}

let cleanUps: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanUp of cleanUps) await cleanUp()
  cleanUps = []
})

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

async function writeChunks (
  { order, response, run }: EngineCall, from: number, to: number, beforeChunk = async (): Promise<void> => {}
): Promise<void> {
  for (let index = from; index <= to; index++) {
    await beforeChunk()
    if (response.destroyed) return
    run.firstChunkAt ??= now()
    const final = index === CHUNKS
    response.write(`data: ${JSON.stringify({
      requestIdentifier: order.requestIdentifier, attempt: order.attempt, index, text: final ? '' : `t${index} `, final
    })}\n\n`)
    await pause(5)
  }
  if (to === CHUNKS) response.end()
}

function begin ({ order, response }: EngineCall): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream', 'x-request-id': order.requestIdentifier, 'x-attempt': String(order.attempt)
  })
  response.flushHeaders()
}

export async function answers (call: EngineCall, beforeChunk?: () => Promise<void>): Promise<void> {
  begin(call)
  await writeChunks(call, call.order.resumeFrom, CHUNKS, beforeChunk)
}

export const silentAfter = (chunks: number, milliseconds = SILENCE_MS): Behaviour => async (call) => {
  begin(call)
  await writeChunks(call, call.order.resumeFrom, chunks - 1)
  await pause(milliseconds)
  await writeChunks(call, chunks, CHUNKS)
}

export const silentBeforeAnswer = (milliseconds = SILENCE_MS): Behaviour => async (call) => {
  await pause(milliseconds)
  await answers(call)
}

export const refuses: Behaviour = async ({ response }) => {
  response.writeHead(503, { 'x-execution': 'not_run', 'retry-after': '1' }).end('{}')
}

export const resets: Behaviour = async ({ request }) => { request.socket.resetAndDestroy() }

export const resetsAfter = (chunks: number): Behaviour => async (call) => {
  begin(call)
  await writeChunks(call, call.order.resumeFrom, chunks - 1)
  call.request.socket.resetAndDestroy()
}

async function startEngine (
  name: string, behave: Behaviour, runs: EngineRun[], received: Map<string, number>
): Promise<{ host: string, port: number }> {
  const server: Server = createServer((request, response) => {
    if (request.method === 'GET') {
      response.end(JSON.stringify({ incarnation: 1 }))
      return
    }
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      if (request.method === 'DELETE') {
        response.end('{}')
        return
      }
      received.set(name, (received.get(name) ?? 0) + 1)
      const order = JSON.parse(Buffer.concat(parts).toString('utf8')) as EngineCompletionRequest
      const run: EngineRun = {
        request: order.requestIdentifier,
        engine: name,
        resumeFrom: order.resumeFrom,
        firstChunkAt: undefined,
        endedAt: undefined
      }
      response.on('close', () => { run.endedAt = now() })
      runs.push(run)
      behave({ order, request, response, run, server }).catch(() => {})
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  cleanUps.push(async () => {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
}

export async function startFleet (options: FleetOptions): Promise<Fleet> {
  const runs: EngineRun[] = []
  const received = new Map<string, number>()
  const logged: Fleet['logged'] = []
  const log = (event: string, fields: object = {}): void => { logged.push({ event, ...fields }) }
  const client: UpstreamClient = createHttpUpstreamClient({ controlTimeout: 300 })
  cleanUps.push(async () => { await client.close() })
  const limits = new Map(Object.keys(options.engines).map((name) => [name, createConcurrencyLimit()]))
  for (const name of options.full ?? []) while (limits.get(name)!.tryAcquire()) { /* Uses up the limit. */ }
  if (options.fullMilliseconds !== undefined) {
    const makeRoom = (): void => { for (const name of options.full ?? []) limits.get(name)!.releaseRecorded() }
    const timer = setTimeout(makeRoom, options.fullMilliseconds)
    cleanUps.push(async () => { clearTimeout(timer) })
  }
  const registry = createUpstreamRegistry({
    dataCentre: 'a', hasRoom: (name) => limits.get(name)!.inFlight() < limits.get(name)!.limit()
  })
  const listings: ListedInstance[] = []
  for (const [name, behave] of Object.entries(options.engines)) {
    const endpoint = await startEngine(name, behave, runs, received)
    listings.push({ name, kind: 'engine' as const, dataCentre: 'a', endpoint, state: 'live' as const })
  }
  registry.applyList(listings, 1, now())
  const report = (): void => {
    for (const { name } of listings) {
      registry.applyReport(name, {
        incarnation: 1, leaving: false, loaded: ['m@v1'], running: 0, waiting: 0, waitingTokens: 0, prefillTokensPerSecond: 8000
      }, now())
    }
  }
  report()
  const accounts = createQuotaAccounts()
  const past = now() - 60_000
  accounts.setLimits([{ customer: 'c', rate: 10_000, burst: 10_000 }], past)
  accounts.setGrant('floor', 10_000, now() + 600_000, past)
  const crashes = createCrashLedger()
  const index = createBlockIndex({ maximumEntries: 1024 })
  const dispatcher = createDispatcher({
    queue: createFairQueue(),
    registry,
    index,
    gate: createColdPrefixGate(),
    choose: (_, candidates) => {
      const chosen = candidates.find(({ hasCapacity }) => hasCapacity)
      return chosen === undefined
        ? undefined
        : { upstream: chosen.upstream, incarnation: chosen.incarnation, expectedBlocks: 0 } as never
    },
    limitOf: (name) => limits.get(name)!,
    now,
    random: () => 0.5
  })
  const pumping = setInterval(() => {
    report()
    dispatcher.pump()
  }, 50)
  cleanUps.push(async () => { clearInterval(pumping) })
  const run = createCompletionRun({
    dispatcher,
    client,
    outcomes: createAttemptOutcomes({
      client, registry, crashes, publishCrashes () {}, reportFault, log, metrics, now
    }),
    crashes,
    retryBudget: createRetryBudget({ capacity: options.retryTokens ?? 100, ratio: 0, refillPerSecond: 0 }),
    index,
    blockKeys: await createBlockKeyFunction(),
    chooseVersion: () => 'v1',
    recordOutcome () {},
    timeouts: {
      connect: 500, firstByte: BETWEEN_CHUNKS_MS, betweenChunks: BETWEEN_CHUNKS_MS, whole: options.whole ?? 6000
    },
    maximumWait: options.maximumWait ?? 300,
    log,
    metrics,
    now
  })
  const execute = createCompletionExecutor({
    configuration: () => ({
      dataCentres: [],
      customers: [],
      models: [{ name: 'm', version: 'v1', finishBy: undefined, maximumOutputTokens: CHUNKS, parallelLoads: 1 }],
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
  return { execute, runs, received, logged }
}

/** Starts one completion. */
export function complete (
  execute: CompletionExecutor, signal = new AbortController().signal, identifier = 'r1', prompt = 'a prompt'
): AsyncIterable<CompletionPiece> {
  return execute({
    identifier,
    caller: { customer: 'c', keyHash: '' },
    fingerprint: identifier,
    request: {
      style: 'chat', model: 'm', adapter: '', prompt, maximumOutputTokens: undefined, stream: true, includeUsage: false
    },
    signal
  })
}

/** Returns the whole text of one completion. */
export async function collect (
  execute: CompletionExecutor, signal?: AbortSignal, identifier?: string, prompt?: string
): Promise<string> {
  const texts: string[] = []
  for await (const piece of complete(execute, signal, identifier, prompt)) texts.push(piece.text)
  return texts.join('')
}

/** Longest time for which two engines worked on the request after the later one had sent its first chunk. */
export function longestOverlap (runs: readonly EngineRun[]): number {
  return Math.max(0, ...runs.flatMap((run) => runs.map((other) => {
    if (other === run || other.firstChunkAt === undefined || run.firstChunkAt === undefined) return 0
    const begun = Math.max(run.firstChunkAt, other.firstChunkAt)
    return Math.min(run.endedAt ?? now(), other.endedAt ?? now()) - begun
  })))
}
