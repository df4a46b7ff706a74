import { describe, expect, it } from 'vitest'
import { createFakePlatform } from '../../platform/__tests__/fakePlatform'
import type { ConfigurationRevision } from '../../types'
import { createRolloutLeader } from '../leader'
import { targetEngines } from '../loading'
import type { EngineState, RolloutRecord } from '../types'

const MODEL = 'chat'

/** Creates one leader and four engines. Engines carry out loads only in `run` with `applyLoads`. */
function createFixture (loaded: readonly string[] = []) {
  const platform = createFakePlatform()
  const engines: EngineState[] = ['e1', 'e2', 'e3', 'e4'].map(name => {
    return { name, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded: [...loaded] }
  })
  let configuration: ConfigurationRevision | undefined
  let now = 0
  const leader = createRolloutLeader({
    platform, self: { instance: 'i', incarnation: 1 }, configuration: () => configuration, engines: () => engines
  })
  const fixture = {
    leader,
    engines,
    requestVersion (version: string, finishBy?: number) {
      configuration = {
        revision: (configuration?.revision ?? 0) + 1,
        configuration: {
          dataCentres: [],
          customers: [],
          routes: [],
          models: [{
            name: MODEL,
            version,
            finishBy,
            maximumOutputTokens: 1,
            parallelLoads: 2
          }]
        }
      }
    },
    record: () => platform.rows('rollout')[0]?.value as RolloutRecord,
    /** Ticks once per second and returns the engines that received a load command. */
    async run (seconds: number, applyLoads = true): Promise<string[]> {
      const engineNames: string[] = []
      for (let second = 0; second < seconds; second++) {
        now += 1000
        for (const effect of await leader.tick(now, now)) {
          if (effect.kind !== 'engineOrder' || effect.command.kind !== 'load') continue
          engineNames.push(effect.engine)
          if (applyLoads) engines.find(({ name }) => name === effect.engine)!.loaded = [...loaded, `${MODEL}@${effect.command.version}`]
        }
      }
      return engineNames
    },
    advanceClock (seconds: number) { now += seconds * 1000 }
  }
  return fixture
}

