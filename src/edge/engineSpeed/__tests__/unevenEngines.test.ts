import { describe, expect, it } from 'vitest'
import { UNBOUNDED_ROOM } from '../../__tests__/fixtures'
import { quantile, simulateFleet, type EngineModel, type FleetResult } from '../../engineRoom/__tests__/engineFleet'
import { placeRequest } from '../../placement'
import { createEngineSpeeds, type EngineSpeeds } from '../engineSpeeds'

/** @param base milliseconds for 1,000 tokens, from which the engines of a service differ by a factor of 0.6 to 1.6 */
function unevenEngines (count: number, base: number): EngineModel[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    dataCentre: 'north',
    speed: base * 0.6 * (1.6 / 0.6) ** (index / (count - 1)),
    slots: 16,
    memoryTokens: 111_075
  }))
}

/** Replays prompts of two kinds at engines of different speed; `perSecond` prompts of both kinds together. */
function replayUnevenEngines (
  base: number, perSecond: number, isLearning: boolean, options: { cacheLossInterval?: number, seed?: number } = {}
): FleetResult {
  const speeds = new Map<number, EngineSpeeds>()
  let exchangedAt = 0
  return simulateFleet({
    engines: unevenEngines(12, base),
    instances: 9,
    lag: 30,
    ...options,
    duration: 20_000,
    nextArrival: (random) => -Math.log(1 - random()) * 1000 / perSecond,
    createRequest (random) {
      const isLong = random() < 0.66
      const prefix = isLong ? `verdict-${Math.floor(random() * 120)}` : `explanation-${Math.floor(random() * 100)}`
      return isLong
        ? { prefix, promptTokens: 9190, sharedTokens: 6300, outputTokens: 6 }
        : { prefix, promptTokens: 826, sharedTokens: 198, outputTokens: 32 }
    },
    place ({ directory, index }, request, random, now) {
      const learned = speeds.get(index) ?? createEngineSpeeds({ directory, dataCentre: 'north' })
      speeds.set(index, learned)
      if (now - exchangedAt > 100) {
        exchangedAt = now
        for (const one of speeds.values()) {
          const samples = one.takeSamples()
          for (const other of speeds.values()) if (other !== one) other.receiveSamples(samples, now)
        }
      }
      const placement = placeRequest({
        prefixKey: request.prefix,
        sharedTokens: request.sharedTokens,
        promptTokens: request.promptTokens,
        heldTokens: 0,
        capacityOf: UNBOUNDED_ROOM.capacityOf,
        crossingCost: undefined,
        isRankedPerDataCentre: false,
        speeds: isLearning ? learned.ofService('engines', now) : undefined,
        dataCentre: 'north',
        urgency: 0,
        replicas: 1,
        draw: random(),
        loadingEngines: new Set(),
        hasOutdatedWeights: () => false
      }, directory.usable('engines', now), now)!
      const { upstream } = placement
      const isHolder = placement.isHolder!
      const known = isHolder ? request.promptTokens - request.sharedTokens : undefined
      const probe = learned.probe(upstream, known, now)
      return {
        upstream,
        isHolder,
        onFirstByte (wait) { if (probe !== undefined) learned.observe(upstream, probe, wait) }
      }
    }
  })
}

// Guards against queues at slow engines that get as many prompts as the fast ones.
describe('engines of different speed under load', () => {
  it.each([
    [10, 300, 0.5, 0.95],
    [9, 300, 0.85, 0.95],
    [27, 100, 0.9, 0.5],
    [9, 150, 1, 0.95]
  ])('with %d ms for 1,000 tokens and %d prompts a second: at most %d times the wait at the constant, quantile %d', (
    base, perSecond, ratio, share
  ) => {
    const constant = quantile(replayUnevenEngines(base, perSecond, false).waits, share)
    const learned = quantile(replayUnevenEngines(base, perSecond, true).waits, share)
    expect(learned).toBeLessThanOrEqual(constant * ratio)
  })
})

// Guards against learned speeds that are worse than the constant when a prefix is often not where it is expected. The
// waits of several seeds are taken together, because those of one differ by a tenth.
describe('engines of different speed that lose their caches to new weights', () => {
  it.each([[9, 250], [9, 200], [27, 50]])(
    'with %d ms for 1,000 tokens, %d prompts a second: hardly more wait than at the constant',
    (base, perSecond) => {
      const replay = (isLearning: boolean): number[] => [1, 2, 3, 4].flatMap((seed) => (
        replayUnevenEngines(base, perSecond, isLearning, { cacheLossInterval: 6000, seed }).waits
      ))
      const constant = replay(false)
      const learned = replay(true)
      expect(quantile(learned, 0.5)).toBeLessThanOrEqual(quantile(constant, 0.5))
      expect(quantile(learned, 0.95)).toBeLessThan(1.05 * quantile(constant, 0.95))
    }
  )
})
