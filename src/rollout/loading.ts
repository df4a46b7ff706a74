/** Which engines get which load and unload orders. */
import type { MonotonicMilliseconds } from '../types'
import type { EngineOrder } from '../upstream/types'
import type { EngineState } from './types'
import { LOAD_ATTEMPTS } from './transitions'

/** Time after which a load that the engine has not reported counts as failed. */
export const LOAD_TIMEOUT_MS = 30_000
/** Time after a rollout's end for which the unused version stays loaded, so that running streams can resume on it. */
export const UNLOAD_DELAY_MS = 60_000
/** Unload orders are repeated after this time while the engine still reports the version. */
const UNLOAD_REPEAT_MS = 10_000

export function loadedName (model: string, version: string): string {
  return `${model}@${version}`
}

/**
 * Engines that should serve a model: those that have any version of it or had one before, and its part of the engines
 * with nothing loaded. Without any of these, all engines. `known` holds `engine model` pairs seen before.
 */
export function targetEngines (
  engines: readonly EngineState[], model: string, models: readonly string[], known: ReadonlySet<string>
): readonly EngineState[] {
  const candidates = engines.filter(engine => !engine.leaving)
  const serves = (engine: EngineState, name: string) => {
    return hasModel(engine, name) || known.has(engineModel(engine.name, name))
  }
  const counts = new Map(models.map(name => [name, candidates.filter(engine => serves(engine, name)).length]))
  const targets = candidates.filter(engine => serves(engine, model))
  const idle = candidates.filter(engine => engine.loaded.length === 0 && !models.some(name => serves(engine, name)))
  // Each idle engine goes to the model with the fewest engines; the order of names makes all instances agree.
  for (const engine of idle.sort((left, right) => left.name < right.name ? -1 : 1)) {
    const [neediest] = [...counts].sort(([, left], [, right]) => left - right)
    if (neediest === undefined) break
    counts.set(neediest[0], neediest[1] + 1)
    if (neediest[0] === model) targets.push(engine)
  }
  return targets.length > 0 ? targets : candidates
}

export function engineModel (engine: string, model: string): string {
  return `${engine} ${model}`
}

export function hasModel (engine: EngineState, model: string): boolean {
  return engine.loaded.some(name => name.startsWith(`${model}@`))
}

export interface LoadPlanner {
  /** Orders to send now; they count as in flight until the engine reports the version or the time limit passes. */
  plan: (request: LoadRequest, now: MonotonicMilliseconds) => ReadonlyArray<{ engine: EngineState, order: EngineOrder }>
  /** Notes that an engine refused or failed an order. */
  failed: (engine: string, model: string, version: string) => void
  /** Engines among the targets that have failed too often. */
  unable: (targets: readonly EngineState[], model: string, version: string) => number
  /** Forgets failures of a version, when a rollout asks for it anew. */
  forget: (model: string, version: string) => void
}

export interface LoadRequest {
  model: string
  /** Version that every target must have; undefined loads nothing. */
  load: string | undefined
  /** Versions that may stay; others of the model are unloaded when `unload` is set. */
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
  const keyOf = (engine: string, model: string, version: string) => `${engine} ${loadedName(model, version)}`
  const fail = (key: string) => failures.set(key, (failures.get(key) ?? 0) + 1)

  function settle (request: LoadRequest, now: MonotonicMilliseconds): void {
    for (const [key, sentAt] of inFlight) {
      const done = request.targets.some(engine => engine.loaded.some(name => key === `${engine.name} ${name}`))
      if (done) {
        inFlight.delete(key)
        failures.delete(key)
      } else if (now - sentAt > LOAD_TIMEOUT_MS) {
        inFlight.delete(key)
        fail(key)
      }
    }
  }

  return {
    plan (request, now) {
      const { model, targets, fencingToken } = request
      settle(request, now)
      const orders: Array<{ engine: EngineState, order: EngineOrder }> = []
      for (const engine of targets) {
        if (request.load === undefined || inFlight.size >= request.parallelLoads) break
        const key = keyOf(engine.name, model, request.load)
        const loaded = engine.loaded.includes(loadedName(model, request.load))
        if (loaded || inFlight.has(key) || (failures.get(key) ?? 0) >= LOAD_ATTEMPTS) continue
        inFlight.set(key, now)
        orders.push({ engine, order: { kind: 'load', model, version: request.load, adapter: '', fencingToken } })
      }
      if (!request.unload) return orders
      for (const { engine, version } of unwantedVersions(targets, model, request.keep)) {
        const key = keyOf(engine.name, model, version)
        if (now - (unloads.get(key) ?? -Infinity) < UNLOAD_REPEAT_MS) continue
        unloads.set(key, now)
        orders.push({ engine, order: { kind: 'unload', model, version, adapter: '', fencingToken } })
      }
      return orders
    },
    failed (engine, model, version) {
      const key = keyOf(engine, model, version)
      if (inFlight.delete(key)) fail(key)
    },
    unable (targets, model, version) {
      return targets.filter(engine => (failures.get(keyOf(engine.name, model, version)) ?? 0) >= LOAD_ATTEMPTS).length
    },
    forget (model, version) {
      for (const key of [...failures.keys()]) {
        if (key.endsWith(` ${loadedName(model, version)}`)) failures.delete(key)
      }
    }
  }
}

/** Versions of a model that engines report and that are not to be kept; adapters of a version go with it. */
export function unwantedVersions (
  engines: readonly EngineState[], model: string, keep: ReadonlySet<string>
): ReadonlyArray<{ engine: EngineState, version: string }> {
  return engines.flatMap(engine => engine.loaded
    .filter(name => name.startsWith(`${model}@`) && !name.includes('+'))
    .map(name => name.slice(model.length + 1))
    .filter(version => !keep.has(version))
    .map(version => ({ engine, version })))
}
