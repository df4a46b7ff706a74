/**
 * Approximate index of the cache blocks that each upstream incarnation holds. It is updated from the engines' event
 * streams and from this instance's own routing decisions. A wrong entry only costs time, since every request carries
 * its full prompt.
 */
import type { Incarnation, MonotonicMilliseconds } from '../types'
import type { CacheEvent } from '../upstream/types'
import { createBlockTable, NO_SLOT } from './blockTable'
import type { BlockIndex } from './types'

export interface BlockIndexOptions {
  /** Maximum number of entries. An entry represents one block at one upstream and takes 20 bytes. */
  maximumEntries: number
  /**
   * Time in milliseconds without a response from the event endpoint after which an upstream's entries are uncertain.
   * @default 3000
   */
  heartbeatTimeoutMilliseconds?: number
}

/**
 * Minimum weight of an uncertain entry; also the weight of all entries after the upstream's heartbeat has timed out.
 */
const LOWEST_WEIGHT = 0.5
/** Units per entry in which uncertainty is counted. */
const UNCERTAINTY_UNITS = 1000
/** Uncertainty at which an entry has the minimum weight. */
const MAXIMUM_UNCERTAINTY = (1 - LOWEST_WEIGHT) * UNCERTAINTY_UNITS
const DEFAULT_HEARTBEAT_TIMEOUT_MS = 3000
/** Marks are unsigned 32-bit integers and wrap around. */
const MARK_MODULUS = 0x100000000
/** Weight of a new event in the moving average of the number of blocks per event. */
const EVENT_WEIGHT = 0.1
/** Maximum number of dropped upstreams whose incarnations are kept; the oldest is removed first. */
const MAXIMUM_DROPPED_UPSTREAMS = 4096

/** One upstream incarnation that owns entries. */
interface Owner {
  /** Identifiers are never reused, so entries of dropped owners can no longer be found. */
  identifier: number
  incarnation: Incarnation
  entries: number
  newestSequence: number
  /** Newest sequence number up to which missing events have already been recorded. */
  gapRecordedAt: number
  /**
   * Sum of the fractions of the cache that lost events may have evicted, in `UNCERTAINTY_UNITS`, modulo `MARK_MODULUS`.
   * Each entry is marked with the sum at the time of its confirmation, so the difference is the probability that its
   * eviction was missed.
   */
  uncertainty: number
  /** Moving average of the number of blocks per event. */
  blocksPerEvent: number
  lastBatchAt: MonotonicMilliseconds
}