describe('rollout leader', () => {
  it('loads a first version on all engines, two at a time, and then finishes without a canary phase', async () => {
    const fixture = createFixture()
    fixture.requestVersion('v1')
    expect(await fixture.run(5, false)).toEqual(['e1', 'e2'])
    fixture.engines[0]!.loaded = ['chat@v1']
    expect(await fixture.run(3, false)).toEqual(['e3'])
    for (const engine of fixture.engines) engine.loaded = ['chat@v1']
    await fixture.run(1)
    expect(fixture.record()).toMatchObject({ phase: 'finished', share: 1, toVersion: 'v1', deadlineMissed: false })
  })

  it('increments the fencing token when it resumes after its lease has expired, so that its old commands are rejected', async () => {
    const fixture = createFixture(['chat@v0'])
    fixture.requestVersion('v1')
    await fixture.run(3, false)
    const before = fixture.record().fencingToken
    fixture.advanceClock(6)
    await fixture.run(1, false)
    expect(fixture.record().fencingToken).toBe(before + 1)
  })

  it('rolls back a version that half of the engines cannot load, and does not retry it until requested again', async () => {
    const fixture = createFixture()
    fixture.requestVersion('v1')
    await fixture.run(10)
    fixture.requestVersion('v2')
    await fixture.run(2, false)
    for (let attempt = 0; attempt < 3; attempt++) {
      for (const engine of ['e1', 'e2']) fixture.leader.loadFailed(engine, MODEL, 'v2')
      await fixture.run(1, false)
    }
    const rolledBack = { phase: 'rolled_back', reason: 'load_failed', fromVersion: 'v1', toVersion: 'v2', share: 0 }
    expect(fixture.record()).toMatchObject(rolledBack)
    fixture.requestVersion('v2')
    await fixture.run(10, false)
    expect(fixture.record()).toMatchObject({ ...rolledBack, revision: 2 })
    fixture.requestVersion('v2', 1e9)
    await fixture.run(2, false)
    expect(fixture.record()).toMatchObject({ phase: 'loading', toVersion: 'v2', fromVersion: 'v1', revision: 4 })
    fixture.requestVersion('v1')
    await fixture.run(3, false)
    expect(fixture.record()).toMatchObject({ phase: 'finished', toVersion: 'v1' })
    fixture.requestVersion('v2')
    await fixture.run(3, false)
    expect(fixture.record()).toMatchObject({ phase: 'loading', toVersion: 'v2' })
  })

  it('records a missed deadline and lets a later revision change the deadline', async () => {
    const fixture = createFixture()
    fixture.requestVersion('v1', 3000)
    await fixture.run(5, false)
    expect(fixture.record()).toMatchObject({ phase: 'loading', deadlineMissed: true })
    fixture.requestVersion('v1', 60_000)
    await fixture.run(2, false)
    expect(fixture.record()).toMatchObject({ phase: 'loading', finishBy: 60_000, deadlineMissed: false, revision: 2 })
  })

  it('ends a superseded rollout as rolled back and starts the next one from the version that served the traffic', async () => {
    const fixture = createFixture()
    fixture.requestVersion('v1')
    await fixture.run(10)
    fixture.requestVersion('v2')
    await fixture.run(10)
    expect(fixture.record()).toMatchObject({ phase: 'canary', toVersion: 'v2' })
    fixture.requestVersion('v3')
    await fixture.run(1)
    expect(fixture.record()).toMatchObject({ phase: 'rolled_back', reason: 'superseded', share: 0 })
    await fixture.run(1)
    expect(fixture.record()).toMatchObject({ phase: 'pending', fromVersion: 'v1', toVersion: 'v3' })
  })

  // Guards against a fleet that leaves the version it serves for one that no engine has loaded.
  it.each(['pending', 'loading'])(
    'keeps a first version that an engine serves when a second one is asked for while it is %s', async (phase) => {
      const fixture = createFixture()
      fixture.engines[0]!.loaded = ['chat@v1']
      fixture.requestVersion('v1')
      await fixture.run(phase === 'pending' ? 1 : 2, false)
      expect(fixture.record()).toMatchObject({ phase, toVersion: 'v1' })
      fixture.requestVersion('v2')
      await fixture.run(1, false)
      expect(fixture.record()).toMatchObject({ phase: 'finished', toVersion: 'v1' })
      await fixture.run(2, false)
      expect(fixture.record()).toMatchObject({ phase: 'loading', fromVersion: 'v1', toVersion: 'v2', share: 0 })
    })

  it('gives up a first version that no engine serves when a second one is asked for', async () => {
    const fixture = createFixture()
    fixture.requestVersion('v1')
    await fixture.run(2, false)
    fixture.requestVersion('v2')
    await fixture.run(1, false)
    expect(fixture.record()).toMatchObject({ phase: 'rolled_back', reason: 'superseded' })
    await fixture.run(2, false)
    expect(fixture.record()).toMatchObject({ phase: 'loading', toVersion: 'v2' })
    expect(fixture.record().fromVersion).toBeUndefined()
  })
})

describe('target engines', () => {
  const engine = (name: string, ...loaded: string[]): EngineState => {
    return { name, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded }
  }
  it.each([
    ['the engines that serve it', [engine('a', 'chat@v1'), engine('b', 'code@v1')], ['a']],
    ['also idle engines, so that a model is not confined to the first engines that loaded it', [engine('a', 'chat@v1'), engine('b', 'code@v1'), engine('c', 'code@v1'), engine('d')], ['a', 'd']],
    ['its share of the idle engines when there are two new models', [engine('a'), engine('b'), engine('c'), engine('d')], ['a', 'c']],
    ['all engines when none serves it and none is idle', [engine('a', 'code@v1'), engine('b', 'code@v1')], ['a', 'b']]
  ])('of a model are %s', (_, engines, expected) => {
    expect(targetEngines(engines, MODEL, [MODEL, 'code'], new Set()).map(({ name }) => name)).toEqual(expected)
  })
})
