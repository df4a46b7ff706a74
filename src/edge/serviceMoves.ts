/**
 * Moves of a service's traffic to a new version of its software: which upstreams a request may use, and when the holder
 * of the lease sends more traffic to the new version, completes the move or takes it back.
 *
 * Load patterns:
 * - A version that fails or is slow at once, on one route, or under load: the share grows in steps while answers of both
 *   versions are compared, so that little traffic has met the fault by the time it shows.
 * - A version that fails under all traffic only: the old version runs on until all answers have been judged for a while.
 * - The holder of the lease is lost: without news all traffic goes back to the old version, which still runs. The next
 *   holder judges the share that it finds for as long as if it had set it.
 * - The old upstreams stop when the move completes: their running requests end before.
 */
import type { MonotonicMilliseconds } from '../types'
import type { Upstream } from './upstreamDirectory'
import { MoveState, type ServiceMoveRequest, type ServiceMoveStatus } from './types'

/** Shares of the traffic on the new version, in order. */
const SHARES: readonly number[] = [0.08, 0.25, 0.5, 1]
/** Part of the move's time that the first share takes; most faults show then. */
const FIRST_SHARE_PART = 0.2
/** Part of the move's time that each later share takes. */
const LATER_SHARE_PART = 0.08
/** Shortest milliseconds at a share; samples of all instances arrive about once a second. */
const SHORTEST_STEP_MS = 1500
/** Part of the move's time for which the last requests of the old version are waited for; their instances may be away. */
const DRAIN_PART = 0.25
/** Upstreams of the new version, as a part of the old ones, from which it gets traffic. */
const FIRST_SHARE_UPSTREAMS = 0.3
/** The same from which it gets all traffic. */
const FULL_SHARE_UPSTREAMS = 0.75
/** Milliseconds for which the word of the holder of the lease counts; it speaks several times in this. */
const NEWS_MS = 2000

/** What the holder of the lease tells the others of a move. */
export interface MoveNews {
  service: string
  toVersion: string
  state: MoveState
  share: number
  /** The end of the move stands in the store. */
  reported: boolean
}

/** What the holder of the lease knows when it decides the next step. */
export interface MoveFacts {
  /** A fault of the new version has shown; text for the log. */
  fault: string | undefined
  /** Nothing leans towards a fault. */
  clear: boolean
  /** Requests that run on the old version at all instances; undefined while some have not answered. */
  oldInFlight: number | undefined
  oldUpstreams: number
  newUpstreams: number
}

export type MoveStep = { kind: 'share', share: number } | { kind: 'complete' } | { kind: 'takeBack', reason: string }

interface Move {
  request: ServiceMoveRequest
  /** Version of the row that asked for the move. */
  rowVersion: number
  /** Undefined while it is not known whether the move has begun or ended. */
  state: MoveState | undefined
  reported: boolean
  share: number
  toldAt: MonotonicMilliseconds
  /** When the holder of the lease set the present share. */
  shareSince: MonotonicMilliseconds
}

export interface ServiceMoves {
  /** Takes in a request of the operator; false for one that is known. */
  request: (request: ServiceMoveRequest, rowVersion: number, now: MonotonicMilliseconds) => boolean
  /** Takes in the stored status of a service; undefined when there is none. */
  takeStatus: (service: string, status: ServiceMoveStatus | undefined, rowVersion: number) => void
  /** Takes in the word of the holder of the lease. */
  takeNews: (news: MoveNews, now: MonotonicMilliseconds) => void
  /** Services whose moves have not ended, or whose end is not stored yet, as far as this instance knows. */
  pending: () => string[]
  /** A move of the service is asked for and has not ended. */
  isMoving: (service: string) => boolean
  requestOf: (service: string) => ServiceMoveRequest | undefined
  isNew: (upstream: Upstream) => boolean
  /**
   * The upstreams that a request may use.
   * @param draw uniform in [0, 1), the same for all attempts of a request
   */
  permitted: (
    service: string, upstreams: readonly Upstream[], draw: number, now: MonotonicMilliseconds
  ) => readonly Upstream[]
  /**
   * This instance begins to carry the move out. It has not judged the present share yet, and when nobody has told it the
   * share lately, all instances have gone back to the old version.
   */
  takeUp: (service: string, now: MonotonicMilliseconds) => void
  /** The holder of the lease stands by its shares; called as often as it tells them to the others. */
  renew: (now: MonotonicMilliseconds) => void
  /** What the holder of the lease does next; undefined while it waits. */
  nextStep: (service: string, facts: MoveFacts, now: MonotonicMilliseconds) => MoveStep | undefined
  /** The holder of the lease has set the share. */
  setShare: (service: string, share: number, now: MonotonicMilliseconds) => void
  /** Ends the move for the requests of this instance. */
  end: (service: string, state: MoveState) => void
  /** How the move ended; undefined while it goes on. */
  endOf: (service: string) => MoveState | undefined
  /** The end is stored. */
  reported: (service: string) => void
  /** What the holder of the lease tells the others. */
  news: () => MoveNews[]
  /** Forgets the shares, when this instance loses the lease. */
  reset: () => void
}

