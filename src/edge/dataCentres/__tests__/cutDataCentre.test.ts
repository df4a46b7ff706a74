import { describe, expect, it } from 'vitest'
import { createEntry } from '../../__tests__/fixtures'
import { createRandom } from '../../engineRoom/__tests__/engineFleet'
import {
  createUpstreamDirectory, pauseAfterFailure, recordActivity, suspectUpstream, type UpstreamDirectory
} from '../../upstreamDirectory'
import { createCrossing, type Crossing } from '../crossing'

const INSTANCES = 15
const AWAY_ENGINES = 8
/** The other data centre is cut off between these times in milliseconds. */
const CUT = { from: 2000, to: 9000 }
/** Milliseconds until a connection attempt fails. */
const CONNECT_TIMEOUT = 400

interface Instance { directory: UpstreamDirectory, crossing: Crossing }

/**
 * Replays instances whose own engine is overloaded while the other data centre is cut off. Returns the requests sent there
 * in each half second, of 75 by all instances.
 * @param lostEngines engines of the other data centre that cannot be reached
 */
function replayCut (lostEngines: number): number[] {
  const random = createRandom(8)
  const entries = [
    createEntry('home'),
    ...Array.from({ length: AWAY_ENGINES }, (_, index) => createEntry(`away-${index}`, { dataCentre: 'south' }))
  ]
  const instances = Array.from({ length: INSTANCES }, (): Instance => {
    const directory = createUpstreamDirectory()
    directory.replace(entries, false, 0)
    return {
      directory,
      crossing: createCrossing({
        dataCentre: 'north', upstreams: directory.all, memoryTokensOf: () => Infinity, log () {}, random
      })
    }
  })
  const failures: Array<{ at: number, instance: Instance, identifier: string }> = []
  const sent: number[] = Array.from({ length: 36 }, () => 0)
  for (let index = 0, now = 0; now < 18_000; index += 1, now = index * 500 / 75) {
    while (failures.length > 0 && failures[0]!.at <= now) {
      const { instance, identifier } = failures.shift()!
      pauseAfterFailure(instance.directory.get(identifier)!, now)
      // The failure is reported to the other instances of the data centre.
      for (const { directory } of instances) suspectUpstream(directory.get(identifier)!, random(), now)
    }
    const instance = instances[Math.floor(random() * INSTANCES)]!
    const { candidates } = instance.crossing.choose({
      service: 'engines',
      prefixKey: undefined,
      sharedTokens: 0,
      missCost: 0,
      bytes: 4000,
      latencyTarget: 300,
      draw: random(),
      waitAt: ({ entry }) => entry.identifier === 'home' ? 400 : 0
    }, instance.directory.usable('engines', now), now)
    const away = candidates.filter(({ entry, suspectedUntil }) => entry.dataCentre === 'south' && now >= suspectedUntil)
    const upstream = away[Math.floor(random() * away.length)]
    if (upstream === undefined) continue
    sent[Math.floor(now / 500)]! += 1
    const isLost = Number(upstream.entry.identifier.slice('away-'.length)) < lostEngines
    if (isLost && now >= CUT.from && now < CUT.to) {
      failures.push({ at: now + CONNECT_TIMEOUT, instance, identifier: upstream.entry.identifier })
    } else recordActivity(upstream, now)
  }
  return sent
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

// Guards against requests that wait for connections to a data centre that is cut off.
describe('a data centre that is cut off', () => {
  it.each([
    ['in whole', AWAY_ENGINES],
    ['by half', AWAY_ENGINES / 2]
  ])('%s gets few requests from elsewhere until it is back', (_title, lostEngines) => {
    const sent = replayCut(lostEngines)
    expect(sum(sent.slice(0, 4))).toBeGreaterThan(100)
    expect(sum(sent.slice(6, 18))).toBeLessThan(0.06 * 12 * 75)
    expect(sum(sent.slice(-8))).toBeGreaterThan(0.6 * 8 * 75)
  })
})
