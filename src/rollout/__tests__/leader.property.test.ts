import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFakePlatform, type Fault, type FakePlatform } from '../../platform/__tests__/fakePlatform'
import type { ConfigurationRevision } from '../../types'
import { emptySample } from '../emptySample'
import { createRolloutLeader, leaderName, type RolloutLeader } from '../leader'
import { reportRollouts } from '../report'
import { isTerminal } from '../transitions'
import type { EngineState, RolloutEffect, RolloutRecord, RolloutSample } from '../types'
import { createRolloutView } from '../view'

const MODEL = 'chat'
const ORDER = ['pending', 'loading', 'canary', 'complete_share', 'finished']
const LEADERS = 3
/** Clock offset in milliseconds and clock rate of each leader. The rates differ by at most the drift bound. */
const CLOCKS = [{ offset: 0, rate: 1.0005 }, { offset: 7e6, rate: 0.9995 }, { offset: -3e5, rate: 1 }]

type Operation =
  | { kind: 'wait', milliseconds: number }
  | { kind: 'tick', leader: number, writes: Fault[], read: Fault }
  | { kind: 'race' }
  | { kind: 'pause' | 'resume' | 'crash', leader: number }
  | { kind: 'samples', bad: boolean, route: string }
  | { kind: 'apply', version: string, finishBy: number | undefined, unaware: number }
  | { kind: 'loadFails', leader: number }

