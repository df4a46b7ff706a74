/**
 * Simulates a fleet under overload in virtual time: instances that decide independently by loads and demand that are some
 * milliseconds old, engines with memory and slots, and callers that come back once after a refusal.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createConfiguration, createCustomer, createRoute } from '../../__tests__/fixtures'
import { createBacklogs, type Backlog } from '../../backlog'
import type { ExchangeContext, AdmittedRequest } from '../../exchangeContext'
import type { LoadSupplement } from '../../loadExchange'
import type { EdgeCustomer, EdgeRoute } from '../../types'
import type { Upstream } from '../../upstreamDirectory'
import { createAdmissionOrder } from '../admissionOrder'
import { createDemandExchange } from '../demandExchange'
import { createRequestOrder } from '../requestOrder'

/** Milliseconds between the moments at which the instances learn the loads and the demand of all. */
const EXCHANGE_MS = 50
/** Milliseconds of an engine for each output token; all its requests produce them side by side. */
const OUTPUT_TOKEN_MS = 12

/** Cost in milliseconds of an engine without room for a request, as in the placement. */
const FULL_PENALTY_MS = 10_000
/** Weight of the newest request in the mean duration, as in the engine room. */
const DURATION_SMOOTHING = 0.05

export interface Kind {
  name: string
  prompt: (draw: number) => number
  output: number
  perSecond: number
  target: number
  budget: number
  priority: number
}

export interface Load {
  instances: number
  engines: number
  /** Prompt tokens that an engine processes in a millisecond. */
  speed: number
  memory: number
  slots: number
  kinds: readonly Kind[]
  /** Names and configured rates of the customers; their usual traffic is in proportion. */
  customers: ReadonlyArray<{ name: string, rate: number }>
  length: number
  /** Factor by which a kind and a customer send more than usual at a time. */
  factor?: (kind: string, customer: string, at: number) => number
  /** Number of engines that are dark at a time. */
  dark?: (at: number) => number
  /** Whether the instances know the loads and the demand of the others. */
  isFleetKnown?: boolean
  seed?: number
}

export interface Outcome {
  kind: string
  customer: string
  tokens: number
  at: number
  /** Milliseconds until the first byte, from the first arrival; undefined if the request was not served. */
  firstByte: number | undefined
  target: number
  refusals: number
  /** Milliseconds for which it was held before its last decision. */
  held: number
  /** Retry-after of its first refusal, and the time that was left then. */
  retryAfter: number | undefined
  timeLeftAtRefusal: number | undefined
}

interface Running { tokens: number, urgency: number, onFirstByte: (at: number) => void, output: number, sentAt: number }

interface Engine {
  waiting: Running[]
  held: number
  running: number
  busyUntil: number
  isDark: boolean
}

interface SimulatedInstance {
  supplement: LoadSupplement
  context: ExchangeContext
  backlog: (key: string) => Backlog
}

interface Scheduler {
  at: (time: number, action: () => void) => void
  now: () => number
  run: (until: number) => void
}

function createScheduler (): Scheduler {
  const events: Array<{ time: number, action: () => void }> = []
  let now = 0
  return {
    at (time, action) {
      let low = 0
      let high = events.length
      while (low < high) {
        const middle = low + high >> 1
        if (events[middle]!.time > time) low = middle + 1
        else high = middle
      }
      events.splice(low, 0, { time, action })
    },
    now: () => now,
    run (until) {
      for (let next = events.pop(); next !== undefined && next.time <= until; next = events.pop()) {
        now = next.time
        next.action()
      }
    }
  }
}

