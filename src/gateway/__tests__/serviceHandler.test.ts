import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { startServiceServer } from '../../../standins/service/server'
import type { ServiceServer } from '../../../standins/service/server'
import { createKeySet, hashKey } from '../../customer/keys'
import { createMemoryPlatform } from '../../platform/memoryPlatform'
import type { MemoryPlatform } from '../../platform/memoryPlatform'
import { createQuotaAccounts } from '../../quota/accounts'
import { createIdempotencyGuard } from '../../request/idempotency'
import { createRetryBudget } from '../../request/retryBudget'
import { createCrashLedger } from '../../upstream/crashLedger'
import { createHttpUpstreamClient } from '../../upstream/engineClient'
import { createUpstreamRegistry } from '../../upstream/registry'
import type { UpstreamClient } from '../../upstream/types'
import { createAdmission } from '../admission'
import { createAttemptOutcomes } from '../attemptOutcome'
import { createAuthentication } from '../authentication'
import { createCallerServer } from '../callerServer'
import type { CallerServer } from '../callerServer'
import { createServiceExecutor } from '../serviceExecutor'
import { createServiceHandler } from '../serviceHandler'

/** A fault fails the test run. */
const reportFault = (error: unknown): never => { throw error }

const KEY = 'wws_0123456789abcdefghij'
const now = (): number => performance.now()
const log = (): void => {}
const metrics = { increment () {}, gauge () {}, timing () {} }

let services: ServiceServer[]
let server: CallerServer
let client: UpstreamClient
let platform: MemoryPlatform
let url: string

beforeEach(async () => {
  services = await Promise.all([1, 2].map(async (incarnation) => await startServiceServer({ incarnation })))
  client = createHttpUpstreamClient()
  platform = createMemoryPlatform()
  const registry = createUpstreamRegistry({ dataCentre: 'a' })
  registry.applyList(services.map(({ endpoint }, index) => {
    return { name: `s${index}`, kind: 'service' as const, dataCentre: 'a', endpoint, state: 'live' as const, service: 'shop' }
  }), 1, now())
  const accounts = createQuotaAccounts()
  const past = now() - 60_000
  accounts.setLimits([{ customer: 'c', rate: 1000, burst: 1000 }], past)
  accounts.setGrant('floor', 10_000, now() + 600_000, past)
  const crashes = createCrashLedger()
  const keys = createKeySet()
  keys.apply([{ hash: hashKey(KEY), customer: 'c', state: 'granted', version: 1 }])
  let count = 0
  const execute = createServiceExecutor({
    admission: createAdmission({ accounts, borrow: () => undefined, now }),
    accounts,
    crashes,
    registry,
    retryBudget: createRetryBudget(),
    guard: createIdempotencyGuard({
      platform: platform.client, instance: 'i', incarnation: 1, createIdentifier: () => `operation${count++}`
    }),
    outcomes: createAttemptOutcomes({
      client, registry, crashes, publishCrashes () {}, reportFault, log, metrics, now
    }),
    client,
    timeouts: { connect: 500, firstByte: 500, betweenChunks: 500, whole: 5000 },
    log,
    metrics,
    now,
    wallClock: Date.now
  })
  const route = {
    path: '/orders', service: 'shop', methods: ['GET', 'POST'], idempotentMethods: ['GET'], open: false, cost: 10
  }
  const handler = createServiceHandler({
    ...createAuthentication({ keys, registerKey () {}, now }),
    execute,
    routes: () => [{ ...route, name: 'orders' }, { ...route, name: 'menu', path: '/menu', open: true }],
    maximumBodyBytes: 10_000
  })
  server = createCallerServer({ createIdentifier: () => `r${count++}`, route: () => handler, reportFault () {} })
  url = `http://127.0.0.1:${(await server.listen({ host: '127.0.0.1', port: 0 })).port}`
})

afterEach(async () => {
  await server.close()
  await client.close()
  await Promise.all(services.map(async (service) => { await service.close().catch(() => {}) }))
})

