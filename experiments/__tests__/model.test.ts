import { describe, expect, it } from 'vitest'
import { createEngine } from '../model/engine'
import { createSummaryIndex } from '../model/otherIndexes'
import { POLICIES } from '../model/policies'
import { runExperiment } from '../model/run'
import { createSimulation } from '../model/simulation'
import { renderRun } from '../report'
import { checkTargets, summarize } from '../summary'

const engineOptions = {
  name: 'engine',
  dataCentre: 'dc-0',
  prefillTokensPerSecond: 10_000,
  cacheBlocks: 3,
  batchSize: 4,
  version: '1',
  onComputed: () => {}
}

describe('simulation', () => {
  it('calls back in order of time, and of scheduling for equal times', () => {
    const simulation = createSimulation()
    const order: string[] = []
    for (const [delay, name] of [[5, 'c'], [1, 'a'], [5, 'd'], [2, 'b']] as const) {
      simulation.after(delay, () => order.push(name))
    }
    simulation.run(10)
    expect(order.join('')).toBe('abcd')
  })
})

describe('engine model', () => {
  it('publishes what it stores and evicts, so that following the events gives its cache', () => {
    const simulation = createSimulation()
    const engine = createEngine(simulation, engineOptions)
    const cachedTokens: number[] = []
    const submit = (...blockKeys: string[]) => engine.submit({
      blockKeys,
      promptTokens: blockKeys.length * 1024 + 10,
      outputTokens: 5,
      onFirstToken: tokens => cachedTokens.push(tokens),
      onEnd: () => {},
      onFailure: () => {}
    })
    submit('a', 'b')
    submit('a', 'c')
    submit('a', 'd')
    submit('e', 'f')
    simulation.run(10_000)
    const followed = new Set<string>()
    for (const event of engine.cacheEvents(0).events) {
      for (const key of event.blockKeys) {
        if (event.kind === 'stored') followed.add(key)
        else followed.delete(key)
      }
    }
    expect([...followed].sort()).toEqual([...engine.cachedKeys()].sort())
    expect(followed.size).toBe(3)
    expect(cachedTokens).toEqual([0, 1024, 1024, 0])
  })

  it('fails its work on a crash and comes back empty with a higher incarnation', () => {
    const simulation = createSimulation()
    const engine = createEngine(simulation, engineOptions)
    let failures = 0
    const submit = () => engine.submit({
      blockKeys: ['a'],
      promptTokens: 1100,
      outputTokens: 5,
      onFirstToken: () => {},
      onEnd: () => {},
      onFailure: () => failures++
    })
    submit()
    submit()
    const before = engine.incarnation()
    simulation.after(50, () => engine.crash(100))
    simulation.run(100)
    expect(submit()).toBe(false)
    simulation.run(1000)
    expect(failures).toBe(2)
    expect(engine.incarnation()).toBeGreaterThan(before)
    expect([...engine.cachedKeys()]).toEqual([])
  })
})

describe('experiments', () => {
  it('gives the same bytes for the same seed and others for another seed', () => {
    const run = (seed: number) => runExperiment({ preset: 'fornada', scenario: 'crash', policy: 'waxwingspoke', seed })
    const first = run(1)
    expect(JSON.stringify(run(1))).toBe(JSON.stringify(first))
    expect(renderRun(run(1))).toBe(renderRun(first))
    expect(JSON.stringify(run(2).figures)).not.toBe(JSON.stringify(first.figures))
  })

  it('counts every request exactly once under every policy', () => {
    const counts = Object.keys(POLICIES).map(policy =>
      runExperiment({ preset: 'fornada', scenario: 'herd', policy, seed: 1 }).figures.requests)
    expect(new Set(counts).size).toBe(1)
  })

  it('reports a missed target as missed', () => {
    const result = runExperiment({ preset: 'fornada', scenario: 'rush', policy: 'waxwingspoke', seed: 1 })
    const bad = { ...result, figures: { ...result.figures, hitRate: 0.1, p99: 900, refusedShare: 0.5 } }
    const oracle = { ...result, policy: 'oracle', figures: { ...result.figures, hitRate: 0.8 } }
    const leastLoaded = { ...result, policy: 'least-loaded', figures: { ...result.figures, p99: 1000 } }
    const targets = checkTargets(summarize([bad, oracle, leastLoaded]))
    expect(targets.map(({ met }) => met)).toEqual([false, false, false])
  })
})

describe('summary index', () => {
  it('shows every block that the engine holds, also for keys with a high lower half', () => {
    const simulation = createSimulation()
    const engine = createEngine(simulation, { ...engineOptions, cacheBlocks: 100 })
    const blockKeys = Array.from({ length: 50 }, (_, number) => ((number * 0x9e3779b1) >>> 0).toString(16).padStart(16, 'f'))
    engine.submit({
      blockKeys,
      promptTokens: 50 * 1024,
      outputTokens: 1,
      onFirstToken: () => {},
      onEnd: () => {},
      onFailure: () => {}
    })
    simulation.run(20_000)
    const index = createSummaryIndex([engine], simulation.now)
    expect(index.cachedBlocks('engine', 1, blockKeys, 0)).toBe(50)
  })
})
