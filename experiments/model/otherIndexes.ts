/** Indexes to compare the shipped one with: perfect knowledge, and a compact summary per engine. */
import type { BlockIndex } from '../../src/prefix/types'
import type { Engine } from './engine'

const ignore = (): void => {}

/** Sees the engines' caches as they are, and what their waiting work will add. */
export function createPerfectIndex (engines: readonly Engine[]): BlockIndex {
  const byName = new Map(engines.map(engine => [engine.name, engine]))
  return {
    applyEvents: ignore,
    recordRouted: ignore,
    recordOutcome: ignore,
    dropUpstream: ignore,
    cachedBlocks (upstream, incarnation, blockKeys) {
      const engine = byName.get(upstream)
      if (engine === undefined || !engine.isAlive() || engine.incarnation() !== incarnation) return 0
      let blocks = 0
      while (blocks < blockKeys.length && engine.willHold(blockKeys[blocks]!)) blocks++
      return blocks
    },
    newestSequence: () => 0,
    entryCount: () => 0
  }
}

/** Milliseconds between two summaries of an engine. */
const SUMMARY_INTERVAL_MS = 1000
/** Milliseconds for which the router's own decisions count as cached. */
const ROUTED_MEMORY_MS = 2000
const BITS_PER_BLOCK = 10
const PROBES = 4

interface Summary {
  incarnation: number
  takenAt: number
  bits: Uint8Array
  /** Blocks that this router sent there, with the time: a summary shows them only after they are computed. */
  routed: Map<string, number>
}

/** A Bloom filter per engine, taken every second, and the router's own decisions of the last seconds. */
export function createSummaryIndex (engines: readonly Engine[], clock: () => number): BlockIndex {
  const summaries = new Map<string, Summary>()

  function summaryOf (name: string): Summary | undefined {
    const known = summaries.get(name)
    const engine = engines.find(candidate => candidate.name === name)
    const now = clock()
    if (engine === undefined || !engine.isAlive()) return known
    const isFresh = known !== undefined && now - known.takenAt < SUMMARY_INTERVAL_MS
    if (isFresh && known.incarnation === engine.incarnation()) return known
    const keys = [...engine.cachedKeys()]
    const bits = new Uint8Array(Math.max(1, Math.ceil(keys.length * BITS_PER_BLOCK / 8)))
    for (const key of keys) {
      for (const bit of probesOf(key, bits.length * 8)) bits[bit >> 3]! |= 1 << (bit & 7)
    }
    const routed = new Map<string, number>()
    if (known?.incarnation === engine.incarnation()) {
      for (const [key, routedAt] of known.routed) if (now - routedAt < ROUTED_MEMORY_MS) routed.set(key, routedAt)
    }
    const fresh = { incarnation: engine.incarnation(), takenAt: now, bits, routed }
    summaries.set(name, fresh)
    return fresh
  }

  return {
    applyEvents: ignore,
    recordRouted (upstream, _incarnation, blockKeys) {
      for (const key of blockKeys) summaryOf(upstream)?.routed.set(key, clock())
    },
    recordOutcome: ignore,
    dropUpstream: ignore,
    cachedBlocks (upstream, incarnation, blockKeys) {
      const summary = summaryOf(upstream)
      if (summary === undefined || summary.incarnation !== incarnation) return 0
      const holds = (key: string): boolean => summary.routed.has(key) ||
        probesOf(key, summary.bits.length * 8).every(bit => (summary.bits[bit >> 3]! & (1 << (bit & 7))) !== 0)
      let blocks = 0
      while (blocks < blockKeys.length && holds(blockKeys[blocks]!)) blocks++
      return blocks
    },
    newestSequence: () => 0,
    entryCount: () => 0
  }
}

/** The key is a hash already; its halves give the probes. */
function probesOf (key: string, size: number): number[] {
  const high = parseInt(key.slice(0, 8), 16)
  const low = (parseInt(key.slice(8, 16), 16) | 1) >>> 0
  return Array.from({ length: PROBES }, (_, probe) => (high + probe * low) % size)
}
