/**
 * Belief about which upstream incarnation holds which blocks. It is fed by the engines' event streams and by this
 * instance's own decisions. A wrong entry costs time only, since every request carries its full prompt.
 */
import type { Incarnation, MonotonicMilliseconds } from '../types'
import type { CacheEvent } from '../upstream/types'
import { createBlockTable, NO_SLOT } from './blockTable'
import type { BlockIndex } from './types'

export interface BlockIndexOptions {
  /** Entries kept at most; one entry is a block at one upstream and takes 18 bytes. */
  maximumEntries: number
  /** Milliseconds without an answer of the event endpoint after which an upstream's entries are uncertain. @default 3000 */
  heartbeatLapseMilliseconds?: number
}

/** Weight of an uncertain entry. */
const UNCERTAIN_WEIGHT = 0.5
const DEFAULT_HEARTBEAT_LAPSE_MS = 3000
const MARK_LIMIT = 0x10000
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
  /** Entries whose mark differs are uncertain. Starts at 0; raised by each gap. */
  certainty: number
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
      certainty: 0,
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
      table.setMark(result.slot, owner.certainty)
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
    if (event.sequence > owner.newestSequence + 1) noticeGap(owner)
    owner.newestSequence = event.sequence
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
      if (batch.events.length === 0 && batch.newestSequence > Math.max(owner.newestSequence, owner.gapNoticedAt)) {
        noticeGap(owner)
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
        table.setMark(slot, confirmed ? owner.certainty : previousMark(owner.certainty))
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
        blocks += lapsed || table.getMark(slot) !== owner.certainty ? UNCERTAIN_WEIGHT : 1
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

function noticeGap (owner: Owner): void {
  owner.certainty = (owner.certainty + 1) % MARK_LIMIT
}

function previousMark (certainty: number): number {
  return (certainty + MARK_LIMIT - 1) % MARK_LIMIT
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
