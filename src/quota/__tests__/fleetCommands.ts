/** Commands for the stateful test of a small fleet: traffic, failures and the passage of time. */
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createFleet } from '../../../experiments/quota/fleet'
import type { Fleet, FleetInstance, FleetOptions } from '../../../experiments/quota/fleet'
import { CLOCK_DRIFT_BOUND } from '../../constants'
import type { RandomSource } from '../../types'
import type { Charge } from '../types'
import { createWindowOracle } from './windowOracle'
import type { WindowViolation } from './windowOracle'

export const limits = [
  { customer: 'steady', rate: 1000, burst: 1500 },
  { customer: 'bursty', rate: 200, burst: 4000 },
  // With a small burst, a doubled rate is detected within a second.
  { customer: 'smooth', rate: 2000, burst: 300 }
]

interface Trial {
  fleet: Fleet
  random: RandomSource
  openCharges: Array<{ instance: FleetInstance, incarnation: number, charge: Charge }>
}

type Command = fc.AsyncCommand<object, Trial>

function command (name: string, run: (trial: Trial) => Promise<void>): Command {
  return { check: () => true, run: (_model, trial) => run(trial), toString: () => name }
}

/** Spends tokens of an instance, or more than it has with loans, and settles some open charges. */
function useInstance (trial: Trial, instance: FleetInstance): void {
  const { fleet, random } = trial
  if (!isRunning(fleet, instance)) return
  const { customer, burst } = limits[Math.floor(random() * limits.length)]!
  const draw = random()
  if (draw < 0.2) fleet.admitWithLoans(instance, customer, burst * random(), recordCharge(trial, instance))
  else spend(trial, instance, customer, draw < 0.7 ? 1 : random())
  if (random() < 0.6) settleRandomCharge(trial)
}

function isRunning (fleet: Fleet, instance: FleetInstance): boolean {
  return instance.isUp && instance.pausedUntil <= fleet.events.now()
}

function recordCharge ({ openCharges }: Trial, instance: FleetInstance): (charge: Charge | undefined) => void {
  const { incarnation } = instance
  return (charge) => {
    if (charge !== undefined) openCharges.push({ instance, incarnation, charge })
  }
}

function spend (trial: Trial, instance: FleetInstance, customer: string, fraction: number): void {
  if (!isRunning(trial.fleet, instance)) return
  const { level } = instance.accounts.inspect(customer, instance.clock())
  if (level > 0.1) recordCharge(trial, instance)(trial.fleet.admit(instance, customer, level * fraction))
}

function settleRandomCharge ({ fleet, random, openCharges }: Trial): void {
  const [ended] = openCharges.splice(Math.floor(random() * openCharges.length), 1)
  if (ended === undefined || ended.instance.incarnation !== ended.incarnation) return
  if (isRunning(fleet, ended.instance)) {
    fleet.settle(ended.instance, ended.charge, ended.charge.tokens * Math.max(0, random() * 1.5 - 0.5))
  }
}

/** Spends the complete level of all instances at the same instant, the worst case that callers can cause. */
function spendAll (trial: Trial): void {
  for (const instance of trial.fleet.instances) {
    for (const { customer } of limits) spend(trial, instance, customer, 1)
  }
}

/** Advances the time in steps; after each step, every instance is used with probability `activity`. */
async function advanceTime (trial: Trial, milliseconds: number, activity: number, pieces = 12): Promise<void> {
  const { fleet, random } = trial
  for (let piece = 0; piece < pieces; piece += 1) {
    await fleet.events.runUntil(fleet.events.now() + milliseconds / pieces)
    for (const instance of fleet.instances) if (random() < activity) useInstance(trial, instance)
  }
}

/** Spends all levels continuously, so that refill that is too fast or doubled is detected. */
async function saturate (trial: Trial, milliseconds: number): Promise<void> {
  const { events } = trial.fleet
  for (const end = events.now() + milliseconds; events.now() < end;) {
    spendAll(trial)
    await events.runUntil(events.now() + 100)
  }
}

/** Sends all traffic, more than the rate, to one instance. */
async function concentrateTraffic (trial: Trial, instance: FleetInstance, milliseconds: number): Promise<void> {
  const { fleet } = trial
  const step = 250
  for (let time = 0; time < milliseconds; time += step) {
    await fleet.events.runUntil(fleet.events.now() + step)
    if (!isRunning(fleet, instance)) continue
    for (const { customer, rate, burst } of limits) {
      spend(trial, instance, customer, 1)
      fleet.admitWithLoans(instance, customer, Math.min(burst, rate * step / 1000), recordCharge(trial, instance))
    }
  }
}

const instanceIndex = fc.nat(7)
const dataCentreIndex = fc.nat(2)
const activities = fc.constantFrom(0, 0, 0.1, 0.6)

function pick (trial: Trial, index: number): FleetInstance {
  return trial.fleet.instances[index % trial.fleet.instances.length]!
}

