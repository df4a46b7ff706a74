/**
 * Belief about which upstream incarnation holds which blocks. It is fed by the engines' event streams and by this
 * instance's own decisions. A wrong entry costs time only, since every request carries its full prompt.
 */
import type { Incarnation, MonotonicMilliseconds } from '../types'
import type { CacheEvent } from '../upstream/types'
import { createBlockTable, NO_SLOT } from './blockTable'
import type { BlockIndex } from './types'

export interface BlockIndexOptions {
  /** Entries kept at most; one entry is a block at one upstream and takes 20 bytes. */
  maximumEntries: number
  /** Milliseconds without an answer of the event endpoint after which an upstream's entries are uncertain. @default 3000 */
  heartbeatLapseMilliseconds?: number
}

/** Lowest weight of an uncertain entry; also the weight while the upstream's heartbeat has lapsed. */
const LOWEST_WEIGHT = 0.5
/** Doubt is counted in thousandths of an entry. */
const DOUBT_UNITS = 1000
/** Doubt at which an entry has the lowest weight. */
const MOST_DOUBT = (1 - LOWEST_WEIGHT) * DOUBT_UNITS
const DEFAULT_HEARTBEAT_LAPSE_MS = 3000
const MARK_LIMIT = 0x100000000
/** Weight of a new event in the mean number of blocks of an event. */
const EVENT_WEIGHT = 0.1
/** Dropped upstreams that are remembered; the oldest is forgotten first. */
const DROPPED_LIMIT = 4096

/** One upstream incarnation that owns entries. */
interface Owner {
  /** Never reused, so entries of dropped owners can no longer be found. */
  identifier: number
  incarnation: Incarnation
  entries: number
  newestSequence: number
  /** Newest sequence number for which missing events have already been noticed. */
  gapNoticedAt: number
  /**
   * Sum of the parts of the cache that lost events can have evicted, in `DOUBT_UNITS`, modulo `MARK_LIMIT`. An entry is
   * marked with the sum at its confirmation, so the difference is the chance that it was evicted unnoticed.
   */
  doubt: number
  /** Mean number of blocks of an event. */
  blocksPerEvent: number
  lastHeard: MonotonicMilliseconds
}

