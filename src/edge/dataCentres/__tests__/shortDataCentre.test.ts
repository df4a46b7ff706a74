import { describe, expect, it } from 'vitest'
import { UNBOUNDED_ROOM } from '../../__tests__/fixtures'
import { createRandom, quantile, simulateFleet } from '../../engineRoom/__tests__/engineFleet'
import { heldTokensOf } from '../../engineRoom/engineUse'
import { placeRequest, waitCost, type PlacementRequest } from '../../placement'
import { createCrossing, FREE_CROSSING, type Crossing } from '../crossing'

/** Milliseconds that a request to the other data centre takes longer. */
const WAY_MS = 20
const LATENCY_TARGET = 300
const SPEED = 8
/** The load swells between these times in milliseconds. */
const SWELL = { from: 4000, to: 12_000 }

interface Outcome {
  waits: number[]
  /** Share of the requests that left, for each half second. */
  awayShares: number[]
}

interface ReplayOptions {
  isFree?: boolean
  homeEngines: number
  perSecond: number
  swollenPerSecond: number
}

/** Replays 15 instances of a data centre whose engines are too few while the load swells; nine engines elsewhere. */
function replayShortDataCentre ({ isFree = false, homeEngines, perSecond, swollenPerSecond }: ReplayOptions): Outcome {
  const crossings = new Map<number, Crossing>()
  const own = createRandom(5)
  const windows = new Map<number, { away: number, all: number }>()
  const waits: number[] = []
  simulateFleet({
    engines: Array.from({ length: homeEngines + 9 }, (_, index) => ({
      name: `engine-${index}`,
      dataCentre: index < homeEngines ? 'north' : 'south',
      speed: SPEED,
      slots: 16,
      memoryTokens: 111_075
    })),
    instances: 15,
    lag: 30,
    duration: 18_000,
    nextArrival: (random, now) => (
      -Math.log(1 - random()) * 1000 / (now > SWELL.from && now < SWELL.to ? swollenPerSecond : perSecond)
    ),
    createRequest: (random) => (
      { prefix: `verdict-${Math.floor(random() * 20)}`, promptTokens: 9190, sharedTokens: 6300, outputTokens: 6 }
    ),
    place ({ directory, index }, { prefix, promptTokens, sharedTokens, outputTokens }, random, now) {
      const crossing = crossings.get(index) ?? (isFree
        ? FREE_CROSSING
        : createCrossing({
          dataCentre: 'north', upstreams: directory.all, memoryTokensOf: () => 111_075, log () {}, random: own
        }))
      crossings.set(index, crossing)
      crossing.recordPrefix('engines', prefix)
      for (const { entry } of directory.all()) {
        crossing.recordConnection(entry, entry.dataCentre === 'north' ? 0.5 : WAY_MS / 2)
      }
      const request: PlacementRequest = {
        prefixKey: prefix,
        sharedTokens,
        promptTokens,
        heldTokens: heldTokensOf(promptTokens, outputTokens),
        capacityOf: UNBOUNDED_ROOM.capacityOf,
        crossingCost: undefined,
        isRankedPerDataCentre: false,
        speeds: undefined,
        dataCentre: 'north',
        urgency: 0,
        replicas: 2,
        draw: random(),
        loadingEngines: new Set(),
        hasOutdatedWeights: () => false
      }
      const choice = crossing.choose({
        service: 'engines',
        prefixKey: prefix,
        sharedTokens,
        missCost: sharedTokens / 1000 * SPEED,
        bytes: 40_000,
        latencyTarget: LATENCY_TARGET,
        draw: random(),
        waitAt: (upstream) => waitCost(request, upstream, now)
      }, directory.usable('engines', now), now)
      const placement = placeRequest({
        ...request, crossingCost: choice.cost, isRankedPerDataCentre: choice.isRankedPerDataCentre
      }, choice.candidates, now)!
      const { upstream } = placement
      const isAway = upstream.entry.dataCentre !== 'north'
      const window = windows.get(Math.floor(now / 500)) ?? { away: 0, all: 0 }
      windows.set(Math.floor(now / 500), { away: window.away + (isAway ? 1 : 0), all: window.all + 1 })
      const position = waits.push(Infinity) - 1
      return {
        upstream,
        isHolder: placement.isHolder!,
        onFirstByte (wait) { waits[position] = wait + (isAway ? WAY_MS : 0) }
      }
    }
  })
  return { waits, awayShares: [...windows.values()].map(({ away, all }) => away / all) }
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

// Guards against instances that leave and return in unison, and against requests that wait at home while others have room.
describe('a data centre whose engines are too few for a while', () => {
  it.each([
    [250, 0.25, 0.5],
    [350, 0.4, 0.65]
  ])('sends a steady share elsewhere at %d prompts a second', (swollenPerSecond, least, most) => {
    const { waits, awayShares } = replayShortDataCentre({ homeEngines: 5, perSecond: 60, swollenPerSecond })
    expect(Math.max(...awayShares.slice(0, SWELL.from / 500))).toBeLessThan(0.02)
    const settled = awayShares.slice(SWELL.from / 500 + 6, SWELL.to / 500)
    expect(mean(settled)).toBeGreaterThan(least)
    expect(mean(settled)).toBeLessThan(most)
    expect(Math.max(...settled) - Math.min(...settled)).toBeLessThan(0.25)
    expect(mean(awayShares.slice(-6))).toBeLessThan(0.1)
    expect(quantile(waits, 0.95)).toBeLessThan(LATENCY_TARGET)
  })

  it('sends nothing elsewhere while its engines suffice, unlike a placement with no regard to the data centre', () => {
    const load = { homeEngines: 5, perSecond: 60, swollenPerSecond: 60 }
    expect(Math.max(...replayShortDataCentre(load).awayShares)).toBe(0)
    expect(mean(replayShortDataCentre({ ...load, isFree: true }).awayShares)).toBeGreaterThan(0.5)
  })
})
