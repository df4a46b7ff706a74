/** Guards against long answers that exhaust the memory, and against answers that wait for each other for good. */
import { EventEmitter } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { createAnswerMemory, mayGrow } from '../answerMemory'
import type { Exchange } from '../exchange'

const MB = 1024 * 1024
const BOUND = 100 * MB

describe('an answer may use more memory', () => {
  it.each([
    ['while little is held', { heldBytes: 10 * MB, isNext: true, isOldest: false }, true],
    ['up to three quarters of the bound', { heldBytes: 70 * MB, isNext: true, isOldest: false }, true],
    ['not beyond', { heldBytes: 70 * MB + 1, isNext: true, isOldest: false }, false],
    ['beyond, if it is the oldest', { heldBytes: 200 * MB, isNext: true, isOldest: true }, true],
    ['not while others on its connection come before it', { heldBytes: 0, isNext: false, isOldest: true }, false]
  ])('%s', (_, use, expected) => {
    expect(mayGrow({ ...use, bound: BOUND }, 5 * MB)).toBe(expected)
  })
})

interface Caller {
  exchange: Exchange
  /** The response is the next one on its connection. */
  becomeNext: () => void
  end: () => void
}

function createCaller (isNext = true): Caller {
  const response = Object.assign(new EventEmitter(), { socket: isNext ? {} : null })
  return {
    exchange: { request: {}, response } as unknown as Exchange,
    becomeNext () { response.socket = {} },
    end () { response.emit('close') }
  }
}

function createFixture (heldBytes: number) {
  const fixture = { heldBytes, sheds: 0 }
  const memory = createAnswerMemory({
    bound: BOUND,
    heldBytes: () => fixture.heldBytes,
    shedStalled () { fixture.sheds += 1 }
  }, () => performance.now())
  return Object.assign(fixture, { memory })
}

const NEVER = new AbortController().signal

/** Returns whether the promise settles within the time of several polls. */
async function settles (promise: Promise<void>): Promise<boolean> {
  return await Promise.race([promise.then(() => true), delay(150).then(() => false)])
}

describe('answer memory', () => {
  it('lets one answer go on when the memory is used up, until its caller has read it', async () => {
    const { memory } = createFixture(BOUND)
    const [first, second] = [createCaller(), createCaller()]
    const firstAnswer = memory.open(first.exchange)
    await firstAnswer.reserve(MB, NEVER)
    const waiting = memory.open(second.exchange).reserve(MB, NEVER)
    expect(await settles(waiting)).toBe(false)
    firstAnswer.release()
    expect(await settles(waiting)).toBe(false)
    first.end()
    expect(await settles(waiting)).toBe(true)
  })

  it('lets answers go on together while there is memory', async () => {
    const { memory } = createFixture(0)
    for (let count = 0; count < 3; count += 1) await memory.open(createCaller().exchange).reserve(MB, NEVER)
  })

  it('does not count an answer behind others on its connection as the oldest', async () => {
    const { memory } = createFixture(BOUND)
    const behind = createCaller(false)
    const waiting = memory.open(behind.exchange).reserve(MB, NEVER)
    const other = createCaller()
    await memory.open(other.exchange).reserve(MB, NEVER)
    behind.becomeNext()
    expect(await settles(waiting)).toBe(false)
    other.end()
    expect(await settles(waiting)).toBe(true)
  })

  it('closes stalled connections while an answer waits', async () => {
    const fixture = createFixture(BOUND)
    await fixture.memory.open(createCaller().exchange).reserve(MB, NEVER)
    expect(fixture.sheds).toBe(0)
    const waiting = fixture.memory.open(createCaller().exchange).reserve(MB, NEVER)
    expect(await settles(waiting)).toBe(false)
    expect(fixture.sheds).toBeGreaterThan(0)
    fixture.heldBytes = 0
    expect(await settles(waiting)).toBe(true)
  })

  it('does not count an answer whose caller has left as the oldest', async () => {
    const { memory } = createFixture(BOUND)
    const left = createCaller()
    left.end()
    await expect(memory.open(left.exchange).reserve(MB, AbortSignal.abort())).rejects.toThrow('abort')
    expect(await settles(memory.open(createCaller().exchange).reserve(MB, NEVER))).toBe(true)
  })

  it('stops waiting when the attempt ends', async () => {
    const { memory } = createFixture(BOUND)
    await memory.open(createCaller().exchange).reserve(MB, NEVER)
    const controller = new AbortController()
    const waiting = memory.open(createCaller().exchange).reserve(MB, controller.signal)
    controller.abort()
    await expect(waiting).rejects.toThrow('abort')
  })
})
