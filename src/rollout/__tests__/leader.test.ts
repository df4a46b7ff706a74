import { describe, expect, it } from 'vitest'
import { createFakePlatform } from '../../platform/__tests__/fakePlatform'
import type { ConfigurationRevision } from '../../types'
import { createRolloutLeader } from '../leader'
import { targetEngines } from '../loading'
import type { EngineState, RolloutRecord } from '../types'

const MODEL = 'chat'

/** One leader and four engines; loads are carried out only by `load`. */
function createScene (loaded: readonly string[] = []) {
  const platform = createFakePlatform()
  const engines: EngineState[] = ['e1', 'e2', 'e3', 'e4'].map(name => {
    return { name, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded: [...loaded] }
  })
  let configuration: ConfigurationRevision | undefined
  let now = 0
  const leader = createRolloutLeader({
    platform, self: { instance: 'i', incarnation: 1 }, configuration: () => configuration, engines: () => engines
  })
  const scene = {
    leader,
    engines,
    ask (version: string, finishBy?: number) {
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
    /** Ticks once a second and returns the engines that were ordered to load. */
    async run (seconds: number, obey = true): Promise<string[]> {
      const ordered: string[] = []
      for (let second = 0; second < seconds; second++) {
        now += 1000
        for (const effect of await leader.tick(now, now)) {
          if (effect.kind !== 'engineOrder' || effect.order.kind !== 'load') continue
          ordered.push(effect.engine)
          if (obey) engines.find(({ name }) => name === effect.engine)!.loaded = [...loaded, `${MODEL}@${effect.order.version}`]
        }
      }
      return ordered
    },
    sleep (seconds: number) { now += seconds * 1000 }
  }
  return scene
}

describe('rollout leader', () => {
  it('loads a first version on all engines, two at a time, and is then finished without canary', async () => {
    const scene = createScene()
    scene.ask('v1')
    expect(await scene.run(5, false)).toEqual(['e1', 'e2'])
    scene.engines[0]!.loaded = ['chat@v1']
    expect(await scene.run(3, false)).toEqual(['e3'])
    for (const engine of scene.engines) engine.loaded = ['chat@v1']
    await scene.run(1)
    expect(scene.record()).toMatchObject({ phase: 'finished', share: 1, toVersion: 'v1', deadlineMissed: false })
  })

  it('raises the fencing token when it wakes up after its lease has lapsed, so that its old orders are refused', async () => {
    const scene = createScene(['chat@v0'])
    scene.ask('v1')
    await scene.run(3, false)
    const before = scene.record().fencingToken
    scene.sleep(6)
    await scene.run(1, false)
    expect(scene.record().fencingToken).toBe(before + 1)
  })

  it('rolls back a version that half of the engines cannot load, and does not try it again until asked anew', async () => {
    const scene = createScene()
    scene.ask('v1')
    await scene.run(10)
    scene.ask('v2')
    await scene.run(2, false)
    for (let attempt = 0; attempt < 3; attempt++) {
      for (const engine of ['e1', 'e2']) scene.leader.loadFailed(engine, MODEL, 'v2')
      await scene.run(1, false)
    }
    const rolledBack = { phase: 'rolled_back', reason: 'load_failed', fromVersion: 'v1', toVersion: 'v2', share: 0 }
    expect(scene.record()).toMatchObject(rolledBack)
    scene.ask('v2')
    await scene.run(10, false)
    expect(scene.record()).toMatchObject({ ...rolledBack, revision: 2 })
    scene.ask('v2', 1e9)
    await scene.run(2, false)
    expect(scene.record()).toMatchObject({ phase: 'loading', toVersion: 'v2', fromVersion: 'v1', revision: 4 })
    scene.ask('v1')
    await scene.run(3, false)
    expect(scene.record()).toMatchObject({ phase: 'finished', toVersion: 'v1' })
    scene.ask('v2')
    await scene.run(3, false)
    expect(scene.record()).toMatchObject({ phase: 'loading', toVersion: 'v2' })
  })

  it('notes a missed deadline and lets a later revision move it', async () => {
    const scene = createScene()
    scene.ask('v1', 3000)
    await scene.run(5, false)
    expect(scene.record()).toMatchObject({ phase: 'loading', deadlineMissed: true })
    scene.ask('v1', 60_000)
    await scene.run(2, false)
    expect(scene.record()).toMatchObject({ phase: 'loading', finishBy: 60_000, deadlineMissed: false, revision: 2 })
  })

  it('ends a superseded rollout as rolled back and starts the next one from the version that carried the traffic', async () => {
    const scene = createScene()
    scene.ask('v1')
    await scene.run(10)
    scene.ask('v2')
    await scene.run(10)
    expect(scene.record()).toMatchObject({ phase: 'canary', toVersion: 'v2' })
    scene.ask('v3')
    await scene.run(1)
    expect(scene.record()).toMatchObject({ phase: 'rolled_back', reason: 'superseded', share: 0 })
    await scene.run(1)
    expect(scene.record()).toMatchObject({ phase: 'pending', fromVersion: 'v1', toVersion: 'v3' })
  })
})

describe('target engines', () => {
  const engine = (name: string, ...loaded: string[]): EngineState => {
    return { name, endpoint: { host: '127.0.0.1', port: 1 }, leaving: false, loaded }
  }
  it.each([
    ['engines that serve it', [engine('a', 'chat@v1'), engine('b', 'code@v1')], ['a']],
    ['idle engines too, so that a model does not stay on the first engines that loaded it', [engine('a', 'chat@v1'), engine('b', 'code@v1'), engine('c', 'code@v1'), engine('d')], ['a', 'd']],
    ['its part of the idle engines when there are two new models', [engine('a'), engine('b'), engine('c'), engine('d')], ['a', 'c']],
    ['all engines when none is idle', [engine('a', 'code@v1'), engine('b', 'code@v1')], ['a', 'b']]
  ])('of a model are %s', (_, engines, expected) => {
    expect(targetEngines(engines, MODEL, [MODEL, 'code'], new Set()).map(({ name }) => name)).toEqual(expected)
  })
})
