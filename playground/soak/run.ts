/** One seeded run of the soak: load, faults in random order, and the checks over what was seen. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { until } from '../../platform/__tests__/edgeFixture'
import { StoreFault } from '../../standins/fleet/store'
import { eventText, PLAIN_ANSWER } from '../../standins/fleet/upstream'
import { SOAK_CHECKS, type Disturbance, type NamedLimit, type SeenOrder, type SeenRequest, type SeenRun, type SoakHistory } from './checks'
import { SOAK_FAULTS, type FaultContext } from './faults'
import { openPipeline } from './pipeline'
import { LinkFault } from './proxy'
import { ISOLATED_KEY, LIMITED, LIMITS, ORDER_BODY, STREAM_EVENTS, processOf, startWorld, type RouterProcess, type World, type WorldCall } from './world'

/** Callers; each has one request at a time. */
const CALLERS = 12
/** Callers that write several requests to a connection at once, and the most that they write. */
const PIPELINING_CALLERS = 4
const MAX_PIPELINED = 6
/** Part of their requests that is refused at once. */
const REFUSED_PART = 0.4
/** Longest pause in milliseconds between two faults, and between two requests of a caller. */
const FAULT_PAUSE_MS = 700
const CALLER_PAUSE_MS = 60
/** Part of the streams whose callers leave. */
const LEAVING_PART = 0.1
/** Milliseconds after the last fault within which all routers are ready and serve again. */
const RECOVERY_MS = 12_000
/** Milliseconds for a router to end after the request to stop, beyond the grace period of its settings. */
const STOP_LIMIT_MS = 9000
const TOKENS = 110
/** Milliseconds in which the last bytes of an answer reach a router; the end of their upstream's process loses them. */
const TRANSIT_MS = 50
/** Part of the requests that are deadly while there is a deadly path. */
const DEADLY_PART = 0.05
/** Part of these that are sent to all routers at once. */
const DEADLY_BURST_PART = 0.5

export interface SoakOptions {
  seed: number
  /** Seconds in which faults begin. */
  seconds: number
  /** Names of the faults that are used. */
  faults: readonly string[]
  /** Number of routers. @default 4 */
  routers?: number
}

export interface SoakOutcome {
  seed: number
  requests: number
  served: number
  faults: readonly string[]
  violations: readonly string[]
  /** Newest log lines of each router, for a run with violations. */
  logs: ReadonlyMap<string, string>
}

const PATHS: Readonly<Record<SeenRequest['kind'], readonly string[]>> = {
  stream: ['/sheet/1', '/chat/1'], safe: ['/lookup/1'], unsafe: ['/order/1']
}

/** Requests that are refused at once: for their key, their route, their service or their body. */
const REFUSED: ReadonlyArray<Partial<WorldCall>> = [
  { key: 'unknown-key' },
  { path: '/unknown/1', kind: 'safe', body: undefined },
  { path: '/empty/1', kind: 'safe', body: undefined },
  { path: '/order/1', kind: 'unsafe', body: 'x'.repeat(LIMITS.maxBodyBytes + 1) }
]

/** All upstreams of a run; one that has crashed and not been started again is in both lists. */
function placedIn ({ upstreams, ended }: World): Array<World['upstreams'][number]> {
  return [...new Set([...upstreams, ...ended])]
}

function runsOf (world: World): SeenRun[] {
  return placedIn(world).flatMap((placed) => placed.standIn.runs.map((run) => ({
    identifier: run.identifier,
    upstream: placed.standIn.identifier,
    process: processOf(placed),
    startedAt: run.startedAt,
    endedAt: run.endedAt,
    key: String(run.headers.authorization ?? '').replace('Token ', ''),
    scope: run.headers['cache-salt'] as string | undefined,
    tokens: TOKENS,
    path: run.path,
    isFaulted: run.fault !== undefined ||
      (placed.endedAt !== undefined && (run.endedAt ?? Infinity) + TRANSIT_MS >= placed.endedAt)
  })))
}

function ordersOf (world: World): SeenOrder[] {
  return placedIn(world).flatMap((placed) => placed.standIn.orders.map((order) => ({
    upstream: processOf(placed), holder: String(order.holder), token: Number(order.fencingToken)
  })))
}

