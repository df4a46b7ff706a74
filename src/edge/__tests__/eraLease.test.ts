/** Guards against two holders of the lease, and tokens that go back, when the store comes back from an older copy. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { startLeaseTask, type LeaseTask } from '../leaseTask'
import { withStoreEra } from '../storeEra/eraStore'
import { createStoreEra, type StoreEra } from '../storeEra/storeEra'
import { createStoreLease } from '../storeLease'
import type { Instant, Store, StoreRow } from '../types'

const DURATION = 3000
const STEP_MS = 10
const now = (): Instant => ({ steady: Date.now(), wall: Date.now() })

interface Member {
  name: string
  storeEra: StoreEra
  task: LeaseTask
  isReached: boolean
  isNeeded: boolean
  isAlive: boolean
}

let members: Member[]
let row: StoreRow | undefined
let version: number
let era: number
let clockStart: number
/** Who held the lease last, when, and with which token. */
let last: { name: string, at: number, token: number } | undefined

function join (name: string, namesEra = true): Member {
  const storeEra = createStoreEra()
  const member = { name, storeEra, isReached: true, isNeeded: true, isAlive: true } as Member
  const meta = (): { storeTime: number, era?: number } => ({
    storeTime: Date.now() - clockStart, ...(namesEra ? { era } : {})
  })
  function reach (): void {
    if (!member.isReached) throw new PlatformUnavailableError('no answer')
  }
  const store: Store = withStoreEra({
    async read () {
      reach()
      return { rows: row === undefined ? [] : [row], version, ...meta() }
    },
    follow: async () => { throw new Error('not used') },
    async commit ({ conditions, writes }) {
      reach()
      if (conditions[0]!.version !== (row?.version ?? 0)) return { committed: false, rows: [], ...meta() }
      version += 1
      row = { key: writes[0]!.key, value: Buffer.from(writes[0]!.value), version }
      return { committed: true, version, ...meta() }
    },
    close () {}
  }, storeEra, now)
  member.task = startLeaseTask({
    instance: name,
    store,
    lease: createStoreLease(name, 1, DURATION, storeEra),
    isHeldByOther: () => false,
    isNeeded: () => member.isNeeded,
    isStopping: () => false,
    peers: () => members.map((other) => other.name).filter((other) => other !== name),
    log: () => {},
    now,
    random: () => 0.5
  })
  // An instance writes its row at its start; the answer names the era.
  storeEra.observe(namesEra ? era : 0, now())
  members.push(member)
  return member
}

const holders = (): Member[] => members.filter(({ isAlive, task }) => isAlive && task.token() !== undefined)

/** Advances the time; a whole lease must lie between the orders of two holders, and tokens must not go back. */
async function advance (milliseconds: number): Promise<void> {
  for (let time = 0; time < milliseconds; time += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS)
    for (const { name, task } of holders()) {
      const token = task.token()!
      if (last !== undefined && last.name !== name) expect(Date.now() - last.at).toBeGreaterThanOrEqual(DURATION)
      // A holder of the release before eras keeps its tokens; engines refuse them.
      if (last !== undefined) expect(token).toBeGreaterThanOrEqual(last.token)
      last = { name, at: Date.now(), token }
    }
  }
}

function lead (member: Member): void {
  for (const other of members) other.isNeeded = other === member
}

/** The store comes back from a copy; the instances that reach it learn of the era as they read their tables. */
function restore (copy: { row: StoreRow | undefined, version: number }): void {
  row = copy.row
  version = copy.version
  era += 1
  for (const member of members) {
    member.isNeeded = true
    if (member.isReached) member.storeEra.observe(era, now())
  }
}

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 })
  members = []
  row = undefined
  version = 1000
  era = 1
  clockStart = 0
  last = undefined
  for (const name of ['router-1', 'router-2', 'router-3']) join(name)
})
afterEach(() => {
  for (const { task } of members) task.stop()
  vi.useRealTimers()
})

/** Returns the holder, and the store's copy of a moment before or after its first grant. */
async function hold (): Promise<{ holder: Member, copy: { row: StoreRow | undefined, version: number } }> {
  await advance(10_000)
  const [holder] = holders()
  const copy = { row, version }
  await advance(4000)
  expect(holders()).toEqual([holder])
  return { holder: holder!, copy }
}

describe('the lease in a new era', () => {
  it('goes on with its holder within 2 s', async () => {
    const { holder, copy } = await hold()
    restore(copy)
    expect(holders()).toEqual([])
    await advance(2000)
    expect(holders()).toEqual([holder])
  })

  it.each([
    { name: 'the copy knows the holder', isKnown: true, restartsClock: false },
    { name: 'the copy knows no lease', isKnown: false, restartsClock: false },
    { name: 'the clock of the store starts anew', isKnown: true, restartsClock: true }
  ])('is taken over when the holder is lost and $name', async ({ isKnown, restartsClock }) => {
    const { holder, copy } = await hold()
    holder.isAlive = false
    holder.task.stop()
    if (restartsClock) clockStart = Date.now()
    restore(isKnown ? copy : { row: undefined, version: 900 })
    await advance(12_000)
    expect(holders()).toHaveLength(1)
  })

  it('is taken over when the holder is cut off before it learns of the era, and left to the new one', async () => {
    const { holder, copy } = await hold()
    holder.isReached = false
    restore(copy)
    await advance(12_000)
    const [next] = holders()
    expect(next).not.toBe(holder)
    holder.isReached = true
    await advance(8000)
    expect(holders()).toEqual([next])
  })

  it('is not taken at once by the holder that the copy names while a later one still uses it', async () => {
    const { holder: first, copy } = await hold()
    const second = members.find((member) => member !== first)!
    lead(second)
    await advance(10_000)
    expect(holders()).toEqual([second])
    second.isReached = false
    restore(copy)
    await advance(12_000)
    expect(holders()).toHaveLength(1)
    expect(holders()).not.toContain(second)
  })

  it('is not taken at once by an instance that starts in the new era', async () => {
    const { holder, copy } = await hold()
    holder.isReached = false
    for (const member of members) if (member !== holder) member.isReached = false
    restore(copy)
    // The lease in the copy has long run out.
    await advance(500)
    const started = join('router-4')
    await advance(12_000)
    expect(holders()).toEqual([started])
  })

  it('is not taken from a holder of the release before eras', async () => {
    const { holder } = await hold()
    for (const { task } of members) task.stop()
    members = []
    last = undefined
    await advance(8000)
    const previous = join('router-5', false)
    await advance(3000)
    const others = ['router-6', 'router-7'].map((name) => join(name))
    await advance(8000)
    expect(holders()).toEqual([previous])
    expect(others.map(({ storeEra }) => storeEra.current())).toEqual([era, era])
    expect(holder.isAlive).toBe(true)
  })
})
