/** Guards against truncated answers that count as complete, and impossible statuses that count as answers. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createHttpConnections, type HttpConnections } from '../connections'

const UPLOAD_BYTES = 4_000_000
const BODY = 'a part of the answer'
const WAIT_MS = 1500

let server: Server
let connections: HttpConnections
let sockets: Socket[]
let answer: (socket: Socket) => void

/** Answers requests to `/first` completely, and others as soon as their head has arrived, without reading the rest. */
function serve (socket: Socket): void {
  sockets.push(socket)
  socket.on('error', () => {})
  socket.on('data', (bytes: Buffer) => {
    const text = bytes.toString('latin1')
    if (text.startsWith('GET /first')) return socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    if (!text.startsWith('POST') && !text.startsWith('GET')) return
    socket.pause()
    answer(socket)
  })
}

beforeEach(async () => {
  sockets = []
  server = createServer(serve)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  connections = createHttpConnections()
})
afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  await connections.close()
  await new Promise((resolve) => { server.close(resolve) })
})

async function exchange (path: string, body?: Buffer): Promise<string> {
  const { port } = server.address() as AddressInfo
  const aborter = new AbortController()
  const timer = setTimeout(() => { aborter.abort() }, WAIT_MS)
  const startedAt = performance.now()
  try {
    const { statusCode, body: content } = await connections.exchange({
      endpoint: { host: '127.0.0.1', port },
      method: body === undefined ? 'GET' : 'POST',
      path,
      ...(body === undefined ? {} : { body }),
      signal: aborter.signal,
      trace: { sent: false }
    })
    const chunks: Uint8Array[] = []
    for (let chunk = await content.read(); chunk !== undefined; chunk = await content.read()) chunks.push(chunk)
    return `${statusCode} ${Buffer.concat(chunks).toString()}`
  } catch {
    return performance.now() - startedAt < WAIT_MS ? 'failed' : 'failed at its time limit'
  } finally {
    clearTimeout(timer)
  }
}

const HEADS = { unframed: '', chunked: 'Transfer-Encoding: chunked\r\n', withLength: 'Content-Length: 200\r\n' }

function write (socket: Socket, framing: keyof typeof HEADS, closes: boolean): void {
  const part = framing === 'chunked' ? `${BODY.length.toString(16)}\r\n${BODY}\r\n` : BODY
  socket.write(`HTTP/1.1 200 OK\r\n${HEADS[framing]}${closes ? 'Connection: close\r\n' : ''}\r\n${part}`)
}

const CASES = (['unframed', 'chunked', 'withLength'] as const).flatMap((framing) => (
  [false, true].flatMap((isKept) => [false, true].flatMap((closes) => [0, UPLOAD_BYTES].flatMap((upload) => [0, 30].map(
    (delay) => ({ framing, isKept, closes, upload, delay })
  ))))
))

describe('an answer that breaks off by a reset', () => {
  it.each(CASES)('is not complete: $framing, kept connection $isKept, close $closes, upload of $upload, after $delay ms', async ({
    framing, isKept, closes, upload, delay
  }) => {
    answer = (socket) => {
      write(socket, framing, closes)
      if (delay === 0) socket.resetAndDestroy()
      else setTimeout(() => { socket.resetAndDestroy() }, delay)
    }
    if (isKept) expect(await exchange('/first')).toBe('200 ok')
    expect(await exchange('/x', upload === 0 ? undefined : Buffer.alloc(upload, 'x'))).toBe('failed')
  })
})

describe('an answer that ends without a reset', () => {
  const whole = { unframed: '', chunked: '0\r\n\r\n', withLength: 'x'.repeat(200 - BODY.length) }

  it.each([
    { framing: 'unframed' as const, upload: 0, result: `200 ${BODY}` },
    // Nothing shows whether the upstream has closed the connection after all of the answer.
    { framing: 'unframed' as const, upload: UPLOAD_BYTES, result: 'failed' },
    { framing: 'chunked' as const, upload: 0, result: `200 ${BODY}` },
    { framing: 'chunked' as const, upload: UPLOAD_BYTES, result: `200 ${BODY}` },
    { framing: 'withLength' as const, upload: 0, result: `200 ${BODY}${whole.withLength}` },
    { framing: 'withLength' as const, upload: UPLOAD_BYTES, result: `200 ${BODY}${whole.withLength}` }
  ].flatMap((one) => [false, true].map((isKept) => ({ ...one, isKept })))
  )('$framing, upload of $upload, kept connection $isKept', async ({ framing, upload, isKept, result }) => {
    answer = (socket) => {
      write(socket, framing, true)
      socket.write(whole[framing])
      setTimeout(() => { socket.end() }, 20)
    }
    if (isKept) expect(await exchange('/first')).toBe('200 ok')
    expect(await exchange('/x', upload === 0 ? undefined : Buffer.alloc(upload, 'x'))).toBe(result)
  })
})

describe('a status that is none', () => {
  it.each(['000', '099', '600', '999', '1000', '20', '2000'])('%s is no answer', async (status) => {
    answer = (socket) => { socket.write(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\nok`) }
    expect(await exchange('/x')).toBe('failed')
  })
})
