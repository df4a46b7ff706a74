/**
 * One account of the bytes that a process holds for callers and upstreams, and what it gives up at their bound.
 *
 * Load pattern: see `relief.ts`. The account has no sockets and no clock; those who hold bytes record them, and are told when
 * to give them up.
 */
import type { MonotonicMilliseconds } from '../../types'
import { largestStalled, longestInput, newestIncomplete, STALLED_MS, STALLED_UNDER_PRESSURE_MS } from './relief'
import { createRequestShares, FORWARDED_REQUEST, type RequestBounds, type RequestShares, type ShareDecision } from './requestShares'

/** What bytes are held for. */
export const HeldKind = {
  /** Bytes of callers that are not a whole head yet, or that wait until their connection is read further. */
  input: 'input',
  /** Heads of requests without an answer that was read, and the objects that belong to them. */
  request: 'request',
  /** Objects of requests that are being forwarded, their connections to upstreams included. */
  forwarded: 'forwarded',
  /** Bodies that are being read, or that were read and whose requests are in progress. */
  body: 'body',
  /** Answers that their callers have not read. */
  answer: 'answer',
  /** Answers of upstreams that are forwarded only when they are complete. */
  upstreamAnswer: 'upstream_answer',
  /** Events of streams that are not complete yet. */
  partialEvent: 'partial_event'
} as const
export type HeldKind = typeof HeldKind[keyof typeof HeldKind]

/** Part of the bound from which on connections are read more slowly. */
const TIGHT_PART = 0.5
/** Part of the bound from which on connections without progress are closed early. */
const PRESSURE_PART = 0.75
/** Part of the bound for bytes that belong to no request: the parser copies heads as they grow, which fragments memory. */
const UNWANTED_PART = 0.25
/** Part of the bound that only small requests may use beyond it, so that they are served beside large ones. */
const RESERVE_PART = 0.25

/** What a connection gives up. */
export interface ConnectionRelease {
  /** Closes the connection, whose caller does not read or does not send the rest of a request. */
  close: () => void
  /** Discards what the caller has sent beyond the requests in progress, and closes the connection after their responses. */
  refuseInput: () => void
}

export interface HeldRequest {
  /** Records objects of the request on the heap, in bytes. */
  addObjects: (bytes: number, now: MonotonicMilliseconds) => void
  /**
   * Decides whether the request may be in progress, and counts it for a group at the first call.
   * @param group requests that share what they use: those of one customer
   */
  join: (group: string, now: MonotonicMilliseconds) => ShareDecision
  /** Decides whether the request may be forwarded to an upstream. */
  forward: (now: MonotonicMilliseconds) => ShareDecision
  /** Records more bytes, or fewer for a negative number. At the bound, requests may be refused and connections closed. */
  add: (kind: HeldKind, bytes: number, now: MonotonicMilliseconds) => void
  /**
   * The body is being read from now on: the request has not run, and `refuse` may be called to refuse it.
   * @param refuse called at most once
   */
  startBody: (refuse: () => void) => void
  /** The body has been read, or is not needed. */
  endBody: () => void
  /** Refuses the request if its body is being read; returns whether it did. */
  refuse: () => boolean
  /** Nothing is held for the request any more. */
  close: () => void
}

export interface HeldConnection {
  openRequest: (now: MonotonicMilliseconds) => HeldRequest
  /**
   * Sets the number of bytes that have been received and not read as requests.
   * @param unwanted those that belong to no request in progress, and may be given up
   */
  setInput: (bytes: number, unwanted: number, now: MonotonicMilliseconds) => void
  /** Records that the caller has sent bytes that were waited for, or has taken bytes. */
  recordProgress: (now: MonotonicMilliseconds) => void
  bytes: () => number
  close: () => void
}