const leaderArbitrary = fc.nat(LEADERS - 1)
const faultArbitrary = fc.constantFrom<Fault>('none', 'none', 'none', 'unavailable', 'lostBefore', 'lostAfter')
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.constantFrom(100, 1000, 3000, 20_000, 150_000) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('tick' as const), leader: leaderArbitrary, writes: fc.array(faultArbitrary, { maxLength: 2 }), read: faultArbitrary }) },
  { weight: 3, arbitrary: fc.constant({ kind: 'race' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const, 'resume' as const, 'crash' as const), leader: leaderArbitrary }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('samples' as const), bad: fc.boolean(), route: fc.constantFrom('a', 'b') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('apply' as const), unaware: fc.nat(LEADERS), version: fc.constantFrom('v1', 'v2', 'v3'), finishBy: fc.option(fc.constantFrom(60_000, 500_000), { nil: undefined }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loadFails' as const), leader: leaderArbitrary }) }
)

interface World {
  time: number
  platform: FakePlatform
  leaders: RolloutLeader[]
  incarnations: number[]
  /** Ticks of leaders whose commits are blocked, as if the process were suspended between reading and writing. */
  gates: Array<{ pending: Promise<readonly RolloutEffect[]>, release: () => void } | undefined>
  configuration: ConfigurationRevision
  /** All applied revisions. */
  applied: ConfigurationRevision[]
  /** The revision known to each leader. */
  known: ConfigurationRevision[]
  engines: EngineState[]
  history: RolloutRecord[]
  commands: Array<{ token: number, time: number }>
}

function createWorld (): World {
  const first = { revision: 1, configuration: fleet('v1', undefined) }
  const world: World = {
    time: 1000,
    platform: createFakePlatform(),
    leaders: [],
    incarnations: Array.from({ length: LEADERS }, () => 1),
    gates: [],
    configuration: first,
    applied: [first],
    known: Array.from({ length: LEADERS }, () => first),
    engines: ['e1', 'e2', 'e3'].map(name => ({ name, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded: [] })),
    history: [],
    commands: []
  }
  for (let index = 0; index < LEADERS; index++) world.leaders.push(startLeader(world, index))
  return world
}

function fleet (version: string, finishBy: number | undefined): ConfigurationRevision['configuration'] {
  return {
    dataCentres: [],
    customers: [],
    routes: [],
    models: [
      { name: MODEL, version, finishBy, maximumOutputTokens: 1, parallelLoads: 2 }
    ]
  }
}

function startLeader (world: World, index: number): RolloutLeader {
  const { platform } = world
  return createRolloutLeader({
    platform: {
      readTable: platform.readTable,
      commit: async (transaction) => {
        await passGate(world, index)
        const result = platform.commit(transaction)
        await result.catch(() => undefined)
        recordHistory(world)
        return await result
      }
    },
    self: { instance: `i${index}`, incarnation: world.incarnations[index]! },
    configuration: () => world.known[index],
    engines: () => world.engines
  })
}

const commitGates = new WeakMap<World, Map<number, Promise<void>>>()
async function passGate (world: World, index: number): Promise<void> {
  await commitGates.get(world)?.get(index)
}

function recordHistory (world: World): void {
  const record = world.platform.rows('rollout')[0]?.value as RolloutRecord | undefined
  if (record !== undefined && record.step !== world.history.at(-1)?.step) world.history.push(record)
}

const clockOf = (world: World, index: number) => CLOCKS[index]!.offset + world.time * CLOCKS[index]!.rate

function applyEffects (world: World, effects: readonly RolloutEffect[], index: number): void {
  for (const effect of effects) {
    if (effect.kind !== 'engineOrder' || clockOf(world, index) >= effect.validUntil) continue
    world.commands.push({ token: effect.command.fencingToken, time: world.time })
    const engine = world.engines.find(other => other.name === effect.engine)!
    const name = `${effect.command.model}@${effect.command.version}`
    engine.loaded = effect.command.kind === 'load' ? [...new Set([...engine.loaded, name])] : engine.loaded.filter(other => other !== name)
  }
}

async function tick (world: World, index: number): Promise<void> {
  if (world.gates[index] !== undefined) return
  applyEffects(world, await world.leaders[index]!.tick(clockOf(world, index), world.time), index)
}

/** Later versions have higher failure rates, so that each version is faulty compared with earlier ones. */
function samples (bad: boolean, route: string): RolloutSample[] {
  return ['v1', 'v2', 'v3'].map(version => ({
    ...emptySample(MODEL, version, route),
    requests: 100,
    failures: bad ? Number(version.slice(1)) * 25 : 1
  }))
}

async function perform (world: World, operation: Operation): Promise<void> {
  // The start time identifies a rollout, so two rollouts must not start in the same millisecond.
  world.time += 1
  switch (operation.kind) {
    case 'wait':
      world.time += operation.milliseconds
      return
    case 'tick':
      world.platform.readFaults = [operation.read]
      world.platform.writeFaults = [...operation.writes]
      await tick(world, operation.leader)
      world.platform.readFaults = []
      world.platform.writeFaults = []
      return
    case 'race':
      await Promise.all(world.leaders.map(async (_, index) => { await tick(world, index) }))
      return
    case 'pause': {
      if (world.gates[operation.leader] !== undefined) return
      let release = () => {}
      const gates = commitGates.get(world) ?? new Map<number, Promise<void>>()
      commitGates.set(world, gates)
      gates.set(operation.leader, new Promise((resolve) => { release = resolve }))
      const pending = world.leaders[operation.leader]!.tick(clockOf(world, operation.leader), world.time)
      world.gates[operation.leader] = { pending, release }
      return
    }
    case 'resume': {
      const gate = world.gates[operation.leader]
      if (gate === undefined) return
      commitGates.get(world)!.delete(operation.leader)
      gate.release()
      world.gates[operation.leader] = undefined
      applyEffects(world, await gate.pending, operation.leader)
      return
    }
    case 'crash':
      await perform(world, { kind: 'resume', leader: operation.leader })
      world.incarnations[operation.leader]!++
      world.leaders[operation.leader] = startLeader(world, operation.leader)
      return
    case 'samples':
      for (const leader of world.leaders) leader.addSamples('i0', samples(operation.bad, operation.route))
      return
    case 'apply':
      world.configuration = {
        revision: world.configuration.revision + 1,
        configuration: fleet(
          operation.version, operation.finishBy === undefined ? undefined : world.time + operation.finishBy
        )
      }
      world.applied.push(world.configuration)
      // An unaware instance receives no configuration from the platform or its peers until the next revision.
      world.known = world.known.map((known, leader) => leader === operation.unaware ? known : world.configuration)
      return
    case 'loadFails':
      for (let attempt = 0; attempt < 3; attempt++) world.leaders[operation.leader]!.loadFailed('e1', MODEL, 'v2')
  }
}

function checkHistory ({ history, applied }: World): void {
  for (const [index, after] of history.entries()) {
    const before = history[index - 1]
    if (before === undefined) continue
    expect(after.step).toBeGreaterThan(before.step)
    expect(after.fencingToken).toBeGreaterThanOrEqual(before.fencingToken)
    if (after.fencingToken === before.fencingToken) expect(after.leader).toBe(before.leader)
    const sameRollout = after.startedAt === before.startedAt && after.toVersion === before.toVersion
    if (!sameRollout) {
      expect(isTerminal(before.phase)).toBe(true)
      expect(after.revision).toBeGreaterThan(before.revision)
      continue
    }
    if (isTerminal(before.phase)) {
      expect([after.phase, after.share, after.reason]).toEqual([before.phase, before.share, before.reason])
    } else if (after.phase === 'rolled_back') {
      expect(after.share).toBe(0)
      // An instance with an outdated revision must not treat a running rollout as superseded.
      if (after.reason === 'superseded') {
        expect(applied.some(({ revision, configuration }) => {
          return revision >= before.revision && configuration.models[0]!.version !== before.toVersion
        })).toBe(true)
      }
    } else {
      expect(ORDER.indexOf(after.phase)).toBeGreaterThanOrEqual(ORDER.indexOf(before.phase))
      expect(after.share).toBeGreaterThanOrEqual(before.share)
    }
  }
}

function checkLeaders (world: World): void {
  const leaseHolders = world.leaders.filter((leader, index) => leader.leads(MODEL, clockOf(world, index)))
  expect(leaseHolders.length).toBeLessThanOrEqual(1)
  const record = world.history.at(-1)
  for (const [index, leader] of world.leaders.entries()) {
    if (record === undefined || !leader.leads(MODEL, clockOf(world, index))) continue
    expect(record.leader).toBe(leaderName({ instance: `i${index}`, incarnation: world.incarnations[index]! }))
  }
}

describe('rollout leaders', () => {
  it('allow one leader at a time and only advance, through races, expired leases, lost responses and crashes', async () => {
    let finished = 0
    let rolledBack = 0
    let takeovers = 0
    await fc.assert(fc.asyncProperty(fc.array(
      operationArbitrary, { minLength: 30, maxLength: 120 }
    ), async (operations) => {
      const world = createWorld()
      for (const operation of operations) {
        await perform(world, operation)
        checkLeaders(world)
      }
      checkHistory(world)
      // An engine that checks fencing tokens would never have to reject a command.
      const tokens = world.commands.map(command => command.token)
      expect(tokens).toEqual([...tokens].sort((left, right) => left - right))
      const rows = world.platform.rows('rollout').map(row => row.value as RolloutRecord)
      for (const report of reportRollouts(rows, world.configuration.configuration.models, world.time)) {
        const record = rows.find(other => other.model === report.model)
        const state = record === undefined ? 'requested' : isTerminal(record.phase) ? record.phase : 'running'
        expect(report).toMatchObject({ state, reason: record?.reason, share: record?.share, phase: record?.phase })
      }
      finished += world.history.filter(record => record.phase === 'finished').length
      rolledBack += world.history.filter(record => record.phase === 'rolled_back').length
      takeovers += new Set(world.history.map(record => record.fencingToken)).size
    }), { numRuns: 400 })
    // Guards against a generator that does not reach these states.
    expect(finished).toBeGreaterThan(50)
    expect(rolledBack).toBeGreaterThan(50)
    expect(takeovers).toBeGreaterThan(400)
  }, 60_000)

  it('give every instance the same view, regardless of the order and number of deliveries of the records', async () => {
    await fc.assert(fc.asyncProperty(fc.array(
      operationArbitrary, { minLength: 20, maxLength: 60 }
    ), fc.infiniteStream(fc.nat()), async (operations, ranks) => {
      const world = createWorld()
      for (const operation of operations) await perform(world, operation)
      const view = createRolloutView()
      const shuffled = [...world.history, ...world.history].map(
        record => ({ record, rank: ranks.next().value as number })
      )
      for (const { record } of shuffled.sort((left, right) => left.rank - right.rank)) view.applyIfNewer(record)
      expect(view.record(MODEL)).toEqual(world.history.at(-1))
      const stale = world.history.find(record => record.fencingToken < view.fencingToken(MODEL))
      if (stale !== undefined) expect(view.applyIfNewer({ ...stale, step: 1e9 })).toBe(false)
    }), { numRuns: 100 })
  }, 60_000)
})
