/** Instances of several data centres on simulated time, joined by faulty links, around the quota modules. */
import { createQuotaAccounts } from '../../src/quota/accounts'
import type { InstanceQuotaAccounts } from '../../src/quota/accounts'
import { BORROWING_INTERVAL_MS, createLoanPlanner } from '../../src/quota/borrowing'
import type { LoanPeer, LoanPlan, LoanPlanner, PlannedLoan } from '../../src/quota/borrowing'
import { createGrantTask } from '../../src/quota/grantTask'
import type { GrantTask, GrantTaskOptions } from '../../src/quota/grantTask'
import type { Charge, CustomerLimit, LoanReply } from '../../src/quota/types'
import type { RandomSource } from '../../src/types'
import { createEventQueue } from './eventQueue'
import type { EventQueue } from './eventQueue'
import { createTablePlatform } from './tablePlatform'
import type { TablePlatform } from './tablePlatform'

/** One way between instances of one data centre and of different ones, in milliseconds. */
const NEAR_LATENCY_MS = 0.5
const FAR_LATENCY_MS = 1.5

/** Times that a request asks for loans before it is refused or waits. */
const LOAN_ROUNDS = 4

/** Milliseconds between the attempts of a request that waits. */
const RETRY_MS = 100

export interface LinkFaults {
  /** Parts of the messages that are lost, doubled, and delayed by up to `delay` milliseconds. */
  lost: number
  doubled: number
  late: number
  delay: number
}

export interface FleetOptions {
  random: RandomSource
  /** Number of instances of each data centre. */
  dataCentres: readonly number[]
  limits: readonly CustomerLimit[]
  /** Speed of the clock of each instance relative to true time. */
  clockRates: readonly number[]
  /** @default true */
  loans?: boolean
  /** Options that the grant tasks share. @default none */
  grants?: Partial<GrantTaskOptions>
  /** Replaces parts of an instance; used to show that a check can fail. @default none */
  replace?: {
    accounts?: () => InstanceQuotaAccounts
    grantTask?: (options: GrantTaskOptions) => GrantTask
  }
}

/** One position of the fleet; the process in it is replaced at a restart. */
export interface FleetInstance {
  name: string
  dataCentre: string
  accounts: InstanceQuotaAccounts
  grants: GrantTask
  planner: LoanPlanner
  incarnation: number
  isUp: boolean
  pausedUntil: number
  clock: () => number
}

/** Called with true time for everything that the bound is checked against. */
export interface FleetObserver {
  admitted: (customer: string, charge: Charge, time: number) => void
  refunded: (charge: Charge, tokens: number, time: number) => void
}

export interface Fleet {
  events: EventQueue
  platform: TablePlatform
  instances: readonly FleetInstance[]
  links: LinkFaults
  /** Data centres cut off from the platform and from other data centres. */
  cutFromPlatform: Set<string>
  cutFromOthers: Set<string>
  /** Running instances that the platform's list has lost sight of. */
  unlisted: Set<string>
  platformDown: boolean
  /** Milliseconds between calls of `planAhead`. */
  borrowingInterval: number
  admit: (instance: FleetInstance, customer: string, tokens: number) => Charge | undefined
  /**
   * Admits at once, after loans, or after a wait of at most `patience` milliseconds and loans again; tells the outcome
   * once. Without patience a request that loans do not admit is refused.
   */
  admitWithLoans: (
    instance: FleetInstance, customer: string, tokens: number, done: (charge: Charge | undefined) => void,
    patience?: number
  ) => void
  settle: (instance: FleetInstance, charge: Charge, used: number) => void
  /** Ends the process; a new incarnation starts after `delay`. */
  restart: (instance: FleetInstance, delay: number) => void
  /** Gives the grants back first, as at a shutdown, and restarts then. */
  shutDown: (instance: FleetInstance, delay: number) => void
}

