import { describe, expect, it } from 'vitest'
import { UNBOUNDED_ROOM } from '../../__tests__/fixtures'
import { placeRequest } from '../../placement'
import { heldTokensOf } from '../engineUse'
import { quantile, simulateFleet, type FleetResult } from './engineFleet'

const MEMORY_TOKENS = 94_845

/**
 * Replays prompts of 9,190 tokens, of which ten fill an engine, among short ones; the load swells for five seconds. The
 * engines are as fast as the constant, so that only their memory distinguishes them.
 */
function replayLongPrompts (perSecond: number, isRoomKnown: boolean): FleetResult {
  return simulateFleet({
    engines: Array.from({ length: 10 }, (_, index) => ({
      name: `engine-${index}`, dataCentre: 'north', speed: 8, slots: 64, memoryTokens: MEMORY_TOKENS
    })),
    instances: 15,
    lag: 30,
    duration: 15_000,
    nextArrival: (random, now) => -Math.log(1 - random()) * 1000 / (now > 4000 && now < 9000 ? perSecond : 90),
    createRequest (random) {
      const isLong = random() < 0.5
      const prefix = isLong ? `check-${Math.floor(random() * 60)}` : `reply-${Math.floor(random() * 60)}`
      return isLong
        ? { prefix, promptTokens: 9190, sharedTokens: 6300, outputTokens: 80 }
        : { prefix, promptTokens: 826, sharedTokens: 198, outputTokens: 49 }
    },
    place ({ directory }, request, random, now) {
      const placement = placeRequest({
        prefixKey: request.prefix,
        sharedTokens: request.sharedTokens,
        promptTokens: request.promptTokens,
        heldTokens: heldTokensOf(request.promptTokens, request.outputTokens),
        capacityOf: isRoomKnown ? () => ({ memoryTokens: MEMORY_TOKENS, slots: 64 }) : UNBOUNDED_ROOM.capacityOf,
        crossingCost: undefined,
        isRankedPerDataCentre: false,
        speeds: undefined,
        dataCentre: 'north',
        urgency: 0,
        replicas: 1,
        draw: random(),
        loadingEngines: new Set(),
        hasOutdatedWeights: () => false
      }, directory.usable('engines', now), now)!
      return { upstream: placement.upstream, isHolder: placement.isHolder! }
    }
  })
}

// Guards against prompts that are sent to engines with free slots but full memory, where they wait for others to end.
describe('long prompts that fill the memory of engines', () => {
  it.each([[165], [230]])('at %d prompts a second mostly go to engines with room', (perSecond) => {
    const unknown = replayLongPrompts(perSecond, false)
    const known = replayLongPrompts(perSecond, true)
    expect(known.withoutRoom).toBeLessThan(unknown.withoutRoom / 2)
    expect(quantile(known.waits, 0.99)).toBeLessThan(quantile(unknown.waits, 0.99))
  })
})
