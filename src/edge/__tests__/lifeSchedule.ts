/** Schedules of upstreams and requests for the tests of a request's life. All times are in milliseconds. */
import fc from 'fast-check'
import { RepeatRule } from '../types'

export const MAXIMUM_UPSTREAMS = 5
const MAXIMUM_REQUESTS = 12

/** A period in which something applies to some of the upstreams, given by their indexes. */
export interface Period {
  from: number
  length: number
  upstreams: readonly number[]
}

export const RequestKind = {
  safe: 'safe',
  unsafe: 'unsafe',
  resumableStream: 'resumableStream',
  plainStream: 'plainStream'
} as const
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

export const REPEAT_RULES: Readonly<Record<RequestKind, { repeat: RepeatRule, resumable: boolean }>> = {
  [RequestKind.safe]: { repeat: RepeatRule.safe, resumable: false },
  [RequestKind.unsafe]: { repeat: RepeatRule.unsafe, resumable: false },
  [RequestKind.resumableStream]: { repeat: RepeatRule.stream, resumable: true },
  [RequestKind.plainStream]: { repeat: RepeatRule.stream, resumable: false }
}

export const ChangeKind = {
  /** Only the version of the configuration changes. */
  nothing: 'nothing',
  moveRoutes: 'moveRoutes',
  removeRoutes: 'removeRoutes',
  openRoutes: 'openRoutes',
  shortenLimits: 'shortenLimits',
  lowerAttempts: 'lowerAttempts',
  forbidRepeats: 'forbidRepeats',
  restoreRoutes: 'restoreRoutes',
  addKey: 'addKey',
  removeKey: 'removeKey',
  moveKey: 'moveKey',
  limitCustomer: 'limitCustomer',
  isolateCustomer: 'isolateCustomer',
  restoreCustomer: 'restoreCustomer'
} as const
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind]

export interface ConfigurationChange {
  at: number
  kind: ChangeKind
  /** Requests whose routes change, by their indexes. */
  requests: readonly number[]
}

export interface ScheduledRequest {
  kind: RequestKind
  at: number
  limit: number
  maximumAttempts: number
  /** Number of events of the response, if it is a stream. */
  events: number
  /** Shared segment of the prompt; requests with the same one share a trait. */
  segment: number
}

export interface Schedule {
  upstreams: ReadonlyArray<{
    /** Time from the arrival of a request to its begin. */
    queue: number
    /** Time from the begin to the first event, or to the whole response. */
    work: number
    /** Time between events. */
    pace: number
  }>
  /** Nothing is read or sent; what was due is sent at the end. Connections open at the end, unless they are accepted. */
  silences: ReadonlyArray<Period & { accepts: boolean }>
  /** Requests that arrive are refused with 503 after `wait`, and are not run. */
  full: ReadonlyArray<Period & { wait: number }>
  /** Requests that arrive are refused with 421, and are not run. */
  otherWeights: readonly Period[]
  /** Requests that arrive are answered with 500. */
  failures: readonly Period[]
  /** All connections are reset at the start of the period. The length is not used. */
  resets: readonly Period[]
  /** The upstream has named a request limit; the next permit is free after `permitWait`. */
  limits: ReadonlyArray<Period & { permitWait: number }>
  /** The upstream is not listed. If another run returns, the first one resets its connections and refuses new ones. */
  absences: ReadonlyArray<Period & { isOtherRun: boolean, isGraceful: boolean }>
  /**
   * The upstream says that it leaves, serves on for `length`, and exits. Another run under the same identifier comes
   * `returnsAfter` later.
   */
  departures: ReadonlyArray<Period & { returnsAfter: number }>
  changes: readonly ConfigurationChange[]
  /** The store is away: no change is seen until its end, and no key is used `revocation` after the last confirmation. */
  outage: { from: number, length: number, revocation: number } | undefined
  /** The instance is asked to stop; it exits `grace` later. */
  stop: { at: number, grace: number } | undefined
  allowance: { window: number, ratio: number, extra: number }
  requests: readonly ScheduledRequest[]
  /** Seed of the instance's random numbers. */
  seed: number
}

/** Returns a schedule without any trouble, except for the given values. */
export function createSchedule (values: Partial<Schedule>): Schedule {
  return {
    upstreams: [{ queue: 0, work: 0, pace: 100 }, { queue: 0, work: 0, pace: 100 }],
    silences: [],
    full: [],
    otherWeights: [],
    failures: [],
    resets: [],
    limits: [],
    absences: [],
    departures: [],
    changes: [],
    outage: undefined,
    stop: undefined,
    allowance: { window: 10_000, ratio: 0.2, extra: 100 },
    requests: [],
    seed: 1,
    ...values
  }
}

export function createRequest (values: Partial<ScheduledRequest> = {}): ScheduledRequest {
  return {
    kind: RequestKind.resumableStream, at: 0, limit: 8000, maximumAttempts: 2, events: 40, segment: 0, ...values
  }
}

function steps (maximum: number, step = 50, minimum = 0): fc.Arbitrary<number> {
  return fc.integer({ min: minimum / step, max: maximum / step }).map((count) => count * step)
}

function period (maximumLength: number, minimumLength = 0): fc.Arbitrary<Period> {
  return fc.record({
    from: steps(5000),
    length: steps(maximumLength, 50, minimumLength),
    upstreams: fc.subarray([...Array(MAXIMUM_UPSTREAMS).keys()], { minLength: 1 })
  })
}

