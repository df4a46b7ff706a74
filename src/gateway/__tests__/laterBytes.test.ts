/** Guards against requests in progress that end because of later bytes on their connection (LOST, REFUSED). */
import { connect, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createCallerServer, type CallerServer } from '../callerServer'
import { sendResponse, type Exchange } from '../exchange'

const ANSWER_MS = 800
const HEADER_TIMEOUT_MS = 150
const CONNECTION_CHECK_MS = 50
const MAXIMUM_HEADER_BYTES = 4096
/** More than the HTTP parser takes; a head between these limits is refused as a request. */
const UNREADABLE_HEADER_BYTES = 128 * 1024
/** More than the buffers of the operating system take. */
const LONG_ANSWER_BYTES = 16 * 1024 * 1024
/** Time in milliseconds within which the work for a caller that has left is cancelled. */
const CANCEL_MS = 300

interface Handled { path: string, isCancelled: boolean }

let server: CallerServer
let port: number
let handled: Handled[]
let closings: Array<[string, number]>
const sockets: Socket[] = []

const HANDLERS: Record<string, (exchange: Exchange) => Promise<void>> = {
  async '/late' (exchange) {
    await delay(ANSWER_MS)
    sendResponse(exchange, 200, {}, 'late answer')
  },
  async '/early' (exchange) { sendResponse(exchange, 413, {}, 'refused early') },
  async '/begun' ({ response }) {
    response.writeHead(200)
    response.write('begun ')
    await delay(ANSWER_MS)
    response.end('ended')
  },
  async '/long' ({ response }) {
    await delay(ANSWER_MS)
    response.writeHead(200, { 'content-length': LONG_ANSWER_BYTES })
    const piece = Buffer.alloc(LONG_ANSWER_BYTES / 64)
    for (let sent = 0; sent < LONG_ANSWER_BYTES; sent += piece.length) {
      if (!response.write(piece)) await new Promise((resolve) => { response.once('drain', resolve) })
    }
    response.end()
  }
}

beforeEach(async () => {
  handled = []
  closings = []
  server = createCallerServer({
    createIdentifier: () => 'r',
    route: (_method, path) => async (exchange) => {
      const entry = { path, isCancelled: false }
      handled.push(entry)
      exchange.signal.addEventListener('abort', () => { entry.isCancelled = true })
      await (HANDLERS[path] ?? HANDLERS['/late']!)(exchange)
    },
    reportFault () {},
    maximumHeaderBytes: MAXIMUM_HEADER_BYTES,
    headerTimeout: HEADER_TIMEOUT_MS,
    connectionCheckInterval: CONNECTION_CHECK_MS,
    onConnectionClosing: (reason, responsesInProgress) => { closings.push([reason, responsesInProgress]) }
  })
  port = (await server.listen({ host: '127.0.0.1', port: 0 })).port
})
afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  await server.close()
})

interface Caller { socket: Socket, text: () => string, bytes: () => number, closed: Promise<void> }

function open (): Caller {
  const socket = connect(port, '127.0.0.1')
  sockets.push(socket)
  const chunks: Buffer[] = []
  socket.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  socket.on('error', () => {})
  return {
    socket,
    text: () => Buffer.concat(chunks).toString('latin1'),
    bytes: () => chunks.reduce((sum, { length }) => sum + length, 0),
    closed: new Promise((resolve) => { socket.on('close', () => { resolve() }) })
  }
}

