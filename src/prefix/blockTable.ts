/**
 * Fixed-size hash table of (block key, owner) pairs in typed arrays. A pair is stored in one of the slots of its probe
 * window. Every lookup reads the complete window, so removal needs no tombstones. When the window is full, the least
 * recently used pair is replaced.
 */

/** Number of slots in which a pair may be stored. 16 instead of 8 increases the usable fraction of the table. */
const PROBE_WINDOW = 16
/** Resolution of the time of last use. A 32-bit counter of 8 ms ticks wraps around after 397 days. */
const TICK_MILLISECONDS = 8

export const NO_SLOT = -1

export interface BlockTable {
  /** Returns the slot of the pair, or `NO_SLOT`. */
  find: (high: number, low: number, owner: number) => number
  /** Returns the slot of the pair, which is inserted if missing. `isLive` returns whether an owner still exists. */
  insert: (high: number, low: number, owner: number, now: number, isLive: (owner: number) => boolean) => InsertResult
  remove: (slot: number) => void
  touch: (slot: number, now: number) => void
  /** Returns the unsigned 32-bit integer that the caller has stored with a pair. */
  getMark: (slot: number) => number
  setMark: (slot: number, mark: number) => void
  byteLength: () => number
}

export interface InsertResult {
  slot: number
  inserted: boolean
  /** Owner whose pair was replaced; 0 for none. */
  replacedOwner: number
}

/** Creates a table. Owners are positive 32-bit integers. */
export function createBlockTable (maximumEntries: number): BlockTable {
  const slots = Math.max(1, Math.floor(maximumEntries))
  const window = Math.min(PROBE_WINDOW, slots)
  const highs = new Uint32Array(slots)
  const lows = new Uint32Array(slots)
  const owners = new Uint32Array(slots)
  const usedAt = new Uint32Array(slots)
  const marks = new Uint32Array(slots)

  const tickOf = (now: number): number => Math.floor(now / TICK_MILLISECONDS) >>> 0

  function firstSlot (high: number, low: number, owner: number): number {
    let mixed = low ^ Math.imul(owner, 0x9e3779b1) ^ Math.imul(high, 0x85ebca6b)
    mixed = Math.imul(mixed ^ (mixed >>> 15), 0xc2b2ae35)
    return ((mixed ^ (mixed >>> 13)) >>> 0) % slots
  }

  function find (high: number, low: number, owner: number): number {
    let slot = firstSlot(high, low, owner)
    for (let step = 0; step < window; step++) {
      if (lows[slot] === low && owners[slot] === owner && highs[slot] === high) return slot
      if (++slot === slots) slot = 0
    }
    return NO_SLOT
  }

  /**
   * Returns the slot to overwrite: an empty one, otherwise one of a dropped owner, otherwise the least recently used.
   */
  function chooseSlot (start: number, now: number, isLive: (owner: number) => boolean): number {
    const tick = tickOf(now)
    let slot = start
    let oldest = start
    let oldestAge = -1
    let droppedSlot = NO_SLOT
    for (let step = 0; step < window; step++) {
      const owner = owners[slot]!
      if (owner === 0) return slot
      if (droppedSlot === NO_SLOT && !isLive(owner)) droppedSlot = slot
      const age = (tick - usedAt[slot]!) >>> 0
      if (age > oldestAge) {
        oldestAge = age
        oldest = slot
      }
      if (++slot === slots) slot = 0
    }
    return droppedSlot === NO_SLOT ? oldest : droppedSlot
  }

  return {
    find,
    insert (high, low, owner, now, isLive) {
      const found = find(high, low, owner)
      if (found !== NO_SLOT) {
        usedAt[found] = tickOf(now)
        return { slot: found, inserted: false, replacedOwner: 0 }
      }
      const slot = chooseSlot(firstSlot(high, low, owner), now, isLive)
      const replacedOwner = owners[slot]!
      highs[slot] = high
      lows[slot] = low
      owners[slot] = owner
      usedAt[slot] = tickOf(now)
      marks[slot] = 0
      return { slot, inserted: true, replacedOwner }
    },
    remove (slot) {
      owners[slot] = 0
    },
    touch (slot, now) {
      usedAt[slot] = tickOf(now)
    },
    getMark: slot => marks[slot]!,
    setMark (slot, mark) {
      marks[slot] = mark
    },
    byteLength: () => highs.byteLength + lows.byteLength + owners.byteLength + usedAt.byteLength + marks.byteLength
  }
}
