/** Transfers cached blocks between engines and the external KV cache. The transfer policy is in `src/prefix/`. */
import type { ExternalCachePolicy } from '../prefix/externalCache'
import { BLOCK_TOKENS } from '../prefix/routing'
import type { UpstreamClient } from '../upstream/types'
import type { MonotonicMilliseconds } from '../types'
import type { Placement } from './dispatcher'

export interface ExternalCacheTransferOptions {
  policy: ExternalCachePolicy
  client: Pick<UpstreamClient, 'exportBlocks' | 'importBlocks'>
  /** Returns the prefill rate of an upstream in tokens per second, or 0 if unknown. */
  prefillRate: (upstream: string) => number
  now: () => MonotonicMilliseconds
}

export interface ExternalCacheTransfer {
  /**
   * Makes the engine import blocks that are cheaper to import than to recompute. Resolves no later than the time that
   * recomputing them would take. Never rejects, because an import is only an optimization.
   */
  importBeforeAttempt: (placement: Placement, blockKeys: readonly string[]) => Promise<void>
  /** Records the use of a prompt and makes the engine export blocks that have become hot. */
  exportAfterResponse: (placement: Placement, blockKeys: readonly string[]) => void
}

export function createExternalCacheTransfer (options: ExternalCacheTransferOptions): ExternalCacheTransfer {
  const { policy, client, now } = options

  async function importBlocks (placement: Placement, plan: readonly string[]): Promise<void> {
    const startedAt = now()
    const imported = await client.importBlocks(placement.endpoint, placement.incarnation, plan).catch(() => 0)
    policy.recordImport(plan, imported, now() - startedAt, now())
  }

  return {
    async importBeforeAttempt (placement, blockKeys) {
      const rate = options.prefillRate(placement.upstream)
      if (rate <= 0) return
      const plan = policy.planImport(blockKeys, placement.expectedBlocks, rate, now())
      if (plan.length === 0) return
      const recomputeMilliseconds = 1000 * plan.length * BLOCK_TOKENS / rate
      let timer: NodeJS.Timeout | undefined
      const timeout = new Promise<void>((resolve) => { timer = setTimeout(resolve, recomputeMilliseconds) })
      await Promise.race([importBlocks(placement, plan), timeout])
      clearTimeout(timer)
    },
    exportAfterResponse (placement, blockKeys) {
      const hot = policy.recordUse(blockKeys, now())
      if (hot.length === 0) return
      client.exportBlocks(placement.endpoint, hot).catch(() => { policy.exportFailed(hot) })
    }
  }
}