const executedCalls = () => services.flatMap(({ journal }) => journal.entries())

function sendOrder (headers: Record<string, string> = {}, method = 'POST', path = '/orders/1', body = 'two loaves') {
  return fetch(url + path, {
    method, headers: { authorization: `Bearer ${KEY}`, ...headers }, ...(method === 'GET' ? {} : { body })
  })
}

function setFaults (faults: Partial<ServiceServer['faults']>): void {
  for (const service of services) Object.assign(service.faults, faults)
}

describe('plain services', () => {
  // Guards against leaking a key to an upstream, whichever way the caller sends it.
  it.each([
    ['header', {}, '/orders/1?size=2'],
    ['query', {}, `/orders/1?size=2&api_key=${KEY}`],
    ['cookie', { cookie: `a=b; api_key=${KEY}` }, '/orders/1?size=2'],
    ['another header', { 'x-note': `my key is ${KEY}` }, '/orders/1?size=2']
  ])('relays a call without the key in %s', async (_, headers, path) => {
    const response = await sendOrder(headers as Record<string, string>, 'POST', path)
    expect(await response.json()).toMatchObject({ method: 'POST', path: '/orders/1?size=2', body: 'two loaves' })
    expect(executedCalls()).toHaveLength(1)
    expect(JSON.stringify(executedCalls())).not.toContain(KEY)
  })

  it.each([
    ['GET', { lostAnswers: 1 }, 200, undefined, 2],
    ['POST', { lostAnswers: 1 }, 502, 'unknown', 1],
    ['POST', { refusals: 1 }, 200, undefined, 1],
    ['POST', { failures: 1 }, 500, undefined, 1]
  ] as const)('%s under %j gives %i', async (method, faults, status, execution, executions) => {
    Object.assign(services[0]!.faults, faults)
    const response = await sendOrder({}, method)
    expect(response.status).toBe(status)
    if (execution !== undefined) expect(await response.json()).toMatchObject({ error: { execution } })
    expect(executedCalls()).toHaveLength(executions)
  })

  // Guards against a call that runs twice because its response was lost.
  it('runs a call with an idempotency key once, even if its response was lost', async () => {
    setFaults({ lostAnswers: 1 })
    const headers = { 'idempotency-key': 'k1' }
    expect((await sendOrder(headers)).status).toBe(502)
    const repeat = await sendOrder(headers)
    expect([repeat.status, await repeat.json()]).toMatchObject([409, { error: { execution: 'unknown' } }])
    expect(executedCalls()).toHaveLength(1)
  })

  it('returns the stored response for a repeated call and rejects different content', async () => {
    const headers = { 'idempotency-key': 'k1' }
    const first = await (await sendOrder(headers)).text()
    expect(await (await sendOrder(headers)).text()).toBe(first)
    expect((await sendOrder(headers, 'POST', '/orders/1', 'three loaves')).status).toBe(400)
    expect(executedCalls()).toHaveLength(1)
  })

  it('does not run a call with an idempotency key while the platform is unavailable', async () => {
    platform.faults.outage = true
    const response = await sendOrder({ 'idempotency-key': 'k1' })
    expect([response.status, await response.json()]).toMatchObject([503, { error: { execution: 'not_run' } }])
    expect(response.headers.get('retry-after')).not.toBeNull()
    expect(executedCalls()).toHaveLength(0)
  })

  it('serves an open route without a key and rejects unauthenticated calls to others', async () => {
    expect((await fetch(`${url}/menu`)).status).toBe(200)
    const rejected = await fetch(`${url}/orders/1`, { headers: { authorization: 'Bearer wrong' } })
    expect([rejected.status, await rejected.json()]).toMatchObject([401, { error: { execution: 'not_run' } }])
    expect(executedCalls()).toHaveLength(1)
  })

  it('reports not_run when no instance can be reached', async () => {
    await Promise.all(services.map(async (service) => { await service.close() }))
    const response = await sendOrder()
    expect([response.status, await response.json()]).toMatchObject([502, { error: { execution: 'not_run' } }])
  })
})
