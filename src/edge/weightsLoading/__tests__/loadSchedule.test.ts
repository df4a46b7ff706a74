import { describe, expect, it } from 'vitest'
import { createEntry, createUpstreams } from '../../__tests__/fixtures'
import { recordFleetUse } from '../../engineRoom/engineUse'
import { recordFleetLoad, type Upstream } from '../../upstreamDirectory'
import { createCapacitySchedule, fixedSchedule } from '../loadSchedule'

const NOW = 1000
const MEMORY_TOKENS = 100_000
const SLOTS = 64
const room = { capacityOf: () => ({ memoryTokens: MEMORY_TOKENS, slots: SLOTS }) }

interface Use { prefillTokens?: number, heldTokens?: number, requests?: number }

/** Returns 20 engines of which each has the given use. */
function createEngines ({ prefillTokens = 0, heldTokens = 0, requests = 0 }: Use, isKnown = true): Upstream[] {
  const engines = createUpstreams(Array.from({ length: 20 }, (_, index) => (
    createEntry(`e${String(index).padStart(2, '0')}`, { weights: [{ model: 'small', version: 1 }] })
  )))
  for (const engine of engines) {
    if (isKnown) recordFleetLoad(engine, 0, NOW)
    recordFleetUse(engine, { prefillTokens, heldTokens, requests })
  }
  return engines
}

function setWaits (engines: readonly Upstream[], value: number): void {
  for (const engine of engines) engine.waits.set(0, { value, at: NOW })
}

describe('number of engines that load new weights at the same time', () => {
  it.each<[string, Use, { isKnown?: boolean, wait?: number }, number]>([
    ['half of them while they are idle, so that a rollout ends before the next one is requested', {}, {}, 10],
    ['half of them while the others take over what runs', { requests: 16 }, {}, 10],
    ['fewer while the others have less room in their slots', { requests: 20 }, {}, 8],
    ['fewer while the others have less memory', { heldTokens: 31_250 }, {}, 8],
    ['the fixed fraction while the engines are nearly full', { heldTokens: 60_000 }, {}, 6],
    ['the fixed fraction while all of them read prompts, whatever their slots', { prefillTokens: 2000, requests: 3 }, {}, 6],
    ['the smallest fraction in an overload', { requests: 16 }, { wait: 300 }, 4],
    ['the fixed fraction while the load of the fleet is not known', {}, { isKnown: false }, 6]
  ])('is %s', (_title, use, { isKnown, wait }, expected) => {
    const engines = createEngines(use, isKnown)
    if (wait !== undefined) setWaits(engines, wait)
    expect(createCapacitySchedule(room).limit(engines, NOW)).toBe(expected)
  })

  it('does not grow when the load is low for a moment only', () => {
    const schedule = createCapacitySchedule(room)
    expect(schedule.limit(createEngines({ requests: 40 }), NOW)).toBe(6)
    const idle = createEngines({})
    expect(schedule.limit(idle, NOW + 100)).toBe(6)
    for (const engine of idle) recordFleetLoad(engine, 0, NOW + 3000)
    expect(schedule.limit(idle, NOW + 3000)).toBeGreaterThan(6)
  })

  it('is the fixed fraction without the setting, however idle the engines are', () => {
    expect(fixedSchedule.limit(createEngines({}), NOW)).toBe(6)
  })
})

describe('order of engines with equally old weights', () => {
  it.each([
    ['an engine with few requests comes before one that runs many and would finish them first', 1, 40, true],
    ['engines with similar numbers of requests keep their order', 1, 10, false]
  ])('%s', (_title, few, many, isOrdered) => {
    const schedule = createCapacitySchedule(room)
    const [one, other] = createEngines({})
    recordFleetUse(one!, { prefillTokens: 0, heldTokens: 0, requests: few })
    recordFleetUse(other!, { prefillTokens: 0, heldTokens: 0, requests: many })
    expect(schedule.rank(one!, NOW) < schedule.rank(other!, NOW)).toBe(isOrdered)
  })
})
