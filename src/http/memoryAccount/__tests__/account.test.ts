/** Guards against bytes beyond the bound of a process, and against giving up the wrong requests for them. */
import { describe, expect, it } from 'vitest'
import { createMemoryAccount, HeldKind, type HeldConnection, type HeldRequest, type MemoryAccount } from '../account'
import { connectionBound, heldBytesBound } from '../bounds'
import { MIN_INPUT_RELIEF_BYTES, MIN_RELIEF_BYTES, STALLED_MS, STALLED_UNDER_PRESSURE_MS } from '../relief'

const KB = 1024
const BOUND = 1000 * KB

interface Play {
  account: MemoryAccount
  /** What was given up, in order. */
  given: string[]
  connect: (name: string, at?: number) => HeldConnection
  /** Opens a request with a body of this size that is being read. */
  receive: (name: string, bytes: number, at: number) => HeldRequest
  /** Opens a connection with an answer of this size that its caller does not read. */
  answer: (name: string, bytes: number, at: number) => HeldConnection
}

function play (): Play {
  const account = createMemoryAccount({ bound: BOUND, maxRequests: 20 })
  const given: string[] = []
  const connect = (name: string, at = 0): HeldConnection => (
    account.openConnection({
      close: () => { given.push(`close ${name}`) },
      refuseInput: () => { given.push(`refuse input of ${name}`) }
    }, at)
  )
  return {
    account,
    given,
    connect,
    receive (name, bytes, at) {
      const request = connect(name, at).openRequest(at)
      request.startBody(() => {
        given.push(`refuse ${name}`)
        request.close()
      })
      request.add(HeldKind.body, bytes, at)
      return request
    },
    answer (name, bytes, at) {
      const connection = connect(name, at)
      connection.openRequest(at).add(HeldKind.answer, bytes, at)
      return connection
    }
  }
}

describe('at the bound', () => {
  const cases: ReadonlyArray<[name: string, act: (play: Play) => void, given: string[]]> = [
    ['refuses nothing below it', ({ receive }) => {
      receive('a', 500 * KB, 0)
      receive('b', 500 * KB, 0)
    }, []],
    ['refuses the newest incomplete request', ({ receive }) => {
      receive('a', 600 * KB, 0)
      receive('b', 300 * KB, 1)
      receive('c', 300 * KB, 2)
    }, ['refuse c']],
    ['refuses the newest one also if another one grows', ({ receive }) => {
      const oldest = receive('a', 600 * KB, 0)
      receive('b', 300 * KB, 1)
      oldest.add(HeldKind.body, 300 * KB, 2)
    }, ['refuse b']],
    ['refuses no small request while it has a reserve', ({ receive }) => {
      receive('a', 990 * KB, 0).endBody()
      receive('b', MIN_RELIEF_BYTES - 1, 1)
    }, []],
    ['refuses a small request beyond the reserve', ({ receive }) => {
      receive('a', 990 * KB, 0).endBody()
      const other = receive('b', 10 * KB, 0)
      other.endBody()
      other.add(HeldKind.body, 980 * KB, 0)
      receive('c', 100, 1)
    }, ['refuse c']],
    ['does not refuse a request whose body has been read', ({ receive }) => {
      receive('a', 900 * KB, 0).endBody()
      const other = receive('b', 90 * KB, 0)
      other.endBody()
      other.add(HeldKind.body, 200 * KB, 1)
    }, []],
    ['closes the connection that holds the most without progress, if no request is incomplete', ({ answer }) => {
      answer('a', 300 * KB, 0)
      answer('b', 500 * KB, 0)
      answer('c', 300 * KB, STALLED_MS)
    }, ['close b']],
    ['closes no connection whose caller reads', ({ answer }) => {
      const read = answer('a', 900 * KB, 0)
      read.recordProgress(STALLED_MS)
      answer('b', 300 * KB, STALLED_MS)
    }, []],
    ['refuses the longest input beyond a quarter of it', ({ connect }) => {
      connect('a').setInput(100 * KB, 100 * KB, 0)
      connect('b').setInput(120 * KB, 120 * KB, 0)
      connect('c').setInput(40 * KB, 40 * KB, 0)
    }, ['refuse input of b']],
    ['refuses no input within a quarter of it', ({ connect }) => {
      connect('a').setInput(100 * KB, 100 * KB, 0)
      connect('b').setInput(150 * KB, 150 * KB, 0)
    }, []],
    ['refuses no input that is as short as ordinary heads', ({ answer, connect }) => {
      answer('a', 1000 * KB, 0)
      connect('b').setInput(MIN_INPUT_RELIEF_BYTES - 1, MIN_INPUT_RELIEF_BYTES - 1, 0)
    }, []],
    ['refuses no input that belongs to a body', ({ answer, connect }) => {
      answer('a', 1000 * KB, 0)
      connect('b').setInput(60 * KB, MIN_INPUT_RELIEF_BYTES - 1, 0)
    }, []],
    ['refuses no input of a connection that is closed after a refusal', ({ receive, connect }) => {
      receive('a', 1100 * KB, 0)
      connect('b').setInput(900 * KB, 0, 0)
    }, ['refuse a']],
    ['refuses the input of each connection once', ({ connect }) => {
      const connection = connect('b')
      connection.setInput(300 * KB, 300 * KB, 0)
      connection.setInput(400 * KB, 400 * KB, 0)
    }, ['refuse input of b']],
    ['refuses an incomplete request before an input', ({ connect, receive }) => {
      connect('a').setInput(200 * KB, 200 * KB, 0)
      receive('b', 900 * KB, 0)
    }, ['refuse b']],
    ['refuses an input before it closes a connection', ({ answer, connect }) => {
      answer('a', 900 * KB, 0)
      connect('b').setInput(200 * KB, 200 * KB, STALLED_MS)
    }, ['refuse input of b']],
    ['refuses an incomplete request before it closes a connection', ({ answer, receive }) => {
      answer('a', 500 * KB, 0)
      receive('b', 300 * KB, 0)
      answer('c', 300 * KB, STALLED_MS)
    }, ['refuse b']]
  ]

  it.each(cases)('%s', (_name, act, given) => {
    const current = play()
    act(current)
    expect(current.given).toEqual(given)
  })
})

