/** Weight store whose loads share a limited rate: above the parallel limit each load gets slower. */
import { performance } from 'node:perf_hooks'

export interface WeightStoreOptions {
  /** Milliseconds for one load while at most `parallelLoads` run. */
  loadMilliseconds: number
  parallelLoads: number
}

export interface WeightStore {
  /** Resolves when the load is complete. Aborting the signal frees its part of the rate. */
  load: (signal: AbortSignal) => Promise<void>
  active: () => number
}

interface Load {
  remaining: number
  finish: () => void
}

/** Creates a store with processor sharing: the total rate is `parallelLoads` loads per `loadMilliseconds`. */
export function createWeightStore (options: WeightStoreOptions): WeightStore {
  const loads = new Set<Load>()
  let advancedAt = performance.now()
  let timer: NodeJS.Timeout | undefined

  const speed = (): number => Math.min(1, options.parallelLoads / Math.max(1, loads.size))

  function advance (): void {
    const now = performance.now()
    const progress = (now - advancedAt) * speed()
    advancedAt = now
    for (const load of loads) load.remaining -= progress
    for (const load of [...loads]) {
      if (load.remaining > 0.5) continue
      loads.delete(load)
      load.finish()
    }
    clearTimeout(timer)
    if (loads.size === 0) return
    const shortest = Math.min(...[...loads].map((load) => load.remaining))
    timer = setTimeout(advance, Math.max(1, shortest / speed()))
  }

  return {
    active: () => loads.size,
    async load (signal) {
      await new Promise<void>((resolve) => {
        advance()
        const load: Load = { remaining: options.loadMilliseconds, finish: resolve }
        loads.add(load)
        signal.addEventListener('abort', () => {
          advance()
          loads.delete(load)
          // Plans the end of the other loads anew at their higher speed.
          advance()
          resolve()
        }, { once: true })
        advance()
      })
    }
  }
}
