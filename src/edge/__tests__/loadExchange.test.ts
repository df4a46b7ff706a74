import { afterEach, describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { createLoadExchange, type LoadExchange } from '../loadExchange'
import type { PeerValue } from '../peerLinks'
import type { Peer } from '../types'
import { attemptBegan, expectedPendingTokens, type Upstream } from '../upstreamDirectory'
import { createEntry, createUpstreams } from './fixtures'

interface Member { name: string, engines: Upstream[], exchange: LoadExchange }

const running: LoadExchange[] = []
afterEach(() => { for (const exchange of running.splice(0)) exchange.stop() })

/** Instances of two data centres that reach each other without a network, all but those that are away. */
function createFleet (places: Readonly<Record<string, string>>): { members: Map<string, Member>, away: Set<string> } {
  const peers: Peer[] = Object.entries(places).map(([name, dataCentre], index) => (
    { name, dataCentre, endpoint: { host: name, port: index + 1 } }
  ))
  const members = new Map<string, Member>()
  const away = new Set<string>()
  for (const { name, dataCentre } of peers) {
    const engines = createUpstreams([createEntry('engine-1'), createEntry('engine-2')])
    const others = peers.filter((peer) => peer.name !== name)
    const exchange = createLoadExchange({
      links: {
        async ask ({ host }, question): Promise<PeerValue> {
          if (away.has(host)) throw new PlatformUnavailableError('away')
          return await members.get(host)!.exchange.answer(question)
        },
        tell ({ host }, word) {
          if (!away.has(host)) members.get(host)!.exchange.answer(word).catch(() => { expect.unreachable() })
        },
        isUsable: ({ host }) => !away.has(host)
      },
      instance: name,
      dataCentre,
      peers: () => others,
      directory: { all: () => engines },
      now: () => performance.now()
    })
    members.set(name, { name, engines, exchange })
    running.push(exchange)
  }
  return { members, away }
}

const PLACES = { 'north-1': 'north', 'north-2': 'north', 'north-3': 'north', 'south-1': 'south', 'south-2': 'south' }

async function send (member: Member, tokens: number): Promise<void> {
  attemptBegan(member.engines[0]!, tokens, performance.now())
  member.exchange.sent()
  await new Promise((resolve) => { setTimeout(resolve, 5) })
}

async function seenBy ({ engines, exchange }: Member): Promise<number[]> {
  await exchange.refresh()
  return engines.map((engine) => expectedPendingTokens(engine, performance.now()))
}

describe('prompts that any instance sent', () => {
  it('are seen at once by all of its data centre, and by the others after an exchange', async () => {
    const { members } = createFleet(PLACES)
    await send(members.get('north-1')!, 1600)
    await send(members.get('north-2')!, 3200)
    for (const name of ['north-1', 'north-2', 'north-3']) expect(await seenBy(members.get(name)!)).toEqual([4800, 0])
    await seenBy(members.get('south-1')!)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    expect(await seenBy(members.get('south-2')!)).toEqual([4800, 0])
  })

  it('are no longer seen once they were read', async () => {
    const { members } = createFleet(PLACES)
    const sender = members.get('north-1')!
    await send(sender, 1600)
    sender.engines[0]!.unreadTokens = 0
    sender.exchange.read()
    await new Promise((resolve) => { setTimeout(resolve, 60) })
    expect(await seenBy(members.get('north-3')!)).toEqual([0, 0])
  })

  it('are seen whichever instance is away', async () => {
    for (const gone of ['north-1', 'north-2', 'north-3']) {
      const { members, away } = createFleet(PLACES)
      away.add(gone)
      const [sender, other] = ['north-1', 'north-2', 'north-3'].filter((name) => name !== gone).map((name) => members.get(name)!)
      await send(sender!, 1600)
      expect(await seenBy(other!)).toEqual([1600, 0])
    }
  })

  it('are seen in another data centre whose collector is away', async () => {
    for (const gone of ['south-1', 'south-2']) {
      const { members, away } = createFleet(PLACES)
      away.add(gone)
      const other = members.get(gone === 'south-1' ? 'south-2' : 'south-1')!
      await seenBy(other)
      await send(members.get('north-1')!, 1600)
      await new Promise((resolve) => { setTimeout(resolve, 150) })
      expect(await seenBy(other)).toEqual([1600, 0])
    }
  })

  it('leave an instance with its own when nobody answers', async () => {
    const { members, away } = createFleet(PLACES)
    for (const name of members.keys()) away.add(name)
    await send(members.get('north-1')!, 1600)
    expect(await seenBy(members.get('north-1')!)).toEqual([1600, 0])
  })
})