export interface MemoryAccount {
  openConnection: (release: ConnectionRelease, now: MonotonicMilliseconds) => HeldConnection
  /** Records bytes that belong to no request of a caller; a negative number records that they are released. */
  add: (kind: HeldKind, bytes: number, now: MonotonicMilliseconds) => void
  /** Whether so much is held, or so many requests are in progress, that only connections without one are read. */
  isTight: () => boolean
  /** Closes connections without progress while much is held. To be called several times per second. */
  sweep: (now: MonotonicMilliseconds) => void
  /** Closes the connection without progress that holds the most, if there is one. */
  shedStalled: (now: MonotonicMilliseconds) => void
  heldBytes: () => number
  heldByKind: () => ReadonlyMap<HeldKind, number>
  /** Maximum number of bytes. */
  bound: number
  /** What requests in progress need besides these bytes. */
  shares: Pick<RequestShares, 'objectBytes' | 'forwarded' | 'bounds'>
}

export interface MemoryAccountOptions {
  /** Maximum number of bytes. */
  bound: number
  /**
   * Number of requests beyond which each connection may have only one in progress: each may need a connection to an upstream.
   * @default Infinity
   */
  maxRequests?: number
  /** Bounds of what requests in progress need besides these bytes. @default none */
  requestBounds?: RequestBounds
}

const UNBOUNDED: RequestBounds = { objectBytes: Infinity, forwarded: Infinity }

interface OpenConnection {
  bytes: number
  /** Those of the bytes that have not been read as requests. */
  inputBytes: number
  /** Those that belong to no request in progress. */
  unwantedBytes: number
  progressAt: MonotonicMilliseconds
  release: ConnectionRelease
  isReleased: boolean
}

interface OpenRequest {
  connection: OpenConnection
  openedAt: MonotonicMilliseconds
  bytes: number
  /** Refuses the request; undefined unless its body is being read. */
  refuse: (() => void) | undefined
}

