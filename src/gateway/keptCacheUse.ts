/** Uses the kept-cache store through the engines' export and import. What to move is decided in `src/prefix/keptCache.ts`. */
import type { KeptCache } from '../prefix/keptCache'
import { BLOCK_TOKENS } from '../prefix/routing'
import type { UpstreamClient } from '../upstream/types'
import type { MonotonicMilliseconds } from '../types'
import type { Placement } from './dispatcher'

export interface KeptCacheUseOptions {
  keptCache: KeptCache
  client: Pick<UpstreamClient, 'exportBlocks' | 'importBlocks'>
  /** Prefill speed of an upstream in tokens per second; 0 when unknown. */
  prefillRate: (upstream: string) => number
  now: () => MonotonicMilliseconds
}

export interface KeptCacheUse {
  /**
   * Has the engine import blocks that cost less to import than to recompute. Resolves at the latest when recomputing them
   * would have been done, and never rejects: an import only saves time.
   */
  beforeAttempt: (place: Placement, blockKeys: readonly string[]) => Promise<void>
  /** Counts the use of a prompt and has the engine export what has become hot. */
  afterAnswer: (place: Placement, blockKeys: readonly string[]) => void
}

export function createKeptCacheUse (options: KeptCacheUseOptions): KeptCacheUse {
  const { keptCache, client, now } = options

  async function importInto (place: Placement, plan: readonly string[]): Promise<void> {
    const begun = now()
    const imported = await client.importBlocks(place.endpoint, place.incarnation, plan).catch(() => 0)
    keptCache.recordImport(plan, imported, now() - begun, now())
  }

  return {
    async beforeAttempt (place, blockKeys) {
      const rate = options.prefillRate(place.upstream)
      if (rate <= 0) return
      const plan = keptCache.planImport(blockKeys, place.expectedBlocks, rate, now())
      if (plan.length === 0) return
      const recomputed = 1000 * plan.length * BLOCK_TOKENS / rate
      let timer: NodeJS.Timeout | undefined
      const limit = new Promise<void>((resolve) => { timer = setTimeout(resolve, recomputed) })
      await Promise.race([importInto(place, plan), limit])
      clearTimeout(timer)
    },
    afterAnswer (place, blockKeys) {
      const hot = keptCache.recordUse(blockKeys, now())
      if (hot.length === 0) return
      client.exportBlocks(place.endpoint, hot).catch(() => { keptCache.exportFailed(hot) })
    }
  }
}
