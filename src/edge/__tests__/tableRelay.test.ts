import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { HistoryLostError, PlatformUnavailableError } from '../../errors'
import { encodeValue } from '../../peer/framing'
import type { Endpoint } from '../../types'
import { segmentKey } from '../cacheStoreTable'
import type { PeerValue } from '../peerLinks'
import { chooseRelays } from '../relayChoice'
import { createTableRelay, type TableRelay } from '../tableRelay'
import type { Instant, Peer, Store, StoreReadResult } from '../types'

const TABLE = 'op'
const WAIT_MS = 1750
const row = (key: string, version: number): { key: string, value: Buffer, version: number } => {
  return { key, value: Buffer.from(key), version }
}

let time = 0
const now = (): Instant => ({ steady: time, wall: time })

interface Instance { relay: TableRelay, waits: number[] }

function createPeers (perDataCentre: number): Peer[] {
  return ['north', 'south'].flatMap((dataCentre) => Array.from({ length: perDataCentre }, (_unused, index) => ({
    name: `${dataCentre}-${index}`, dataCentre, endpoint: { host: `${dataCentre}-${index}`, port: 1 }
  })))
}

/** Creates instances of two data centres whose requests are delivered without latency; the store returns no changes. */
function createFleet (
  perDataCentre: number, fails: (name: string) => boolean = () => false, scarce: readonly string[] = []
): Map<string, Instance> {
  const peers = createPeers(perDataCentre)
  const fleet = new Map<string, Instance>()
  for (const { name, dataCentre } of peers) {
    const waits: number[] = []
    const store: Store = {
      read: async () => ({ rows: [], version: 1, storeTime: 0 }),
      async follow (_table, after, wait) {
        waits.push(wait)
        return { rows: [], version: after, storeTime: 0 }
      },
      commit: async () => { throw new Error('not used') },
      close: () => {}
    }
    const relay = createTableRelay({
      store,
      links: {
        isUsable: () => true,
        async request ({ host }: Endpoint, question: PeerValue) {
          if (fails(host)) throw new PlatformUnavailableError('no answer')
          return await fleet.get(host)!.relay.handleRequest(question)
        }
      },
      instance: name,
      dataCentre,
      peers: () => peers.filter((peer) => peer.name !== name),
      hasLimitedSource: (table) => scarce.includes(table),
      log: () => {},
      now
    })
    fleet.set(name, { relay, waits })
  }
  return fleet
}

const north = (count: number): string[] => Array.from({ length: count }, (_unused, index) => `north-${index}`)
/** Returns the names of the relays of the data centre. */
const relayNames = (count: number): string[] => north(count).filter((name) => (
  chooseRelays(name, 'north', createPeers(count).filter((peer) => peer.name !== name)).isRelay
))
/** Returns the names of the instances that read the store. */
const hubNames = (count: number): string[] => createPeers(count).flatMap(({ name, dataCentre }, _index, all) => (
  chooseRelays(name, dataCentre, all.filter((peer) => peer.name !== name)).sources === undefined ? [name] : []
))

/** Makes the relays have version 5 and a later change of the table, confirmed by the store `age` milliseconds ago. */
function prepare (fleet: Map<string, Instance>, age: number): void {
  for (const name of relayNames(4)) {
    const table = fleet.get(name)!.relay.table(TABLE)
    table.replaced([row('old', 4)], 5)
    table.changed([row('new', 6)], 6, { steady: time - age - 10, wall: time - age - 10 }, false)
    table.confirmed({ steady: time - age, wall: time - age })
  }
}

function follower (fleet: Map<string, Instance>): Instance {
  return fleet.get(north(4).find((name) => !relayNames(4).includes(name))!)!
}

beforeEach(() => {
  time = 100_000
  vi.useFakeTimers()
})
afterEach(() => { vi.useRealTimers() })

