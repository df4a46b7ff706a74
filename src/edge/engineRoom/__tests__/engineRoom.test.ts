import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { createUpstreamDirectory, recordFleetLoad, type UpstreamDirectory } from '../../upstreamDirectory'
import { createEngineRoom, type EngineRoom } from '../engineRoom'
import { recordFleetUse, type EngineUse } from '../engineUse'

const CAPACITY = { service: 'engines', memoryTokens: 94_845, slots: 64 }
/** Milliseconds that a request takes. */
const DURATION = 400

interface Fleet { room: EngineRoom, directory: UpstreamDirectory }

function createFleet (uses: ReadonlyArray<Partial<EngineUse>>, loading: readonly number[] = []): Fleet {
  const directory = createUpstreamDirectory()
  directory.replace(uses.map((_use, index) => createEntry(`engine-${index}`, { slots: 64 })), false, 0)
  const room = createEngineRoom({
    directory,
    millisecondsPer1000Tokens: () => 27,
    loadingEngines: () => new Set(loading.map((index) => directory.get(`engine-${index}`)!))
  })
  room.configure([CAPACITY])
  for (const [index, use] of uses.entries()) {
    const upstream = directory.get(`engine-${index}`)!
    recordFleetLoad(upstream, 0, 0)
    recordFleetUse(upstream, { prefillTokens: 0, heldTokens: 0, requests: 0, ...use })
    room.recordEnd(upstream, DURATION)
  }
  return { room, directory }
}

describe('the time until an engine can begin a prompt', () => {
  const FULL = { heldTokens: 94_000, requests: 10 }
  it.each<[string, Array<Partial<EngineUse>>, number[], number, number]>([
    ['is 0 at an idle engine', [{}], [], 9200, 0],
    ['is 0 while one of two engines has room', [FULL, {}], [], 9200, 0],
    ['is that of the prompts in front', [{ prefillTokens: 10_000, heldTokens: 10_000, requests: 1 }], [], 9200, 270],
    ['is the share of the memory that must become free', [{ heldTokens: 94_000, requests: 10 }], [], 9245, 8400 / 94_000 * DURATION],
    ['is the share of the slots that must become free', [{ heldTokens: 64 * 900, requests: 79 }], [], 900, 16 / 79 * DURATION],
    ['is that of a load of weights', [FULL, {}], [1], 94_845, 94_000 / 94_000 * DURATION],
    ['is a second while all engines load weights', [{}], [0], 9200, 1000],
    ['never comes for a prompt beyond the memory', [{}], [], 94_846, Infinity],
    ['never comes without engines', [], [], 9200, Infinity]
  ])('%s', (_title, uses, loading, tokens, expected) => {
    expect(createFleet(uses, loading).room.expectedStart('engines', tokens, 0)).toBeCloseTo(expected, 6)
  })

  it('counts only the own requests when the fleet is not known', () => {
    expect(createFleet([FULL]).room.expectedStart('engines', 9200, 1000)).toBe(0)
  })
})

describe('the rate at which requests end', () => {
  it.each<[string, Array<Partial<EngineUse>>, number]>([
    ['is 0 while none runs', [{}], 0],
    ['follows from their number and duration', [{ requests: 20 }, { requests: 12 }], 80],
    ['does not count those that wait for a slot', [{ requests: 100 }], 160]
  ])('%s', (_title, uses, expected) => {
    expect(createFleet(uses).room.drainRate('engines', 0)).toBeCloseTo(expected, 6)
  })
})
