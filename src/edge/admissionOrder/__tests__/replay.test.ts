import { describe, expect, it } from 'vitest'
import { simulateFleet, type Kind, type Load, type Outcome } from './fleetSimulation'

/** The kinds and engines of deployment P in docs/design/overload.md, with fewer engines, so that bursts are too much. */
const LABEL: Kind = {
  name: 'label',
  prompt: (draw) => 2000 + 16_000 * draw ** 3,
  output: 9,
  perSecond: 61.7,
  target: 1515,
  budget: 5050,
  priority: 2
}
const REPLY: Kind = {
  name: 'reply',
  prompt: (draw) => 300 + 1100 * draw,
  output: 49,
  perSecond: 141,
  target: 507,
  budget: 15_195,
  priority: 0
}
const LARGE_CUSTOMER = 'c0'
const SMALL_CUSTOMERS = Array.from({ length: 13 }, (_value, index) => `c${index + 3}`)

const USUAL: Load = {
  instances: 60,
  engines: 18,
  speed: 36.7,
  memory: 94_845,
  slots: 64,
  kinds: [LABEL, REPLY],
  customers: [LARGE_CUSTOMER, 'c1', 'c2', ...SMALL_CUSTOMERS].map((name, index) => (
    { name, rate: index < 3 ? 6000 : 1000 }
  )),
  length: 9000
}
const FROM_MS = 3000
const UNTIL_MS = 8000

function isDuring (at: number): boolean {
  return at >= FROM_MS && at < UNTIL_MS
}

const LOADS: Readonly<Record<string, Load>> = {
  'a burst of label checks': { ...USUAL, factor: (kind, _customer, at) => kind === LABEL.name && isDuring(at) ? 2.5 : 1 },
  'a burst of both kinds': { ...USUAL, factor: (_kind, _customer, at) => isDuring(at) ? 2.5 : 1 },
  'a customer at six times its usual': {
    ...USUAL, factor: (_kind, customer, at) => customer === LARGE_CUSTOMER && isDuring(at) ? 6 : 1
  },
  'prompts that fill the memory of the engines': {
    ...USUAL,
    kinds: [{ ...LABEL, prompt: (draw) => 600 + 39_000 * draw ** 6, output: 200 }, REPLY],
    factor: (kind, _customer, at) => kind === LABEL.name && isDuring(at) ? 2.5 : 1
  },
  'a quarter of the engines dark': {
    ...USUAL, engines: 12, length: 23_000, dark: (at) => at >= 2000 && at < 22_000 ? 3 : 0
  }
}

/** Outcomes of the requests that came under overload, by the name of the load; each load is played once. */
const played = new Map<string, Outcome[]>()

function play (name: string): Outcome[] {
  const outcomes = played.get(name) ?? simulateFleet(LOADS[name]!)
  played.set(name, outcomes)
  return outcomes.filter(({ at }) => isDuring(at))
}

function served (outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ firstByte }) => firstByte !== undefined).length / outcomes.length
}

function servedInTime (outcomes: readonly Outcome[]): number {
  const inTime = outcomes.filter(({ firstByte, target }) => firstByte !== undefined && firstByte <= target)
  return inTime.length / outcomes.length
}

const isReply = ({ kind }: Outcome): boolean => kind === REPLY.name
const isLabel = ({ kind }: Outcome): boolean => kind === LABEL.name
/** Requests from which a share is not only chance. */
const ENOUGH = 30

