/** Faults of the soak. Each begins at once and resolves when it is over; several overlap. */
import { readFileSync } from 'node:fs'
import { StoreFault } from '../../standins/fleet/store'
import { UpstreamFault } from '../../standins/fleet/upstream'
import type { Disturbance, NamedLimit } from './checks'
import { LinkFault } from './proxy'
import { processOf, type CallerLimits, type RouterProcess, type World } from './world'

/** What a fault may use besides the world. */
export interface FaultContext {
  world: World
  /** Uniform in [0, 1), from the seed. */
  random: () => number
  /** Resolves after about so many milliseconds, sooner when the run ends. */
  pause: (milliseconds: number) => Promise<void>
  /** Notes that a router was asked to stop. */
  noteStop: (router: RouterProcess) => void
  /** Notes that a router was ended by force; it owes its callers nothing more. */
  noteKill: (router: RouterProcess) => void
  noteRevoked: (key: string) => void
  /** Notes that requests with this path crash the services that run them. */
  noteDeadly: (path: string) => void
  /** Notes that a process of an upstream named a limit until now. */
  noteLimit: (limit: NamedLimit) => void
  /** Notes that something was disturbed until now. */
  noteDisturbance: (disturbance: Disturbance) => void
  /** Sends a request to a router on a connection of its own, and these bytes after it, before its answer. */
  callWithBytes: (router: RouterProcess, bytes: string) => Promise<void>
}

export type Fault = (context: FaultContext) => Promise<void>

/**
 * Without the reset of an answer that has no length: the system shows the proxy an ordinary end in its place, so that a
 * reset would reach the router as a whole answer.
 */
const UPSTREAM_FAULTS = Object.values(UpstreamFault).filter((fault) => fault !== UpstreamFault.unframedReset)

function pick<Item> (items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)]!
}

const running = ({ world }: FaultContext): RouterProcess[] => {
  return [...world.routers.values()].filter(({ isRunning }) => isRunning)
}

/** Milliseconds from the start of a router to a signal. */
const EARLIEST_SIGNAL_MS = 150

/** Whether the router handles signals; one in the boot of Node.js, which takes longer on a busy machine, ends it. */
function handlesSignals ({ startedAt, child }: RouterProcess): boolean {
  const [, mask] = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))!
  const isHangUpCaught = (BigInt(`0x${mask}`) & 1n) === 1n
  return isHangUpCaught && performance.now() >= startedAt + EARLIEST_SIGNAL_MS
}

/** Ends a router and starts its next process, which is returned. */
async function restart (
  context: FaultContext, signal: NodeJS.Signals, chosen?: RouterProcess
): Promise<RouterProcess | undefined> {
  const routers = running(context)
  // One router stays, so that callers always have one.
  if (routers.length < 3) return undefined
  const choice = signal === 'SIGKILL' ? routers : routers.filter(handlesSignals)
  if (choice.length === 0) return undefined
  const router = chosen ?? pick(choice, context.random)
  if (signal === 'SIGTERM') context.noteStop(router)
  else context.noteKill(router)
  router.child.kill(signal)
  await router.exited
  await context.pause(200 + 800 * context.random())
  // Another fault that ended the same process has started the next one.
  if (context.world.routers.get(router.name) !== router) return undefined
  const next = await context.world.startRouter(router.name)
  const now = performance.now()
  context.noteDisturbance({ subject: next.identity, from: now, until: now })
  return next
}

type Upstream = World['upstreams'][number]

/** A silence is longer than a router takes to notice it, and no trouble by the users' rules. */
async function silence ({ random, pause }: FaultContext, upstreams: readonly Upstream[]): Promise<void> {
  // A second silence would end the first one, or make it too long.
  const awake = upstreams.filter(({ standIn }) => !standIn.isPaused)
  for (const { standIn } of awake) standIn.isPaused = true
  await pause(800 + 1200 * random())
  for (const { standIn } of awake) standIn.isPaused = false
}

/** @param beside what the upstreams stay full for at least */
async function fill (
  { random, pause }: FaultContext, upstreams: readonly Upstream[], beside?: Promise<void>
): Promise<void> {
  const free = upstreams.filter(({ standIn }) => standIn.maximumAtWork === Infinity)
  for (const { standIn } of free) standIn.maximumAtWork = 1 + Math.floor(3 * random())
  await Promise.all([beside, pause(1000 + 2000 * random())])
  for (const { standIn } of free) standIn.maximumAtWork = Infinity
}

