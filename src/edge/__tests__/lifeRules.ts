/** What must hold for every request, whatever the schedule; from the rules LOST, TWICE, REFUSED, BUDGET and ORDER. */
import { Obstacle } from '../attemptDecision'
import { handledRequest, holderOfKey, isStoreAway, type HandledRequest } from './lifeChanges'
import { RequestKind } from './lifeSchedule'
import type { LifeOutcome } from './lifeSimulation'
import type { CallerEnding, CallerView } from './simulatedCallers'
import { AttemptEnd, type SimulatedAttempt } from './simulatedUpstreams'

/** A request ends with the check that follows its time limit. */
const LIMIT_SLACK_MS = 100
/** Longest time for which two upstreams may work on one stream. */
const MAXIMUM_OVERLAP_MS = 400
/** As in gracefulStop. */
const STOP_MARGIN_MS = 500
const NOT_EXECUTED_STATUSES: readonly number[] = [408, 421, 429, 503]
const SINGLE_RUN_KINDS: readonly RequestKind[] = [RequestKind.unsafe, RequestKind.plainStream]
const STREAM_KINDS: readonly RequestKind[] = [RequestKind.resumableStream, RequestKind.plainStream]
const OWN_ENDS: ReadonlyArray<AttemptEnd | undefined> = [AttemptEnd.brokeOff, AttemptEnd.failed]
const UNSENT_ENDS: ReadonlyArray<AttemptEnd | undefined> = [AttemptEnd.refused, AttemptEnd.notSent]

/** One request, from its caller to its upstreams. */
export interface Life {
  outcome: LifeOutcome
  /** The request as the configuration of its arrival handles it. */
  request: HandledRequest
  caller: CallerView
  attempts: readonly SimulatedAttempt[]
}

/** Returns what is wrong with one request; undefined if nothing is. */
export type Rule = (life: Life) => string | undefined

function endOf ({ caller }: Life): CallerEnding {
  return caller.endings[0] ?? { at: Infinity, isCut: false, obstacle: undefined, hasCrash: false }
}

function limitOf ({ request }: Life): number {
  return request.at + request.limit
}

function isStream ({ request }: Life): boolean {
  return STREAM_KINDS.includes(request.kind)
}

/** Whether the request ended because its customer no longer holds its key, and that is so. */
function isKeyWithdrawn ({ outcome: { schedule }, request }: Life, { at }: CallerEnding): boolean {
  return request.needsKey && holderOfKey(schedule, at) !== holderOfKey(schedule, request.at)
}

/** Whether the instance has stopped, but for the time in which its last responses are sent. */
function isAfterStop ({ outcome: { schedule: { stop } } }: Life, { at }: CallerEnding): boolean {
  return stop !== undefined && at >= stop.at + stop.grace - STOP_MARGIN_MS
}

/** The obstacles that may end an owed request before its time limit, and when they may. */
const ACCEPTED_OBSTACLES: Readonly<Partial<Record<Obstacle, (life: Life, ending: CallerEnding) => boolean>>> = {
  [Obstacle.key]: isKeyWithdrawn,
  // A request that an upstream lost and that may crash upstreams would crash the next one, with all other requests there.
  [Obstacle.crashes]: (life, { hasCrash }) => hasCrash && hasFailedAttempt(life),
  [Obstacle.stopping]: isAfterStop
}

function mayEnd (life: Life): boolean {
  const ending = endOf(life)
  return ending.obstacle !== undefined && ACCEPTED_OBSTACLES[ending.obstacle]?.(life, ending) === true
}

function endedAt ({ endedAt: time = Infinity }: SimulatedAttempt): number {
  return time
}

/** Whether an upstream has begun to run the request, or will. */
function hasBegun ({ begunAt, beginsLater }: SimulatedAttempt): boolean {
  return begunAt !== undefined || beginsLater === true
}

function isReplaced (attempt: SimulatedAttempt, { attempts }: Life): boolean {
  const time = endedAt(attempt)
  return attempts.some((other) => other !== attempt && (other.headAt ?? Infinity) <= time && endedAt(other) >= time)
}

function findUnreplaced (life: Life, before: number): SimulatedAttempt | undefined {
  return life.attempts.find((attempt) => (
    attempt.end === AttemptEnd.cancelled && endedAt(attempt) < before && !isReplaced(attempt, life)
  ))
}

/** Whether the only attempt left was ended by its upstream, and the request may not run once more. */
function endedByUpstreams (life: Life): boolean {
  const { request, attempts } = life
  const sent = attempts.filter(({ end }) => !UNSENT_ENDS.includes(end))
  const last = sent.reduce((one, other) => endedAt(other) >= endedAt(one) ? other : one)
  const mayNotRunAgain = SINGLE_RUN_KINDS.includes(request.kind) || sent.length >= request.maximumAttempts
  return OWN_ENDS.includes(last.end) && mayNotRunAgain && findUnreplaced(life, last.endedAt!) === undefined
}

