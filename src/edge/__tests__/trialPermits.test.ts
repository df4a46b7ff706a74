import { describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import type { PeerValue } from '../peerLinks'
import { createTrialPermits, type TrialPermit, type TrialPermits } from '../trialPermits'

const TRAIT = 'content/1'
const NAMES = Array.from({ length: 6 }, (_item, index) => `router-${index}`)

interface Fleet {
  instances: TrialPermits[]
  /** Names of instances that do not respond. */
  silent: Set<string>
  /** Whether two instances cannot reach each other. */
  isCut: (from: string, to: string) => boolean
  advance: (milliseconds: number) => void
}

function createFleet (): Fleet {
  let now = 0
  const fleet: Fleet = {
    instances: [], silent: new Set(), isCut: () => false, advance (milliseconds) { now += milliseconds }
  }
  const peers = NAMES.map((name, index) => ({ name, dataCentre: 'north', endpoint: { host: name, port: index } }))
  fleet.instances = NAMES.map((name) => createTrialPermits({
    links: {
      isUsable: () => true,
      async request ({ host, port }, request: PeerValue) {
        if (fleet.silent.has(host) || fleet.isCut(name, host)) throw new PlatformUnavailableError('no answer')
        return await fleet.instances[port]!.handleRequest(request)
      }
    },
    instance: name,
    peers: () => peers.filter((peer) => peer.name !== name),
    now: () => now,
    onFault (error) { throw error }
  }))
  return fleet
}

async function acquireEverywhere (fleet: Fleet, trait = TRAIT): Promise<TrialPermit[]> {
  const waits = fleet.instances.map(async (instance) => await instance.waitFor(trait, 0, () => true))
  const permits = await Promise.all(waits)
  return permits.flatMap((permit) => permit ?? [])
}

async function passMessages (): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
}

describe('permits for trials', () => {
  it('are handed out one at a time to all instances together, for each trait', async () => {
    const fleet = createFleet()
    expect(await acquireEverywhere(fleet)).toHaveLength(1)
    expect(await acquireEverywhere(fleet)).toHaveLength(0)
    expect(await acquireEverywhere(fleet, 'content/2')).toHaveLength(1)
  })

  it.each<[string, number, number, number]>([
    ['at once after a known outcome', 0, 0, 1],
    ['not while the outcome may become known', 5000, 4900, 0],
    ['after that', 5000, 5000, 1]
  ])('are handed out again %s', async (_title, holdFor, wait, expected) => {
    const fleet = createFleet()
    const [permit] = await acquireEverywhere(fleet)
    permit!.release(holdFor)
    await passMessages()
    fleet.advance(wait)
    expect(await acquireEverywhere(fleet)).toHaveLength(expected)
  })

  it('are handed out again some time after their holder has vanished', async () => {
    const fleet = createFleet()
    await acquireEverywhere(fleet)
    fleet.advance(10_000)
    expect(await acquireEverywhere(fleet)).toHaveLength(1)
  })

  it('are handed out again once the crash that a trial caused is judged', async () => {
    const fleet = createFleet()
    const [permit] = await acquireEverywhere(fleet)
    permit!.release(5000)
    await passMessages()
    for (const instance of fleet.instances) instance.endTrials([TRAIT])
    expect(await acquireEverywhere(fleet)).toHaveLength(0)
    fleet.advance(500)
    expect(await acquireEverywhere(fleet)).toHaveLength(1)
  })

  it.each(NAMES)('are handed out by others while %s does not respond', async (name) => {
    const fleet = createFleet()
    fleet.silent.add(name)
    const permits = await acquireEverywhere(fleet)
    expect(permits.length).toBeGreaterThanOrEqual(1)
    // The silent instance itself may be the allocator.
    expect(permits.length).toBeLessThanOrEqual(2)
  })

  it('are handed out in each group of instances that cannot reach the others', async () => {
    const fleet = createFleet()
    const isInFirstGroup = (name: string): boolean => NAMES.indexOf(name) < 3
    fleet.isCut = (from, to) => isInFirstGroup(from) !== isInFirstGroup(to)
    expect((await acquireEverywhere(fleet)).length).toBeGreaterThanOrEqual(2)
  })

  it('are not waited for once they are not needed', async () => {
    const fleet = createFleet()
    await acquireEverywhere(fleet)
    let checks = 0
    const permit = await fleet.instances[0]!.waitFor(TRAIT, 1000, () => {
      checks += 1
      return checks < 3
    })
    expect(permit).toBeUndefined()
    expect(checks).toBe(3)
  })

  it.each<[string, PeerValue]>([
    ['no trait', { token: 'a' }],
    ['a trait of another type', { trait: 5, token: 'a' }],
    ['no token', { trait: 'a' }]
  ])('reject malformed requests: %s', async (_title, request) => {
    await expect(createFleet().instances[0]!.handleRequest(request)).rejects.toThrow(PlatformUnavailableError)
  })
})
