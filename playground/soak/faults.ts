/** Faults of the soak. Each begins at once and resolves when it is over; several overlap. */
import { StoreFault } from '../../standins/fleet/store'
import { UpstreamFault } from '../../standins/fleet/upstream'
import type { Disturbance, NamedLimit } from './checks'
import { LinkFault } from './proxy'
import { processOf, type RouterProcess, type World } from './world'

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

async function restart (context: FaultContext, signal: NodeJS.Signals): Promise<void> {
  const routers = running(context)
  // One router stays, so that callers always have one.
  if (routers.length < 3) return
  const router = pick(routers, context.random)
  if (signal === 'SIGTERM') context.noteStop(router)
  else context.noteKill(router)
  router.child.kill(signal)
  await router.exited
  await context.pause(200 + 800 * context.random())
  const { identity } = await context.world.startRouter(router.name)
  const now = performance.now()
  context.noteDisturbance({ subject: identity, from: now, until: now })
}

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
  async configurations ({ world, random, pause }) {
    for (let left = 1 + Math.floor(4 * random()); left > 0; left -= 1) {
      world.configure(world.keys())
      await pause(150 * random())
    }
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