function extended<Extra extends object> (
  base: fc.Arbitrary<Period>, extra: fc.Arbitrary<Extra>
): fc.Arbitrary<Period & Extra> {
  return fc.tuple(base, extra).map(([first, second]) => ({ ...first, ...second }))
}

/** Most schedules have none of the rare troubles, so that they do not excuse what the others bring to light. */
function rare<Value> (value: fc.Arbitrary<Value>): fc.Arbitrary<Value[]> {
  return fc.oneof(
    { weight: 5, arbitrary: fc.constant<Value[]>([]) },
    { weight: 1, arbitrary: fc.array(value, { minLength: 1, maxLength: 2 }) }
  )
}

const requestArbitrary: fc.Arbitrary<ScheduledRequest> = fc.record({
  kind: fc.constantFrom(
    RequestKind.resumableStream, RequestKind.resumableStream, RequestKind.safe, RequestKind.plainStream,
    RequestKind.unsafe
  ),
  at: steps(3000),
  limit: steps(8000, 100, 2000),
  maximumAttempts: fc.integer({ min: 1, max: 3 }),
  events: fc.integer({ min: 1, max: 40 }),
  segment: fc.nat(2)
})

const changeArbitrary: fc.Arbitrary<ConfigurationChange> = fc.record({
  at: steps(300),
  kind: fc.constantFrom(...Object.values(ChangeKind)),
  requests: fc.subarray([...Array(MAXIMUM_REQUESTS).keys()], { minLength: 1 })
})

/** Up to two bursts of changes in quick succession. */
const changesArbitrary: fc.Arbitrary<ConfigurationChange[]> = fc.array(
  fc.tuple(steps(5000), fc.array(changeArbitrary, { minLength: 1, maxLength: 5 })), { minLength: 1, maxLength: 2 }
).map((bursts) => bursts.flatMap(([from, changes]) => changes.map((change) => ({ ...change, at: from + change.at }))))

const outageArbitrary = fc.record({
  from: steps(4000), length: steps(4000, 100, 500), revocation: fc.constantFrom(1000, 2000, 5000)
})
const stopArbitrary = fc.record({ at: steps(5000), grace: steps(8000, 500, 3000) })

const departureArbitrary = extended(period(4000, 1000), fc.record({ returnsAfter: steps(2000, 100, 100) }))
const absenceArbitrary = extended(
  period(4000, 100), fc.record({ isOtherRun: fc.boolean(), isGraceful: fc.boolean() })
)

/** Removes upstreams that an earlier departure has taken away. */
function onceEach<Departure extends Period> (departures: readonly Departure[]): Departure[] {
  return departures.map((departure, index) => ({
    ...departure,
    upstreams: departure.upstreams.filter((upstream) => (
      !departures.slice(0, index).some((earlier) => earlier.upstreams.includes(upstream))
    ))
  }))
}

/** Changes of the list of upstreams. An upstream that leaves is not also absent: its entry would come back. */
const listArbitrary: fc.Arbitrary<Pick<Schedule, 'absences' | 'departures'>> = fc.oneof(
  { weight: 5, arbitrary: fc.constant({ absences: [], departures: [] }) },
  {
    weight: 1,
    arbitrary: fc.array(absenceArbitrary, { minLength: 1, maxLength: 2 })
      .map((absences) => ({ absences, departures: [] }))
  },
  {
    weight: 1,
    arbitrary: fc.array(departureArbitrary, { minLength: 1, maxLength: 2 })
      .map((departures) => ({ absences: [], departures: onceEach(departures) }))
  }
)

const upstreamsArbitrary = fc.array(fc.record({ queue: steps(1000), work: steps(500), pace: steps(300, 50, 50) }), {
  minLength: 1, maxLength: MAXIMUM_UPSTREAMS
})
const requestsArbitrary = fc.array(requestArbitrary, { minLength: 1, maxLength: MAXIMUM_REQUESTS })

/** Schedules in which only the configuration changes. */
export const plannedArbitrary: fc.Arbitrary<Schedule> = fc.record({
  upstreams: upstreamsArbitrary,
  changes: changesArbitrary,
  requests: requestsArbitrary,
  seed: fc.nat(1000)
}).map(createSchedule)

export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.tuple(listArbitrary, fc.record({
  upstreams: upstreamsArbitrary,
  silences: fc.array(extended(period(2400, 800), fc.record({
    accepts: fc.constantFrom(true, true, true, false)
  })), { maxLength: 3 }),
  full: fc.array(extended(period(5000, 200), fc.record({ wait: steps(1500) })), { maxLength: 3 }),
  otherWeights: rare(period(2000, 200)),
  failures: rare(period(1000, 50)),
  resets: rare(period(0)),
  limits: rare(extended(period(3000, 200), fc.record({ permitWait: fc.oneof(steps(200), fc.constant(2000)) }))),
  changes: fc.oneof(
    { weight: 1, arbitrary: fc.constant<ConfigurationChange[]>([]) },
    { weight: 1, arbitrary: changesArbitrary }
  ),
  outage: fc.oneof({ weight: 5, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary: outageArbitrary }),
  stop: fc.oneof({ weight: 7, arbitrary: fc.constant(undefined) }, { weight: 1, arbitrary: stopArbitrary }),
  allowance: fc.record({
    window: fc.constantFrom(2000, 10_000),
    ratio: fc.constantFrom(0, 0.2, 1),
    extra: fc.constantFrom(0, 1, 3, 8, 100)
  }),
  requests: requestsArbitrary,
  seed: fc.nat(1000)
})).map(([list, others]) => ({ ...others, ...list }))
