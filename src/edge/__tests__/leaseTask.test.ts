import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { startLeaseTask, type LeaseTask } from '../leaseTask'
import { createStoreLease } from '../storeLease'
import type { StoreRow } from '../types'

const DURATION = 3000
const STORE_START = 1_000_000

interface Fleet {
  calls: { reads: number, commits: number }
  tasks: LeaseTask[]
  holder: () => number
}

const running: LeaseTask[] = []

/**
 * Starts instances that share one store without latency; `holderIsHeard`: whether the others receive updates of the
 * holder.
 */
function startFleet (count: number, holderIsHeard: boolean): Fleet {
  const calls = { reads: 0, commits: 0 }
  let row: StoreRow | undefined
  let version = 0
  const names = Array.from({ length: count }, (_unused, index) => `router-${index}`)
  const now = (): { steady: number, wall: number } => ({ steady: Date.now(), wall: Date.now() })
  const storeTime = (): number => STORE_START + Date.now()
  const tasks: LeaseTask[] = []
  const holder = (): number => tasks.findIndex((task) => task.token() !== undefined)
  for (const [index, name] of names.entries()) {
    tasks.push(startLeaseTask({
      instance: name,
      store: {
        async read () {
          calls.reads += 1
          return { rows: row === undefined ? [] : [row], version, storeTime: storeTime() }
        },
        async commit ({ conditions, writes }) {
          calls.commits += 1
          const isMet = conditions[0]!.version === (row?.version ?? 0)
          if (!isMet) return { committed: false, rows: [], storeTime: storeTime() }
          version += 1
          row = { key: writes[0]!.key, value: Buffer.from(writes[0]!.value), version }
          return { committed: true, version, storeTime: storeTime() }
        }
      },
      lease: createStoreLease(name, 1, DURATION),
      isHeldByOther: () => holderIsHeard && holder() >= 0 && holder() !== index,
      isNeeded: () => true,
      isStopping: () => false,
      peers: () => names.filter((other) => other !== name),
      log: () => {},
      now,
      random: () => 0.5
    }))
  }
  running.push(...tasks)
  return { calls, tasks, holder }
}

beforeEach(() => { vi.useFakeTimers({ now: 0 }) })
afterEach(() => {
  for (const task of running.splice(0)) task.stop()
  vi.useRealTimers()
})

describe('the lease of a large fleet', () => {
  it('costs about one write per second while updates of the holder arrive, and many reads otherwise', async () => {
    const [heard, unheard] = [startFleet(60, true), startFleet(60, false)]
    await vi.advanceTimersByTimeAsync(10_000)
    expect(heard.holder()).toBeGreaterThanOrEqual(0)
    expect(heard.calls.reads).toBeLessThan(10)
    expect(heard.calls.commits).toBeLessThan(13)
    expect(unheard.calls.reads).toBeGreaterThan(10 * heard.calls.reads)
  })

  it('is taken over when the holder stops', async () => {
    const { tasks, holder } = startFleet(60, true)
    await vi.advanceTimersByTimeAsync(5000)
    const first = holder()
    tasks[first]!.stop()
    let timeWithoutHolder = 0
    for (let time = 0; time < 12_000 && (holder() < 0 || holder() === first); time += 100) {
      await vi.advanceTimersByTimeAsync(100)
      timeWithoutHolder = time
    }
    expect(holder()).not.toBe(first)
    expect(holder()).toBeGreaterThanOrEqual(0)
    // The lease, the takeover delay, the longest delay by rank, and a margin.
    expect(timeWithoutHolder).toBeLessThan(DURATION + 0.8 * DURATION + 2500 + 1000)
  })
})
