import { afterEach, describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { createEngineSpeeds } from '../engineSpeed/engineSpeeds'
import { createLoadExchange, type LoadExchange } from '../loadExchange'
import type { PeerValue } from '../peerLinks'
import type { Peer } from '../types'
import { recordAttemptStart, expectedPendingTokens, type Upstream } from '../upstreamDirectory'
import { createEntry, createUpstreams } from './fixtures'

interface Member { name: string, engines: Upstream[], exchange: LoadExchange }

const running: LoadExchange[] = []
afterEach(() => { for (const exchange of running.splice(0)) exchange.stop() })

/** Creates instances of two data centres that reach each other without a network, except those in `unreachable`. */
function createFleet (
  places: Readonly<Record<string, string>>
): { members: Map<string, Member>, unreachable: Set<string> } {
  const peers: Peer[] = Object.entries(places).map(([name, dataCentre], index) => (
    { name, dataCentre, endpoint: { host: name, port: index + 1 } }
  ))
  const members = new Map<string, Member>()
  const unreachable = new Set<string>()
  for (const { name, dataCentre } of peers) {
    const engines = createUpstreams([createEntry('engine-1'), createEntry('engine-2')])
    const others = peers.filter((peer) => peer.name !== name)
    const exchange = createLoadExchange({
      links: {
        async request ({ host }, request): Promise<PeerValue> {
          if (unreachable.has(host)) throw new PlatformUnavailableError('unreachable')
          return await members.get(host)!.exchange.handleRequest(request)
        },
        notify ({ host }, message) {
          if (
            !unreachable.has(host)
          ) members.get(host)!.exchange.handleRequest(message).catch(() => { expect.unreachable() })
        },
        isUsable: ({ host }) => !unreachable.has(host)
      },
      instance: name,
      dataCentre,
      peers: () => others,
      directory: { all: () => engines },
      speeds: createEngineSpeeds({ directory: { all: () => engines, listed: () => engines }, dataCentre }),
      now: () => performance.now()
    })
    members.set(name, { name, engines, exchange })
    running.push(exchange)
  }
  return { members, unreachable }
}

const DATA_CENTRES = { 'north-1': 'north', 'north-2': 'north', 'north-3': 'north', 'south-1': 'south', 'south-2': 'south' }

async function sendPrompt (member: Member, tokens: number): Promise<void> {
  recordAttemptStart(member.engines[0]!, tokens, performance.now())
  member.exchange.promptSent()
  await new Promise((resolve) => { setTimeout(resolve, 5) })
}

async function pendingTokens ({ engines, exchange }: Member): Promise<number[]> {
  await exchange.refresh()
  return engines.map((engine) => expectedPendingTokens(engine, performance.now()))
}

describe('prompts sent by any instance', () => {
  it('are known at once in their data centre, and elsewhere after an exchange', async () => {
    const { members } = createFleet(DATA_CENTRES)
    await sendPrompt(members.get('north-1')!, 1600)
    await sendPrompt(members.get('north-2')!, 3200)
    for (const name of ['north-1', 'north-2', 'north-3']) expect(await pendingTokens(members.get(name)!)).toEqual([4800, 0])
    await pendingTokens(members.get('south-1')!)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    expect(await pendingTokens(members.get('south-2')!)).toEqual([4800, 0])
  })

  it('are no longer counted once their prefill is complete', async () => {
    const { members } = createFleet(DATA_CENTRES)
    const sender = members.get('north-1')!
    await sendPrompt(sender, 1600)
    sender.engines[0]!.pendingPrefillTokens = 0
    sender.exchange.prefillEnded()
    await new Promise((resolve) => { setTimeout(resolve, 60) })
    expect(await pendingTokens(members.get('north-3')!)).toEqual([0, 0])
  })

  it('are known whichever instance is unreachable', async () => {
    for (const lost of ['north-1', 'north-2', 'north-3']) {
      const { members, unreachable } = createFleet(DATA_CENTRES)
      unreachable.add(lost)
      const [sender, other] = ['north-1', 'north-2', 'north-3'].filter((name) => name !== lost).map((name) => members.get(name)!)
      await sendPrompt(sender!, 1600)
      expect(await pendingTokens(other!)).toEqual([1600, 0])
    }
  })

  it('are known in another data centre whose aggregator is unreachable', async () => {
    for (const lost of ['south-1', 'south-2']) {
      const { members, unreachable } = createFleet(DATA_CENTRES)
      unreachable.add(lost)
      const other = members.get(lost === 'south-1' ? 'south-2' : 'south-1')!
      await pendingTokens(other)
      await sendPrompt(members.get('north-1')!, 1600)
      await new Promise((resolve) => { setTimeout(resolve, 150) })
      expect(await pendingTokens(other)).toEqual([1600, 0])
    }
  })

  it('are limited to those of the instance itself when no peer responds', async () => {
    const { members, unreachable } = createFleet(DATA_CENTRES)
    for (const name of members.keys()) unreachable.add(name)
    await sendPrompt(members.get('north-1')!, 1600)
    expect(await pendingTokens(members.get('north-1')!)).toEqual([1600, 0])
  })
})
