/** What the engine has loaded, and the orders that change it. */
import { request } from 'undici'
import type { EngineCommand } from '../../src/upstream/types'
import type { EngineFaults } from './faults'

export interface WeightsOptions {
  /** URL of the platform stand-in; without it a load takes `loadMilliseconds`. */
  platform?: string
  loadMilliseconds: number
  loaded: readonly string[]
  faults: EngineFaults
  /** Called after a version was unloaded. */
  onUnload: (model: string, version: string) => void
}

export interface OrderOutcome {
  status: number
  code: string
}

export interface Weights {
  loaded: () => readonly string[]
  has: (model: string, version: string, adapter: string) => boolean
  order: (order: EngineCommand) => Promise<OrderOutcome>
  /** Orders that were obeyed or refused, in order of arrival. */
  history: () => ReadonlyArray<EngineCommand & OrderOutcome>
}

/** Name of a loaded version: `model@version`, or `model@version+adapter`. */
export function loadedName (model: string, version: string, adapter: string): string {
  return adapter === '' ? `${model}@${version}` : `${model}@${version}+${adapter}`
}

/** Creates the state of a freshly started engine. */
export function createWeights (options: WeightsOptions): Weights {
  const loaded = new Set(options.loaded)
  const loading = new Map<string, Promise<boolean>>()
  const tokens = new Map<string, number>()
  const history: Array<EngineCommand & OrderOutcome> = []

  async function fetchWeights (model: string, version: string): Promise<boolean> {
    if (options.faults.failLoads.includes(`${model}@${version}`)) return false
    if (options.platform === undefined) {
      await new Promise((resolve) => setTimeout(resolve, options.loadMilliseconds))
      return true
    }
    try {
      const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
      const response = await request(`${options.platform}${path}`, { headersTimeout: 0, bodyTimeout: 0 })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }

  async function load (order: EngineCommand): Promise<OrderOutcome> {
    const name = loadedName(order.model, order.version, order.adapter)
    if (loaded.has(name)) return { status: 200, code: 'already_loaded' }
    let running = loading.get(name)
    if (running === undefined) {
      running = fetchWeights(order.model, order.version)
      loading.set(name, running)
    }
    const success = await running
    loading.delete(name)
    if (!success) return { status: 502, code: 'load_failed' }
    loaded.add(name)
    return { status: 200, code: 'loaded' }
  }

  async function decide (order: EngineCommand): Promise<OrderOutcome> {
    const highest = tokens.get(order.model) ?? 0
    if (!options.faults.ignoreFencing && order.fencingToken < highest) {
      return { status: 409, code: 'stale_fencing_token' }
    }
    tokens.set(order.model, Math.max(highest, order.fencingToken))
    if (order.kind === 'load') return await load(order)
    loaded.delete(loadedName(order.model, order.version, order.adapter))
    if (order.adapter === '') options.onUnload(order.model, order.version)
    return { status: 200, code: 'unloaded' }
  }

  return {
    loaded: () => [...loaded],
    has: (model, version, adapter) => loaded.has(loadedName(model, version, adapter)),
    async order (order) {
      const outcome = await decide(order)
      history.push({ ...order, ...outcome })
      return outcome
    },
    history: () => history
  }
}