describe('under pressure', () => {
  const cases: ReadonlyArray<[name: string, bytes: number, now: number, given: string[]]> = [
    ['closes a connection without progress', 800 * KB, STALLED_UNDER_PRESSURE_MS, ['close a']],
    ['closes none that has made progress', 800 * KB, STALLED_UNDER_PRESSURE_MS - 1, []],
    ['closes none in calm', 700 * KB, 60_000, []]
  ]

  it.each(cases)('%s', (_name, bytes, now, given) => {
    const current = play()
    current.answer('a', bytes, 0)
    current.account.sweep(now)
    current.account.sweep(now)
    expect(current.given).toEqual(given)
  })
})

describe('the account', () => {
  it('releases what a request holds when it ends, whatever it recorded before and after', () => {
    const { account, connect } = play()
    const connection = connect('a')
    const request = connection.openRequest(0)
    request.add(HeldKind.body, 100, 0)
    request.add(HeldKind.answer, 50, 0)
    request.add(HeldKind.answer, -20, 0)
    expect([account.heldBytes(), connection.bytes(), account.heldByKind().get(HeldKind.answer)]).toEqual([130, 130, 30])
    request.close()
    request.add(HeldKind.answer, -30, 0)
    request.close()
    expect([account.heldBytes(), connection.bytes()]).toEqual([0, 0])
    expect([...account.heldByKind().values()]).toEqual([0, 0, 0, 0, 0, 0, 0])
  })

  it('releases the input of a connection when it ends, also if it was refused', () => {
    const { account, answer, connect } = play()
    const connection = connect('a')
    connection.setInput(100, 100, 0)
    expect([account.heldBytes(), connection.bytes()]).toEqual([100, 100])
    answer('b', 1000 * KB, 0)
    connection.setInput(50 * KB, 50 * KB, 0)
    connection.close()
    connection.setInput(100, 100, 0)
    expect(account.heldByKind().get(HeldKind.input)).toBe(0)
  })

  it('is tight at half its bound, or at its number of requests', () => {
    const { account, answer, connect } = play()
    const connection = connect('a')
    const requests = Array.from({ length: 20 }, () => connection.openRequest(0))
    expect(account.isTight()).toBe(true)
    requests[0]!.close()
    expect(account.isTight()).toBe(false)
    answer('b', 501 * KB, 0)
    expect(account.isTight()).toBe(true)
  })
})

describe('the bounds of a machine', () => {
  const MB = 1024 * KB
  it.each([[178, 32 * MB], [602, 202 * MB], [64, 16 * MB]])('hold, with %d MB of memory, %d bytes', (memory, bytes) => {
    expect(heldBytesBound(memory)).toBe(bytes)
  })

  it.each([[4100, 1950], [8192, 3996], [100, 1]])('permit, with %d descriptors, %d connections', (descriptors, connections) => {
    expect(connectionBound(descriptors)).toBe(connections)
  })
})