async function configureOften ({ world, random, pause }: FaultContext): Promise<void> {
  for (let left = 1 + Math.floor(4 * random()); left > 0; left -= 1) {
    world.configure(world.keys())
    await pause(150 * random())
  }
}

const sameService = ({ world }: FaultContext, chosen: Upstream): Upstream[] => {
  return world.upstreams.filter(({ service }) => service === chosen.service)
}

/** What callers send after a whole request: half a head, and bytes that are no request. */
const LATER_BYTES = ['GET /lookup/2 HTTP/1.1\r\nHost: shop', 'no request\r\n\r\n']

const NARROW_LIMITS: ReadonlyArray<Partial<CallerLimits>> = [
  {}, { maxBodyBytes: 10 }, { maxHeaderBytes: 150 }, { headerTimeoutMs: 500 }, { idleTimeoutMs: 500 }
]
/** Routes that are left out; undefined leaves out none. */
const NARROW_ROUTES = [undefined, undefined, 'sheet', 'order', 'lookup']

const link = (fault: LinkFault): Fault => async ({ world, random, pause, noteDisturbance }) => {
  const upstreams = world.upstreams.map((upstream) => ({ proxy: upstream.proxy, subject: processOf(upstream) }))
  const stores = [...world.storeProxies.values()].map((proxy) => ({ proxy, subject: 'store' }))
  const { proxy, subject } = pick([...stores, ...upstreams], random)
  const from = performance.now()
  proxy.setFault(fault)
  await pause(200 + 2500 * random())
  proxy.setFault(LinkFault.none)
  noteDisturbance({ subject, from, until: performance.now() })
}

const store = (fault: StoreFault): Fault => async ({ world, random, pause }) => {
  world.store.setFault(fault)
  await pause(200 + 2500 * random())
  world.store.setFault(StoreFault.none)
}

