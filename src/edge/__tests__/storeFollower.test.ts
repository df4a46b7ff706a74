import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { HistoryLostError, PlatformUnavailableError } from '../../errors'
import { EdgeEvent } from '../events'
import { createStoreEra, type StoreEra } from '../storeEra/storeEra'
import { followTable, type ObservationGap, type Follower } from '../storeFollower'
import type { Instant, RelayMetadata, Store, StoreReadResult } from '../types'

type Step = StoreReadResult | Error | 'wait' | (() => Promise<StoreReadResult>)

const reading = (version: number, key?: string): StoreReadResult => ({
  version, storeTime: 0, rows: key === undefined ? [] : [{ key, value: Buffer.from('x'), version }]
})

/** Creates a store whose calls return the given steps in order; later calls never resolve. */
function createStore (steps: Step[]): { store: Store, calls: string[] } {
  const calls: string[] = []
  async function answer (call: string): Promise<StoreReadResult> {
    calls.push(call)
    const step = steps.shift()
    if (step instanceof Error) throw step
    if (step === undefined || step === 'wait') return await new Promise(() => {})
    return typeof step === 'function' ? await step() : step
  }
  const store: Store = {
    read: async () => await answer('read'),
    follow: async (_table, after) => await answer(`follow ${after}`),
    commit: async () => { throw new Error('not used') },
    close: () => {}
  }
  return { store, calls }
}

/** Returns a response that is delayed by the given number of milliseconds. */
const later = (milliseconds: number, answer: StoreReadResult) => async (): Promise<StoreReadResult> => {
  return await new Promise((resolve) => {
    setTimeout(() => {
      time += milliseconds
      resolve(answer)
    }, milliseconds)
  })
}

interface Trace {
  calls: string[]
  rows: Array<{ keys: string[], gap: ObservationGap }>
  contacts: Instant[]
  events: string[]
}

let follower: Follower
let storeEra: StoreEra
let time = 0

async function follow (steps: Step[], newest = 1, settleDelay = (_wasRelayed: boolean): number => 0): Promise<Trace> {
  const { store, calls } = createStore(steps)
  storeEra = createStoreEra()
  storeEra.newestVersion.value = newest
  const trace: Trace = { calls, rows: [], contacts: [], events: [] }
  const take = (rows: ReadonlyArray<{ key: string }>, gap: ObservationGap): void => {
    trace.rows.push({ keys: rows.map(({ key }) => key), gap })
  }
  follower = followTable({
    store,
    table: 'op',
    relay: {
      replaced: () => {}, changed: () => {}, confirmed: () => {}, lost: () => {}
    },
    wait: 1000,
    storeEra,
    settleDelay,
    onRows: take,
    onChanges: take,
    onConfirmed: (sentAt) => { trace.contacts.push(sentAt) },
    log: (event) => { trace.events.push(event) },
    now: () => ({ steady: time, wall: time }),
    random: () => 0
  })
  await vi.advanceTimersByTimeAsync(0)
  return trace
}

beforeEach(() => {
  time = 0
  vi.useFakeTimers()
})
afterEach(() => {
  follower.stop()
  vi.useRealTimers()
})

describe('followTable', () => {
  it('reads all rows, then follows the changes since that version', async () => {
    const trace = await follow([reading(5, 'a'), reading(7, 'b')])
    expect(trace.calls).toEqual(['read', 'follow 5', 'follow 7'])
    expect(trace.rows.map(({ keys }) => keys)).toEqual([['a'], ['b']])
    expect(trace.contacts).toHaveLength(2)
  })

  it('does not bound the age of changes before its first read', async () => {
    const trace = await follow([reading(5, 'a'), reading(7, 'b')])
    expect(trace.rows.map(({ gap }) => gap.changedAfter)).toEqual([undefined, { steady: 0, wall: 0 }])
  })

  it.each<[string, Error]>([
    ['the store is unavailable', new PlatformUnavailableError('unavailable')],
    ['the history is lost', new HistoryLostError('lost')]
  ])('changes may be as old as the last contact after an error: %s', async (_title, error) => {
    const isLost = error instanceof HistoryLostError
    const trace = await follow([reading(5, 'a'), error, reading(9, 'b')])
    time = 4000
    await vi.advanceTimersByTimeAsync(200)
    expect(trace.calls).toEqual(['read', 'follow 5', isLost ? 'read' : 'follow 5', 'follow 9'])
    expect(trace.rows.at(-1)).toEqual({ keys: ['b'], gap: { afterOutage: true, changedAfter: { steady: 0, wall: 0 } } })
    expect(trace.events).toEqual([EdgeEvent.storeLost, EdgeEvent.storeRegained])
  })

  it('batches changes in quick succession', async () => {
    const trace = await follow([reading(5, 'a'), reading(7, 'b'), reading(9, 'c')], 1, () => 100)
    expect(trace.calls).toEqual(['read'])
    for (const call of ['follow 5', 'follow 7']) {
      await vi.advanceTimersByTimeAsync(99)
      expect(trace.calls).not.toContain(call)
      await vi.advanceTimersByTimeAsync(1)
      expect(trace.calls.at(-1)).toBe(call)
    }
  })

  it('accepts rows but no confirmation before a write has shown the newest version', async () => {
    const trace = await follow([reading(5, 'a'), reading(7, 'b')], 0)
    expect(trace.rows.map(({ keys }) => keys)).toEqual([['a'], ['b']])
    expect(trace.contacts).toHaveLength(0)
  })

  it('rejects a response with an older version than seen before', async () => {
    const trace = await follow([reading(5, 'a'), reading(9)], 8)
    expect(trace.contacts).toHaveLength(0)
    expect(trace.rows).toHaveLength(0)
    expect(trace.events).toEqual([EdgeEvent.storeLost])
  })

  describe('a result from a relay', () => {
    const relayed = (version: number, proof: Partial<RelayMetadata> = {}): StoreReadResult => ({
      ...reading(version, 'b'), relayed: { age: 300, changedWithin: 250, afterOutage: false, ...proof }
    })

    it.each([
      { name: 'confirms the state as of some time before the request', proof: {}, changedAfter: 1250, afterOutage: false },
      { name: 'may contain changes whose age the relay does not know', proof: { changedWithin: undefined }, changedAfter: 1500, afterOutage: false },
      { name: 'may follow an outage of the relay', proof: { afterOutage: true }, changedAfter: 1250, afterOutage: true }
    ])('$name', async ({ proof, changedAfter, afterOutage }) => {
      const trace = await follow([reading(6, 'a'), later(1500, reading(6)), later(900, relayed(7, proof))], 6)
      await vi.advanceTimersByTimeAsync(2400)
      expect(trace.contacts.at(-1)).toEqual({ steady: 1200, wall: 1200 })
      expect(trace.rows.at(-1)!.gap).toEqual({
        changedAfter: { steady: changedAfter, wall: changedAfter }, afterOutage
      })
    })

    it('is distinguished from a result of the store when computing the delay', async () => {
      const asked: boolean[] = []
      await follow([reading(6, 'a'), relayed(7), 'wait'], 6, (wasRelayed) => {
        asked.push(wasRelayed)
        return 0
      })
      await vi.advanceTimersByTimeAsync(10)
      expect(asked).toEqual([false, true])
    })

    it('is accepted even if the relay is behind the version that this instance has seen', async () => {
      const trace = await follow([reading(9, 'a'), relayed(9)], 9)
      expect(trace.contacts).toHaveLength(2)
      const behind = await follow([reading(9, 'a'), relayed(8)], 9)
      expect(behind.calls).toEqual(['read', 'follow 9', 'follow 9'])
    })
  })
})