export function simulateFleet (load: Load): Outcome[] {
  const { kinds, customers, isFleetKnown = true, seed = 7 } = load
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const scheduler = createScheduler()
  const engines: Engine[] = Array.from({ length: load.engines }, () => (
    { waiting: [], held: 0, running: 0, busyUntil: 0, isDark: false }
  ))
  const routes = new Map<string, EdgeRoute>(kinds.map(({ name, target, budget, priority }) => [name, createRoute({
    name, prefix: `/${name}/`, latencyTarget: target, timeout: budget, priority
  })]))
  const customersByName = new Map<string, EdgeCustomer>(customers.map((values) => [
    values.name, createCustomer({ ...values, keys: [], burst: 0 })
  ]))
  const configuration = createConfiguration({ routes: [...routes.values()], customers: [...customersByName.values()] })
  const totalRate = customers.reduce((sum, { rate }) => sum + rate, 0)
  /** Tokens ahead of a new request at each engine, as last exchanged. */
  let snapshot: Array<{ queue: number, held: number, running: number, isDark: boolean }> = []
  let snapshotAt = 0
  let meanDuration = 300

  function expectedStart (tokens: number, present: number): number {
    const starts = snapshot.filter(({ isDark }) => !isDark).map(({ queue, held, running }) => {
      const wait = Math.max(0, queue / load.speed - (present - snapshotAt))
      // As in the engine room: room becomes free at the rate at which the requests of an engine end.
      const excessMemory = (held + tokens - load.memory) / Math.max(1, held)
      const excess = Math.max(0, excessMemory, (running + 1 - load.slots) / Math.max(1, running))
      return Math.max(wait, excess * meanDuration)
    })
    return Math.min(...starts)
  }

  const instances: SimulatedInstance[] = Array.from({ length: load.instances }, () => {
    const backlog = createBacklogs()
    const demand = createDemandExchange()
    const order = createAdmissionOrder({
      directory: {
        listed: () => isFleetKnown ? [{ fleetLoadUpdatedAt: scheduler.now() } as unknown as Upstream] : []
      },
      demand,
      random,
      isUncrowded: () => false,
      room: { expectedStart: (_service, tokens, present) => expectedStart(tokens, present) },
      configuration: () => configuration,
      backlog
    })
    const context = { admissionOrder: order, random, log: () => {} } as unknown as ExchangeContext
    return { supplement: demand.supplement, backlog, context }
  })

  function exchange (): void {
    const present = scheduler.now()
    const darkCount = load.dark?.(present) ?? 0
    for (const [index, engine] of engines.entries()) engine.isDark = index < darkCount
    snapshot = engines.map(({ waiting, held, running, busyUntil, isDark }) => ({
      queue: waiting.reduce((sum, { tokens }) => sum + tokens, 0) + Math.max(0, busyUntil - present) * load.speed,
      held: held + waiting.reduce((sum, { tokens }) => sum + tokens, 0),
      running: running + waiting.length,
      isDark
    }))
    snapshotAt = present
    const aggregator = instances[0]!.supplement
    for (const [index, { supplement }] of instances.entries()) {
      if (index > 0) aggregator.recordMember(String(index), supplement.ownFields(present), present)
    }
    const total = aggregator.totalFields(present)
    if (isFleetKnown) for (const { supplement } of instances) supplement.applyTotal(total, present)
    if (present < load.length) scheduler.at(present + EXCHANGE_MS, exchange)
  }

  function work (engine: Engine): void {
    const present = scheduler.now()
    if (present < engine.busyUntil) return
    engine.waiting.sort((one, other) => one.urgency - other.urgency)
    const next = engine.waiting[0]
    if (next === undefined || engine.held + next.tokens > load.memory || engine.running >= load.slots) return
    engine.waiting.shift()
    engine.held += next.tokens
    engine.running += 1
    engine.busyUntil = present + next.tokens / load.speed
    scheduler.at(engine.busyUntil, () => {
      next.onFirstByte(scheduler.now())
      scheduler.at(scheduler.now() + next.output * OUTPUT_TOKEN_MS, () => {
        meanDuration += (scheduler.now() - next.sentAt - meanDuration) * DURATION_SMOOTHING
        engine.held -= next.tokens
        engine.running -= 1
        work(engine)
      })
      work(engine)
    })
  }

  function send (tokens: number, output: number, urgency: number, onFirstByte: (at: number) => void): void {
    const usable = snapshot.flatMap(({ isDark }, index) => isDark ? [] : [index])
    // The choice goes by the loads right before it; those that are sent at the same time differ by the draw.
    const ranked = usable.map((index) => {
      const { waiting, held, running, busyUntil } = engines[index]!
      const waitingTokens = waiting.reduce((sum, request) => sum + request.tokens, 0)
      const isFull = held + waitingTokens + tokens > load.memory || running + waiting.length >= load.slots
      const queue = waitingTokens / load.speed + Math.max(0, busyUntil - scheduler.now())
      return { index, cost: (isFull ? FULL_PENALTY_MS : 0) + queue + random() }
    })
    const { index } = ranked.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best)
    engines[index]!.waiting.push({ tokens, output, urgency, onFirstByte, sentAt: scheduler.now() })
    work(engines[index]!)
  }

  const outcomes: Outcome[] = []
  function visit (outcome: Outcome, kind: Kind): void {
    const timeLeft = (): number => outcome.at + kind.budget - scheduler.now()
    const { context, backlog } = instances[Math.floor(random() * instances.length)]!
    const own = backlog(`engines/${kind.priority}`)
    const admitted = {
      callerRequest: { tokens: { prompt: outcome.tokens, output: kind.output }, resumeAfter: undefined },
      customer: customersByName.get(outcome.customer),
      plan: { promptTokens: outcome.tokens },
      route: routes.get(kind.name),
      service: 'engines'
    } as unknown as AdmittedRequest
    const order = createRequestOrder(context, admitted, timeLeft, () => { endHold(holds) })
    const arrivedAt = scheduler.now()
    let holds = 0

    function endHold (number: number): void {
      if (number !== holds) return
      holds += 1
      scheduler.at(scheduler.now(), decide)
    }

    function decide (): void {
      const decision = order.decide(scheduler.now())
      outcome.held = scheduler.now() - arrivedAt
      if (decision.admitted) {
        own.requestStarted()
        return send(outcome.tokens, kind.output, kind.priority, (at) => {
          own.firstByteReceived(at)
          outcome.firstByte = at - outcome.at
        })
      }
      if (decision.holdFor > 0) {
        holds += 1
        const number = holds
        return scheduler.at(scheduler.now() + decision.holdFor, () => { endHold(number) })
      }
      outcome.refusals += 1
      outcome.retryAfter ??= decision.retryAfter
      outcome.timeLeftAtRefusal ??= timeLeft()
      if (outcome.refusals > 1) return
      const pause = Math.min(decision.retryAfter, timeLeft() / 3)
      scheduler.at(scheduler.now() + pause, () => { visit(outcome, kind) })
    }
    decide()
  }
  function startCaller (kind: Kind, customer: { name: string, rate: number }): void {
    const usual = kind.perSecond * customer.rate / totalRate / 1000
    const factor = load.factor?.(kind.name, customer.name, scheduler.now()) ?? 1
    const pause = -Math.log(1 - random()) / (usual * factor)
    if (scheduler.now() + pause > load.length) return
    scheduler.at(scheduler.now() + pause, () => {
      const outcome: Outcome = {
        kind: kind.name,
        customer: customer.name,
        tokens: kind.prompt(random()),
        at: scheduler.now(),
        firstByte: undefined,
        target: kind.target,
        refusals: 0,
        held: 0,
        retryAfter: undefined,
        timeLeftAtRefusal: undefined
      }
      outcomes.push(outcome)
      visit(outcome, kind)
      startCaller(kind, customer)
    })
  }

  exchange()
  for (const kind of kinds) for (const customer of customers) startCaller(kind, customer)
  scheduler.run(load.length + 5000)
  return outcomes
}
