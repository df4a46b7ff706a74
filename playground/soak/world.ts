/** The processes of one soak run: routers from the built program, and stand-ins of the platform behind fault proxies. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { InternalError } from '../../src/errors'
import { formatEndpoint } from '../../src/http/endpoint'
import { renderSettings } from '../../src/edge/__tests__/fixtures'
import type { Endpoint } from '../../src/types'
import { until } from '../../platform/__tests__/edgeFixture'
import { daemonArguments } from '../../standins/daemonArguments'
import { startStoreStandIn, type StoreStandIn } from '../../standins/fleet/store'
import { startUpstreamStandIn, type UpstreamStandIn } from '../../standins/fleet/upstream'
import { freeEndpoint } from '../../standins/freeEndpoint'
import { PLAIN_LIMIT_MS, PLAIN_SERVICE, STREAM_LIMIT_MS, type SeenRequest } from './checks'
import { startFaultProxy, type FaultProxy } from './proxy'

const ENGINES = 3
const SERVICES = 3
/** Events of a stream, and milliseconds between them. */
export const STREAM_EVENTS = 12
const PACE_MS = 25
/** The limited customer; each of its requests costs 110 tokens. */
export const LIMITED = { key: 'mill-key', rate: 2000, burst: 2000, overage: 0.1, slack: 1000, windowSeconds: 8 }
export const ISOLATED_KEY = 'forge-key'
/** Body of a request that is not safe. */
export const ORDER_BODY = '{"item":"rye"}'
const READY_LIMIT_MS = 20_000
/** Milliseconds from a crash that a request causes to the start of the next process. */
const CRASH_RESTART_MS = 2500

/** Milliseconds from a request to the bytes that follow it; shorter than a plain answer takes. */
const LATER_BYTES_MS = 10

/** Limits of the configuration for callers, in bytes and milliseconds. */
export const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
export type CallerLimits = typeof LIMITS

const ROUTES = [
  { name: 'sheet', prefix: '/sheet/', kind: 'streaming', service: 'engines', timeoutMs: STREAM_LIMIT_MS, maxAttempts: 1 },
  { name: 'chat', prefix: '/chat/', kind: 'streaming', service: 'engines', timeoutMs: STREAM_LIMIT_MS, maxAttempts: 2, resumable: true },
  { name: 'order', prefix: '/order/', kind: 'unsafe', service: PLAIN_SERVICE, timeoutMs: PLAIN_LIMIT_MS, maxAttempts: 1 },
  { name: 'empty', prefix: '/empty/', kind: 'safe', service: 'none', timeoutMs: PLAIN_LIMIT_MS, maxAttempts: 2 },
  { name: 'lookup', prefix: '/lookup/', kind: 'safe', service: PLAIN_SERVICE, timeoutMs: PLAIN_LIMIT_MS, maxAttempts: 2 }
]

export interface RouterProcess {
  name: string
  /** Name and number of the start. */
  identity: string
  startedAt: number
  caller: Endpoint
  readiness: Endpoint
  child: ChildProcess
  exited: Promise<void>
  isRunning: boolean
  output: () => string
}

interface PlacedUpstream {
  service: string
  standIn: UpstreamStandIn
  proxy: FaultProxy
  starts: number
  /** When its process began to end. */
  endedAt?: number
}

/** Identifies one process of an upstream: its name and number of the start. */
export function processOf ({ standIn, starts }: Pick<PlacedUpstream, 'standIn' | 'starts'>): string {
  return `${standIn.identifier}#${starts}`
}

/** Headers of a request, without those that tell of the connection. */
export function requestHeaders ({ identifier, key, kind, scopePart, body }: WorldCall): Record<string, string> {
  return {
    Host: 'shop.example',
    'Request-Id': identifier,
    'Deadline-Milliseconds': String(STREAM_LIMIT_MS),
    Authorization: `Token ${key}`,
    ...(kind === 'stream' ? { Model: 'small' } : {}),
    'Token-Usage': '100,10',
    'Prompt-Prefix': `${scopePart}:50,own:50`,
    ...(body === undefined ? {} : { 'Content-Length': String(body.length) })
  }
}