function endsOnce (life: Life): string | undefined {
  const { caller: { endings, status, body }, request, outcome: { faults } } = life
  if (faults.length > 0) return `the instance has a fault: ${String(faults[0])}`
  if (endings.length !== 1) return `it ends ${endings.length} times`
  const { at, isCut } = endOf(life)
  if (at > limitOf(life) + LIMIT_SLACK_MS) return `it ends ${at - limitOf(life)} ms after its time limit`
  if (status !== 200) return isCut ? 'it is cut before any response' : undefined
  if (!isStream(life)) return body === 'ok' && !isCut ? undefined : `the response is '${body}'`
  const events = [...body.matchAll(/id: (\d+)\n/g)].map(([, number]) => Number(number))
  if (events.some((number, index) => number !== index + 1)) return `the events are ${events.join()}`
  return isCut || events.length === request.events ? undefined : `only ${events.length} events arrive`
}

function describeCut (life: Life): string | undefined {
  const { at, isCut, obstacle } = endOf(life)
  if (!isCut || life.caller.headAt === undefined || at >= limitOf(life)) return undefined
  if (mayEnd(life) || endedByUpstreams(life)) return undefined
  return `a begun stream is cut with ${limitOf(life) - at} ms left because of ${obstacle}`
}

function hasFailedAttempt ({ attempts }: Life): boolean {
  return attempts.some(({ end }) => OWN_ENDS.includes(end))
}

function isNotCutAtSoundUpstreams (life: Life): string | undefined {
  return hasFailedAttempt(life) ? undefined : describeCut(life)
}

/** Stricter than LOST, which excuses any cut after an upstream broke off. */
function isNotCutAfterFailure (life: Life): string | undefined {
  return hasFailedAttempt(life) ? describeCut(life) : undefined
}

function isNotGivenUp (life: Life): string | undefined {
  const attempt = findUnreplaced(life, endOf(life).at)
  return attempt === undefined ? undefined : `the attempt at ${attempt.upstream} is cancelled at ${endedAt(attempt)} ms without a successor that answers`
}

function isNotRunTwiceAtOnce (life: Life): string | undefined {
  if (!isStream(life)) return undefined
  const running = life.attempts.filter(({ begunAt }) => begunAt !== undefined)
  for (const one of running) {
    for (const other of running) {
      const overlap = Math.min(endedAt(one), endedAt(other)) - Math.max(one.begunAt!, other.begunAt!)
      if (one !== other && one.upstream !== other.upstream && overlap > MAXIMUM_OVERLAP_MS) {
        return `${one.upstream} and ${other.upstream} work on it for ${overlap} ms`
      }
    }
  }
  return undefined
}

function keepsAttempts (life: Life): string | undefined {
  const { request: { kind, maximumAttempts }, attempts } = life
  const begun = attempts.filter(hasBegun)
  if (SINGLE_RUN_KINDS.includes(kind) && begun.length > 1) return `it begins ${begun.length} times`
  const counted = new Set(begun.filter(({ end }) => end !== AttemptEnd.brokeOff).map(({ upstream }) => upstream))
  return counted.size > maximumAttempts ? `it begins at ${counted.size} upstreams` : undefined
}

function promisesTrue (life: Life): string | undefined {
  const { caller: { status }, attempts } = life
  const isPromise = status !== undefined && NOT_EXECUTED_STATUSES.includes(status)
  return isPromise && attempts.some(hasBegun) ? `it is answered ${status} and has begun or will` : undefined
}

/** Checked for each repeated arrival, in the window that ends with it. */
function keepsAllowance ({ outcome: { schedule, attempts } }: Life): string | undefined {
  const { window, ratio, extra } = schedule.allowance
  const allowed = schedule.requests.filter((_request, index) => handledRequest(schedule, index).isAllowed)
  const arrivals = attempts.filter(({ connectedAt }) => connectedAt !== undefined)
  const repeated = arrivals.filter(({ request }, index) => (
    arrivals.findIndex((other) => other.request === request) < index
  ))
  const times = repeated.map(({ connectedAt }) => connectedAt!)
  for (const end of times) {
    const count = times.filter((time) => time > end - window && time <= end).length
    const requests = Math.max(...[0, 0.5, 1].map((shift) => {
      const windowEnd = end - shift * window
      return allowed.filter(({ at }) => at > windowEnd - window && at <= windowEnd).length
    }))
    if (count > ratio * requests + extra) return `${count} repeated arrivals at ${requests} requests within ${window} ms`
  }
  return undefined
}

