import { describe, expect, it } from 'vitest'
import { createEntry, createUpstreams } from '../../__tests__/fixtures'
import { recordFleetUse, type EngineUse } from '../../engineRoom/engineUse'
import { recordFleetLoad } from '../../upstreamDirectory'
import { createCrowding } from '../crowding'

const USUAL_TOKENS = 3000
const CAPACITY = { memoryTokens: 90_000, slots: 16 }

/** Whether two engines with these uses have plenty of room. */
function isUncrowded (uses: readonly EngineUse[], isKnown = true, memoryTokens = CAPACITY.memoryTokens): boolean {
  const upstreams = createUpstreams(uses.map((_use, index) => createEntry(`engine-${index}`)))
  for (const [index, upstream] of upstreams.entries()) {
    if (isKnown) recordFleetLoad(upstream, 0, 0)
    recordFleetUse(upstream, uses[index]!)
  }
  const crowding = createCrowding({
    directory: { usable: () => upstreams }, capacityOf: () => ({ ...CAPACITY, memoryTokens })
  })
  return crowding('engines', USUAL_TOKENS, 0)
}

describe('engines have plenty of room', () => {
  const busy = { prefillTokens: USUAL_TOKENS, heldTokens: 6000, requests: 2 }

  it.each<[string, EngineUse[], boolean]>([
    ['each processes one prompt', [busy, busy], true],
    ['one has a queue, and another one none', [{ ...busy, prefillTokens: 90_000 }, busy], true],
    ['prompts wait at each', [{ ...busy, prefillTokens: 9000 }, { ...busy, prefillTokens: 7000 }], false],
    ['half of the places are taken', [{ ...busy, requests: 16 }, { ...busy, requests: 0 }], false],
    ['half of the memory is taken', [{ ...busy, heldTokens: 60_000 }, { ...busy, heldTokens: 30_000 }], false],
    ['there are none', [], false]
  ])('%s', (_title, uses, expected) => {
    expect(isUncrowded(uses)).toBe(expected)
  })

  it('not if the loads of the others are unknown', () => {
    expect(isUncrowded([busy, busy], false)).toBe(false)
  })

  it('also without a configured memory', () => {
    expect(isUncrowded([busy, busy], true, Infinity)).toBe(true)
  })
})