function requestText (path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`
}

const HALF_HEAD = requestText('/second').slice(0, 20)
const GARBAGE = 'what is this\r\n\r\n'
const LATE = /HTTP\/1\.1 200 OK\r\n[^]*?\r\n\r\nlate answer/
const TWO_LATE = new RegExp(`${LATE.source}${LATE.source}`)

const REQUESTS: Array<[string, string, RegExp]> = [
  ['has not begun', '/late', LATE],
  ['has begun', '/begun', /HTTP\/1\.1 200 OK\r\n[^]*?\r\n\r\n6\r\nbegun \r\n5\r\nended\r\n0\r\n\r\n/]
]

const LATER_BYTES: Array<[string, string, string, number]> = [
  ['bytes that are no request', GARBAGE, 'malformed', 400],
  ['a head that is too long', `${HALF_HEAD}\r\nlong: ${'x'.repeat(UNREADABLE_HEADER_BYTES)}`, 'header_too_large', 431],
  ['a request with a malformed body', `${requestText('/second').slice(0, -2)}transfer-encoding: chunked\r\n\r\nwhat\r\n`, 'malformed', 400],
  ['a request for a tunnel', 'CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n', 'malformed', 400]
]

/** Matches one answer, and then a refusal as not run that announces the end of the connection. */
function answerAndRefusal (answer: RegExp, status: number): RegExp {
  return new RegExp(`^${answer.source}HTTP/1\\.1 ${status} [^]*\\r\\nconnection: close\\r\\n\\r\\n[^\\r]*"execution":"not_run"[^\\r]*$`)
}

describe.each(REQUESTS)('an answer that %s', (_title, path, answer) => {
  it.each(LATER_BYTES)('is sent whole, and then a refusal, though there follow %s', async (_what, bytes, reason, status) => {
    const caller = open()
    caller.socket.write(requestText(path))
    await expect.poll(() => handled.length).toBe(1)
    caller.socket.write(bytes)
    await delay(HEADER_TIMEOUT_MS + 4 * CONNECTION_CHECK_MS)
    caller.socket.write(`${requestText('/second').slice(20)}${requestText('/third')}`)
    await caller.closed
    expect(caller.text()).toMatch(answerAndRefusal(answer, status))
    expect(handled.map((entry) => entry.path)).not.toContain('/third')
    expect(closings).toEqual([[reason, 1]])
  })

  it('is sent whole, and the requests behind it are answered, though the time of a head passes before its rest', async () => {
    const caller = open()
    caller.socket.write(requestText(path))
    await expect.poll(() => handled.length).toBe(1)
    caller.socket.write(HALF_HEAD)
    await delay(HEADER_TIMEOUT_MS + 4 * CONNECTION_CHECK_MS)
    caller.socket.write(`${requestText('/second').slice(20)}${requestText('/third')}`)
    const expected = new RegExp(`^${answer.source}${LATE.source}${LATE.source}$`)
    await expect.poll(() => caller.text(), { timeout: 4 * ANSWER_MS }).toMatch(expected)
    expect(handled.map((entry) => entry.path)).toEqual([path, '/second', '/third'])
    expect(caller.socket.readyState).toBe('open')
  })

  it('is sent whole, and then a refusal, though half a head follows whose time passes', async () => {
    const caller = open()
    caller.socket.write(`${requestText(path)}${HALF_HEAD}`)
    await caller.closed
    expect(caller.text()).toMatch(answerAndRefusal(answer, 408))
    expect(handled).toHaveLength(1)
  })

  it('is not replaced when the caller closes its side within its next request, and its work is cancelled', async () => {
    const caller = open()
    caller.socket.write(requestText(path))
    await expect.poll(() => handled.length).toBe(1)
    caller.socket.end(HALF_HEAD)
    await expect.poll(() => handled[0]!.isCancelled, { timeout: CANCEL_MS }).toBe(true)
    await caller.closed
    expect(caller.text()).not.toMatch(/HTTP\/1\.1 [34]/)
  })

  it.each<[string, (socket: Socket) => void]>([
    ['closes its side', (socket) => { socket.end() }],
    ['resets the connection', (socket) => { socket.resetAndDestroy() }]
  ])('is cancelled when the caller %s after bytes that are no request', async (_how, leave) => {
    const caller = open()
    caller.socket.write(requestText(path))
    await expect.poll(() => handled.length).toBe(1)
    caller.socket.write(GARBAGE)
    await expect.poll(() => closings.length).toBe(1)
    leave(caller.socket)
    await expect.poll(() => handled[0]!.isCancelled, { timeout: CANCEL_MS }).toBe(true)
  })
})

describe('a request that waits for the answer to the one before it', () => {
  // Node.js reports the end of a connection only to the response that is being sent.
  it.each<[string, (socket: Socket) => void]>([
    ['closes its side', (socket) => { socket.end() }],
    ['resets the connection', (socket) => { socket.resetAndDestroy() }]
  ])('is cancelled as well when the caller %s', async (_how, leave) => {
    const caller = open()
    caller.socket.write(`${requestText('/late')}${requestText('/begun')}`)
    await expect.poll(() => handled.length).toBe(2)
    leave(caller.socket)
    await expect.poll(() => handled.map(({ isCancelled }) => isCancelled), { timeout: CANCEL_MS }).toEqual([true, true])
    expect(server.openRequests()).toBe(0)
  })
})

describe('a request after a body that is too long', () => {
  async function sendBehindRefusal (line: string): Promise<Caller> {
    const caller = open()
    caller.socket.write(`POST /early HTTP/1.1\r\nhost: a\r\n${line}content-length: 8\r\n\r\nbody`)
    await expect.poll(() => caller.text()).toContain('refused early')
    caller.socket.write(`body${requestText('/late')}`)
    return caller
  }

  it('is run and answered behind the refusal of the one before it', async () => {
    const caller = await sendBehindRefusal('')
    await expect.poll(() => caller.text(), { timeout: 2 * ANSWER_MS }).toContain('late answer')
    expect(handled.map(({ path }) => path)).toEqual(['/early', '/late'])
    expect(caller.text()).toMatch(new RegExp(`^HTTP/1\\.1 413 [^]*connection: keep-alive[^]*refused early${LATE.source}$`, 'i'))
  })

  it('is not run if the connection is to close after the refusal of the one before it', async () => {
    const caller = await sendBehindRefusal('connection: close\r\n')
    await caller.closed
    expect(handled).toHaveLength(1)
    expect(caller.text()).toMatch(/^HTTP\/1\.1 413 [^]*connection: close[^]*refused early$/i)
  })
})

describe('a planned stop', () => {
  it.each<[string, string[], string[], number]>([
    ['two requests at once, before it', ['/late', '/late'], [], 2],
    ['two requests at once, after it', [], ['/late', '/late'], 2],
    ['a request before it, and one after it', ['/late'], ['/late'], 2],
    ['a request before it whose answer has begun, and one after it', ['/begun'], ['/late'], 2]
  ])('answers all requests that it runs of a caller that sends %s', async (_title, before, after, expected) => {
    const caller = open()
    caller.socket.write(before.map(requestText).join(''))
    await expect.poll(() => handled.length).toBe(before.length)
    if (before.length === 0) await delay(100)
    server.closeConnections()
    const late = after.length > 0 && before.length === 0 ? open() : caller
    late.socket.write(after.map(requestText).join(''))
    await late.closed
    expect(handled).toHaveLength(expected)
    expect(late.text().match(/HTTP\/1\.1 200/g)).toHaveLength(expected)
  })

  it('runs no request that comes after an answer that announces the end of its connection', async () => {
    server.closeConnections()
    const caller = open()
    caller.socket.write(requestText('/begun'))
    await expect.poll(() => caller.text()).toContain('begun')
    caller.socket.write(requestText('/late'))
    await caller.closed
    expect(caller.text()).toMatch(/ended\r\n0\r\n\r\n$/)
    expect(handled).toHaveLength(1)
  })
})

describe('a connection', () => {
  it('sends the answers of all whole requests before it closes', async () => {
    const caller = open()
    caller.socket.write(`${requestText('/late')}${requestText('/late')}${GARBAGE}`)
    await caller.closed
    expect(caller.text()).toMatch(answerAndRefusal(TWO_LATE, 400))
    expect(closings).toEqual([['malformed', 2]])
  })

  it('sends a long answer whole to a slow reader that goes on sending bytes', async () => {
    const caller = open()
    caller.socket.write(requestText('/long'))
    const timer = setInterval(() => { caller.socket.write(GARBAGE.repeat(100)) }, 1)
    caller.socket.on('close', () => { clearInterval(timer) })
    await expect.poll(() => caller.bytes(), { timeout: 2 * ANSWER_MS }).toBeGreaterThan(0)
    caller.socket.pause()
    await delay(200)
    caller.socket.resume()
    await caller.closed
    expect(caller.bytes()).toBeGreaterThanOrEqual(LONG_ANSWER_BYTES)
    expect(caller.text().slice(0, 15)).toBe('HTTP/1.1 200 OK')
  })

  it('sends a long answer whole after a request for a tunnel', async () => {
    const caller = open()
    caller.socket.write(`${requestText('/long')}CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n`)
    await caller.closed
    expect(caller.bytes()).toBeGreaterThanOrEqual(LONG_ANSWER_BYTES)
  })

  it.each([
    ['half a head whose time passes', HALF_HEAD, '408'],
    ['bytes that are no request', GARBAGE, '400'],
    ['a request with a malformed body', 'POST /late HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nwhat\r\n', '400'],
    ['bytes that are no request, after an answer', requestText('/late'), '400']
  ])('with nothing in progress refuses %s', async (title, bytes, status) => {
    const caller = open()
    caller.socket.write(bytes)
    if (title.includes('after')) {
      await expect.poll(() => caller.text(), { timeout: 2 * ANSWER_MS }).toContain('late answer')
      caller.socket.write(GARBAGE)
    }
    await caller.closed
    expect(caller.text().slice(caller.text().lastIndexOf('HTTP/1.1'))).toMatch(new RegExp(`^HTTP/1\\.1 ${status} [^]*"execution":"not_run"`))
    expect(closings).toEqual([])
  })
})
