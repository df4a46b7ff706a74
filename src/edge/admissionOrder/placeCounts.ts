/**
 * Counts the calls in flight at each plain upstream over all instances.
 *
 * Load behind this: a few upstreams with few places and a short queue each serve many instances, and each instance sees
 * only its own calls. By these alone, calls are turned away at one upstream while another has room.
 */
import type { MonotonicMilliseconds } from '../../types'
import { currentWait, type Upstream, type UpstreamDirectory } from '../upstreamDirectory'

/** Milliseconds for which the counts of all instances are valid; a few calls. */
const COUNTS_VALIDITY_MS = 300
/** Calls that an upstream takes for each place, the queued ones included, while none was turned away. */
const CALLS_PER_PLACE = 5
/** Milliseconds for which the count at which an upstream turned a call away is taken for its limit. */
const LIMIT_VALIDITY_MS = 1000
/** Urgency under which waits of calls are observed. */
const CALL_URGENCY = 0
/** Bytes for each upstream: its key, and its calls in flight. */
const ENTRY_BYTES = 6
const MAX_CALLS = 0xffff

/** Calls in flight by upstream key. */
export type CallCounts = ReadonlyMap<number, number>

export function encodeCounts (counts: CallCounts): Buffer {
  const bytes = Buffer.alloc(counts.size * ENTRY_BYTES)
  let offset = 0
  for (const [key, calls] of counts) {
    bytes.writeUInt32LE(key, offset)
    bytes.writeUInt16LE(Math.min(MAX_CALLS, Math.max(0, calls)), offset + 4)
    offset += ENTRY_BYTES
  }
  return bytes
}

/** Returns undefined when the value is not encoded counts. */
export function decodeCounts (value: unknown): CallCounts | undefined {
  if (!(value instanceof Uint8Array) || value.length % ENTRY_BYTES !== 0) return undefined
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.length)
  const counts = new Map<number, number>()
  for (let offset = 0; offset < bytes.length; offset += ENTRY_BYTES) {
    counts.set(bytes.readUInt32LE(offset), bytes.readUInt16LE(offset + 4))
  }
  return counts
}

export interface PlaceCounts {
  /** Calls of this instance in flight, by upstream key. */
  own: () => CallCounts
  /** Records the calls in flight of all instances. */
  applyTotal: (total: CallCounts, now: MonotonicMilliseconds) => void
  /** Returns the calls in flight at an upstream, of all instances if they are known. */
  inFlight: (upstream: Upstream, now: MonotonicMilliseconds) => number
  /** Records that an upstream turned a call away because it is full. */
  recordTurnedAway: (upstream: Upstream, now: MonotonicMilliseconds) => void
  /** Returns the milliseconds until places become free if all upstreams of the service are full; undefined otherwise. */
  fullFor: (service: string, now: MonotonicMilliseconds) => number | undefined
}

/** Whether the upstream is a plain service; engines have weights. */
export function isPlain ({ weights }: Pick<Upstream, 'weights'>): boolean {
  return weights.size === 0
}

export function createPlaceCounts (directory: Pick<UpstreamDirectory, 'all' | 'listed'>): PlaceCounts {
  let total: CallCounts = new Map()
  let totalAt: MonotonicMilliseconds = -Infinity
  /** Own calls in flight that the total includes. */
  let ownInTotal: CallCounts = new Map()
  const limits = new WeakMap<Upstream, { calls: number, at: MonotonicMilliseconds }>()

  function own (): CallCounts {
    return new Map([...directory.all()].flatMap((upstream) => (
      isPlain(upstream) && upstream.inFlight > 0 ? [[upstream.loadKey, upstream.inFlight] as const] : []
    )))
  }

  function isKnown (now: MonotonicMilliseconds): boolean {
    return now - totalAt < COUNTS_VALIDITY_MS
  }

  function inFlight ({ loadKey, inFlight: ownCalls }: Upstream, now: MonotonicMilliseconds): number {
    if (!isKnown(now)) return ownCalls
    return Math.max(ownCalls, (total.get(loadKey) ?? 0) + ownCalls - (ownInTotal.get(loadKey) ?? 0))
  }

  function limitOf (upstream: Upstream, now: MonotonicMilliseconds): number {
    const { slots } = upstream.entry
    const learned = limits.get(upstream)
    const isValid = learned !== undefined && now - learned.at < LIMIT_VALIDITY_MS
    return Math.max(slots, isValid ? learned.calls : slots * CALLS_PER_PLACE)
  }

  return {
    own,
    applyTotal (counts, now) {
      total = counts
      totalAt = now
      ownInTotal = own()
    },
    inFlight,
    recordTurnedAway (upstream, now) {
      if (isKnown(now)) limits.set(upstream, { calls: inFlight(upstream, now), at: now })
    },
    fullFor (service, now) {
      const upstreams = directory.listed(service)
      const isFull = isKnown(now) && upstreams.length > 0 && upstreams.every((upstream) => (
        isPlain(upstream) && inFlight(upstream, now) >= limitOf(upstream, now)
      ))
      if (!isFull) return undefined
      // A call waits for those ahead of it, so half of the places have turned over after half of the wait.
      return Math.min(...upstreams.map((upstream) => currentWait(upstream, CALL_URGENCY, now))) / 2
    }
  }
}
