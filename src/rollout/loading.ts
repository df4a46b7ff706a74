/** Plans the load and unload commands for engines. */
import type { MonotonicMilliseconds } from '../types'
import type { EngineCommand } from '../upstream/types'
import type { EngineState } from './types'
import { LOAD_ATTEMPTS } from './transitions'

/** Time in milliseconds after which a load that the engine has not reported counts as failed. */
export const LOAD_TIMEOUT_MS = 30_000
/** Time in milliseconds for which the unused version stays loaded after a rollout, so that streams can resume on it. */
export const UNLOAD_DELAY_MS = 60_000
/** Interval in milliseconds at which an unload command is repeated while the engine still reports the version. */
const UNLOAD_REPEAT_MS = 10_000

export function modelVersionName (model: string, version: string): string {
  return `${model}@${version}`
}

/**
 * Returns the engines that should serve a model: all engines that have or had any version of it loaded, and its share
 * of the engines with nothing loaded. If there are none of either, returns all engines that are not leaving.
 * `knownEngineModels` contains the `engine model` pairs observed earlier.
 */
export function targetEngines (
  engines: readonly EngineState[], model: string, models: readonly string[], knownEngineModels: ReadonlySet<string>
): readonly EngineState[] {
  const candidates = engines.filter(engine => !engine.leaving)
  const serves = (engine: EngineState, name: string) => {
    return hasLoadedModel(engine, name) || knownEngineModels.has(engineModelKey(engine.name, name))
  }
  const counts = new Map(models.map(name => [name, candidates.filter(engine => serves(engine, name)).length]))
  const targets = candidates.filter(engine => serves(engine, model))
  const idle = candidates.filter(engine => engine.loaded.length === 0 && !models.some(name => serves(engine, name)))
  // Each idle engine is assigned to the model with the fewest engines, in the order of the engine names, so that all
  // instances obtain the same result.
  for (const engine of idle.sort((left, right) => left.name < right.name ? -1 : 1)) {
    const [leastServed] = [...counts].sort(([, left], [, right]) => left - right)
    if (leastServed === undefined) break
    counts.set(leastServed[0], leastServed[1] + 1)
    if (leastServed[0] === model) targets.push(engine)
  }
  return targets.length > 0 ? targets : candidates
}

export function engineModelKey (engine: string, model: string): string {
  return `${engine} ${model}`
}

export function hasLoadedModel (engine: EngineState, model: string): boolean {
  return engine.loaded.some(name => name.startsWith(`${model}@`))
}

export interface LoadPlanner {
  /**
   * Returns the commands to send now. A load stays in flight until the engine reports the version or the load times
   * out.
   */
  plan: (
    request: LoadRequest, now: MonotonicMilliseconds
  ) => ReadonlyArray<{ engine: EngineState, command: EngineCommand }>
  /** Records that an engine rejected a load command or failed to carry it out. */
  recordFailure: (engine: string, model: string, version: string) => void
  /** Returns the number of targets that have failed to load the version `LOAD_ATTEMPTS` times. */
  countUnable: (targets: readonly EngineState[], model: string, version: string) => number
  /** Resets the failures of a version when a new rollout requests it. */
  resetFailures: (model: string, version: string) => void
}

export interface LoadRequest {
  model: string
  /** Version that every target must load; undefined when nothing is to be loaded. */
  load: string | undefined
  /** Versions that stay loaded; other versions of the model are unloaded when `unload` is set. */
  keep: ReadonlySet<string>
  unload: boolean
  targets: readonly EngineState[]
  parallelLoads: number
  fencingToken: number
}

export function createLoadPlanner (): LoadPlanner {
  const inFlight = new Map<string, MonotonicMilliseconds>()
  const failures = new Map<string, number>()
  const unloads = new Map<string, MonotonicMilliseconds>()
  const keyOf = (engine: string, model: string, version: string) => `${engine} ${modelVersionName(model, version)}`
  const countFailure = (key: string) => failures.set(key, (failures.get(key) ?? 0) + 1)

  function updateInFlight (request: LoadRequest, now: MonotonicMilliseconds): void {
    for (const [key, sentAt] of inFlight) {
      const loaded = request.targets.some(engine => engine.loaded.some(name => key === `${engine.name} ${name}`))
      if (loaded) {
        inFlight.delete(key)
        failures.delete(key)
      } else if (now - sentAt > LOAD_TIMEOUT_MS) {
        inFlight.delete(key)
        countFailure(key)
      }
    }
  }

  return {
    plan (request, now) {
      const { model, targets, fencingToken } = request
      updateInFlight(request, now)
      const commands: Array<{ engine: EngineState, command: EngineCommand }> = []
      for (const engine of targets) {
        if (request.load === undefined || inFlight.size >= request.parallelLoads) break
        const key = keyOf(engine.name, model, request.load)
        const loaded = engine.loaded.includes(modelVersionName(model, request.load))
        if (loaded || inFlight.has(key) || (failures.get(key) ?? 0) >= LOAD_ATTEMPTS) continue
        inFlight.set(key, now)
        commands.push({ engine, command: { kind: 'load', model, version: request.load, adapter: '', fencingToken } })
      }
      if (!request.unload) return commands
      for (const { engine, version } of unusedVersions(targets, model, request.keep)) {
        const key = keyOf(engine.name, model, version)
        if (now - (unloads.get(key) ?? -Infinity) < UNLOAD_REPEAT_MS) continue
        unloads.set(key, now)
        commands.push({ engine, command: { kind: 'unload', model, version, adapter: '', fencingToken } })
      }
      return commands
    },
    recordFailure (engine, model, version) {
      const key = keyOf(engine, model, version)
      if (inFlight.delete(key)) countFailure(key)
    },
    countUnable (targets, model, version) {
      return targets.filter(engine => (failures.get(keyOf(engine.name, model, version)) ?? 0) >= LOAD_ATTEMPTS).length
    },
    resetFailures (model, version) {
      for (const key of [...failures.keys()]) {
        if (key.endsWith(` ${modelVersionName(model, version)}`)) failures.delete(key)
      }
    }
  }
}

/** Returns the loaded versions of a model that are not in `keep`. Adapters are unloaded along with their version. */
export function unusedVersions (
  engines: readonly EngineState[], model: string, keep: ReadonlySet<string>
): ReadonlyArray<{ engine: EngineState, version: string }> {
  return engines.flatMap(engine => engine.loaded
    .filter(name => name.startsWith(`${model}@`) && !name.includes('+'))
    .map(name => name.slice(model.length + 1))
    .filter(version => !keep.has(version))
    .map(version => ({ engine, version })))
}
