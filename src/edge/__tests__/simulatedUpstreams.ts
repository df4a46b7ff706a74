/** Upstreams that follow a schedule in virtual time. Takes the place of `callUpstream`. */
import type { IncomingMessage } from 'node:http'
import type { UpstreamCall, UpstreamCallEvents, UpstreamCallOptions } from '../upstreamCall'
import { REPEAT_RULES, type Period, type Schedule } from './lifeSchedule'
import { RepeatRule } from '../types'

/** Time on the way of each message. */
const TRANSIT_MS = 1

export const AttemptEnd = {
  /** The response is complete. */
  answered: 'answered',
  /** The upstream stated that it does not run the request. */
  refused: 'refused',
  /** The upstream answered 500. */
  failed: 'failed',
  /** The upstream reset the connection. */
  brokeOff: 'brokeOff',
  /** The connection was refused or did not open in time. */
  notSent: 'notSent',
  /** The instance cancelled the attempt. */
  cancelled: 'cancelled'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** One call of an upstream, as the upstream sees it. */
export interface SimulatedAttempt {
  request: number
  upstream: number
  openedAt: number
  connectedAt?: number
  /** When the upstream began to run the request. */
  begunAt?: number
  /** Whether a silent upstream begins after its end, because it reads the request before it notices the cancellation. */
  beginsLater?: boolean
  /** When the head of a response arrived that is no refusal or failure. */
  headAt?: number
  /** When a response that is no stream is complete, unless the attempt ends before. */
  completesAt?: number
  endedAt?: number
  end?: AttemptEnd
}

export interface SimulatedUpstreams {
  call: (options: UpstreamCallOptions, events: UpstreamCallEvents) => UpstreamCall
  reset: (upstream: number) => void
  /** Returns when the upstream goes on after the given time; the time itself if it is not silent then. */
  awakeAt: (upstream: number, time: number) => number
  attempts: readonly SimulatedAttempt[]
}

export function appliesAt ({ from, length, upstreams }: Period, upstream: number, time: number): boolean {
  return upstreams.includes(upstream) && time >= from && time < from + length
}

/** Whether the upstream has exited, and no other run has taken its place yet. */
function isGoneAfter ({ from, length, upstreams, returnsAfter }: Schedule['departures'][number], upstream: number, time: number): boolean {
  return appliesAt({ from: from + length, length: returnsAfter, upstreams }, upstream, time)
}

function headOf (statusCode: number, headers: Record<string, string>): IncomingMessage {
  const rawHeaders = Object.entries(headers).flat()
  return { statusCode, statusMessage: 'OK', headers, rawHeaders } as unknown as IncomingMessage
}

function readHeader (raw: readonly string[], name: string): string | undefined {
  const index = raw.indexOf(name)
  return index < 0 ? undefined : raw[index + 1]
}

export function createSimulatedUpstreams (schedule: Schedule, now: () => number): SimulatedUpstreams {
  const attempts: SimulatedAttempt[] = []
  const resets = new Map<SimulatedAttempt, () => void>()

  function awakeAt (upstream: number, time: number, periods: readonly Period[] = schedule.silences): number {
    const silence = periods.find((period) => appliesAt(period, upstream, time))
    return silence === undefined ? time : awakeAt(upstream, silence.from + silence.length, periods)
  }

  function call (options: UpstreamCallOptions, events: UpstreamCallEvents): UpstreamCall {
    const upstream = options.endpoint.port
    const identifier = readHeader(options.headers, 'request-id') ?? ''
    const request = Number(identifier)
    const { queue, work, pace } = schedule.upstreams[upstream]!
    const { kind, events: eventCount } = schedule.requests[request]!
    const attempt: SimulatedAttempt = { request, upstream, openedAt: now() }
    /** When the upstream would begin; undefined if it refuses the request. */
    let beginsAt: number | undefined
    let timer: NodeJS.Timeout | undefined
    const awake = (time: number): number => awakeAt(upstream, time)

    function at (time: number, action: () => void): void {
      timer = setTimeout(action, Math.max(0, time - now()))
    }
    function finish (end: AttemptEnd): boolean {
      if (attempt.end !== undefined) return false
      clearTimeout(timer)
      attempt.end = end
      attempt.endedAt = now()
      resets.delete(attempt)
      return true
    }
    function fail (end: AttemptEnd, reason: string): void {
      if (finish(end)) events.onFailure(reason, attempt.connectedAt !== undefined)
    }
    function refuse (status: number): void {
      // The instance may cancel the call when it has read the head.
      finish(AttemptEnd.refused)
      events.onHead(headOf(status, { 'request-id': identifier, 'not-run': '1', 'answered-by': `u${upstream}` }))
    }
    function respond (status: number): void {
      const isFailure = status >= 500
      if (!isFailure) attempt.headAt = now()
      events.onHead(headOf(status, { 'request-id': identifier, 'content-length': '2' }))
      if (attempt.end === undefined) events.onData(Buffer.from('ok'))
      if (finish(isFailure ? AttemptEnd.failed : AttemptEnd.answered)) events.onEnd()
      else if (isFailure) attempt.end = AttemptEnd.failed
    }
    /** @param dueAt when the event would be sent if the upstream were not silent */
    function sendEvent (number: number, dueAt: number): void {
      if (attempt.end !== undefined) return
      events.onData(Buffer.from(`id: ${number}\ndata: x\n\n`))
      if (attempt.end !== undefined) return
      if (number < eventCount) at(awake(dueAt + pace), () => { sendEvent(number + 1, dueAt + pace) })
      else if (finish(AttemptEnd.answered)) events.onEnd()
    }
    function begin (): void {
      attempt.begunAt = now()
      if (REPEAT_RULES[kind].repeat !== RepeatRule.stream) return at(awake(now() + work), () => { respond(200) })
      const first = Number(readHeader(options.headers, 'last-event-id') ?? 0) + 1
      attempt.headAt = now()
      events.onHead(headOf(200, { 'request-id': identifier, 'transfer-encoding': 'chunked' }))
      if (attempt.end !== undefined) return
      if (first > eventCount) return at(awake(now() + work), () => { if (finish(AttemptEnd.answered)) events.onEnd() })
      const dueAt = now() + work
      at(awake(dueAt), () => { sendEvent(first, dueAt) })
    }
    function onConnected (): void {
      const arrivedAt = now()
      attempt.connectedAt = arrivedAt
      events.onConnected?.()
      const includesArrival = (period: Period): boolean => appliesAt(period, upstream, arrivedAt)
      if (schedule.otherWeights.some(includesArrival)) return at(awake(arrivedAt + TRANSIT_MS), () => { refuse(421) })
      const full = schedule.full.find(includesArrival)
      if (full !== undefined) return at(awake(arrivedAt + full.wait + TRANSIT_MS), () => { refuse(503) })
      beginsAt = awake(arrivedAt + queue + TRANSIT_MS)
      if (schedule.failures.some(includesArrival)) {
        return at(beginsAt, () => {
          attempt.begunAt = now()
          respond(500)
        })
      }
      attempt.completesAt = awake(beginsAt + work)
      at(beginsAt, begin)
    }

    attempts.push(attempt)
    resets.set(attempt, () => { fail(AttemptEnd.brokeOff, 'the connection was reset') })
    const opensAt = awakeAt(upstream, now() + TRANSIT_MS, schedule.silences.filter(({ accepts }) => !accepts))
    const isGone = schedule.absences.some((period) => period.isOtherRun && appliesAt(period, upstream, now())) ||
      schedule.departures.some((departure) => isGoneAfter(departure, upstream, now()))
    if (isGone) at(now() + TRANSIT_MS, () => { fail(AttemptEnd.notSent, 'the connection was refused') })
    else if (opensAt - now() <= options.connectTimeout) at(opensAt, onConnected)
    else at(now() + options.connectTimeout, () => { fail(AttemptEnd.notSent, 'the connection did not open in time') })

    return {
      isConnectionReused: () => false,
      pause () {},
      resume () {},
      cancel () {
        if (!finish(AttemptEnd.cancelled)) return
        const isWaiting = beginsAt !== undefined && attempt.begunAt === undefined
        attempt.beginsLater = isWaiting && awake(now()) > now() && beginsAt! <= awake(now())
      }
    }
  }

  return {
    call,
    reset (upstream) {
      for (const [attempt, end] of [...resets]) if (attempt.upstream === upstream) end()
    },
    awakeAt,
    attempts
  }
}

let currentUpstreams: SimulatedUpstreams | undefined

/** Makes all calls of upstreams go to the given ones. */
export function useUpstreams (upstreams: SimulatedUpstreams): void {
  currentUpstreams = upstreams
}

/** Stands in for `callUpstream` of the module under test. */
export function callCurrentUpstream (options: UpstreamCallOptions, events: UpstreamCallEvents): UpstreamCall {
  return currentUpstreams!.call(options, events)
}