export function createMemoryAccount (
  { bound, maxRequests = Infinity, requestBounds = UNBOUNDED }: MemoryAccountOptions
): MemoryAccount {
  const shares = createRequestShares(requestBounds)
  const connections = new Set<OpenConnection>()
  /** Requests whose bodies are being read. */
  const incomplete = new Set<OpenRequest>()
  const byKind = new Map<HeldKind, number>(Object.values(HeldKind).map((kind) => [kind, 0]))
  let total = 0
  /** Bytes of connections that are being closed; they are released when the connections have ended. */
  let releasing = 0
  /** Bytes that belong to no request, on connections that are not being closed. */
  let unwantedBytes = 0
  let requests = 0

  /** Whether more than this part of the bound is held, without what closed connections will release. */
  function exceeds (part: number): boolean {
    return total - releasing > bound * part
  }

  function count (kind: HeldKind, bytes: number): void {
    total += bytes
    byKind.set(kind, byKind.get(kind)! + bytes)
  }

  function changeBytes (connection: OpenConnection, kind: HeldKind, bytes: number): void {
    connection.bytes += bytes
    if (connection.isReleased) releasing += bytes
    count(kind, bytes)
  }

  function refuse (request: OpenRequest): void {
    incomplete.delete(request)
    const { refuse: refuseRequest } = request
    request.refuse = undefined
    // Its connection is closed after the refusal, which the caller may read until then.
    markReleased(request.connection)
    refuseRequest?.()
  }

  function unreleased (): OpenConnection[] {
    return [...connections].filter(({ isReleased }) => !isReleased)
  }

  /** Counts the connection's bytes as released, which they are once it has been closed. */
  function markReleased (connection: OpenConnection): void {
    if (connection.isReleased) return
    connection.isReleased = true
    releasing += connection.bytes
    unwantedBytes -= connection.unwantedBytes
  }

  function closeStalled (now: MonotonicMilliseconds, stalledMs: number): boolean {
    const stalled = largestStalled(unreleased(), now, stalledMs)
    if (stalled === undefined) return false
    markReleased(stalled)
    stalled.release.close()
    return true
  }

  /** Gives up the longest input; returns whether there was one. */
  function refuseLongest (): boolean {
    const longest = longestInput(unreleased())
    if (longest === undefined) return false
    markReleased(longest)
    longest.release.refuseInput()
    return true
  }

  /** Gives up the newest incomplete request; returns whether there was one. */
  function refuseNewest (): boolean {
    const newest = newestIncomplete(incomplete)
    if (newest !== undefined) refuse(newest)
    return newest !== undefined
  }

  /** Gives up what can be given up until the bytes are within the bound. */
  function relieve (adding: OpenRequest | undefined, now: MonotonicMilliseconds): void {
    while (exceeds(1)) {
      if (!refuseNewest() && !refuseLongest() && !closeStalled(now, STALLED_MS)) break
    }
    if (exceeds(1 + RESERVE_PART) && adding?.refuse !== undefined) refuse(adding)
  }

  function openRequest (connection: OpenConnection, openedAt: MonotonicMilliseconds): HeldRequest {
    const held = new Map<HeldKind, number>()
    const request: OpenRequest = { connection, openedAt, bytes: 0, refuse: undefined }
    const share = shares.open()
    let isClosed = false
    requests += 1

    function change (kind: HeldKind, bytes: number): void {
      held.set(kind, (held.get(kind) ?? 0) + bytes)
      request.bytes += bytes
      changeBytes(connection, kind, bytes)
    }

    function add (kind: HeldKind, bytes: number, now: MonotonicMilliseconds): void {
      if (isClosed) return
      change(kind, bytes)
      if (bytes > 0 && exceeds(1)) relieve(request, now)
    }

    return {
      add,
      addObjects (bytes, now) {
        share.addObjects(bytes)
        add(HeldKind.request, bytes, now)
      },
      join: share.join,
      forward (now) {
        const decision = share.forward(now)
        if (decision.admitted) add(HeldKind.forwarded, FORWARDED_REQUEST.objectBytes, now)
        return decision
      },
      startBody (refuseRequest) {
        if (isClosed) return
        request.refuse = refuseRequest
        incomplete.add(request)
      },
      endBody () {
        request.refuse = undefined
        incomplete.delete(request)
      },
      refuse () {
        const isIncomplete = request.refuse !== undefined
        if (isIncomplete) refuse(request)
        return isIncomplete
      },
      close () {
        if (isClosed) return
        isClosed = true
        requests -= 1
        incomplete.delete(request)
        share.close()
        for (const [kind, bytes] of held) change(kind, -bytes)
      }
    }
  }

  return {
    openConnection (release, now) {
      const connection: OpenConnection = {
        bytes: 0, inputBytes: 0, unwantedBytes: 0, progressAt: now, release, isReleased: false
      }
      connections.add(connection)

      function setInput (bytes: number, unwanted: number): number {
        const added = bytes - connection.inputBytes
        if (!connection.isReleased) unwantedBytes += unwanted - connection.unwantedBytes
        connection.inputBytes = bytes
        connection.unwantedBytes = unwanted
        changeBytes(connection, HeldKind.input, added)
        return added
      }

      return {
        openRequest: (openedAt) => openRequest(connection, openedAt),
        setInput (bytes, unwanted, at) {
          if (!connections.has(connection) || setInput(bytes, unwanted) <= 0) return
          if (unwantedBytes > bound * UNWANTED_PART) refuseLongest()
          if (exceeds(1)) relieve(undefined, at)
        },
        recordProgress (progressAt) { connection.progressAt = progressAt },
        bytes: () => connection.bytes,
        close () {
          setInput(0, 0)
          connections.delete(connection)
        }
      }
    },
    add (kind, bytes, now) {
      count(kind, bytes)
      if (bytes > 0 && exceeds(1)) relieve(undefined, now)
    },
    isTight: () => exceeds(TIGHT_PART) || requests >= maxRequests || shares.isTight(),
    sweep (now) {
      while (exceeds(PRESSURE_PART) && closeStalled(now, STALLED_UNDER_PRESSURE_MS));
    },
    shedStalled (now) { closeStalled(now, STALLED_UNDER_PRESSURE_MS) },
    heldBytes: () => total,
    heldByKind: () => byKind,
    bound,
    shares
  }
}
