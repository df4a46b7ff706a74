import { describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import type { Endpoint } from '../../types'
import { createPeerBroadcast, type PeerBroadcast } from '../peerBroadcast'
import { PeerRequestKind, type PeerValue } from '../peerLinks'
import type { Peer } from '../types'

const DATA_CENTRES = ['north', 'south', 'west']
const peers: Peer[] = DATA_CENTRES.flatMap((dataCentre) => [0, 1, 2, 3].map((index) => ({
  name: `${dataCentre}-${index}`, dataCentre, endpoint: { host: `${dataCentre}-${index}`, port: 1 }
})))

interface Fleet {
  broadcasts: Map<string, PeerBroadcast>
  received: Map<string, PeerValue[]>
  /** Messages between data centres. */
  crossDataCentreMessages: () => number
}

function createFleet (unreachable: ReadonlySet<string>, knownUnusable: ReadonlySet<string>): Fleet {
  const broadcasts = new Map<string, PeerBroadcast>()
  const received = new Map<string, PeerValue[]>()
  let crossDataCentreCount = 0
  for (const { name, dataCentre } of peers) {
    received.set(name, [])
    broadcasts.set(name, createPeerBroadcast({
      links: {
        isUsable: ({ host }) => !knownUnusable.has(host),
        async request ({ host }: Endpoint, request: PeerValue) {
          if (!host.startsWith(dataCentre)) crossDataCentreCount += 1
          if (unreachable.has(host)) throw new PlatformUnavailableError('no answer')
          return await broadcasts.get(host)!.handleRequest(request)
        }
      },
      dataCentre,
      peers: () => peers.filter((peer) => peer.name !== name),
      kind: PeerRequestKind.weightsProgress,
      onNotification: (content) => { received.get(name)!.push(content) },
      onFault: (error) => { throw error }
    }))
  }
  return { broadcasts, received, crossDataCentreMessages: () => crossDataCentreCount }
}

async function flushMicrotasks (): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
}

describe('createPeerBroadcast', () => {
  it('reaches only the local data centre with local notifications', async () => {
    const { broadcasts, received, crossDataCentreMessages } = createFleet(new Set(), new Set())
    broadcasts.get('north-1')!.sendWithinDataCentre({ upstream: 'e' })
    await flushMicrotasks()
    const reached = [...received].filter(([, contents]) => contents.length > 0).map(([name]) => name)
    expect(reached).toEqual(['north-0', 'north-2', 'north-3'])
    expect(crossDataCentreMessages()).toBe(0)
  })

  it.each([
    { name: 'every other instance once', gone: [], known: [], missing: [] },
    { name: 'all but an unreachable instance', gone: ['north-2'], known: [], missing: ['north-2'] },
    {
      name: 'a data centre whose relay is known to be unreachable',
      gone: ['south-0', 'south-1'],
      known: ['south-0', 'south-1'],
      missing: ['south-0', 'south-1']
    }
  ])('reaches $name, with one message to each other data centre', async ({ gone: unreachable, known: knownUnusable, missing }) => {
    const { broadcasts, received, crossDataCentreMessages } = createFleet(new Set(unreachable), new Set(knownUnusable))
    broadcasts.get('north-0')!.send({ text: 'hello' })
    await flushMicrotasks()
    const reached = [...received].filter(([, list]) => list.length === 1).map(([name]) => name)
    const others = peers.map((peer) => peer.name).filter((other) => other !== 'north-0' && !missing.includes(other))
    expect(reached.sort()).toEqual(others.sort())
    expect(crossDataCentreMessages()).toBe(2)
  })

  it('rejects a notification without content', async () => {
    const { broadcasts } = createFleet(new Set(), new Set())
    await expect(broadcasts.get('north-0')!.handleRequest({ passOn: true })).rejects.toBeInstanceOf(PlatformUnavailableError)
  })
})
