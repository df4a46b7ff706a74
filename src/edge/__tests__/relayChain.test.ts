/** How old the proof of the configuration gets at instances that hear of it through relays and the hub. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { elapsed } from '../freshness'
import { chooseRelays } from '../relayChoice'
import { createStoreEra } from '../storeEra/storeEra'
import { followTable, type Follower } from '../storeFollower'
import { createTableRelay, type TableRelay } from '../tableRelay'
import type { Instant, Peer, Store } from '../types'

const TABLE = 'op'
/** The bound on keys that were taken away, and the part of it within which a proof must be renewed. */
const REVOCATION_MS = 5000
const PROOF_LIMIT_MS = 0.9 * REVOCATION_MS
const WAIT_MS = 0.35 * REVOCATION_MS
const CALL_MS = 4
const HOP_MS = 3

const now = (): Instant => ({ steady: Date.now(), wall: Date.now() })
const followers: Follower[] = []

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

interface Fleet {
  peers: Peer[]
  frozen: Set<string>
  /** Instances that the store does not answer. */
  cutOff: Set<string>
  provedAt: Map<string, Instant>
  calls: () => number
}

/** Instances in three data centres that follow one table, whose relays and hub are chosen as in a fleet. */
function startFleet (perDataCentre: number): Fleet {
  const peers = ['north', 'south', 'west'].flatMap((dataCentre) => (
    Array.from({ length: perDataCentre }, (_unused, index) => `${dataCentre}-${index}`)
      .map((name) => ({ name, dataCentre, endpoint: { host: name, port: 1 } }))
  ))
  const frozen = new Set<string>()
  const cutOff = new Set<string>()
  const relays = new Map<string, TableRelay>()
  const provedAt = new Map<string, Instant>()
  const pausedUntil = new Map<string, number>()
  let calls = 0
  for (const { name, dataCentre } of peers) {
    const answer = async (wait: number): Promise<{ rows: [], version: number, storeTime: number }> => {
      calls += 1
      if (cutOff.has(name)) {
        await pause(wait + 1000)
        throw new PlatformUnavailableError('no answer')
      }
      await pause(wait + CALL_MS)
      return { rows: [], version: 1, storeTime: 0 }
    }
    const store: Pick<Store, 'read' | 'follow'> = {
      read: async () => await answer(0), follow: async (_table, _after, wait) => await answer(wait)
    }
    const relay = createTableRelay({
      store,
      links: {
        isUsable: ({ host }) => (pausedUntil.get(`${name}/${host}`) ?? 0) <= Date.now(),
        async request ({ host }, question, timeout) {
          const reached = pause(HOP_MS).then(async () => await relays.get(host)!.handleRequest(question))
          const given = await Promise.race([frozen.has(host) ? pause(timeout) : reached, pause(timeout)])
          if (given === undefined) {
            pausedUntil.set(`${name}/${host}`, Date.now() + 500)
            throw new PlatformUnavailableError(`no answer in ${timeout} ms`)
          }
          await pause(HOP_MS)
          return given
        }
      },
      instance: name,
      dataCentre,
      peers: () => peers,
      log: () => {},
      now
    })
    relays.set(name, relay)
  }
  for (const { name } of peers) {
    const relay = relays.get(name)!
    const storeEra = createStoreEra()
    storeEra.newestVersion.value = 1
    followers.push(followTable({
      store: relay.store,
      table: TABLE,
      relay: relay.table(TABLE),
      wait: WAIT_MS,
      storeEra,
      onRows: () => {},
      onChanges: () => {},
      onConfirmed: (at) => { provedAt.set(name, at) },
      log: () => {},
      now,
      random: () => 0.5
    }))
  }
  return { peers, frozen, cutOff, provedAt, calls: () => calls }
}

/** Oldest proof of all instances that are neither frozen nor cut off, over so many milliseconds. */
async function oldestProof ({ peers, frozen, cutOff, provedAt }: Fleet, milliseconds: number): Promise<number> {
  let oldest = 0
  for (let time = 0; time < milliseconds; time += 50) {
    await vi.advanceTimersByTimeAsync(50)
    for (const { name } of peers) {
      if (!frozen.has(name) && !cutOff.has(name)) oldest = Math.max(oldest, elapsed(provedAt.get(name)!, now()))
    }
  }
  return oldest
}

/** The hub and its deputy. */
function hubs (peers: readonly Peer[]): string[] {
  const hub = peers.find(({ name, dataCentre }) => (
    chooseRelays(name, dataCentre, peers.filter((peer) => peer.name !== name)).sources === undefined
  ))!
  const relay = peers.find((peer) => peer.dataCentre !== hub.dataCentre && chooseRelays(
    peer.name, peer.dataCentre, peers.filter(({ name }) => name !== peer.name)
  ).sources?.length === 2)!
  const sources = chooseRelays(relay.name, relay.dataCentre, peers.filter(({ name }) => name !== relay.name)).sources!
  return [hub.name, sources.find(({ name }) => name !== hub.name)!.name]
}

beforeEach(() => { vi.useFakeTimers({ now: 100_000 }) })
afterEach(() => {
  for (const follower of followers.splice(0)) follower.stop()
  vi.useRealTimers()
})

describe('the proof at every instance', () => {
  it.each<[string, (fleet: Fleet) => void]>([
    ['while all is well', () => {}],
    ['when the hub freezes', ({ peers, frozen }) => { frozen.add(hubs(peers)[0]!) }],
    ['when the hub and its deputy freeze', ({ peers, frozen }) => { for (const name of hubs(peers)) frozen.add(name) }],
    ['when the hub is cut off from the store', ({ peers, cutOff }) => { cutOff.add(hubs(peers)[0]!) }],
    ['when both are', ({ peers, cutOff }) => { for (const name of hubs(peers)) cutOff.add(name) }],
    ['when a data centre freezes', ({ peers, frozen }) => {
      for (const { name, dataCentre } of peers) if (dataCentre === 'south') frozen.add(name)
    }]
  ])('is renewed in time %s', async (_title, harm) => {
    const fleet = startFleet(5)
    await vi.advanceTimersByTimeAsync(8000)
    for (let moment = 0; moment < 8; moment += 1) await vi.advanceTimersByTimeAsync(130)
    harm(fleet)
    expect(await oldestProof(fleet, 10_000)).toBeLessThan(PROOF_LIMIT_MS)
  })

  it('costs the store one call in most of a second, however many instances there are', async () => {
    const fleet = startFleet(13)
    await vi.advanceTimersByTimeAsync(5000)
    const before = fleet.calls()
    await vi.advanceTimersByTimeAsync(10_000)
    expect(fleet.calls() - before).toBeLessThanOrEqual(10_000 / (WAIT_MS / 2) + 1)
  })
})
