/**
 * Fixed-size table of (block key, owner) pairs in typed arrays. A pair lives in one of the slots of its probe window;
 * every lookup reads the whole window, so removal needs no tombstones. When the window is full, the pair that was used
 * least recently makes room.
 */

/** Slots in which one pair may live. 16 instead of 8 raises the usable part of the table; see the measurement in §11. */
const PROBE_WINDOW = 16
/** Resolution of the time of last use. A 32-bit count of 8 ms wraps after 397 days. */
const TICK_MILLISECONDS = 8

export const NO_SLOT = -1

export interface BlockTable {
  /** Slot of the pair or `NO_SLOT`. */
  find: (high: number, low: number, owner: number) => number
  /** Slot of the pair, inserted if it was absent. `isLive` tells whether an owner's pairs still count. */
  insert: (high: number, low: number, owner: number, now: number, isLive: (owner: number) => boolean) => InsertResult
  remove: (slot: number) => void
  touch: (slot: number, now: number) => void
  /** Number that the caller keeps with a pair, an unsigned 32-bit integer. */
  getMark: (slot: number) => number
  setMark: (slot: number, mark: number) => void
  byteLength: () => number
}

export interface InsertResult {
  slot: number
  inserted: boolean
  /** Owner whose pair was replaced, 0 for none. */
  replacedOwner: number
}

/** Owners are positive 32-bit integers. */
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

  /** Slot to overwrite: an empty one, else one of a dead owner, else the least recently used. */
  function chooseSlot (start: number, now: number, isLive: (owner: number) => boolean): number {
    const tick = tickOf(now)
    let slot = start
    let oldest = start
    let oldestAge = -1
    let dead = NO_SLOT
    for (let step = 0; step < window; step++) {
      const owner = owners[slot]!
      if (owner === 0) return slot
      if (dead === NO_SLOT && !isLive(owner)) dead = slot
      const age = (tick - usedAt[slot]!) >>> 0
      if (age > oldestAge) {
        oldestAge = age
        oldest = slot
      }
      if (++slot === slots) slot = 0
    }
    return dead === NO_SLOT ? oldest : dead
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