/** A request that is sent now and has no answer yet. */
export function notYetSeen ({ identity }: RouterProcess, { identifier, kind, key, path }: WorldCall): SeenRequest {
  return {
    identifier,
    kind,
    key,
    instance: identity,
    startedAt: performance.now(),
    endedAt: 0,
    isSent: false,
    status: 0,
    complete: false,
    body: '',
    echoed: undefined,
    left: false,
    path
  }
}

export interface World {
  store: StoreStandIn
  storeProxies: ReadonlyMap<string, FaultProxy>
  upstreams: readonly PlacedUpstream[]
  /** Stand-ins that have ended, for their journals. */
  ended: readonly PlacedUpstream[]
  /** The newest process of each router. */
  routers: Map<string, RouterProcess>
  /** All processes that were started. */
  started: readonly RouterProcess[]
  /** Version of the newest configuration. */
  version: () => number
  /** The keys of the customer whose keys change. */
  keys: () => readonly string[]
  /**
   * Writes a configuration with one more version and these keys.
   * @param limits those that differ from `LIMITS`
   * @param withoutRoute name of a route that is left out
   */
  configure: (keys: readonly string[], limits?: Partial<CallerLimits>, withoutRoute?: string) => void
  nameWeights: (version: number) => void
  startRouter: (name: string) => Promise<RouterProcess>
  isReady: (router: RouterProcess) => Promise<boolean>
  /** Ends an upstream and starts another process of it at a new address. */
  restartUpstream: (index: number) => Promise<void>
  /** Paths of requests that crash the services that run them, and that callers send. */
  deadlyPaths: Set<string>
  /** Times of these crashes by path. */
  deadlyCrashes: ReadonlyMap<string, number[]>
  call: (router: RouterProcess, options: WorldCall) => Promise<SeenRequest>
  close: () => Promise<void>
}

export interface WorldCall {
  identifier: string
  path: string
  kind: SeenRequest['kind']
  key: string
  scopePart: string
  /** Sent with POST; without it, the request is a GET. */
  body?: string
  /** Milliseconds after which the caller breaks off. */
  leaveAfter?: number
  /** Sent after the whole request on its connection, which is not used again. */
  laterBytes?: string
}