function awaitsFirstAnswer (life: Life): string | undefined {
  const { request: { kind }, caller: { status }, attempts } = life
  const { at } = endOf(life)
  if (kind !== RequestKind.safe || status !== 502 || at >= limitOf(life)) return undefined
  if (mayEnd(life) || hasFailedAttempt(life)) return undefined
  const first = attempts.find(({ end }) => !UNSENT_ENDS.includes(end))
  const wouldAnswer = (first?.completesAt ?? Infinity) < limitOf(life)
  return wouldAnswer ? `it is answered 502 at ${at} ms, its first upstream would answer at ${first!.completesAt} ms` : undefined
}

/** From the rules CONFIG and ROUTE: requests that arrive after a change are handled as it says. */
function followsConfiguration (life: Life): string | undefined {
  const { request: { isAllowed }, attempts, caller: { status } } = life
  if (isAllowed) return status === 401 || status === 404 ? `it is answered ${status} although it is allowed` : undefined
  return attempts.length > 0 ? 'it is sent to an upstream that its configuration does not name' : undefined
}

/** From the rules CONFIG (strictRevocation) and UNASKED; stricter than CONFIG, which concerns requests that are new. */
function usesValidKey ({ outcome: { schedule }, request, attempts }: Life): string | undefined {
  if (!request.needsKey) return undefined
  const { outage } = schedule
  const sent = attempts.find(({ openedAt }) => (
    holderOfKey(schedule, openedAt) !== holderOfKey(schedule, request.at) ||
    (isStoreAway(schedule, openedAt) && openedAt - outage!.from > outage!.revocation)
  ))
  return sent === undefined ? undefined : `it is sent to ${sent.upstream} at ${sent.openedAt} ms without a valid key`
}

/** From the rule DRAIN. */
function isNotSentToLeaving ({ outcome: { schedule: { departures } }, attempts }: Life): string | undefined {
  for (const { from, length, returnsAfter, upstreams } of departures) {
    const sent = attempts.find(({ upstream, openedAt }) => (
      upstreams.includes(upstream) && openedAt > from && openedAt < from + length + returnsAfter
    ))
    if (sent !== undefined) return `it is sent to ${sent.upstream}, which is leaving, at ${sent.openedAt} ms`
  }
  return undefined
}

function endsAttempts (life: Life): string | undefined {
  const { at } = endOf(life)
  const remaining = life.attempts.find((attempt) => attempt.openedAt > at || endedAt(attempt) > at)
  return remaining === undefined || at === Infinity ? undefined : `the attempt at ${remaining.upstream} goes on`
}

export const LIFE_RULES: Readonly<Record<string, Rule>> = {
  'ends once, in time, with a whole answer, a refusal or a cut': endsOnce,
  'is not cut once its stream has begun at sound upstreams': isNotCutAtSoundUpstreams,
  'is not cut after an upstream failed it if its route permits another attempt': isNotCutAfterFailure,
  'is not given up at an upstream before another one answers': isNotGivenUp,
  'is not worked on by two upstreams for long if it is a stream': isNotRunTwiceAtOnce,
  'begins at no more upstreams than its route permits': keepsAttempts,
  'is answered as not run only if it does not run': promisesTrue,
  'is repeated within the allowance': keepsAllowance,
  'is answered by its first upstream if the others refuse it': awaitsFirstAnswer,
  'is handled by the configuration in force when it arrives': followsConfiguration,
  'is sent only while its key is known to be valid': usesValidKey,
  'is not sent to an upstream that leaves': isNotSentToLeaving,
  'leaves no attempt behind': endsAttempts
}

/** For schedules without any trouble of the upstreams. */
export function isUndisturbed (life: Life): string | undefined {
  const { request: { isAllowed }, attempts, caller: { status } } = life
  const { at, isCut, obstacle } = endOf(life)
  if (!isAllowed || at >= limitOf(life)) return undefined
  // Refused at once: the customer is beyond its rate, or the upstreams cannot keep up.
  if (attempts.length === 0 && obstacle === undefined && (status === 429 || status === 503)) return undefined
  return status === 200 && !isCut ? undefined : `it ends with ${status} at ${at} ms because of ${obstacle}`
}

export function livesOf (outcome: LifeOutcome): Life[] {
  return outcome.schedule.requests.map((_request, index) => ({
    outcome,
    request: handledRequest(outcome.schedule, index),
    caller: outcome.callers[index]!,
    attempts: outcome.attempts.filter((attempt) => attempt.request === index)
  }))
}

/** Returns what is wrong with the requests of a schedule, by the given rule. */
export function findViolations (outcome: LifeOutcome, rule: Rule): string[] {
  return livesOf(outcome).flatMap((life, index) => {
    const violation = rule(life)
    return violation === undefined ? [] : [`request ${index}: ${violation}`]
  })
}