/** Creates an index. Its memory is allocated in advance and does not grow, except for one small record per upstream. */
export function createBlockIndex (options: BlockIndexOptions): BlockIndex {
  const heartbeatTimeout = options.heartbeatTimeoutMilliseconds ?? DEFAULT_HEARTBEAT_TIMEOUT_MS
  const table = createBlockTable(options.maximumEntries)
  const byName = new Map<string, Owner>()
  const byIdentifier = new Map<number, Owner>()
  /** Newest incarnations of dropped upstreams, so that a late batch of an older incarnation is still recognized. */
  const dropped = new Map<string, Incarnation>()
  let nextIdentifier = 1
  const parse = createKeyParser()
  const isLive = (identifier: number): boolean => byIdentifier.has(identifier)

  /**
   * Returns the owner for this incarnation, or undefined when the incarnation is outdated. A newer incarnation replaces
   * the older one.
   */
  function ownerFor (upstream: string, incarnation: Incarnation, now: MonotonicMilliseconds): Owner | undefined {
    const known = byName.get(upstream)
    if (known !== undefined && known.incarnation === incarnation) return known
    if (known !== undefined && known.incarnation > incarnation) return undefined
    if (known === undefined && (dropped.get(upstream) ?? 0) > incarnation) return undefined
    if (known !== undefined) byIdentifier.delete(known.identifier)
    const owner: Owner = {
      identifier: nextIdentifier++,
      incarnation,
      entries: 0,
      newestSequence: 0,
      gapRecordedAt: 0,
      uncertainty: 0,
      blocksPerEvent: 1,
      lastBatchAt: now
    }
    byName.set(upstream, owner)
    byIdentifier.set(owner.identifier, owner)
    return owner
  }

  function insertBlocks (owner: Owner, blockKeys: readonly string[], now: MonotonicMilliseconds): void {
    const keyHalves = parse(blockKeys)
    for (let position = 0; position < keyHalves.length; position += 2) {
      const result = table.insert(keyHalves[position]!, keyHalves[position + 1]!, owner.identifier, now, isLive)
      if (result.inserted) {
        const replaced = byIdentifier.get(result.replacedOwner)
        if (replaced !== undefined) replaced.entries--
        owner.entries++
      }
      table.setMark(result.slot, owner.uncertainty)
    }
  }

  function removeBlocks (owner: Owner, blockKeys: readonly string[]): void {
    const keyHalves = parse(blockKeys)
    for (let position = 0; position < keyHalves.length; position += 2) {
      const slot = table.find(keyHalves[position]!, keyHalves[position + 1]!, owner.identifier)
      if (slot === NO_SLOT) continue
      table.remove(slot)
      owner.entries--
    }
  }

  function applyEvent (owner: Owner, event: CacheEvent, now: MonotonicMilliseconds): void {
    if (event.sequence <= owner.newestSequence) return
    const lost = event.sequence - Math.max(owner.newestSequence, owner.gapRecordedAt) - 1
    if (lost > 0) recordGap(owner, lost)
    owner.newestSequence = event.sequence
    owner.blocksPerEvent += EVENT_WEIGHT * (event.blockKeys.length - owner.blocksPerEvent)
    if (event.kind === 'stored') insertBlocks(owner, event.blockKeys, now)
    else removeBlocks(owner, event.blockKeys)
  }

  return {
    applyEvents (upstream, batch, now) {
      const owner = ownerFor(upstream, batch.incarnation, now)
      if (owner === undefined) return
      owner.lastBatchAt = now
      for (const event of batch.events) applyEvent(owner, event, now)
      // The response has no events although newer ones exist, so they were lost or are late. The position is not
      // advanced, so that late events are still applied.
      const missing = batch.newestSequence - Math.max(owner.newestSequence, owner.gapRecordedAt)
      if (batch.events.length === 0 && missing > 0) {
        recordGap(owner, missing)
        owner.gapRecordedAt = batch.newestSequence
      }
    },
    recordRouted (upstream, incarnation, blockKeys, now) {
      const owner = ownerFor(upstream, incarnation, now)
      if (owner !== undefined) insertBlocks(owner, blockKeys, now)
    },
    recordOutcome (upstream, blockKeys, cachedBlocks, now) {
      const owner = byName.get(upstream)
      if (owner === undefined) return
      const keyHalves = parse(blockKeys)
      for (let position = 0; position < keyHalves.length; position += 2) {
        const slot = table.find(keyHalves[position]!, keyHalves[position + 1]!, owner.identifier)
        if (slot === NO_SLOT) continue
        // Blocks that were not cached have been computed by this request, so their stored event will confirm them.
        const confirmed = position / 2 < cachedBlocks
        table.setMark(slot, confirmed
          ? owner.uncertainty
          : (owner.uncertainty - MAXIMUM_UNCERTAINTY + MARK_MODULUS) % MARK_MODULUS)
        if (confirmed) table.touch(slot, now)
      }
    },
    dropUpstream (upstream) {
      const owner = byName.get(upstream)
      if (owner === undefined) return
      byName.delete(upstream)
      byIdentifier.delete(owner.identifier)
      dropped.delete(upstream)
      dropped.set(upstream, owner.incarnation)
      if (dropped.size > MAXIMUM_DROPPED_UPSTREAMS) dropped.delete(dropped.keys().next().value!)
    },
    cachedBlocks (upstream, incarnation, blockKeys, now) {
      const owner = byName.get(upstream)
      if (owner === undefined || owner.incarnation !== incarnation) return 0
      const heartbeatTimedOut = now - owner.lastBatchAt > heartbeatTimeout
      const keyHalves = parse(blockKeys)
      let blocks = 0
      for (let position = 0; position < keyHalves.length; position += 2) {
        const slot = table.find(keyHalves[position]!, keyHalves[position + 1]!, owner.identifier)
        if (slot === NO_SLOT) break
        table.touch(slot, now)
        blocks += heartbeatTimedOut ? LOWEST_WEIGHT : weightOf(owner, table.getMark(slot))
      }
      return blocks
    },
    newestSequence: upstream => byName.get(upstream)?.newestSequence ?? 0,
    entryCount () {
      let count = 0
      for (const owner of byName.values()) count += owner.entries
      return count
    }
  }
}

/** Increases the uncertainty of all entries by the fraction of them that the lost events may have evicted. */
function recordGap (owner: Owner, lostEvents: number): void {
  const evictedFraction = lostEvents * owner.blocksPerEvent / Math.max(1, owner.entries)
  const uncertainty = Math.min(MAXIMUM_UNCERTAINTY, Math.max(1, Math.ceil(evictedFraction * UNCERTAINTY_UNITS)))
  owner.uncertainty = (owner.uncertainty + uncertainty) % MARK_MODULUS
}

/** Returns the weight of an entry with this mark. */
function weightOf (owner: Owner, mark: number): number {
  const uncertainty = (owner.uncertainty - mark + MARK_MODULUS) % MARK_MODULUS
  return 1 - Math.min(MAXIMUM_UNCERTAINTY, uncertainty) / UNCERTAINTY_UNITS
}

/**
 * Creates a parser that converts keys into pairs of 32-bit numbers. The last result is cached, because one routing
 * decision looks up the same keys for every candidate. A malformed key ends the list, because the blocks after it
 * cannot be used.
 */
function createKeyParser (): (blockKeys: readonly string[]) => Uint32Array {
  let lastKeys: readonly string[] | undefined
  let lastHalves = new Uint32Array(0)
  return blockKeys => {
    if (blockKeys === lastKeys && lastHalves.length === blockKeys.length * 2) return lastHalves
    let halves = new Uint32Array(blockKeys.length * 2)
    for (let position = 0; position < blockKeys.length; position++) {
      const high = parseDigits(blockKeys[position]!, 0)
      const low = parseDigits(blockKeys[position]!, 8)
      if (high < 0 || low < 0) {
        halves = halves.slice(0, position * 2)
        break
      }
      halves[position * 2] = high
      halves[position * 2 + 1] = low
    }
    lastKeys = blockKeys
    lastHalves = halves
    return halves
  }
}

/** Parses 8 lowercase hexadecimal digits, without the copies of `parseInt` on slices. Returns -1 when malformed. */
function parseDigits (text: string, start: number): number {
  let value = 0
  for (let position = start; position < start + 8; position++) {
    const code = text.charCodeAt(position)
    const digit = code >= 48 && code <= 57 ? code - 48 : code >= 97 && code <= 102 ? code - 87 : -1
    if (digit < 0) return -1
    value = (value << 4) | digit
  }
  return value >>> 0
}
