/** The promises that the soak checks, over what callers and upstreams saw. Each check returns its violations. */

import { STREAM_COMMENT } from '../../standins/fleet/upstream'

/** One request as its caller saw it. Times are in milliseconds of one steady clock. */
export interface SeenRequest {
  identifier: string
  kind: 'stream' | 'safe' | 'unsafe'
  key: string
  /** Identity of the process that took it. */
  instance: string
  startedAt: number
  endedAt: number
  /** The whole request was written to an open connection. */
  isSent: boolean
  /** 0 when the connection broke before a status came. */
  status: number
  /** The answer ended as its framing says. */
  complete: boolean
  body: string
  /** Identifier that the answer repeats. */
  echoed: string | undefined
  /** The caller broke off by itself. */
  left: boolean
  path: string
  /** Number of the connection that it shared with the requests before and behind it, in order. */
  connection?: number
  /** When its last byte was written to that connection. */
  sentAt?: number
}

/** One run at an upstream. */
export interface SeenRun {
  identifier: string
  upstream: string
  /** Process of the upstream that ran it. */
  process: string
  startedAt: number
  /** Undefined while it goes on. */
  endedAt: number | undefined
  /** Key that the request bears. */
  key: string
  scope: string | undefined
  tokens: number
  path: string
  /** The upstream was to break this run, or its process ended while it went on. */
  isFaulted: boolean
}

/** Time in which a process of an upstream named a limit of requests per second. */
export interface NamedLimit {
  /** Process of the upstream, as in `SeenRun`. */
  process: string
  perSecond: number
  from: number
  until: number
}

/** Time in which the connections to a process of an upstream, or an instance, were disturbed. */
export interface Disturbance {
  /** Process of the upstream, or identity of the instance. */
  subject: string
  from: number
  until: number
}

export interface SeenOrder {
  /** Process that took the order; the orders of one process are in their order. */
  upstream: string
  holder: string
  token: number
}

export interface SoakHistory {
  requests: readonly SeenRequest[]
  runs: readonly SeenRun[]
  orders: readonly SeenOrder[]
  limits: readonly NamedLimit[]
  disturbances: readonly Disturbance[]
  /** Ends of the processes of upstreams. */
  ends: readonly Disturbance[]
  /** When each key was taken away. */
  revoked: ReadonlyMap<string, number>
  /** Limits of the customer that has one: tokens in any window. */
  quota: { key: string, window: number, tokens: number }
  /** Instances that were asked to stop, by process identity. */
  stopped: ReadonlyMap<string, number>
  /** Instances that were ended by force, by process identity. */
  killed: ReadonlyMap<string, number>
  /** Keys of customers that share nothing with others. */
  isolated: ReadonlySet<string>
  /** What instances have shown of their configurations, in order of time. */
  configurations: ReadonlyArray<{ instance: string, at: number, atLeast?: number, atMost?: number }>
  /** When upstreams crashed because of each deadly path, in order of time. */
  crashes: ReadonlyMap<string, readonly number[]>
  wholeStream: string
  wholeAnswer: string
}

/** Milliseconds within which a removed key stops working, as in the platform's settings. */
export const REVOCATION_MS = 5000
/** Milliseconds within which the run of a caller that has left ends: four pauses between events. */
export const LEFT_LIMIT_MS = 1000
/** Milliseconds before the end by force in which a stopping process may break off what it has taken. */
export const GRACE_MS = 4000

/** Milliseconds after which a limit that an upstream has named binds, and in a window of which it is checked. */
export const LIMIT_NOTICE_MS = 3000
const LIMIT_WINDOW_MS = 4000
/** Milliseconds after an answer with a limit from which its instance is held to it. */
const LIMIT_TOLD_MS = 500
/** Crashes after which a request is known to be deadly, milliseconds until all instances know, and requests after that. */
const DEADLY_CRASHES = 3
const DEADLY_NOTICE_MS = 3000
const MAX_DEADLY_REQUESTS = 3
/** Time limit in milliseconds of the routes of streams. */
export const STREAM_LIMIT_MS = 4000
/** Name of the plain service, with which the names of its upstreams begin, and time limit in milliseconds of its routes. */
export const PLAIN_SERVICE = 'orders'
export const PLAIN_LIMIT_MS = 1500
/** Milliseconds after a disturbance in which requests may still arrive late. */
const DISTURBED_MS = 1000

/** Milliseconds after the last byte of a request within which a connection may be closed that a router has not read. */
const CROSSING_MS = 200

type Check = (history: SoakHistory) => string[]

const wholeOf = ({ kind }: SeenRequest, history: SoakHistory): string => {
  return kind === 'stream' ? history.wholeStream : history.wholeAnswer
}

