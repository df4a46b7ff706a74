/**
 * Use of the kept-cache store: which blocks an engine should export before they are evicted, and when importing a
 * prefix costs less than recomputing it.
 *
 * Instances exchange nothing about the store's content. An import that finds nothing is remembered for a while, so that
 * a prefix that was never exported costs one fruitless look-up in that time.
 */
import type { MonotonicMilliseconds } from '../types'
import { BLOCK_TOKENS } from './routing'

export interface KeptCacheOptions {
  /** Uses within the window after which a block is exported. @default 3 */
  hotUses?: number
  /** Milliseconds over which uses are counted. @default 60000 */
  window?: number
  /** Blocks tracked; the least recently used go first. @default 20000 */
  maximumBlocks?: number
  /** Exported blocks per second of the whole fleet: the store handles several hundred writes a second. @default 60 */
  exportsPerSecond?: number
  /** Imported blocks per second of the whole fleet: the store handles about two thousand reads a second. @default 400 */
  importsPerSecond?: number
  /** Number of instances that share these rates; at least 1. @default 1 */
  instanceCount?: () => number
  /** Milliseconds to import one block before any import was measured. @default 20 */
  initialImportMilliseconds?: number
  /** Milliseconds for which a failed import is remembered. @default 30000 */
  missMemory?: number
  /** Milliseconds after which an exported block is exported again. @default 600000 */
  exportMemory?: number
}

export interface KeptCache {
  /** Counts a use of the prompt's blocks; returns the blocks that the upstream should export, possibly none. */
  recordUse: (blockKeys: readonly string[], now: MonotonicMilliseconds) => readonly string[]
  /**
   * The blocks to import before the request runs: those after the cached ones, while they are hot, not known to be
   * absent, and cheaper to import than to recompute at the upstream's prefill speed.
   */
  planImport: (
    blockKeys: readonly string[], cachedBlocks: number, prefillTokensPerSecond: number, now: MonotonicMilliseconds
  ) => readonly string[]
  /** Learns from an import: how many of the blocks came, and how long it took. */
  recordImport: (
    blockKeys: readonly string[], imported: number, milliseconds: number, now: MonotonicMilliseconds
  ) => void
  /** Forgets that a block was exported, after an export that failed. */
  exportFailed: (blockKeys: readonly string[]) => void
  trackedBlocks: () => number
}

interface BlockRecord {
  uses: number
  windowSince: MonotonicMilliseconds
  exportedAt: MonotonicMilliseconds
  absentUntil: MonotonicMilliseconds
}

/** Weight of a new measurement in the running mean of the import time. */
const MEASUREMENT_WEIGHT = 0.2

export function createKeptCache (options: KeptCacheOptions = {}): KeptCache {
  const {
    hotUses = 3, window = 60_000, maximumBlocks = 20_000, exportsPerSecond = 60, importsPerSecond = 400,
    instanceCount = () => 1, initialImportMilliseconds = 20, missMemory = 30_000, exportMemory = 600_000
  } = options
  const records = new Map<string, BlockRecord>()
  const takeExport = createAllowance(() => exportsPerSecond / Math.max(1, instanceCount()))
  const takeImport = createAllowance(() => importsPerSecond / Math.max(1, instanceCount()))
  let millisecondsPerBlock = initialImportMilliseconds

  function touch (key: string, now: MonotonicMilliseconds): BlockRecord {
    let record = records.get(key)
    if (record === undefined) {
      record = { uses: 0, windowSince: now, exportedAt: -Infinity, absentUntil: -Infinity }
    } else {
      records.delete(key)
      // Halving keeps a block hot that is used steadily, without a list of times for each block.
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
        // A block is useful only after its parents, so a prompt's export stops at the first block that must wait.
        if (due && !takeExport(now)) break
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
        if (!takeImport(now)) break
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

/** Token bucket with a burst of one second's worth, at least one token. */
function createAllowance (perSecond: () => number): (now: MonotonicMilliseconds) => boolean {
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