export const SOAK_FAULTS: Readonly<Record<string, Fault>> = {
  kill: async (context) => { await restart(context, 'SIGKILL') },
  stop: async (context) => { await restart(context, 'SIGTERM') },
  /** A router that starts is told of new settings, or asked to stop. */
  async earlySignal (context) {
    const router = await restart(context, 'SIGTERM')
    if (router === undefined) return
    await context.pause(EARLIEST_SIGNAL_MS + 400 * context.random())
    while (router.isRunning && !handlesSignals(router)) await context.pause(10)
    if (!router.isRunning) return
    if (context.random() < 0.5) router.child.kill('SIGHUP')
    else await restart(context, 'SIGTERM', router)
  },
  async freeze (context) {
    const { child, identity } = pick(running(context), context.random)
    const from = performance.now()
    child.kill('SIGSTOP')
    await context.pause(100 + 6500 * context.random() ** 2)
    child.kill('SIGCONT')
    context.noteDisturbance({ subject: identity, from, until: performance.now() })
  },
  linkDelay: link(LinkFault.delay),
  linkReset: link(LinkFault.reset),
  linkSilence: link(LinkFault.silence),
  linkCutRequests: link(LinkFault.cutRequests),
  linkCutAnswers: link(LinkFault.cutAnswers),
  storeSilent: store(StoreFault.silent),
  storeBusy: store(StoreFault.busy),
  storeReset: store(StoreFault.reset),
  storeStale: store(StoreFault.stale),
  storeLostWrites: store(StoreFault.lostWrites),
  async storeHistory ({ world }) { world.store.dropHistory() },
  async upstreamFaults ({ world, random }) {
    const { standIn } = pick(world.upstreams, random)
    standIn.fail(...Array.from({ length: 1 + Math.floor(4 * random()) }, () => pick(UPSTREAM_FAULTS, random)))
  },
  async upstreamSilence (context) {
    const { random, world: { upstreams } } = context
    const chosen = pick(upstreams, random)
    await silence(context, random() < 0.5 ? [chosen] : sameService(context, chosen))
  },
  async upstreamFull (context) { await fill(context, [pick(context.world.upstreams, context.random)]) },
  /** Requests that leave the silent upstream meet full ones, while the configuration changes. */
  async silenceBesideFull (context) {
    const { random, world: { upstreams } } = context
    const chosen = pick(upstreams, random)
    const others = sameService(context, chosen).filter((one) => one !== chosen)
    await Promise.all([silence(context, [chosen]), fill(context, others), configureOften(context)])
  },
  /** Requests that leave silent upstreams meet others that are silent too, and full when they go on. */
  async fullAfterSilence (context) {
    const { random, world: { upstreams } } = context
    const chosen = pick(upstreams, random)
    const all = sameService(context, chosen)
    const silent = random() < 0.5 ? all : all.filter((one) => one !== chosen)
    await Promise.all([fill(context, all, silence(context, silent)), configureOften(context)])
  },
  /** Refusals use up the retry allowance of the routers while an upstream is silent. */
  async refusalsBesideSilence (context) {
    const { random, pause, world: { upstreams } } = context
    const chosen = pick(upstreams, random)
    const others = sameService(context, chosen).filter((one) => one !== chosen)
    const silent = silence(context, [chosen])
    for (let left = 10 + Math.floor(20 * random()); left > 0; left -= 1) {
      for (const { standIn } of others) standIn.isFull = random() < 0.5
      await pause(100)
    }
    for (const { standIn } of others) standIn.isFull = false
    await silent
  },
  /** Requests that a silence keeps in progress while later bytes on their connections are read, or are late themselves. */
  async laterBytes (context) {
    const { world, random, pause } = context
    const routers = running(context)
    const calls = Array.from({ length: 8 }, async () => {
      await pause(300 * random())
      await context.callWithBytes(pick(routers, random), pick(LATER_BYTES, random))
    })
    const silent = silence(context, world.upstreams)
    await pause(400)
    world.configure(world.keys(), { headerTimeoutMs: 200 + 400 * random() })
    await Promise.all([...calls, silent])
    world.configure(world.keys())
  },
  async requestLimit ({ world, random, pause, noteLimit }) {
    const upstream = pick(world.upstreams, random)
    const perSecond = pick([0.5, 1, 2], random)
    if (upstream.standIn.says['Server-Limit'] !== undefined) return
    const from = performance.now()
    upstream.standIn.says = { 'Server-Limit': String(perSecond) }
    await pause(8000 + 4000 * random())
    upstream.standIn.says = {}
    noteLimit({ process: processOf(upstream), perSecond, from, until: performance.now() })
  },
  async upstreamRestart ({ world, random }) {
    await world.restartUpstream(Math.floor(random() * world.upstreams.length))
  },
  /** Crashes that no request causes, at short intervals. */
  async upstreamCrashes ({ world, random, pause }) {
    for (let left = 3 + Math.floor(3 * random()); left > 0; left -= 1) {
      await world.restartUpstream(Math.floor(random() * world.upstreams.length))
      await pause(300 * random())
    }
  },
  /** A request that crashes the services that run it, and comes again and again. */
  async deadlyRequest ({ world, random, pause, noteDeadly }) {
    const path = `/${pick(['lookup', 'order'], random)}/deadly-${Math.floor(1e9 * random())}`
    noteDeadly(path)
    world.deadlyPaths.add(path)
    await pause(9000 + 3000 * random())
    world.deadlyPaths.delete(path)
  },
  configurations: configureOften,
  /** Limits are lowered and raised, and routes and keys come and go, in quick succession. */
  async narrowConfigurations (context) {
    const { world, random, pause } = context
    for (let left = 3 + Math.floor(4 * random()); left > 0; left -= 1) {
      if (random() < 0.2) await SOAK_FAULTS.revocation!(context)
      world.configure(world.keys(), pick(NARROW_LIMITS, random), pick(NARROW_ROUTES, random))
      await pause(300 * random())
      if (random() < 0.5) world.configure(world.keys())
    }
    world.configure(world.keys())
  },
  /** Planned stops that overlap, beside new settings and configurations. */
  async stopsBesideHangUps (context) {
    const { world, random, pause } = context
    const stops: Array<Promise<unknown>> = []
    for (let left = 3 + Math.floor(4 * random()); left > 0; left -= 1) {
      for (const { child } of running(context).filter(handlesSignals)) if (random() < 0.5) child.kill('SIGHUP')
      if (random() < 0.5) world.configure(world.keys())
      if (random() < 0.5) stops.push(restart(context, 'SIGTERM'))
      await pause(400 * random())
    }
    await Promise.all(stops)
  },
  async revocation ({ world, noteRevoked }) {
    const before = world.keys()
    world.configure([`guild-key-${world.version() + 1}`])
    for (const key of before) noteRevoked(key)
  },
  async weights ({ world, random, pause }) {
    world.nameWeights(world.version() + 1)
    await pause(400 * random())
    world.configure(world.keys())
    if (random() < 0.5) world.nameWeights(world.version() + 1)
  }
}
