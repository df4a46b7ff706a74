import { afterEach, describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { encodeLoad, loadKeyOf } from '../engineLoad'
import { expectedUse, recordUseStart } from '../engineRoom/engineUse'
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

/** Sends a prompt of which 2,890 tokens are not cached, and whose request holds 9,200 tokens until it ends. */
async function sendLongPrompt (member: Member): Promise<void> {
  recordUseStart(member.engines[0]!, 2890, 9200)
  await sendPrompt(member, 9190)
}

async function heldAt ({ engines, exchange }: Member): Promise<Array<[number, number]>> {
  await exchange.refresh()
  return engines.map((engine) => {
    const { heldTokens, requests } = expectedUse(engine, performance.now())
    return [heldTokens, requests]
  })
}

async function wait (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

describe('what requests hold at an engine', () => {
  it('is known in all data centres until the request ends, also when its instance sends nothing else', async () => {
    const { members } = createFleet(DATA_CENTRES)
    const sender = members.get('north-1')!
    await sendLongPrompt(sender)
    sender.engines[0]!.pendingPrefillTokens = 0
    await heldAt(members.get('south-1')!)
    await wait(800)
    for (const name of ['north-2', 'north-3']) expect(await heldAt(members.get(name)!)).toEqual([[9200, 1], [0, 0]])
    await heldAt(members.get('south-1')!)
    await wait(100)
    expect(await heldAt(members.get('south-1')!)).toEqual([[9200, 1], [0, 0]])
    sender.engines[0]!.heldTokens = 0
    sender.engines[0]!.inFlight = 0
    await wait(300)
    expect(await heldAt(members.get('north-2')!)).toEqual([[0, 0], [0, 0]])
  })

  it('is forgotten within half a second when the instance is lost', async () => {
    const { members } = createFleet(DATA_CENTRES)
    await sendLongPrompt(members.get('north-1')!)
    const other = members.get('north-2')!
    expect(await heldAt(other)).toEqual([[9200, 1], [0, 0]])
    members.get('north-1')!.exchange.stop()
    await wait(550)
    expect(await heldAt(other)).toEqual([[0, 0], [0, 0]])
  })

  it('is that of the instance itself when no peer responds', async () => {
    const { members, unreachable } = createFleet(DATA_CENTRES)
    for (const name of members.keys()) unreachable.add(name)
    await sendLongPrompt(members.get('north-1')!)
    await sendLongPrompt(members.get('north-2')!)
    expect(await heldAt(members.get('north-1')!)).toEqual([[9200, 1], [0, 0]])
  })

  it('counts the prompts that wait for prefill of an instance of an earlier release', async () => {
    const { members } = createFleet({ 'north-1': 'north', 'north-2': 'north' })
    const load = encodeLoad(new Map([[loadKeyOf('engine-1'), 1600]]))
    for (const { exchange } of members.values()) {
      await exchange.handleRequest({ kind: 'engineLoads', from: 'north-9', load })
    }
    expect(await heldAt(members.get('north-1')!)).toEqual([[1600, 0], [0, 0]])
  })
})
