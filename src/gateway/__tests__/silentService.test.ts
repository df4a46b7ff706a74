import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMemoryPlatform } from '../../platform/memoryPlatform'
import { createQuotaAccounts } from '../../quota/accounts'
import { createIdempotencyGuard } from '../../request/idempotency'
import { createRetryBudget } from '../../request/retryBudget'
import { createCrashLedger } from '../../upstream/crashLedger'
import { createHttpUpstreamClient } from '../../upstream/engineClient'
import { createUpstreamRegistry } from '../../upstream/registry'
import { createAdmission } from '../admission'
import { createAttemptOutcomes } from '../attemptOutcome'
import { createServiceExecutor } from '../serviceExecutor'
import type { ServiceExecutor } from '../serviceExecutor'

/** A fault fails the test run. */
const reportFault = (error: unknown): never => { throw error }

const SILENCE_LIMIT_MS = 200
const SILENCE_MS = 900
const BODY = 'a whole answer'
const now = (): number => performance.now()
const metrics = { increment () {}, gauge () {}, timing () {} }

type Behaviour = (request: IncomingMessage, response: ServerResponse) => Promise<void>

interface Fleet {
  call: (method?: string) => ReturnType<ServiceExecutor>
  /** Number of calls by instance and method, without probes. */
  calls: Array<{ instance: string, method: string, isOpen: boolean }>
  logged: Array<{ event: string, [field: string]: unknown }>
}

let cleanUps: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanUp of cleanUps) await cleanUp()
  cleanUps = []
})

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

const answers: Behaviour = async (_, response) => { response.end(BODY) }
const silentAtStart = (milliseconds = SILENCE_MS): Behaviour => async (request, response) => {
  await pause(milliseconds)
  await answers(request, response)
}
const silentInBody = (milliseconds = SILENCE_MS): Behaviour => async (_, response) => {
  response.writeHead(200, { 'content-length': BODY.length }).write(BODY.slice(0, 5))
  await pause(milliseconds)
  response.end(BODY.slice(5))
}
const refuses: Behaviour = async (_, response) => {
  response.writeHead(503, { 'x-execution': 'not_run', 'retry-after': '1' }).end()
}
const resets: Behaviour = async ({ socket }) => { socket.resetAndDestroy() }

async function startFleet (instances: Record<string, Behaviour>, retryTokens = 100): Promise<Fleet> {
  const calls: Fleet['calls'] = []
  const logged: Fleet['logged'] = []
  const log = (event: string, fields: object = {}): void => { logged.push({ event, ...fields }) }
  const client = createHttpUpstreamClient({ controlTimeout: 300 })
  cleanUps.push(async () => { await client.close() })
  const registry = createUpstreamRegistry({ dataCentre: 'a' })
  const listings = await Promise.all(Object.entries(instances).map(async ([name, behave]) => {
    const server = createServer((request, response) => {
      if (request.url === '/probe') {
        response.end(JSON.stringify({ incarnation: 1 }))
        return
      }
      const call = { instance: name, method: request.method ?? '', isOpen: true }
      calls.push(call)
      response.on('close', () => { call.isOpen = false })
      behave(request, response).catch(() => {})
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    cleanUps.push(async () => {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    })
    const endpoint = { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
    return { name, kind: 'service' as const, dataCentre: 'a', endpoint, state: 'live' as const, service: 'shop' }
  }))
  registry.applyList(listings, 1, now())
  const accounts = createQuotaAccounts()
  const crashes = createCrashLedger()
  const execute = createServiceExecutor({
    admission: createAdmission({ accounts, borrow: () => undefined, now }),
    accounts,
    crashes,
    registry,
    retryBudget: createRetryBudget({ capacity: retryTokens, ratio: 0, refillPerSecond: 0 }),
    guard: createIdempotencyGuard({
      platform: createMemoryPlatform().client, instance: 'i', incarnation: 1, createIdentifier: () => 'operation'
    }),
    outcomes: createAttemptOutcomes({
      client, registry, crashes, publishCrashes () {}, reportFault, log, metrics, now
    }),
    client,
    timeouts: { connect: 500, firstByte: SILENCE_LIMIT_MS, betweenChunks: SILENCE_LIMIT_MS, whole: 4000 },
    log,
    metrics,
    now,
    wallClock: Date.now
  })
  const route = {
    name: 'menu', path: '/menu', service: 'shop', methods: ['GET', 'POST'], idempotentMethods: ['GET'], open: true, cost: 0
  }
  return {
    calls,
    logged,
    call: async (method = 'GET') => await execute({
      identifier: 'r1',
      customer: undefined,
      route,
      fingerprint: 'f',
      method,
      target: '/menu',
      headers: {},
      body: new Uint8Array(0),
      idempotencyKey: undefined,
      signal: new AbortController().signal
    })
  }
}

describe('a plain request whose service is silent for a while and goes on', () => {
  // Guards against a request that gets 502 or 504 because its instance was given up before another one had answered.
  it.each<[string, string, Record<string, Behaviour>, number]>([
    ['GET', 'at the only instance', { s0: silentAtStart() }, 100],
    ['GET', 'beside instances that refuse', { s0: silentAtStart(), s1: refuses, s2: refuses, s3: refuses }, 100],
    ['GET', 'beside instances that reset', { s0: silentAtStart(), s1: resets, s2: resets, s3: resets }, 100],
    ['GET', 'beside instances that are silent for longer',
      { s0: silentAtStart(), s1: silentAtStart(3000), s2: silentAtStart(3000), s3: silentAtStart(3000) }, 100],
    ['GET', 'with the retry budget used up', { s0: silentAtStart(), s1: refuses }, 0],
    ['GET', 'in the body, at the only instance', { s0: silentInBody() }, 100],
    ['GET', 'in the body, beside instances that refuse', { s0: silentInBody(), s1: refuses, s2: refuses, s3: refuses }, 100],
    ['POST', 'in the body, beside instances that answer', { s0: silentInBody(), s1: answers }, 100]
  ])('%s gets the whole answer %s', async (method, _, instances, retryTokens) => {
    const fleet = await startFleet(instances, retryTokens)
    const response = await fleet.call(method)
    expect([response.status, Buffer.from(response.body).toString()]).toEqual([200, BODY])
    const executed = fleet.calls.filter(({ instance }) => instances[instance] !== refuses)
    expect(executed.length).toBeLessThanOrEqual(method === 'GET' ? 4 : 1)
  })

  it.each<[string, Record<string, Behaviour>]>([
    ['answers', { s0: silentAtStart(60_000), s1: answers }],
    ['answers after another one is silent too', { s0: silentAtStart(60_000), s1: silentAtStart(60_000), s2: answers }],
    ['answers after another one has refused', { s0: silentInBody(60_000), s1: refuses, s2: answers }]
  ])('is taken over by an instance that %s, and the silent one is released', async (_, instances) => {
    const startedAt = now()
    const fleet = await startFleet(instances)
    const response = await fleet.call()
    expect(Buffer.from(response.body).toString()).toBe(BODY)
    expect(now() - startedAt).toBeLessThan(2000)
    await expect.poll(() => fleet.calls.filter(({ isOpen }) => isOpen)).toEqual([])
  })

  // Guards against a second execution of a request that may not be repeated.
  it('is not sent again if it may not be repeated, and ends at the limit of the first byte', async () => {
    const fleet = await startFleet({ s0: silentAtStart(60_000), s1: answers })
    await expect(fleet.call('POST')).rejects.toMatchObject({ code: 'upstream_timeout', execution: 'unknown' })
    expect(fleet.calls.filter(({ method }) => method === 'POST')).toHaveLength(1)
  })
})