export function createFleet (options: FleetOptions, observer: FleetObserver): Fleet {
  const { random, limits } = options
  const events = createEventQueue()
  const platform = createTablePlatform(events, random)
  const weights = new Map(options.dataCentres.map((_count, index) => [`dc${index}`, 1]))
  const links: LinkFaults = { lost: 0, doubled: 0, late: 0, delay: 0 }
  const instances: FleetInstance[] = []
  let incarnations = 0

  function reaches (first: FleetInstance, second: FleetInstance): boolean {
    if (first.dataCentre === second.dataCentre) return true
    return !fleet.cutFromOthers.has(first.dataCentre) && !fleet.cutFromOthers.has(second.dataCentre)
  }

  /** Runs work of one process; after its end never, during a pause at the end of it. */
  function within (instance: FleetInstance, incarnation: number, delay: number, work: () => void): void {
    events.after(delay, () => {
      if (!instance.isUp || instance.incarnation !== incarnation) return
      const pause = instance.pausedUntil - events.now()
      if (pause > 0) within(instance, incarnation, pause, work)
      else work()
    })
  }

  function send (from: FleetInstance, to: FleetInstance, deliver: () => void): void {
    const copies = random() < links.doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      if (random() < links.lost || !reaches(from, to)) continue
      const latency = from.dataCentre === to.dataCentre ? NEAR_LATENCY_MS : FAR_LATENCY_MS
      const delay = latency + (random() < links.late ? links.delay * random() : 0)
      events.after(delay, () => {
        if (to.isUp && reaches(from, to)) within(to, to.incarnation, 0, deliver)
      })
    }
  }

  function receive (instance: FleetInstance, reply: LoanReply): void {
    instance.planner.receive(reply, instance.clock())
    sendLoans(instance, instance.planner.takeReturns(), () => {})
  }

  function sendLoans (from: FleetInstance, loans: readonly PlannedLoan[], answered: (reply: LoanReply) => void): void {
    const { incarnation } = from
    for (const { peer, request } of loans) {
      const to = instances.find(({ name }) => name === peer)
      if (to === undefined) continue
      send(from, to, () => {
        const reply = to.accounts.lend(request, from.name, to.clock())
        send(to, from, () => { if (from.incarnation === incarnation) answered(reply) })
      })
    }
  }

  function peersOf (instance: FleetInstance): LoanPeer[] {
    return instances
      .filter((other) => other !== instance && other.isUp && reaches(instance, other))
      .map(({ name, dataCentre }) => ({ instance: name, dataCentre }))
  }

  let requests = 0

  /** Attempts to admit the same request carry the same identifier, so that its demand is counted once. */
  function nextIdentifier (): string {
    requests += 1
    return `request-${requests}`
  }

  function admit (
    instance: FleetInstance, customer: string, tokens: number, identifier = nextIdentifier()
  ): Charge | undefined {
    const result = instance.accounts.admit(identifier, customer, tokens, instance.clock())
    if (!result.admitted) return undefined
    observer.admitted(customer, result.charge, events.now())
    return result.charge
  }
  function admitWithLoans (
    instance: FleetInstance, customer: string, tokens: number, done: (charge: Charge | undefined) => void,
    patience = 0
  ): void {
    const identifier = nextIdentifier()
    const deadline = events.now() + patience
    const attempt = (): void => {
      tryWithLoans(instance, customer, tokens, identifier, (charge) => {
        if (charge !== undefined || events.now() + RETRY_MS > deadline) done(charge)
        else within(instance, instance.incarnation, RETRY_MS, attempt)
      })
    }
    attempt()
  }

  function tryWithLoans (
    instance: FleetInstance, customer: string, tokens: number, identifier: string,
    done: (charge: Charge | undefined) => void
  ): void {
    const charge = admit(instance, customer, tokens, identifier)
    if (charge !== undefined || options.loans === false) {
      done(charge)
      return
    }
    let finished = false
    const plans: LoanPlan[] = []
    const finish = (admitted: Charge | undefined): void => {
      finished = true
      for (const plan of plans) instance.planner.finish(plan, instance.clock())
      sendLoans(instance, instance.planner.takeReturns(), () => {})
      done(admitted)
    }
    const round = (left: number): void => {
      const plan = left === 0
        ? undefined
        : instance.planner.planLoans(customer, tokens, peersOf(instance), instance.clock())
      if (plan === undefined) {
        finish(undefined)
        return
      }
      plans.push(plan)
      let open = plan.loans.length
      const nextRound = (): void => {
        if (open < 0 || finished) return
        open = -1
        round(left - 1)
      }
      sendLoans(instance, plan.loans, (reply) => {
        receive(instance, reply)
        if (finished || open < 0) return
        open -= 1
        const admitted = admit(instance, customer, tokens, identifier)
        if (admitted !== undefined) finish(admitted)
        else if (open === 0) nextRound()
      })
      within(instance, instance.incarnation, plan.waitMilliseconds, nextRound)
    }
    round(LOAN_ROUNDS)
  }

  function start (instance: FleetInstance, index: number): void {
    incarnations += 1
    const incarnation = incarnations
    const rate = options.clockRates[index] ?? 1
    const started = events.now()
    instance.incarnation = incarnation
    instance.isUp = true
    instance.pausedUntil = 0
    instance.clock = () => (events.now() - started) * rate
    instance.accounts = options.replace?.accounts?.() ?? createQuotaAccounts()
    instance.accounts.setLimits(limits, 0)
    instance.planner = createLoanPlanner({
      accounts: instance.accounts,
      dataCentre: instance.dataCentre,
      identifierPrefix: `${instance.name}/${incarnation}`
    })
    const client = platform.clientFor(() => !fleet.platformDown && !fleet.cutFromPlatform.has(instance.dataCentre))
    // An answer that arrives during a pause is taken in afterwards; one for an ended process never.
    const held = <Result>(answer: Promise<Result>): Promise<Result> => new Promise((resolve, reject) => {
      answer.then(
        (value) => { within(instance, incarnation, 0, () => { events.settle(() => { resolve(value) }) }) },
        (error: Error) => { within(instance, incarnation, 0, () => { events.settle(() => { reject(error) }) }) }
      )
    })
    instance.grants = (options.replace?.grantTask ?? createGrantTask)({
      accounts: instance.accounts,
      platform: {
        readRow: <Value>(table: string, key: string) => held(client.readRow<Value>(table, key)),
        commit: (transaction) => held(client.commit(transaction))
      },
      self: { instance: instance.name, incarnation, address: instance.name, dataCentre: instance.dataCentre },
      weights: () => weights,
      liveInstances: () => instances
        .filter(({ name, isUp, dataCentre }) => isUp && dataCentre === instance.dataCentre && !fleet.unlisted.has(name))
        .map(({ name }) => name),
      clock: instance.clock,
      random,
      ...options.grants
    })
    const { grants, planner } = instance
    const tick = (): void => {
      grants.tick(instance.clock()).then(
        ({ delay }) => { within(instance, incarnation, delay / rate, tick) },
        (error: unknown) => { events.after(0, () => { throw error }) }
      )
    }
    const borrow = (): void => {
      sendLoans(instance, planner.planAhead(peersOf(instance), instance.clock()), (reply) => {
        receive(instance, reply)
      })
      within(instance, incarnation, fleet.borrowingInterval / rate, borrow)
    }
    within(instance, incarnation, 0, tick)
    if (options.loans !== false) within(instance, incarnation, 0, borrow)
  }

  function restart (instance: FleetInstance, delay: number): void {
    if (!instance.isUp) return
    instance.isUp = false
    events.after(delay, () => { start(instance, instances.indexOf(instance)) })
  }

  const fleet: Fleet = {
    events,
    platform,
    instances,
    links,
    cutFromPlatform: new Set(),
    cutFromOthers: new Set(),
    unlisted: new Set(),
    platformDown: false,
    borrowingInterval: BORROWING_INTERVAL_MS,
    admit,
    admitWithLoans,
    restart,
    shutDown (instance, delay) {
      const { incarnation, grants } = instance
      const release = (left: number): void => {
        grants.release(instance.clock()).then(
          ({ released, delay: wait }) => {
            if (released || left === 0) within(instance, incarnation, 0, () => { restart(instance, delay) })
            else within(instance, incarnation, wait, () => { events.settle(() => { release(left - 1) }) })
          },
          (error: unknown) => { events.after(0, () => { throw error }) }
        )
      }
      if (instance.isUp) within(instance, incarnation, 0, () => { events.settle(() => { release(3) }) })
    },
    settle (instance, charge, used) {
      const before = instance.accounts.inspect(charge.customer, instance.clock()).level
      instance.accounts.settle(charge, used, instance.clock())
      const returned = instance.accounts.inspect(charge.customer, instance.clock()).level - before
      if (returned > 0) observer.refunded(charge, returned, events.now())
    }
  }

  options.dataCentres.forEach((count, dataCentre) => {
    for (let index = 0; index < count; index += 1) {
      instances.push({ name: `i${dataCentre}-${index}`, dataCentre: `dc${dataCentre}` } as FleetInstance)
    }
  })
  instances.forEach((instance, index) => { start(instance, index) })
  return fleet
}