/** Creates an index. Memory is allocated at once and does not grow, except for one small record per upstream. */
export function createBlockIndex (options: BlockIndexOptions): BlockIndex {
  const lapse = options.heartbeatLapseMilliseconds ?? DEFAULT_HEARTBEAT_LAPSE_MS
  const table = createBlockTable(options.maximumEntries)
  const byName = new Map<string, Owner>()
  const byIdentifier = new Map<number, Owner>()
  /** Newest incarnations of dropped upstreams, so that a late batch of an older one is still recognised. */
  const dropped = new Map<string, Incarnation>()
  let nextIdentifier = 1
  const parse = createKeyParser()
  const isLive = (identifier: number): boolean => byIdentifier.has(identifier)

  /** Owner for this incarnation; a newer one replaces the older, and undefined means that the incarnation is dead. */
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
      gapNoticedAt: 0,
      doubt: 0,
      blocksPerEvent: 1,
      lastHeard: now
    }
    byName.set(upstream, owner)
    byIdentifier.set(owner.identifier, owner)
    return owner
  }

  function store (owner: Owner, blockKeys: readonly string[], now: MonotonicMilliseconds): void {
    const parts = parse(blockKeys)
    for (let position = 0; position < parts.length; position += 2) {
      const result = table.insert(parts[position]!, parts[position + 1]!, owner.identifier, now, isLive)
      if (result.inserted) {
        const replaced = byIdentifier.get(result.replacedOwner)
        if (replaced !== undefined) replaced.entries--
        owner.entries++
      }
      table.setMark(result.slot, owner.doubt)
    }
  }

  function discard (owner: Owner, blockKeys: readonly string[]): void {
    const parts = parse(blockKeys)
    for (let position = 0; position < parts.length; position += 2) {
      const slot = table.find(parts[position]!, parts[position + 1]!, owner.identifier)
      if (slot === NO_SLOT) continue
      table.remove(slot)
      owner.entries--
    }
  }

  function applyEvent (owner: Owner, event: CacheEvent, now: MonotonicMilliseconds): void {
    if (event.sequence <= owner.newestSequence) return
    const lost = event.sequence - Math.max(owner.newestSequence, owner.gapNoticedAt) - 1
    if (lost > 0) noticeGap(owner, lost)
    owner.newestSequence = event.sequence
    owner.blocksPerEvent += EVENT_WEIGHT * (event.blockKeys.length - owner.blocksPerEvent)
    if (event.kind === 'stored') store(owner, event.blockKeys, now)
    else discard(owner, event.blockKeys)
  }

  return {
    applyEvents (upstream, batch, now) {
      const owner = ownerFor(upstream, batch.incarnation, now)
      if (owner === undefined) return
      owner.lastHeard = now
      for (const event of batch.events) applyEvent(owner, event, now)
      // An answer without events although newer ones exist: they were lost or are late. The position stays, so that
      // late ones are still taken in.
      const missing = batch.newestSequence - Math.max(owner.newestSequence, owner.gapNoticedAt)
      if (batch.events.length === 0 && missing > 0) {
        noticeGap(owner, missing)
        owner.gapNoticedAt = batch.newestSequence
      }
    },
    recordRouted (upstream, incarnation, blockKeys, now) {
      const owner = ownerFor(upstream, incarnation, now)
      if (owner !== undefined) store(owner, blockKeys, now)
    },
    recordOutcome (upstream, blockKeys, cachedBlocks, now) {
      const owner = byName.get(upstream)
      if (owner === undefined) return
      const parts = parse(blockKeys)
      for (let position = 0; position < parts.length; position += 2) {
        const slot = table.find(parts[position]!, parts[position + 1]!, owner.identifier)
        if (slot === NO_SLOT) continue
        // Blocks that were not cached have been computed by this request; their stored event confirms them again.
        const confirmed = position / 2 < cachedBlocks
        table.setMark(slot, confirmed ? owner.doubt : (owner.doubt - MOST_DOUBT + MARK_LIMIT) % MARK_LIMIT)
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
      if (dropped.size > DROPPED_LIMIT) dropped.delete(dropped.keys().next().value!)
    },
    cachedBlocks (upstream, incarnation, blockKeys, now) {
      const owner = byName.get(upstream)
      if (owner === undefined || owner.incarnation !== incarnation) return 0
      const lapsed = now - owner.lastHeard > lapse
      const parts = parse(blockKeys)
      let blocks = 0
      for (let position = 0; position < parts.length; position += 2) {
        const slot = table.find(parts[position]!, parts[position + 1]!, owner.identifier)
        if (slot === NO_SLOT) break
        table.touch(slot, now)
        blocks += lapsed ? LOWEST_WEIGHT : weightOf(owner, table.getMark(slot))
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

/** Raises the doubt in all entries by the part of them that the lost events can have evicted. */
function noticeGap (owner: Owner, lostEvents: number): void {
  const part = lostEvents * owner.blocksPerEvent / Math.max(1, owner.entries)
  const doubt = Math.min(MOST_DOUBT, Math.max(1, Math.ceil(part * DOUBT_UNITS)))
  owner.doubt = (owner.doubt + doubt) % MARK_LIMIT
}

/** Weight of an entry with this mark. */
function weightOf (owner: Owner, mark: number): number {
  const doubt = (owner.doubt - mark + MARK_LIMIT) % MARK_LIMIT
  return 1 - Math.min(MOST_DOUBT, doubt) / DOUBT_UNITS
}

/**
 * Turns keys into pairs of 32-bit numbers. The last result is kept, because one decision asks for the same keys at
 * every candidate. A malformed key ends the list: blocks after it cannot be used either.
 */
function createKeyParser (): (blockKeys: readonly string[]) => Uint32Array {
  let lastKeys: readonly string[] | undefined
  let lastParts = new Uint32Array(0)
  return blockKeys => {
    if (blockKeys === lastKeys && lastParts.length === blockKeys.length * 2) return lastParts
    let parts = new Uint32Array(blockKeys.length * 2)
    for (let position = 0; position < blockKeys.length; position++) {
      const high = parseDigits(blockKeys[position]!, 0)
      const low = parseDigits(blockKeys[position]!, 8)
      if (high < 0 || low < 0) {
        parts = parts.slice(0, position * 2)
        break
      }
      parts[position * 2] = high
      parts[position * 2 + 1] = low
    }
    lastKeys = blockKeys
    lastParts = parts
    return parts
  }
}

/** Value of 8 lower-case hexadecimal digits, -1 when malformed. Avoids the copies that `parseInt` on slices makes. */
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