/** Rejects when a process cannot be started; broken promises are in the outcome. */
export async function runSoak ({ seed, seconds, faults, routers: routerCount = 4 }: SoakOptions): Promise<SoakOutcome> {
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const world = await startWorld(routerCount)
  const requests: SeenRequest[] = []
  const configurations: Array<SoakHistory['configurations'][number]> = []
  const stopped = new Map<string, number>()
  const killed = new Map<string, number>()
  const revoked = new Map<string, number>()
  const deadlyPaths = new Set<string>()
  const limits: NamedLimit[] = []
  const disturbances: Disturbance[] = []
  const began: string[] = []
  const violations: string[] = []
  const progress = { isOver: false }
  let count = 0
  let connectionCount = 0

  async function pause (milliseconds: number): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
  }

  function drawCall (prefix: string): WorldCall {
    count += 1
    const identifier = `${prefix}-${seed}-${count}`
    const kind = (['stream', 'stream', 'safe', 'unsafe'] as const)[Math.floor(random() * 4)]!
    const keys = ['bakery-key', LIMITED.key, ISOLATED_KEY, ...world.keys(), ...revoked.keys()]
    const path = PATHS[kind][Math.floor(random() * PATHS[kind].length)]!
    const key = keys[Math.floor(random() * keys.length)]!
    const body = kind === 'unsafe' ? ORDER_BODY : undefined
    return { identifier, kind, path, key, scopePart: `part-${Math.floor(random() * 3)}`, body }
  }

  async function call (router: RouterProcess, laterBytes?: string): Promise<void> {
    const drawn = drawCall(laterBytes === undefined ? 'soak' : 'later')
    const leaveAfter = drawn.kind === 'stream' && random() < LEAVING_PART ? 20 + 300 * random() : undefined
    requests.push(await world.call(router, { ...drawn, leaveAfter, laterBytes }))
  }

  /** Uses each connection until the router announces its end or closes it. */
  async function pipelineOn (): Promise<void> {
    while (!progress.isOver) {
      const routers = [...world.routers.values()]
      connectionCount += 1
      const pipeline = openPipeline(routers[Math.floor(random() * routers.length)]!, connectionCount, random)
      while (!progress.isOver && pipeline.isOpen()) {
        const calls = Array.from({ length: 2 + Math.floor((MAX_PIPELINED - 1) * random()) }, () => {
          const refused = random() < REFUSED_PART ? REFUSED[Math.floor(random() * REFUSED.length)] : undefined
          return { ...drawCall('pipelined'), ...refused }
        })
        requests.push(...await pipeline.send(calls))
        await pause(CALLER_PAUSE_MS * random())
      }
      pipeline.close()
      await pause(CALLER_PAUSE_MS * random())
    }
  }

  /** Each configuration has a route that no older one has. */
  async function lookAtConfiguration (router: RouterProcess): Promise<void> {
    const version = world.version() - Math.floor(3 * random())
    if (version < 1) return
    count += 1
    const { instance, startedAt, endedAt, status } = await world.call(router, {
      identifier: `version-${seed}-${count}`, path: `/version-${version}/1`, kind: 'safe', key: 'none', scopePart: 'none'
    })
    if (status === 200) configurations.push({ instance, at: endedAt, atLeast: version })
    if (status === 404) configurations.push({ instance, at: startedAt, atMost: version - 1 })
  }

  /** Sends a deadly request to one router, or copies of it to all of them at once. */
  async function callDeadly (router: RouterProcess, path: string): Promise<void> {
    const kind = path.startsWith(PATHS.unsafe[0]!.slice(0, -1)) ? 'unsafe' : 'safe'
    const targets = random() < DEADLY_BURST_PART ? [...world.routers.values()] : [router]
    await Promise.all(targets.map(async (target) => {
      count += 1
      requests.push(await world.call(target, {
        identifier: `deadly-${seed}-${count}`,
        path,
        kind,
        key: 'bakery-key',
        scopePart: 'none',
        body: kind === 'unsafe' ? ORDER_BODY : undefined
      }))
    }))
  }

  async function callOn (): Promise<void> {
    while (!progress.isOver) {
      const routers = [...world.routers.values()]
      const router = routers[Math.floor(random() * routers.length)]!
      const [deadlyPath] = world.deadlyPaths
      if (deadlyPath !== undefined && random() < DEADLY_PART) await callDeadly(router, deadlyPath)
      else await (random() < 0.15 ? lookAtConfiguration(router) : call(router))
      await pause(CALLER_PAUSE_MS * random())
    }
  }

  const context: FaultContext = {
    world,
    random,
    pause,
    noteStop ({ identity }) { if (!stopped.has(identity)) stopped.set(identity, performance.now()) },
    noteKill ({ identity }) {
      stopped.set(identity, Infinity)
      killed.set(identity, performance.now())
    },
    noteDeadly: (path) => { deadlyPaths.add(path) },
    noteRevoked: (key) => { revoked.set(key, performance.now()) },
    noteLimit: (limit) => { limits.push(limit) },
    noteDisturbance: (disturbance) => { disturbances.push(disturbance) },
    callWithBytes: call
  }

  async function breakThings (): Promise<void> {
    const end = performance.now() + seconds * 1000
    const open: Array<Promise<void>> = []
    while (performance.now() < end) {
      const name = faults[Math.floor(random() * faults.length)]!
      began.push(name)
      open.push(SOAK_FAULTS[name]!(context))
      await pause(50 + FAULT_PAUSE_MS * random())
    }
    await Promise.all(open)
    world.store.setFault(StoreFault.none)
    for (const proxy of [...world.storeProxies.values(), ...world.upstreams.map((one) => one.proxy)]) {
      proxy.setFault(LinkFault.none)
    }
  }

  async function recover (): Promise<void> {
    const served = async (router: RouterProcess): Promise<boolean> => {
      count += 1
      const seen = await world.call(router, {
        identifier: `after-${seed}-${count}`, path: '/lookup/1', kind: 'safe', key: 'bakery-key', scopePart: 'none'
      })
      requests.push(seen)
      return seen.status === 200
    }
    for (const router of world.routers.values()) {
      try {
        await until(async () => await world.isReady(router) && await served(router), RECOVERY_MS)
      } catch (error) {
        violations.push(`recovery: ${router.identity} does not serve: ${String(error)}`)
      }
    }
  }

  async function stopAll (): Promise<void> {
    await Promise.all([...world.routers.values()].map(async (router) => {
      context.noteStop(router)
      router.child.kill('SIGTERM')
      const isOut = await Promise.race([router.exited.then(() => true), pause(STOP_LIMIT_MS).then(() => false)])
      if (!isOut) violations.push(`stop: ${router.identity} did not end in time`)
    }))
  }

  try {
    const callers = [
      ...Array.from({ length: CALLERS }, callOn), ...Array.from({ length: PIPELINING_CALLERS }, pipelineOn)
    ]
    await breakThings()
    await recover()
    await stopAll()
    for (const { identity, isRunning, child: { exitCode, signalCode } } of world.started) {
      if (isRunning || killed.has(identity) || exitCode === 0) continue
      violations.push(`stop: ${identity} ended with ${String(signalCode ?? exitCode)}`)
    }
    progress.isOver = true
    await Promise.all(callers)
    const { rate, burst, overage, slack, windowSeconds, key } = LIMITED
    const history: SoakHistory = {
      requests,
      runs: runsOf(world),
      orders: ordersOf(world),
      limits,
      disturbances,
      ends: world.ended.map((placed) => {
        return { subject: processOf(placed), from: placed.endedAt!, until: placed.endedAt! }
      }),
      revoked,
      quota: { key, window: windowSeconds * 1000, tokens: (rate * windowSeconds + burst) * (1 + overage) + slack },
      stopped,
      killed,
      isolated: new Set([ISOLATED_KEY]),
      configurations: configurations.sort((one, other) => one.at - other.at),
      crashes: new Map([...deadlyPaths].map((path) => [path, world.deadlyCrashes.get(path) ?? []])),
      wholeStream: Array.from({ length: STREAM_EVENTS }, (_unused, index) => eventText(index + 1)).join(''),
      wholeAnswer: PLAIN_ANSWER
    }
    for (const [name, check] of Object.entries(SOAK_CHECKS)) {
      violations.push(...check(history).map((text) => `${name}: ${text}`))
    }
    return {
      seed,
      requests: requests.length,
      served: requests.filter(({ status, complete }) => status === 200 && complete).length,
      faults: began,
      violations,
      logs: new Map(world.started.map((router) => [router.identity, router.output()]))
    }
  } finally {
    progress.isOver = true
    await world.close()
  }
}