/** Undefined for what is no news of a move. */
export function readMoveNews (content: Readonly<Record<string, unknown>>): MoveNews | undefined {
  const { service, toVersion, state, share, reported } = content
  const known = Object.values(MoveState).find((one) => one === state)
  if (typeof service !== 'string' || typeof toVersion !== 'string' || known === undefined) return undefined
  if (typeof share !== 'number' || share < 0 || share > 1 || typeof reported !== 'boolean') return undefined
  return { service, toVersion, state: known, share, reported }
}

function hasEnded (move: Move): boolean {
  return move.state === MoveState.completed || move.state === MoveState.takenBack
}

export function createServiceMoves (): ServiceMoves {
  const moves = new Map<string, Move>()

  function isNew ({ entry }: Upstream): boolean {
    return entry.softwareVersion === moves.get(entry.service)?.request.toVersion
  }

  /** Those that are preferred, or the rest when there are none. */
  function prefer (upstreams: readonly Upstream[], isPreferred: (upstream: Upstream) => boolean): readonly Upstream[] {
    const preferred = upstreams.filter(isPreferred)
    return preferred.length > 0 ? preferred : upstreams
  }

  function dwellTime (move: Move): number {
    const part = move.share === SHARES[0] ? FIRST_SHARE_PART : LATER_SHARE_PART
    return Math.max(SHORTEST_STEP_MS, move.request.duration * part)
  }

  /** The share by which this instance goes. */
  function currentShare ({ share, toldAt }: Move, now: MonotonicMilliseconds): number {
    return now - toldAt < NEWS_MS ? share : 0
  }

  function stepAtFullShare (move: Move, { oldInFlight }: MoveFacts, atShare: number): MoveStep | undefined {
    const isDrained = oldInFlight === 0 || atShare >= move.request.duration * DRAIN_PART
    return isDrained && atShare >= dwellTime(move) ? { kind: 'complete' } : undefined
  }

  return {
    request (request, rowVersion, now) {
      const present = moves.get(request.service)
      if (present !== undefined && present.rowVersion >= rowVersion) return false
      const unknown = { state: undefined, reported: false, share: 0, toldAt: -Infinity, shareSince: now }
      moves.set(request.service, { request, rowVersion, ...unknown })
      return true
    },
    takeStatus (service, status, rowVersion) {
      const move = moves.get(service)
      if (move === undefined) return
      // A status that is older than the request belongs to a move before it.
      const isOwn = status?.toVersion === move.request.toVersion && rowVersion > move.rowVersion
      if (!hasEnded(move)) move.state = isOwn ? status.state : MoveState.running
      move.reported = isOwn && hasEnded(move) && status.state === move.state
    },
    takeNews ({ service, toVersion, state, share, reported }, now) {
      const move = moves.get(service)
      if (move?.request.toVersion !== toVersion) return
      if (!hasEnded(move)) Object.assign(move, { state, share, toldAt: now })
      if (state === move.state) move.reported ||= reported
    },
    pending: () => [...moves.values()].filter((move) => !move.reported).map(({ request }) => request.service),
    isMoving (service) {
      const move = moves.get(service)
      return move !== undefined && !hasEnded(move)
    },
    requestOf: (service) => moves.get(service)?.request,
    isNew,
    permitted (service, upstreams, draw, now) {
      const move = moves.get(service)
      if (move === undefined) return upstreams
      if (move.state === MoveState.takenBack) return upstreams.filter((upstream) => !isNew(upstream))
      const goesToNew = move.state === MoveState.completed || draw < currentShare(move, now)
      return prefer(upstreams, (upstream) => isNew(upstream) === goesToNew)
    },
    takeUp (service, now) {
      const move = moves.get(service)
      if (move !== undefined) Object.assign(move, { share: currentShare(move, now), shareSince: now })
    },
    renew (now) {
      for (const move of moves.values()) move.toldAt = now
    },
    nextStep (service, facts, now) {
      const move = moves.get(service)
      if (move === undefined || hasEnded(move)) return undefined
      if (facts.fault !== undefined) return { kind: 'takeBack', reason: facts.fault }
      const next = SHARES.find((share) => share > move.share)
      const atShare = now - move.shareSince
      if (next === undefined) return facts.clear ? stepAtFullShare(move, facts, atShare) : undefined
      const needed = move.share === 0 ? FIRST_SHARE_UPSTREAMS : next * FULL_SHARE_UPSTREAMS
      if (facts.newUpstreams < Math.max(1, facts.oldUpstreams * needed)) return undefined
      if (move.share > 0 && (!facts.clear || atShare < dwellTime(move))) return undefined
      return { kind: 'share', share: next }
    },
    setShare (service, share, now) {
      const move = moves.get(service)
      if (move !== undefined) Object.assign(move, { share, shareSince: now, toldAt: now })
    },
    end (service, state) {
      const move = moves.get(service)
      if (move !== undefined) move.state = state
    },
    endOf (service) {
      const move = moves.get(service)
      return move !== undefined && hasEnded(move) ? move.state : undefined
    },
    reported (service) {
      const move = moves.get(service)
      if (move !== undefined) move.reported = true
    },
    news: () => [...moves.values()].flatMap(({ request: { service, toVersion }, state, share, reported }) => (
      state === undefined ? [] : [{ service, toVersion, state, share, reported }]
    )),
    reset () {
      for (const move of moves.values()) Object.assign(move, { share: 0, toldAt: -Infinity })
    }
  }
}
