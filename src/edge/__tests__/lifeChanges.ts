/** What the changes of the configuration in a schedule do, for the tests of a request's life. */
import { RepeatRule, type EdgeConfiguration, type EdgeCustomer, type EdgeRoute } from '../types'
import { createConfiguration, createCustomer, createRoute } from './fixtures'
import {
  ChangeKind, REPEAT_RULES, RequestKind, type ConfigurationChange, type Schedule, type ScheduledRequest
} from './lifeSchedule'
import { CALLER_KEY } from './simulatedCallers'

/** The service of all upstreams. */
export const SERVICE = 'engines'
/** A service without upstreams. */
const OTHER_SERVICE = 'orders'
/** Shorter than all drawn time limits. */
const SHORT_LIMIT_MS = 1000

function createRequestRoute ({ kind, limit, maximumAttempts }: ScheduledRequest, index: number): EdgeRoute {
  return createRoute({
    ...REPEAT_RULES[kind],
    name: `route-${index}`,
    prefix: `/${index}/`,
    timeout: limit,
    maximumAttempts,
    services: [{ service: SERVICE, weight: 1 }]
  })
}

function createCaller (values: Partial<EdgeCustomer> = {}): EdgeCustomer {
  return createCustomer({ keys: [CALLER_KEY], rate: 0, ...values })
}

function firstConfiguration ({ requests }: Schedule): EdgeConfiguration {
  return createConfiguration({ version: 1, routes: requests.map(createRequestRoute), customers: [createCaller()] })
}

/** Returns the values of the configuration that change. */
type ChangeHandler = (
  configuration: EdgeConfiguration, change: ConfigurationChange, schedule: Schedule
) => Partial<EdgeConfiguration>

function isChanged ({ name }: EdgeRoute, { requests }: ConfigurationChange): boolean {
  return requests.some((index) => name === `route-${index}`)
}

function changeRoutes (edit: (route: EdgeRoute) => Partial<EdgeRoute>): ChangeHandler {
  return ({ routes }, change) => ({
    routes: routes.map((route) => isChanged(route, change) ? { ...route, ...edit(route) } : route)
  })
}

function changeCustomer (edit: (customer: EdgeCustomer) => Partial<EdgeCustomer>): ChangeHandler {
  return ({ customers }) => ({ customers: customers.map((customer) => ({ ...customer, ...edit(customer) })) })
}

const CHANGE_HANDLERS: Readonly<Record<ChangeKind, ChangeHandler>> = {
  [ChangeKind.nothing]: () => ({}),
  [ChangeKind.moveRoutes]: changeRoutes(() => ({ services: [{ service: OTHER_SERVICE, weight: 1 }] })),
  [ChangeKind.removeRoutes]: ({ routes }, change) => ({ routes: routes.filter((route) => !isChanged(route, change)) }),
  [ChangeKind.openRoutes]: changeRoutes(() => ({ open: true })),
  [ChangeKind.shortenLimits]: changeRoutes(() => ({ timeout: SHORT_LIMIT_MS })),
  [ChangeKind.lowerAttempts]: changeRoutes(() => ({ maximumAttempts: 1 })),
  [ChangeKind.forbidRepeats]: changeRoutes(({ repeat }) => ({
    repeat: repeat === RepeatRule.safe ? RepeatRule.unsafe : repeat, resumable: false
  })),
  [ChangeKind.restoreRoutes]: ({ routes }, change, schedule) => {
    const restored = schedule.requests.map(createRequestRoute).filter((route) => isChanged(route, change))
    return { routes: [...routes.filter((route) => !isChanged(route, change)), ...restored] }
  },
  [ChangeKind.addKey]: changeCustomer(({ keys }) => ({ keys: ['new-key', ...keys] })),
  [ChangeKind.removeKey]: changeCustomer(() => ({ keys: ['other-key'] })),
  [ChangeKind.moveKey]: () => ({ customers: [createCaller({ name: 'mill' })] }),
  [ChangeKind.limitCustomer]: changeCustomer(() => ({ rate: 0.001, burst: 1 })),
  [ChangeKind.isolateCustomer]: changeCustomer(() => ({ isolated: true })),
  [ChangeKind.restoreCustomer]: () => ({ customers: [createCaller()] })
}

/** Whether the instance can read the store. */
export function isStoreAway ({ outage }: Schedule, time: number): boolean {
  return outage !== undefined && time >= outage.from && time < outage.from + outage.length
}

/** Returns the configuration that the instance knows at a time, after the changes of that moment. */
export function configurationAt (schedule: Schedule, time: number): EdgeConfiguration {
  const seenUntil = isStoreAway(schedule, time) ? schedule.outage!.from : time
  const changes = schedule.changes.filter(({ at }) => at <= seenUntil).sort((one, other) => one.at - other.at)
  return changes.reduce((configuration, change) => ({
    ...configuration,
    ...CHANGE_HANDLERS[change.kind](configuration, change, schedule),
    version: configuration.version + 1
  }), firstConfiguration(schedule))
}

/** Returns the name of the customer that holds the key of all callers at a time; undefined if nobody does. */
export function holderOfKey (schedule: Schedule, time: number): string | undefined {
  return configurationAt(schedule, time).customers.find(({ keys }) => keys.includes(CALLER_KEY))?.name
}

function kindOf ({ kind }: ScheduledRequest, { resumable, repeat }: EdgeRoute): RequestKind {
  if (kind === RequestKind.resumableStream && !resumable) return RequestKind.plainStream
  return kind === RequestKind.safe && repeat !== RepeatRule.safe ? RequestKind.unsafe : kind
}

/** A request as the configuration handles it that is in force when it arrives. */
export interface HandledRequest extends ScheduledRequest {
  /** Whether the configuration lets it reach the upstreams. */
  isAllowed: boolean
  /** Whether it needs the key. */
  needsKey: boolean
}

export function handledRequest (schedule: Schedule, index: number): HandledRequest {
  const request = schedule.requests[index]!
  const route = configurationAt(schedule, request.at).routes.find(({ name }) => name === `route-${index}`)
  if (route === undefined) return { ...request, isAllowed: false, needsKey: true }
  const hasCustomer = route.open || holderOfKey(schedule, request.at) !== undefined
  const isAllowed = hasCustomer && route.services[0]!.service === SERVICE
  return {
    ...request,
    kind: kindOf(request, route),
    limit: route.timeout,
    maximumAttempts: route.maximumAttempts,
    isAllowed,
    needsKey: !route.open
  }
}