describe.each(Object.keys(LOADS))('during %s', (name) => {
  it('something is refused, and not everyone', () => {
    const outcomes = play(name)
    expect(outcomes.some(({ refusals }) => refusals > 0)).toBe(true)
    expect(served(outcomes)).toBeGreaterThan(0.4)
  })

  it('the less urgent kind is refused before the urgent one', () => {
    const outcomes = play(name)
    const refused = (of: Outcome[]): number => of.filter(({ refusals }) => refusals > 0).length / of.length
    expect(refused(outcomes.filter(isLabel))).toBeGreaterThan(refused(outcomes.filter(isReply)))
    expect(served(outcomes.filter(isReply))).toBeGreaterThanOrEqual(served(outcomes.filter(isLabel)))
  })

  it('no kind or customer is served less than a quarter as often as all', () => {
    const outcomes = play(name)
    const floor = served(outcomes) / 4
    for (const isKind of [isReply, isLabel]) expect(served(outcomes.filter(isKind))).toBeGreaterThan(floor)
    for (const { name: customer } of USUAL.customers) {
      const own = outcomes.filter((outcome) => outcome.customer === customer)
      if (own.length >= ENOUGH) expect(served(own)).toBeGreaterThan(floor)
    }
  })

  it('the largest tenth of a kind is served at least half as often as the kind', () => {
    const labels = play(name).filter(isLabel).sort((one, other) => one.tokens - other.tokens)
    const largest = labels.slice(Math.floor(labels.length * 0.9))
    expect(served(largest)).toBeGreaterThanOrEqual(served(labels) / 2)
  })

  it('most of the requests that are served get their first byte in time', () => {
    const outcomes = play(name)
    expect(servedInTime(outcomes) / served(outcomes)).toBeGreaterThan(0.8)
  })

  it('no request is held for more than an eighth of its target', () => {
    for (const { held, target } of play(name)) expect(held).toBeLessThanOrEqual(target / 8 + 1)
  })

  it('Retry-After is at most a third of the time left, and spread', () => {
    const refused = play(name).filter(({ retryAfter }) => retryAfter !== undefined)
    for (const { retryAfter, timeLeftAtRefusal } of refused) {
      expect(retryAfter).toBeLessThanOrEqual(timeLeftAtRefusal! / 3 + 1)
    }
    // Of the callers refused within a tenth of a second, no half returns within one twentieth of a second.
    const returns = new Map<number, number[]>()
    for (const { at, retryAfter } of refused) {
      const slot = Math.floor(at / 100)
      returns.set(slot, [...(returns.get(slot) ?? []), at + retryAfter!])
    }
    for (const times of returns.values()) {
      if (times.length < ENOUGH) continue
      for (const start of times) {
        expect(times.filter((time) => time >= start && time < start + 50).length).toBeLessThan(times.length / 2)
      }
    }
  })
})

describe('a customer at six times its usual', () => {
  it('does not crowd out the others', () => {
    const outcomes = play('a customer at six times its usual')
    const others = outcomes.filter(({ customer }) => SMALL_CUSTOMERS.includes(customer))
    const hot = outcomes.filter(({ customer }) => customer === LARGE_CUSTOMER)
    expect(served(others)).toBeGreaterThan(0.9)
    expect(served(hot)).toBeLessThan(served(others))
  })
})

describe('callers that come back', () => {
  it.each([['reply', isReply], ['label check', isLabel]])('find room about as often as new ones: %s', (_title, isKind) => {
    const outcomes = play('a burst of both kinds').filter(isKind)
    const refused = outcomes.filter(({ refusals }) => refusals > 0)
    const admittedAtOnce = 1 - refused.length / outcomes.length
    expect(served(refused)).toBeGreaterThan(admittedAtOnce * 0.8)
  })
})

describe('a fleet', () => {
  it('refuses nobody in calm', () => {
    expect(simulateFleet({ ...USUAL, length: 5000 }).every(({ refusals }) => refusals === 0)).toBe(true)
  })

  it('serves urgent requests as the share of all instances, not in unison', () => {
    const outcomes = play('a burst of both kinds').filter(isLabel)
    // Decisions in unison would refuse all label checks of some tenths of a second and admit all of others.
    const slots = new Map<number, Outcome[]>()
    for (const outcome of outcomes) {
      const slot = Math.floor(outcome.at / 200)
      slots.set(slot, [...(slots.get(slot) ?? []), outcome])
    }
    const parts = [...slots.values()].filter(({ length }) => length >= 20)
      .map((of) => of.filter(({ refusals }) => refusals > 0).length / of.length).slice(5)
    expect(parts.filter((part) => part === 0 || part === 1).length).toBeLessThan(parts.length / 4)
  })

  it.each([
    ['one instance', 1, true],
    ['one instance without the load of the engines', 1, false],
    ['sixty instances that do not know each other', 60, false]
  ])('does not refuse everyone, and serves the urgent kind at least as often: %s', (_title, instances, isFleetKnown) => {
    const outcomes = simulateFleet({ ...LOADS['a burst of both kinds']!, instances, isFleetKnown, length: 6000 })
    for (const isKind of [isReply, isLabel]) expect(served(outcomes.filter(isKind))).toBeGreaterThan(0.25)
    expect(served(outcomes.filter(isReply))).toBeGreaterThanOrEqual(served(outcomes.filter(isLabel)) - 0.02)
  })
})