export const commandArbitraries: Array<fc.Arbitrary<Command>> = [
  fc.tuple(fc.integer({ min: 20, max: 6000 }), activities).map(([time, activity]) =>
    command(`pass(${time}, ${activity})`, (trial) => advanceTime(trial, time, activity))),
  fc.tuple(fc.integer({ min: 6000, max: 45_000 }), activities).map(([time, activity]) =>
    command(`pass(${time}, ${activity})`, (trial) => advanceTime(trial, time, activity, 24))),
  fc.constant(command('spendAll', async (trial) => { spendAll(trial) })),
  fc.integer({ min: 500, max: 15_000 }).map((time) => command(`drain(${time})`, (trial) => saturate(trial, time))),
  // The instance is used at the instant at which it resumes, before any response of the platform reaches it.
  fc.tuple(instanceIndex, fc.integer({ min: 20_000, max: 60_000 })).map(([index, time]) =>
    command(`pauseAndWake(${index}, ${time})`, async (trial) => {
      pick(trial, index).pausedUntil = trial.fleet.events.now() + time
      await advanceTime(trial, time, 0, 1)
      spendAll(trial)
    })),
  // All other instances restart while their loans to one instance are active.
  instanceIndex.map((index) => command(`restartLenders(${index})`, async (trial) => {
    await concentrateTraffic(trial, pick(trial, index), 1500)
    for (const instance of trial.fleet.instances) if (instance !== pick(trial, index)) trial.fleet.restart(instance, 0)
    await saturate(trial, 3000)
  })),
  fc.tuple(instanceIndex, fc.integer({ min: 250, max: 4000 })).map(([index, time]) =>
    command(`focus(${index}, ${time})`, (trial) => concentrateTraffic(trial, pick(trial, index), time))),
  fc.tuple(instanceIndex, fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 40_000 }))).map(([index, delay]) =>
    command(`restart(${index}, ${delay})`, async (trial) => { trial.fleet.restart(pick(trial, index), delay) })),
  fc.tuple(instanceIndex, fc.integer({ min: 0, max: 5000 })).map(([index, delay]) =>
    command(`shutDown(${index}, ${delay})`, async (trial) => { trial.fleet.shutDown(pick(trial, index), delay) })),
  fc.tuple(fc.constantFrom(0, 3000), fc.nat(8)).map(([delay, excluded]) =>
    command(`restartAll(${delay}, ${excluded})`, async ({ fleet, random }) => {
      fleet.instances.forEach((instance, index) => {
        if (index !== excluded) fleet.restart(instance, delay * random())
      })
    })),
  fc.tuple(instanceIndex, fc.integer({ min: 10, max: 70_000 })).map(([index, time]) =>
    command(`pause(${index}, ${time})`, async (trial) => {
      pick(trial, index).pausedUntil = trial.fleet.events.now() + time
    })),
  fc.tuple(dataCentreIndex, fc.boolean(), fc.boolean()).map(([index, fromPlatform, fromOthers]) =>
    command(`cut(${index}, ${fromPlatform}, ${fromOthers})`, async ({ fleet }) => {
      if (fromPlatform) fleet.cutFromPlatform.add(`dc${index}`)
      if (fromOthers) fleet.cutFromOthers.add(`dc${index}`)
    })),
  fc.tuple(instanceIndex).map(([index]) => command(`unlist(${index})`, async (trial) => {
    trial.fleet.unlisted.add(pick(trial, index).name)
  })),
  fc.record({
    lost: fc.constantFrom(0, 0.3),
    doubled: fc.constantFrom(0, 0.5),
    late: fc.constantFrom(0, 0.5),
    delay: fc.constantFrom(300, 3000)
  }).map((links) => command(`links(${JSON.stringify(links)})`, async ({ fleet }) => {
    Object.assign(fleet.links, links)
  })),
  fc.record({ lostAnswers: fc.constantFrom(0, 0.4), lateCommits: fc.constantFrom(0, 0.3) })
    .map((faults) => command(`platform(${JSON.stringify(faults)})`, async ({ fleet }) => {
      Object.assign(fleet.platform.faults, faults)
    })),
  fc.constant(command('heal', async ({ fleet }) => {
    fleet.cutFromPlatform.clear()
    fleet.cutFromOthers.clear()
    fleet.unlisted.clear()
    Object.assign(fleet.links, { lost: 0, doubled: 0, late: 0 })
    Object.assign(fleet.platform.faults, { lostAnswers: 0, lateCommits: 0 })
  })),
  fc.constantFrom(3_600_000).map((time) => command(`outage(${time})`, async (trial) => {
    const { fleet } = trial
    const { borrowingInterval } = fleet
    fleet.platformDown = true
    // Borrow rarely, so that the simulated hour does not take seconds.
    fleet.borrowingInterval = 20_000
    await advanceTime(trial, time, 0.2, 30)
    fleet.borrowingInterval = borrowingInterval
    fleet.platformDown = false
  }))
]

/** Clock rates, any two of which differ by at most the drift bound. */
export const clockRates = fc.oneof(
  fc.array(
    fc.constantFrom(1 / Math.sqrt(1 + CLOCK_DRIFT_BOUND), 1, Math.sqrt(1 + CLOCK_DRIFT_BOUND)),
    { minLength: 8, maxLength: 8 }
  ),
  fc.constant(Array.from({ length: 8 }, () => Math.sqrt(1 + CLOCK_DRIFT_BOUND)))
)

/** Runs commands on a new fleet and returns a window that exceeds the bound, if any. */
export async function runTrial (
  commands: Iterable<Command>, seed: number, rates: readonly number[], replace?: FleetOptions['replace']
): Promise<WindowViolation | undefined> {
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const oracle = createWindowOracle(limits)
  const fleet = createFleet({ random, dataCentres: [3, 3, 2], limits, clockRates: rates, replace }, oracle)
  const trial: Trial = { fleet, random, openCharges: [] }
  await advanceTime(trial, 6000, 0, 1)
  await fc.asyncModelRun(() => ({ model: {}, real: trial }), commands)
  spendAll(trial)
  return oracle.worstWindow()
}
