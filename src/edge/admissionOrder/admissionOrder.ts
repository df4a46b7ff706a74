/**
 * Decides the order in which the requests of an instance are admitted while the engines are overloaded: urgency, then
 * customer, size and age. All instances use the same load and demand, and each draws for its own requests.
 */
import type { MonotonicMilliseconds, RandomSource } from '../../types'
import type { Backlog } from '../backlog'
import type { EdgeConfiguration } from '../types'
import { isFleetLoadKnown, type UpstreamDirectory } from '../upstreamDirectory'
import type { Demand } from './demand'
import type { DemandExchange } from './demandExchange'
import { groupsOf, type ServiceGroups } from './groups'
import { createHoldQueue, type HoldQueue } from './holdQueue'
import { decideOrder, groupsWithDemand, type OrderCircumstances } from './orderDecision'
import { createPlaceCounts, type PlaceCounts } from './placeCounts'
import { admittedPart } from './overload'
import { retryTime } from './retryTime'
import { createTimeBudgets } from './timeBudgets'
import type { OrderDecision, OrderedRequest, ServiceRoom } from './types'

export interface AdmissionOrderOptions {
  directory: Pick<UpstreamDirectory, 'listed'>
  room: ServiceRoom
  /** Whether the engines have plenty of room for requests of the usual size. */
  isUncrowded: (service: string, usualTokens: number, now: MonotonicMilliseconds) => boolean
  demand: DemandExchange
  random: RandomSource
  configuration: () => EdgeConfiguration | undefined
  /** Returns this instance's backlog of one service and urgency. */
  backlog: (key: string) => Pick<Backlog, 'expectedWait'>
}

export interface AdmissionOrder {
  /** Records a request; called once for each, also if it is then refused. */
  record: (request: Pick<OrderedRequest, 'group' | 'cost'>, now: MonotonicMilliseconds) => void
  /** @param heldSince when the request was first held; undefined if it was not */
  decide: (
    request: OrderedRequest, heldSince: MonotonicMilliseconds | undefined, now: MonotonicMilliseconds
  ) => OrderDecision
  /**
   * Returns when a caller should come back that no upstream can take now, spread over the callers.
   * @param recovery milliseconds until an upstream is expected to take requests again
   * @param timeLeft remaining time of the request in milliseconds
   */
  spread: (recovery: number, timeLeft: number) => number
  /** Records the time budget of a request in milliseconds and returns the part of the usual one that is missing. */
  observeBudget: (route: string, budget: number) => number
  places: PlaceCounts
  /** Requests that this instance holds. */
  holds: HoldQueue
  /** Part of the demand that is admitted, by service, as last decided. */
  admittedParts: () => ReadonlyMap<string, number>
}

/** Share of the callers that are expected to find room when they come back, while it is not known. */
const EVEN_SHARE = 0.5

const NO_GROUPS: ServiceGroups = { groups: new Map(), target: 0, targetByUrgency: new Map() }

/** Returns the mean cost of the requests of a service; `fallback` while it has no demand. */
function usualCost (groups: ServiceGroups, demand: Demand, fallback: number): number {
  let [cost, count] = [0, 0]
  for (const group of groupsWithDemand(groups, demand)) {
    cost += group.cost
    count += group.count
  }
  return count > 0 ? cost / count : fallback
}

export function createAdmissionOrder (options: AdmissionOrderOptions): AdmissionOrder {
  const { directory, room, backlog, demand, random } = options
  const places = createPlaceCounts(directory)
  const admittedParts = new Map<string, number>()
  let indexed: { configuration: EdgeConfiguration | undefined, services: ReadonlyMap<string, ServiceGroups> } = {
    configuration: undefined, services: new Map()
  }

  function groupsFor (service: string): ServiceGroups {
    const configuration = options.configuration()
    if (configuration !== undefined && configuration !== indexed.configuration) {
      indexed = { configuration, services: groupsOf(configuration) }
    }
    return indexed.services.get(service) ?? NO_GROUPS
  }

  /** Returns the wait of this instance's own requests at the kind that is furthest beyond its target. */
  function ownWait (
    service: string, { targetByUrgency }: ServiceGroups, now: MonotonicMilliseconds
  ): Pick<OrderCircumstances, 'wait' | 'waitTarget'> {
    const kinds = [...targetByUrgency].map(([urgency, waitTarget]) => (
      { wait: { milliseconds: backlog(`${service}/${urgency}`).expectedWait(now), isFleetKnown: false }, waitTarget }
    ))
    const none = { wait: { milliseconds: 0, isFleetKnown: false }, waitTarget: 0 }
    return kinds.reduce((worst, kind) => (
      admittedPart(kind.wait, kind.waitTarget) < admittedPart(worst.wait, worst.waitTarget) ? kind : worst
    ), none)
  }

  return {
    record ({ group, cost }, now) { demand.record(group, cost, now) },
    decide (request, heldSince, now) {
      const { service, cost } = request
      const groups = groupsFor(service)
      const isFleetKnown = directory.listed(service).some((upstream) => isFleetLoadKnown(upstream, now))
      const currentDemand = demand.current(now)
      const usual = usualCost(groups, currentDemand, cost)
      const isUncrowded = isFleetKnown && options.isUncrowded(service, usual, now)
      const startOf = (tokens: number): number => isUncrowded ? 0 : room.expectedStart(service, tokens, now)
      const ownStart = isFleetKnown ? startOf(cost) : 0
      const milliseconds = isFleetKnown ? startOf(usual) : Infinity
      // Without a usable engine, the selection of the upstream decides.
      const { wait, waitTarget } = Number.isFinite(milliseconds)
        ? { wait: { milliseconds, isFleetKnown: true }, waitTarget: groups.target }
        : ownWait(service, groups, now)
      const decision = decideOrder(request, {
        groups,
        demand: currentDemand,
        wait,
        ownStart: wait.isFleetKnown && Number.isFinite(ownStart) ? ownStart : 0,
        waitTarget,
        heldSince
      }, now)
      admittedParts.set(service, decision.explanation.admittedPart)
      return decision
    },
    spread: (recovery, timeLeft) => retryTime({ recovery, share: EVEN_SHARE, timeLeft, draw: random() }),
    observeBudget: createTimeBudgets().observe,
    places,
    holds: createHoldQueue(),
    admittedParts: () => admittedParts
  }
}