/** @param routerCount number of routers */
export async function startWorld (routerCount: number): Promise<World> {
  const names = Array.from({ length: routerCount }, (_unused, index) => `router-${index + 1}`)
  const directory = mkdtempSync(join(tmpdir(), 'waxwingspoke-soak-'))
  const store = await startStoreStandIn()
  const storeProxies = new Map<string, FaultProxy>()
  const places = new Map<string, Record<'caller' | 'readiness' | 'peer' | 'metrics', Endpoint>>()
  for (const name of names) {
    storeProxies.set(name, await startFaultProxy(store.endpoint))
    places.set(name, {
      caller: await freeEndpoint(),
      readiness: await freeEndpoint(),
      peer: await freeEndpoint(),
      metrics: await freeEndpoint()
    })
  }
  const upstreams: PlacedUpstream[] = []
  const ended: PlacedUpstream[] = []
  const routers = new Map<string, RouterProcess>()
  const started: RouterProcess[] = []
  const agent = new Agent({ keepAlive: true })
  const deadlyPaths = new Set<string>()
  const deadlyCrashes = new Map<string, number[]>()
  const crashing = new Set<PlacedUpstream>()
  const crashErrors: unknown[] = []
  let isClosed = false
  let version = 0
  let keys: readonly string[] = []

  async function placeUpstream (service: string, identifier: string, starts: number): Promise<PlacedUpstream> {
    const weights = service === 'engines' ? 1 : 0
    const standIn = await startUpstreamStandIn(identifier, { weights, events: STREAM_EVENTS, pace: PACE_MS })
    const [host, port] = standIn.address.split(':') as [string, string]
    const proxy = await startFaultProxy({ host, port: Number(port) })
    store.put('servers', identifier, {
      service,
      address: formatEndpoint(proxy.endpoint),
      zone: 'north',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: starts,
      ...(weights > 0 ? { models: [{ name: 'small', version: weights, adapters: [] }] } : {})
    })
    const placed = { service, standIn, proxy, starts }
    standIn.crashesOn = ({ path }) => {
      if (deadlyPaths.has(path) && !crashing.has(placed)) crash(placed, path)
      return false
    }
    return placed
  }

  /** Ends an upstream because of a request, and restarts it. */
  function crash (placed: PlacedUpstream, path: string): void {
    const index = upstreams.indexOf(placed)
    if (index < 0) return
    crashing.add(placed)
    deadlyCrashes.set(path, [...(deadlyCrashes.get(path) ?? []), performance.now()])
    restart(index, CRASH_RESTART_MS).catch((error: unknown) => { crashErrors.push(error) })
  }

  /** @param delay milliseconds until the next process starts */
  async function restart (index: number, delay: number): Promise<void> {
    const before = upstreams[index]!
    before.endedAt ??= performance.now()
    before.proxy.close()
    await before.standIn.close()
    // Another fault may have restarted it already.
    if (!ended.includes(before)) ended.push(before)
    if (delay > 0) await new Promise((resolve) => { setTimeout(resolve, delay) })
    if (isClosed || upstreams[index] !== before) return
    upstreams[index] = await placeUpstream(before.service, before.standIn.identifier, before.starts + 1)
  }

  function configure (next: readonly string[], limits: Partial<CallerLimits> = {}, withoutRoute?: string): void {
    keys = next
    version += 1
    const open = Array.from({ length: version }, (_unused, index) => ({
      name: `version-${index + 1}`,
      prefix: `/version-${index + 1}/`,
      kind: 'safe',
      service: PLAIN_SERVICE,
      timeoutMs: PLAIN_LIMIT_MS,
      maxAttempts: 2,
      allowAnonymous: true
    }))
    const unlimited = { ratePerS: 0, burst: 0, unit: 'token_count' }
    const { key, rate, burst } = LIMITED
    store.put('op', 'config', {
      version,
      routes: [...ROUTES.filter(({ name }) => name !== withoutRoute), ...open].map((route) => ({ host: 'shop.example', targetLatencyMs: 300, priority: 1, ...route })),
      services: [{ name: 'engines', engine: { slots: 8, models: [{ name: 'small' }] } }, { name: PLAIN_SERVICE }, { name: 'none' }],
      tenants: [
        { name: 'bakery', apiKeys: ['bakery-key'], ...unlimited },
        { name: 'mill', apiKeys: [key], ratePerS: rate, burst, unit: 'token_count' },
        { name: 'forge', apiKeys: [ISOLATED_KEY], isolated: true, ...unlimited },
        { name: 'guild', apiKeys: next, ...unlimited }
      ],
      limits: { ...LIMITS, ...limits }
    })
  }

  async function startRouter (name: string): Promise<RouterProcess> {
    const { caller, readiness, peer, metrics } = places.get(name)!
    const file = join(directory, `${name}.ini`)
    writeFileSync(file, renderSettings({
      nodeName: name,
      'listenAddresses.front': formatEndpoint(caller),
      'listenAddresses.ready': formatEndpoint(readiness),
      ipAddress: peer.host,
      'internalPortRange.0': String(peer.port),
      'platform.address': formatEndpoint(storeProxies.get(name)!.endpoint),
      'bounds.quotaSlack': String(LIMITED.slack),
      'bounds.quotaOverage': String(LIMITED.overage),
      'bounds.quotaWindowS': String(LIMITED.windowSeconds)
    }).replace(/:9464$/m, `:${metrics.port}`))
    const child = spawn(process.execPath, daemonArguments(), {
      env: { PATH: process.env.PATH, WAXWINGSPOKE_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let output = ''
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (bytes: Buffer) => { output = (output + bytes.toString()).slice(-1_000_000) })
    }
    const identity = `${name}#${started.filter((one) => one.name === name).length + 1}`
    const router: RouterProcess = {
      name,
      identity,
      startedAt: performance.now(),
      caller,
      readiness,
      child,
      isRunning: true,
      output: () => output,
      exited: new Promise((resolve) => {
        child.once('exit', () => {
          router.isRunning = false
          resolve()
        })
      })
    }
    started.push(router)
    routers.set(name, router)
    return router
  }

  async function isReady ({ readiness }: RouterProcess): Promise<boolean> {
    return await new Promise((resolve) => {
      const outgoing = request({ ...readiness, path: '/readiness', timeout: 500 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      outgoing.on('timeout', () => { outgoing.destroy(new Error('no answer')) })
      outgoing.on('error', () => { resolve(false) })
      outgoing.end()
    })
  }

  async function call (router: RouterProcess, options: WorldCall): Promise<SeenRequest> {
    const { path, body, leaveAfter, laterBytes } = options
    const seen = notYetSeen(router, options)
    return await new Promise((resolve) => {
      const end = (): void => {
        seen.endedAt = performance.now()
        resolve(seen)
      }
      const outgoing = request({
        ...router.caller,
        agent: laterBytes === undefined ? agent : false,
        path,
        method: body === undefined ? 'GET' : 'POST',
        headers: { ...requestHeaders(options), Connection: 'keep-alive' }
      }, (response) => {
        seen.status = response.statusCode ?? 0
        seen.echoed = response.headers['request-id'] as string | undefined
        response.on('data', (bytes: Buffer) => { seen.body += bytes.toString() })
        response.on('error', () => { seen.complete = false })
        response.on('close', () => {
          seen.complete = response.complete
          end()
        })
      })
      outgoing.on('finish', () => { seen.isSent = true })
      // Status 0 tells that the connection broke.
      outgoing.on('error', () => { if (seen.status === 0) end() })
      if (laterBytes !== undefined) {
        // A pause, so that the router reads the request on its own.
        outgoing.on('finish', () => { setTimeout(() => { outgoing.socket?.write(laterBytes) }, LATER_BYTES_MS) })
      }
      if (leaveAfter !== undefined) {
        setTimeout(() => {
          if (seen.endedAt !== 0) return
          seen.left = true
          outgoing.destroy(new Error('the caller left'))
        }, leaveAfter)
      }
      outgoing.end(body)
    })
  }

  configure(['guild-key-1'])
  for (let index = 0; index < ENGINES; index += 1) upstreams.push(await placeUpstream('engines', `engine-${index}`, 1))
  for (let index = 0; index < SERVICES; index += 1) upstreams.push(await placeUpstream(PLAIN_SERVICE, `${PLAIN_SERVICE}-${index}`, 1))
  const world: World = {
    store,
    storeProxies,
    upstreams,
    ended,
    routers,
    started,
    version: () => version,
    keys: () => keys,
    configure,
    nameWeights: (next) => { store.put('op', 'version/small', { model: 'small', version: next }) },
    startRouter,
    isReady,
    restartUpstream: async (index) => { await restart(index, 0) },
    deadlyPaths,
    deadlyCrashes,
    call,
    async close () {
      isClosed = true
      agent.destroy()
      for (const { child, isRunning } of started) if (isRunning) child.kill('SIGKILL')
      await Promise.all(started.map(async ({ exited }) => { await exited }))
      for (const proxy of storeProxies.values()) proxy.close()
      for (const { proxy, standIn } of upstreams) {
        proxy.close()
        await standIn.close()
      }
      await store.close()
      rmSync(directory, { recursive: true })
      if (crashErrors.length > 0) throw new InternalError('an upstream could not be restarted', { cause: crashErrors[0] })
    }
  }
  for (const name of names) await startRouter(name)
  try {
    await until(async () => {
      const ready = await Promise.all([...routers.values()].map(isReady))
      return ready.every(Boolean)
    }, READY_LIMIT_MS)
  } catch (cause) {
    const output = started.map((router) => `${router.identity}: ${router.output().slice(-500)}`).join('\n')
    await world.close()
    throw new InternalError(`the routers did not get ready\n${output}`, { cause })
  }
  return world
}
