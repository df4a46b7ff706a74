/** One run: a preset, a scenario, a policy and a seed give one set of figures. */
import { createEngine } from './engine'
import type { Engine } from './engine'
import { createFigures } from './figures'
import type { RunFigures } from './figures'
import { POLICIES } from './policies'
import { PRESETS } from './presets'
import { createRandom } from './random'
import { createRouter } from './router'
import type { Router } from './router'
import { SCENARIOS } from './scenarios'
import { createSimulation } from './simulation'
import { createArrivals } from './workload'

/** Milliseconds after the last arrival in which open requests may end. */
const DRAIN_MS = 20_000
const PEER_LAG_MS = 2

export interface RunRequest {
  preset: string
  scenario: string
  policy: string
  seed: number
}

export interface RunResult extends RunRequest {
  figures: RunFigures
}

export function runExperiment (request: RunRequest): RunResult {
  const preset = PRESETS[request.preset]!
  const scenario = SCENARIOS[request.scenario]!
  const policy = POLICIES[request.policy]!
  const simulation = createSimulation()
  const figures = createFigures()
  const dataCentreOf = (number: number): string => `dc-${number % preset.dataCentres}`
  const engines: Engine[] = []
  for (let number = 0; number < preset.engines; number++) {
    engines.push(createEngine(simulation, {
      name: `engine-${number}`,
      dataCentre: dataCentreOf(number),
      prefillTokensPerSecond: preset.prefillTokensPerSecond,
      cacheBlocks: preset.cacheBlocks,
      batchSize: preset.batchSize,
      version: '1',
      onComputed (blockKey, engine) {
        if (engines.some(other => other !== engine && other.holds(blockKey))) figures.wasted(simulation.now())
      }
    }))
  }

  const routers: Router[] = []
  function startRouter (number: number, generation: number): void {
    routers[number] = createRouter(simulation, {
      name: `router-${number}`,
      dataCentre: dataCentreOf(number),
      remoteMilliseconds: preset.remoteMilliseconds,
      policy,
      scenario,
      engines,
      figures,
      random: createRandom(request.seed, 100 + number + generation * preset.routers),
      announce (name, work) {
        simulation.after(PEER_LAG_MS, () => routers.forEach((peer, other) => {
          if (`router-${other}` !== name) peer.hearPeer(name, work)
        }))
      }
    })
  }
  for (let number = 0; number < preset.routers; number++) startRouter(number, 0)

  scenario.routerRestarts.forEach((position, restart) => simulation.after(position * scenario.duration, () => {
    for (const router of routers) router.stop()
    for (let number = 0; number < preset.routers; number++) startRouter(number, restart + 1)
  }))
  for (const { position, engine, downMilliseconds } of scenario.crashes) {
    simulation.after(position * scenario.duration, () => engines[engine]!.crash(downMilliseconds))
  }
  // The first arrivals come after the first reports.
  for (const arrival of createArrivals(preset, scenario, request.seed)) {
    simulation.after(arrival.time, () => {
      figures.arrived(arrival)
      routers[arrival.router % routers.length]!.handle(arrival)
    })
  }
  simulation.after(scenario.duration + DRAIN_MS / 2, () => routers.forEach(router => router.stop()))
  simulation.run(scenario.duration + DRAIN_MS)
  return { ...request, figures: figures.result() }
}