function runsByIdentifier (history: SoakHistory): Map<string, SeenRun[]> {
  const runs = new Map<string, SeenRun[]>()
  for (const run of history.runs) runs.set(run.identifier, [...(runs.get(run.identifier) ?? []), run])
  return runs
}

/** Whether something was disturbed in this time. */
function isDisturbed (history: SoakHistory, subject: string, from: number, until: number): boolean {
  return history.disturbances.some((one) => one.subject === subject && one.from < until && one.until > from)
}

/** When the router that took a request may break it off: its kill, or the end of its grace period. */
function endOfDuty ({ instance }: SeenRequest, { stopped, killed }: SoakHistory): number {
  return Math.min((stopped.get(instance) ?? Infinity) + GRACE_MS, killed.get(instance) ?? Infinity)
}

/** Statuses with which the router says that a request has not run. */
const NOT_RUN_STATUSES = new Set([400, 401, 403, 404, 408, 413, 421, 429, 431, 503])

export const SOAK_CHECKS: Readonly<Record<string, Check>> = {
  // An upstream may send comments between its events; they are passed on and carry no content.
  whole: (history) => history.requests
    .filter((request) => (
      request.status === 200 && request.complete && request.body.replaceAll(STREAM_COMMENT, '') !== wholeOf(request, history)
    ))
    .map(({ identifier, body }) => `${identifier} got an answer that is not whole: ${JSON.stringify(body.slice(-40))}`),

  // A silent or a full upstream is no excuse: the silent one goes on.
  begunStreams (history) {
    const runs = runsByIdentifier(history)
    return history.requests
      .filter(({ kind, status, complete, left }) => kind === 'stream' && status === 200 && !complete && !left)
      .filter((request) => {
        const { identifier, instance, startedAt, endedAt } = request
        const owedUntil = Math.min(endOfDuty(request, history), startedAt + STREAM_LIMIT_MS)
        return endedAt < owedUntil && !isDisturbed(history, instance, startedAt, endedAt) &&
          !(runs.get(identifier) ?? []).some(
            (run) => run.isFaulted || isDisturbed(history, run.process, run.startedAt, endedAt)
          )
      })
      .map(({ identifier, instance, startedAt, endedAt }) => {
        const ran = (runs.get(identifier) ?? []).map(({ process }) => process).join(', ')
        return `${identifier} was cut by ${instance} after ${Math.round(endedAt - startedAt)} ms; it ran at ${ran}`
      })
  },

  // What came beside a request is no excuse either: each whole request is owed an answer or a refusal.
  answered (history) {
    const runs = runsByIdentifier(history)
    return history.requests
      .filter(({ kind, status, complete, left }) => !left && (status === 0 || (kind !== 'stream' && !complete)))
      .filter(({ connection }) => connection === undefined)
      .filter((request) => {
        const { identifier, instance, startedAt, endedAt, isSent } = request
        // Without a run, a request may have crossed the close of its connection by a router that stops.
        const isRead = runs.has(identifier) || (isSent && endedAt < (history.stopped.get(instance) ?? Infinity))
        return isRead && endedAt < endOfDuty(request, history) && !isDisturbed(history, instance, startedAt, endedAt)
      })
      .map(({ identifier, instance, startedAt, endedAt }) => (
        `${identifier} got no whole answer from ${instance} after ${Math.round(endedAt - startedAt)} ms`
      ))
  },

  // Each whole request on a shared connection is owed an answer of its own, whatever becomes of those before it.
  pipelined (history) {
    const runs = runsByIdentifier(history)
    const broken = new Set<number | undefined>()
    const shared = history.requests.filter(({ connection, isSent }) => connection !== undefined && isSent)
    return shared.flatMap((request) => {
      const { identifier, connection, instance, kind, status, complete, startedAt, endedAt } = request
      const { sentAt = startedAt } = request
      const isBehindBroken = broken.has(connection)
      if (status !== 0 && !complete) broken.add(connection)
      // Another check counts streams that are cut. The rest of their connections cannot be told apart from them.
      if (complete || (status !== 0 && kind === 'stream') || isBehindBroken) return []
      const isCrossed = !runs.has(identifier) && endedAt >= (history.stopped.get(instance) ?? Infinity) &&
        endedAt < sentAt + CROSSING_MS
      // The answer of an upstream that breaks off may have begun behind another one.
      const isUpstreamLost = kind === 'stream' && (runs.get(identifier) ?? []).some((run) => (
        run.isFaulted || isDisturbed(history, run.process, run.startedAt, endedAt)
      ))
      const isExcused = endedAt >= endOfDuty(request, history) || isDisturbed(history, instance, startedAt, endedAt)
      if (isCrossed || isUpstreamLost || isExcused) return []
      const wait = Math.round(endedAt - sentAt)
      return [`${identifier} on connection ${connection} got no whole answer from ${instance} after ${wait} ms`]
    })
  },

  // Silent and full upstreams are no excuse; they go on, or take the request later.
  safeFailures (history) {
    const runs = runsByIdentifier(history)
    return history.requests
      .filter(({ kind, status, path }) => kind === 'safe' && status === 502 && !history.crashes.has(path))
      .filter((request) => {
        const { identifier, instance, startedAt, endedAt } = request
        const owedUntil = Math.min(endOfDuty(request, history), startedAt + PLAIN_LIMIT_MS)
        const own = runs.get(identifier) ?? []
        const isExcused = isDisturbed(history, instance, startedAt, endedAt) ||
          // A request that is lost on its way to an upstream is in no journal.
          [...history.disturbances, ...history.ends].some(({ subject, from, until }) => (
            subject.startsWith(PLAIN_SERVICE) && from < endedAt && until + DISTURBED_MS > startedAt
          )) ||
          // A second answer of a faulted run arrives in the place of the next one.
          own.some((run) => run.isFaulted || history.runs.some((other) => (
            other.process === run.process && other.isFaulted && other.startedAt < run.startedAt &&
              (other.endedAt ?? Infinity) + DISTURBED_MS > run.startedAt
          )))
        return endedAt < owedUntil && !isExcused
      })
      .map(({ identifier, instance, startedAt, endedAt }) => {
        const ran = (runs.get(identifier) ?? []).map(({ process }) => process).join(', ')
        return `${identifier} got 502 from ${instance} after ${Math.round(endedAt - startedAt)} ms; it ran at ${ran}`
      })
  },

  // The errors of a connection, such as for bytes that follow the request, are not those of the request.
  own: (history) => history.requests
    .filter(({ status, identifier, echoed, instance, startedAt, endedAt }) => {
      // A frozen process takes a head on a new connection for late.
      const isLate = status === 408 && echoed === undefined && isDisturbed(history, instance, startedAt, endedAt)
      return status !== 0 && echoed !== identifier && !isLate
    })
    .map(({ identifier, echoed, status }) => `${identifier} got the answer of ${String(echoed)}, ${status}`),

  once (history) {
    const runs = runsByIdentifier(history)
    return history.requests
      .filter(({ kind, identifier }) => kind === 'unsafe' && (runs.get(identifier)?.length ?? 0) > 1)
      .map(({ identifier }) => `${identifier} ran ${runs.get(identifier)!.length} times`)
  },

  trueRefusals (history) {
    const runs = runsByIdentifier(history)
    return history.requests
      .filter(({ status, identifier }) => NOT_RUN_STATUSES.has(status) && runs.has(identifier))
      .map(({ identifier, status }) => `${identifier} was refused with ${status} and ran`)
  },

  noConvictions: ({ requests, crashes }) => requests
    .filter(({ status, body, path }) => status === 503 && body.includes('crashes_upstreams') && !crashes.has(path))
    .map(({ identifier }) => `${identifier} was refused because of crashes that it did not cause`),

  deadlyRequests ({ requests, runs, disturbances, crashes }) {
    const instances = new Map(requests.map(({ identifier, instance }) => [identifier, instance]))
    const isInTouch = (instance: string | undefined, at: number): boolean => !disturbances.some((one) => (
      one.subject === instance && one.from < at && one.until + DEADLY_NOTICE_MS > at
    ))
    return [...crashes].flatMap(([path, times]) => {
      const knownAt = (times[DEADLY_CRASHES - 1] ?? Infinity) + DEADLY_NOTICE_MS
      const late = runs.filter((run) => (
        run.path === path && run.startedAt > knownAt && isInTouch(instances.get(run.identifier), run.startedAt)
      ))
      return late.length > MAX_DEADLY_REQUESTS
        ? [`${path} ran ${late.length} times later than ${DEADLY_NOTICE_MS} ms after its third crash, ${MAX_DEADLY_REQUESTS} are allowed`]
        : []
    })
  },

  quota ({ runs, quota }) {
    const own = runs.filter(({ key }) => key === quota.key).sort((one, other) => one.startedAt - other.startedAt)
    return own.flatMap(({ startedAt }) => {
      const inside = own.filter((run) => run.startedAt >= startedAt && run.startedAt < startedAt + quota.window)
      const tokens = inside.reduce((sum, run) => sum + run.tokens, 0)
      return tokens > quota.tokens ? [`${tokens} tokens ran in the window from ${Math.round(startedAt)}`] : []
    })
  },

  revoked: ({ runs, revoked }) => runs
    .filter(({ key, startedAt }) => startedAt > (revoked.get(key) ?? Infinity) + REVOCATION_MS)
    .map(({ identifier, key }) => `${identifier} ran with key ${key} after it was taken away`),

  requestLimits ({ requests, runs, limits, disturbances }) {
    const byIdentifier = new Map(requests.map((request) => [request.identifier, request]))
    const isDisturbed = (subject: string | undefined, from: number, until: number): boolean => disturbances.some(
      (one) => one.subject === subject && one.from < until && one.until + DISTURBED_MS > from
    )
    return limits.flatMap(({ process, perSecond, from, until }) => {
      const allowed = perSecond * 1.5 * LIMIT_WINDOW_MS / 1000 + 5
      const limitedRuns = runs.filter((run) => (
        run.process === process && run.startedAt >= from && run.startedAt < until
      ))
      const toldAt = new Map<string, number>()
      for (const { identifier } of limitedRuns) {
        const request = byIdentifier.get(identifier)
        if (request?.status !== 200 || !request.complete) continue
        toldAt.set(request.instance, Math.min(toldAt.get(request.instance) ?? Infinity, request.endedAt))
      }
      const counted = limitedRuns.filter(({ identifier, startedAt }) => {
        const instance = byIdentifier.get(identifier)?.instance
        const isTold = startedAt > (toldAt.get(instance ?? '') ?? Infinity) + LIMIT_TOLD_MS
        return startedAt >= from + LIMIT_NOTICE_MS && isTold && !isDisturbed(instance, from, until)
      }).map(({ startedAt }) => startedAt)
      return counted.flatMap((start) => {
        const end = start + LIMIT_WINDOW_MS
        const count = counted.filter((time) => time >= start && time < end).length
        return count > allowed && !isDisturbed(process, start, end)
          ? [`${process} got ${count} requests in the window from ${Math.round(start)}, ${allowed} are allowed`]
          : []
      })
    })
  },

  drain: ({ requests, stopped }) => requests
    .filter(({ connection }) => connection === undefined)
    .filter(({ instance, startedAt, endedAt, left, status, complete }) => {
      const stoppedAt = stopped.get(instance)
      // A request that had begun when the process was asked to stop gets its answer.
      const isTaken = stoppedAt !== undefined && startedAt < stoppedAt && endedAt > stoppedAt
      return isTaken && endedAt < stoppedAt + GRACE_MS && !left && status === 0 && !complete
    })
    .map(({ identifier, instance }) => `${identifier} was dropped by ${instance}, which was asked to stop`),

  configuration ({ configurations }) {
    const newest = new Map<string, number>()
    return configurations.flatMap(({ instance, atLeast = 0, atMost = Infinity }) => {
      const before = newest.get(instance) ?? 0
      newest.set(instance, Math.max(before, atLeast))
      return atMost < before ? [`${instance} went back from configuration ${before} to ${atMost}`] : []
    })
  },

  oneGiver ({ orders }) {
    const holders = new Map<number, string>()
    const newest = new Map<string, number>()
    return orders.flatMap(({ upstream, holder, token }) => {
      const other = holders.get(token)
      holders.set(token, holder)
      const before = newest.get(upstream) ?? 0
      newest.set(upstream, Math.max(before, token))
      return [
        ...(other !== undefined && other !== holder ? [`${other} and ${holder} gave orders under token ${token}`] : []),
        ...(token < before ? [`${upstream} got an order under token ${token} after ${before}`] : [])
      ]
    })
  },

  salts ({ runs, isolated }) {
    const keys = new Map<string, Set<string>>()
    for (const { scope, key } of runs) {
      if (scope !== undefined) keys.set(scope, (keys.get(scope) ?? new Set()).add(key))
    }
    return [...keys]
      .filter(([, users]) => users.size > 1 && [...users].some((key) => isolated.has(key)))
      .map(([scope, users]) => `scope ${scope} was shared by ${[...users].join(' and ')}`)
  },

  afterLeaving (history) {
    const runs = runsByIdentifier(history)
    return history.requests.filter(({ left }) => left).flatMap(({ identifier, endedAt }) => (runs.get(identifier) ?? [])
      .filter((run) => (run.endedAt ?? Infinity) > endedAt + LEFT_LIMIT_MS && run.startedAt < endedAt + LEFT_LIMIT_MS)
      .map(({ upstream }) => `${identifier} went on at ${upstream} after its caller had left`))
  }
}