describe('a relayed table', () => {
  it.each([
    { perDataCentre: 1, readers: 1 }, { perDataCentre: 2, readers: 1 }, { perDataCentre: 23, readers: 1 }
  ])('is read from the store by $readers instance of 2 x $perDataCentre', async ({ perDataCentre, readers }) => {
    const fleet = createFleet(perDataCentre)
    for (const { relay } of fleet.values()) {
      const table = relay.table(TABLE)
      table.replaced([], 5)
      table.confirmed(now())
    }
    const readings = Promise.all([...fleet.values()].map(async ({ relay }) => {
      return await relay.store.follow(TABLE, 5, WAIT_MS)
    }))
    await vi.advanceTimersByTimeAsync(WAIT_MS)
    await readings
    expect([...fleet.values()].filter(({ waits }) => waits.length > 0)).toHaveLength(readers)
  })

  it('reaches the other instances with the age of the store\'s confirmation', async () => {
    const fleet = createFleet(4)
    prepare(fleet, 700)
    const reading = await follower(fleet).relay.store.follow(TABLE, 5, WAIT_MS)
    expect(reading).toEqual<StoreReadResult>({
      rows: [row('new', 6)], version: 6, storeTime: 0, era: 0, relayed: { age: 700, changedWithin: 710, afterOutage: false }
    })
  })

  it('reaches the other instances as soon as it changes', async () => {
    const fleet = createFleet(4)
    prepare(fleet, 0)
    const reading = follower(fleet).relay.store.follow(TABLE, 6, WAIT_MS)
    await vi.advanceTimersByTimeAsync(20)
    for (const name of relayNames(4)) fleet.get(name)!.relay.table(TABLE).changed([row('newer', 7)], 7, now(), true)
    await vi.advanceTimersByTimeAsync(0)
    expect(await reading).toMatchObject({ rows: [row('newer', 7)], version: 7, relayed: { afterOutage: true } })
  })

  it.each<{ name: string, arrange: (fleet: Map<string, Instance>) => void, failing?: boolean }>([
    { name: 'has had no confirmation from the store for too long', arrange: (fleet) => { prepare(fleet, 2800) } },
    {
      name: 'cannot reach the store',
      arrange (fleet) {
        prepare(fleet, 0)
        for (const name of relayNames(4)) fleet.get(name)!.relay.table(TABLE).lost()
      }
    },
    { name: 'does not follow the table', arrange: () => {} },
    { name: 'does not respond', arrange: (fleet) => { prepare(fleet, 0) }, failing: true }
  ])('is read from the store without a wait when either relay $name, and with a wait once both are backed off', async ({ arrange, failing }) => {
    const fleet = createFleet(4, () => failing === true)
    arrange(fleet)
    const { relay, waits } = follower(fleet)
    for (let call = 0; call < 3; call += 1) await relay.store.follow(TABLE, 6, WAIT_MS)
    expect(waits).toEqual([0, 0, WAIT_MS])
    time += 1000
    waits.splice(0)
    await relay.store.follow(TABLE, 6, WAIT_MS)
    expect(waits).toEqual([0])
  })

  it('is read through a relay that cannot serve another table', async () => {
    const fleet = createFleet(4, undefined, ['cache'])
    prepare(fleet, 0)
    const { relay, waits } = follower(fleet)
    for (let call = 0; call < 2; call += 1) {
      await expect(relay.store.follow('cache', 6, WAIT_MS)).rejects.toBeInstanceOf(PlatformUnavailableError)
    }
    expect(await relay.store.follow(TABLE, 5, WAIT_MS)).toMatchObject({ rows: [row('new', 6)] })
    expect(waits).toEqual([])
  })

  it('is read completely by an instance that is behind the history of the relay', async () => {
    const fleet = createFleet(4)
    prepare(fleet, 0)
    await expect(follower(fleet).relay.store.follow(TABLE, 4, WAIT_MS)).rejects.toBeInstanceOf(HistoryLostError)
  })

  it('reaches all instances through hub and relays as soon as it changes, with the age of the store\'s confirmation', async () => {
    const fleet = createFleet(4)
    const hubs = hubNames(4)
    for (const name of hubs) {
      const table = fleet.get(name)!.relay.table(TABLE)
      table.replaced([row('old', 4)], 5)
      table.confirmed({ steady: time - 700, wall: time - 700 })
    }
    /** Follows the table as an instance does, and relays what it receives. */
    async function follow (name: string): Promise<StoreReadResult> {
      const { relay } = fleet.get(name)!
      const reading = await relay.store.follow(TABLE, 5, WAIT_MS)
      const age = reading.relayed!.age
      relay.table(TABLE).changed(reading.rows, reading.version, undefined, false)
      relay.table(TABLE).confirmed({ steady: time - age, wall: time - age })
      return reading
    }
    for (const name of [...fleet.keys()].filter((other) => !hubs.includes(other))) {
      const table = fleet.get(name)!.relay.table(TABLE)
      table.replaced([row('old', 4)], 5)
      table.confirmed({ steady: time - 900, wall: time - 900 })
    }
    const readings = Promise.all([...fleet.keys()].filter((name) => !hubs.includes(name)).map(follow))
    await vi.advanceTimersByTimeAsync(20)
    for (const name of hubs) {
      fleet.get(name)!.relay.table(TABLE).confirmed(now())
      fleet.get(name)!.relay.table(TABLE).changed([row('newer', 7)], 7, undefined, false)
    }
    await vi.advanceTimersByTimeAsync(0)
    for (const reading of await readings) {
      expect(reading).toMatchObject({ rows: [row('newer', 7)], version: 7, relayed: { age: 0 } })
    }
    expect([...fleet.values()].flatMap(({ waits }) => waits)).toEqual([])
  })

  it('is waited for while a relay reads it, and read from the store if that takes too long', async () => {
    const fleet = createFleet(4)
    const { relay, waits } = follower(fleet)
    for (const { relay: other } of fleet.values()) other.table(TABLE)
    const soon = relay.store.read(TABLE)
    await vi.advanceTimersByTimeAsync(100)
    prepare(fleet, 0)
    await vi.advanceTimersByTimeAsync(0)
    expect(await soon).toMatchObject({ version: 6, relayed: { age: 0 } })
    const late = createFleet(4)
    for (const { relay: other } of late.values()) other.table(TABLE)
    const reading = follower(late).relay.store.read(TABLE)
    await vi.advanceTimersByTimeAsync(1000)
    expect(await reading).toMatchObject({ version: 1 })
    expect(waits).toEqual([])
  })

  // Guards against a relay whose memory grows with every request about a table that does not change.
  it('leaves no waiter at the relay after requests that timed out', async () => {
    const fleet = createFleet(4)
    prepare(fleet, 0)
    const readings = Array.from({ length: 5 }, async () => await follower(fleet).relay.store.follow(TABLE, 6, WAIT_MS))
    await vi.advanceTimersByTimeAsync(0)
    const waiting = (): number => relayNames(4)
      .reduce((sum, name) => sum + fleet.get(name)!.relay.pendingRequests(), 0)
    expect(waiting()).toBe(5)
    await vi.advanceTimersByTimeAsync(WAIT_MS)
    await Promise.all(readings)
    expect(waiting()).toBe(0)
  })

  describe('of a source that permits few calls', () => {
    it('is read by the other instances through a relay, first completely and then its changes', async () => {
      const fleet = createFleet(4, undefined, [TABLE])
      prepare(fleet, 100)
      const { relay, waits } = follower(fleet)
      const whole = await relay.store.read(TABLE)
      expect(whole).toMatchObject({ rows: [row('old', 4), row('new', 6)], version: 6, relayed: { age: 100 } })
      expect(await relay.store.follow(TABLE, 5, WAIT_MS)).toMatchObject({ rows: [row('new', 6)] })
      expect(waits).toEqual([])
    })

    it('is never read from the source by the other instances', async () => {
      const fleet = createFleet(4, () => true, [TABLE])
      const { relay, waits } = follower(fleet)
      for (let call = 0; call < 3; call += 1) {
        await expect(relay.store.follow(TABLE, 6, WAIT_MS)).rejects.toBeInstanceOf(PlatformUnavailableError)
        await expect(relay.store.read(TABLE)).rejects.toBeInstanceOf(PlatformUnavailableError)
      }
      expect(waits).toEqual([])
    })

    it('is read completely after its versions have restarted', async () => {
      const fleet = createFleet(4, undefined, [TABLE])
      prepare(fleet, 0)
      await expect(follower(fleet).relay.store.follow(TABLE, 900, 10)).rejects.toBeInstanceOf(HistoryLostError)
    })
  })

  it.each([
    { name: 'no table', question: { after: 1, wait: 1, longestAge: 1 } },
    { name: 'no version', question: { table: TABLE, wait: 1, longestAge: 1 } }
  ])('is rejected for a request with $name', async ({ question }) => {
    await expect(createFleet(1).get('north-0')!.relay.handleRequest(question)).rejects.toBeInstanceOf(PlatformUnavailableError)
  })
})

// A data centre has 22 other instances, its cache stores add or evict 1,000 prefixes per second, and the slowest link
// carries 7 Mbit/s, a third of which may be used for this.
it('encodes the entries of cache stores in at most 13 bytes each', async () => {
  const relay = createFleet(4).get(relayNames(4)[0]!)!.relay
  const table = relay.table('kept-cache/10.0.0.5:8080')
  const version = 77_120 * 2 ** 32
  const rows = Array.from({ length: 1000 }, (_unused, index) => (
    { key: segmentKey('model.3.bakery', `part-${index}`), value: Buffer.alloc(0), version: version + 1 }
  ))
  table.replaced([], version)
  table.confirmed(now())
  table.changed(rows, version + 1, now(), false)
  const answer = await relay.handleRequest({ table: 'kept-cache/10.0.0.5:8080', after: version, wait: 0, longestAge: 1000 })
  expect(answer.rows).toHaveLength(1000)
  expect(encodeValue(answer, 'answer').length).toBeLessThan(13_000)
})
