/**
 * Bounds what the requests in progress need besides bytes: the objects on the heap of Node.js, and the connections to upstreams.
 * Customers share both by a dynamic threshold: one may use a multiple of what all of them leave free, so that some is always
 * free for those who use little.
 *
 * Load pattern: callers that nobody controls have as many requests in progress as they are allowed, many on each connection or
 * one on each of many connections, while ordinary callers have few. Refusing the newest requests regardless of the customer
 * would refuse the ordinary ones, as the others ask more often.
 */
import type { MonotonicMilliseconds } from '../../types'

/** Multiple of the free part that one customer may use: two thirds if it is the only one. */
const GROUP_MULTIPLE = 2
/** Part of a bound from which on connections have only one request in progress. */
const TIGHT_PART = 0.5

/** What requests need of something bounded. */
export interface BoundedUse {
  bound: number
  /** Used by all requests. */
  used: number
  /** Used by the requests of the same group. */
  usedByGroup: number
}

/** Returns how much less the group must use so that it may use `needed` more; 0 if it may now. */
export function excessOf ({ bound, used, usedByGroup }: BoundedUse, needed: number): number {
  const free = bound - used
  // What the group releases becomes free as well.
  return Math.max(0, needed - free, (usedByGroup + needed - free * GROUP_MULTIPLE) / (1 + GROUP_MULTIPLE))
}

export type ShareDecision =
  | { admitted: true }
  /**
   * The request is expected to be admitted in `retryAfter` milliseconds. It `mustRelease` what it uses at once if the objects of
   * all requests exceed their bound and its own are many.
   */
  | { admitted: false, retryAfter: number, mustRelease: boolean }

/** What one request uses. */
export interface RequestShare {
  /** Records objects on the heap in bytes, or that they are released for a negative number. */
  addObjects: (bytes: number) => void
  /**
   * Decides whether a group may have the objects that the request already uses, and counts the request for it at the first call.
   * @param group requests that share what they use: those of one customer
   */
  join: (group: string, now: MonotonicMilliseconds) => ShareDecision
  /** Takes the objects and the connection that the request needs to be forwarded, if the share of its group permits it. */
  forward: (now: MonotonicMilliseconds) => ShareDecision
  /** The request has ended; nothing is used any more. */
  close: () => void
}

export interface RequestBounds {
  /** Maximum bytes of objects of all requests on the heap. */
  objectBytes: number
  /** Maximum number of requests that are being forwarded. */
  forwarded: number
}

export interface RequestShares {
  open: () => RequestShare
  /** Whether so much is used that connections may have only one request in progress. */
  isTight: () => boolean
  /** Bytes of the objects of all requests. */
  objectBytes: () => number
  /** Number of requests that are being forwarded. */
  forwarded: () => number
  bounds: Readonly<RequestBounds>
}

/** What a request needs while it is being forwarded; its objects are rounded up from the 57 to 63 KB of a trial. */
export const FORWARDED_REQUEST: Readonly<RequestBounds> = { objectBytes: 65_536, forwarded: 1 }
/** Bytes of objects that a refused request may use until its caller has read the refusal; ordinary requests use fewer. */
const MAX_REFUSED_OBJECT_BYTES = 16_384
const NOTHING: Readonly<RequestBounds> = { objectBytes: 0, forwarded: 0 }

interface Group {
  objectBytes: number
  requests: number
  forwarded: number
  /** Sum of the times when the requests joined, for their mean age. */
  joinSum: number
}

function createGroup (): Group {
  return { objectBytes: 0, requests: 0, forwarded: 0, joinSum: 0 }
}

/** Expected milliseconds until this part of the group's requests has ended, if they last as long again as until now. */
function expectedRelease ({ requests, joinSum }: Group, part: number, now: MonotonicMilliseconds): number {
  return requests === 0 ? 0 : (now - joinSum / requests) * Math.min(1, part)
}

export function createRequestShares (bounds: Readonly<RequestBounds>): RequestShares {
  /** Groups with a request in progress. */
  const groups = new Map<string, Group>()
  const all = createGroup()

  function decide (
    group: Group, own: Group, needed: Readonly<RequestBounds>, now: MonotonicMilliseconds
  ): ShareDecision {
    const excess = (key: keyof RequestBounds): number => (
      excessOf({ bound: bounds[key], used: all[key], usedByGroup: group[key] }, needed[key])
    )
    const objectBytes = excess('objectBytes')
    const forwarded = needed.forwarded === 0 ? 0 : excess('forwarded')
    if (objectBytes === 0 && forwarded === 0) return { admitted: true }
    const holder = group.requests > 1 ? group : all
    const part = Math.max(objectBytes / holder.objectBytes, forwarded / Math.max(1, holder.forwarded))
    return {
      admitted: false,
      retryAfter: expectedRelease(holder, part, now),
      mustRelease: all.objectBytes > bounds.objectBytes && own.objectBytes > MAX_REFUSED_OBJECT_BYTES
    }
  }

  function open (): RequestShare {
    const own = createGroup()
    let name: string | undefined
    let group: Group | undefined
    let isClosed = false

    /** Records a change of what the request uses. */
    function change (values: Partial<Group>): void {
      for (const target of group === undefined ? [own, all] : [own, all, group]) {
        for (const key of Object.keys(values) as Array<keyof Group>) target[key] += values[key]!
      }
    }

    return {
      addObjects (bytes) {
        if (!isClosed) change({ objectBytes: bytes })
      },
      join (groupName, now) {
        if (isClosed) return { admitted: true }
        if (group === undefined) {
          name = groupName
          group = groups.get(name) ?? createGroup()
          groups.set(name, group)
          group.objectBytes += own.objectBytes
          change({ requests: 1, joinSum: now })
        }
        return decide(group, own, NOTHING, now)
      },
      forward (now) {
        if (isClosed || group === undefined) return { admitted: true }
        const decision = decide(group, own, FORWARDED_REQUEST, now)
        if (decision.admitted) change(FORWARDED_REQUEST)
        return decision
      },
      close () {
        if (isClosed) return
        isClosed = true
        change({
          objectBytes: -own.objectBytes, requests: -own.requests, forwarded: -own.forwarded, joinSum: -own.joinSum
        })
        if (name !== undefined && group?.requests === 0) groups.delete(name)
      }
    }
  }

  return {
    open,
    isTight: () => all.objectBytes > bounds.objectBytes * TIGHT_PART || all.forwarded > bounds.forwarded * TIGHT_PART,
    objectBytes: () => all.objectBytes,
    forwarded: () => all.forwarded,
    bounds
  }
}
