/** What happens during a run. Positions are parts of the duration, 0 to 1. */

export interface Scenario {
  name: string
  /** Milliseconds in which requests arrive. */
  duration: number
  /** Factor on the arrival rate of a customer, counted from 0. */
  rateFactor: (position: number, customer: number) => number
  /** True while the customer sends more than its rate. */
  floods: (position: number, customer: number) => boolean
  /** Number of the set of documents that is popular. */
  shift: (position: number) => number
  /** Engines that crash, at which position and for how many milliseconds. */
  crashes: ReadonlyArray<{ position: number, engine: number, downMilliseconds: number }>
  /** Positions at which all router instances restart with empty state. */
  routerRestarts: readonly number[]
  /** Probability that one poll of the event stream loses a part of its events. */
  eventLoss: number
  /** Milliseconds between an event and its arrival at a router, besides the polling interval. */
  eventLag: number
}

const DURATION_MS = 48_000

const base: Omit<Scenario, 'name'> = {
  duration: DURATION_MS,
  rateFactor: () => 1,
  floods: () => false,
  shift: () => 0,
  crashes: [],
  routerRestarts: [],
  eventLoss: 0,
  eventLag: 100
}

const inMiddle = (position: number): boolean => position >= 0.3 && position < 0.7
const FLOODING_CUSTOMER = 2

export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  steady: { ...base, name: 'steady' },
  /** The peak before dawn. Twice the arrivals load the engines to about 90% if the hit rate of `steady` is kept. */
  rush: { ...base, name: 'rush', rateFactor: position => inMiddle(position) ? 2 : 1 },
  /** Other documents become popular, twice. */
  shift: { ...base, name: 'shift', shift: position => Math.floor(position * 3) },
  /** One customer sends five times its rate. */
  crowding: {
    ...base,
    name: 'crowding',
    rateFactor: (position, customer) => customer === FLOODING_CUSTOMER && inMiddle(position) ? 5 : 1,
    floods: (position, customer) => customer === FLOODING_CUSTOMER && inMiddle(position)
  },
  crash: {
    ...base,
    name: 'crash',
    crashes: [
      { position: 0.3, engine: 0, downMilliseconds: 4000 },
      { position: 0.6, engine: 1, downMilliseconds: 4000 },
      { position: 0.6, engine: 2, downMilliseconds: 4000 }
    ]
  },
  /** All routers restart at the moment when an engine comes back idle and empty. */
  herd: {
    ...base,
    name: 'herd',
    crashes: [{ position: 0.4, engine: 0, downMilliseconds: 4000 }],
    routerRestarts: [0.5]
  },
  'lossy-events': { ...base, name: 'lossy-events', eventLoss: 0.2, eventLag: 1000 }
}
