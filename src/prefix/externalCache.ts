/**
 * Policy for the external KV cache: selects the blocks that an engine should export before they are evicted, and
 * decides when importing a prefix is cheaper than recomputing it.
 *
 * Instances do not exchange information about the content of the cache store. An import that finds nothing is
 * remembered for some time, so that a prefix that was never exported causes only one unsuccessful lookup in that time.
 */
import type { MonotonicMilliseconds } from '../types'
import { BLOCK_TOKENS } from './routing'

export interface ExternalCacheOptions {
  /** Number of uses within the window from which a block is exported. @default 3 */
  hotUses?: number
  /** Time in milliseconds after which the use count of a block is halved. @default 60000 */
  window?: number
  /** Maximum number of tracked blocks; the least recently used are removed first. @default 20000 */
  maximumBlocks?: number
  /** Blocks exported per second by the whole fleet. The store handles several hundred writes per second. @default 60 */
  exportsPerSecond?: number
  /** Blocks imported per second by the whole fleet. The store handles about 2000 reads per second. @default 400 */
  importsPerSecond?: number
  /** Returns the number of instances that share these rates. Values below 1 count as 1. @default 1 */
  instanceCount?: () => number
  /** Estimated time in milliseconds to import one block before any import was measured. @default 20 */
  initialImportMilliseconds?: number
  /** Time in milliseconds for which a block missing from the store is not imported. @default 30000 */
  missMemory?: number
  /** Time in milliseconds after which an exported block is exported again. @default 600000 */
  exportMemory?: number
}

export interface ExternalCachePolicy {
  /** Records a use of the prompt's blocks. Returns the blocks that the upstream should export, possibly none. */
  recordUse: (blockKeys: readonly string[], now: MonotonicMilliseconds) => readonly string[]
  /**
   * Returns the blocks to import before the request runs: the blocks after the cached ones, up to the first that is not
   * hot or is known to be missing. Returns none when importing is not cheaper than recomputing at the upstream's
   * prefill speed.
   */
  planImport: (
    blockKeys: readonly string[], cachedBlocks: number, prefillTokensPerSecond: number, now: MonotonicMilliseconds
  ) => readonly string[]
  /** Records the result of an import: the number of imported blocks and the duration. */
  recordImport: (
    blockKeys: readonly string[], imported: number, milliseconds: number, now: MonotonicMilliseconds
  ) => void
  /** Records that the export of these blocks failed, so that they may be exported again. */
  exportFailed: (blockKeys: readonly string[]) => void
  trackedBlocks: () => number
}

interface BlockRecord {
  uses: number
  windowSince: MonotonicMilliseconds
  exportedAt: MonotonicMilliseconds
  absentUntil: MonotonicMilliseconds
}

/** Weight of a new measurement in the moving average of the import time. */
const MEASUREMENT_WEIGHT = 0.2

export function createExternalCachePolicy (options: ExternalCacheOptions = {}): ExternalCachePolicy {
  const {
    hotUses = 3, window = 60_000, maximumBlocks = 20_000, exportsPerSecond = 60, importsPerSecond = 400,
    instanceCount = () => 1, initialImportMilliseconds = 20, missMemory = 30_000, exportMemory = 600_000
  } = options
  const records = new Map<string, BlockRecord>()
  const tryExport = createRateLimiter(() => exportsPerSecond / Math.max(1, instanceCount()))
  const tryImport = createRateLimiter(() => importsPerSecond / Math.max(1, instanceCount()))
  let millisecondsPerBlock = initialImportMilliseconds

  function touch (key: string, now: MonotonicMilliseconds): BlockRecord {
    let record = records.get(key)
    if (record === undefined) {
      record = { uses: 0, windowSince: now, exportedAt: -Infinity, absentUntil: -Infinity }
    } else {
      records.delete(key)
      // Halving keeps a regularly used block hot, without a list of timestamps for each block.
      if (now - record.windowSince >= window) {
        record.uses /= 2
        record.windowSince = now
      }
    }
    records.set(key, record)
    const oldest = records.keys().next().value
    if (records.size > maximumBlocks && oldest !== undefined) records.delete(oldest)
    return record
  }

  return {
    recordUse (blockKeys, now) {
      const exports: string[] = []
      for (const key of blockKeys) {
        const record = touch(key, now)
        record.uses += 1
        const due = record.uses >= hotUses && now - record.exportedAt >= exportMemory
        // A block is useful only together with its parents, so the export stops at the first block over the rate limit.
        if (due && !tryExport(now)) break
        if (!due) continue
        record.exportedAt = now
        exports.push(key)
      }
      return exports
    },
    planImport (blockKeys, cachedBlocks, prefillTokensPerSecond, now) {
      const recomputeMilliseconds = 1000 * BLOCK_TOKENS / prefillTokensPerSecond
      if (!(recomputeMilliseconds > millisecondsPerBlock)) return []
      const plan: string[] = []
      for (const key of blockKeys.slice(Math.floor(cachedBlocks))) {
        const record = records.get(key)
        if (record === undefined || record.uses < hotUses || record.absentUntil > now) break
        if (!tryImport(now)) break
        plan.push(key)
      }
      return plan
    },
    recordImport (blockKeys, imported, milliseconds, now) {
      if (imported > 0) {
        millisecondsPerBlock += MEASUREMENT_WEIGHT * (milliseconds / imported - millisecondsPerBlock)
      }
      const missing = blockKeys[imported]
      const record = missing === undefined ? undefined : records.get(missing)
      if (record === undefined) return
      record.absentUntil = now + missMemory
      record.exportedAt = -Infinity
    },
    exportFailed (blockKeys) {
      for (const key of blockKeys) {
        const record = records.get(key)
        if (record !== undefined) record.exportedAt = -Infinity
      }
    },
    trackedBlocks: () => records.size
  }
}

/** Creates a token bucket with a burst of one second's tokens, but at least one. */
function createRateLimiter (perSecond: () => number): (now: MonotonicMilliseconds) => boolean {
  let tokens = Infinity
  let updatedAt: MonotonicMilliseconds = -Infinity
  return (now) => {
    const rate = perSecond()
    tokens = Math.min(Math.max(1, rate), tokens + Math.max(0, now - updatedAt) * rate / 1000)
    updatedAt = now
    if (tokens < 1) return false
    tokens -= 1
    return true
  }
}
