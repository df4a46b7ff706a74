/** Guards against truncated answers that the edge takes for complete ones while the request is still being written. */
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { callUpstream } from '../upstreamCall'

const UPLOAD_BYTES = 4_000_000
const BODY = 'a part of the answer'
const HEADS = { unframed: '', chunked: 'Transfer-Encoding: chunked\r\n', withLength: 'Content-Length: 200\r\n' }

let server: Server
let agent: Agent
let newConnectionAgent: Agent
let sockets: Socket[]
let answer: (socket: Socket) => void

beforeEach(async () => {
  sockets = []
  server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes: Buffer) => {
      const text = bytes.toString('latin1')
      if (text.startsWith('GET /first')) return socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
      if (!text.startsWith('POST') && !text.startsWith('GET')) return
      socket.pause()
      answer(socket)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  agent = new Agent({ keepAlive: true, maxSockets: 1 })
  newConnectionAgent = new Agent({ keepAlive: false })
})
afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  agent.destroy()
  newConnectionAgent.destroy()
  await new Promise((resolve) => { server.close(resolve) })
})

async function call (path: string, body?: Buffer): Promise<string> {
  const { port } = server.address() as AddressInfo
  return await new Promise((resolve) => {
    let text = ''
    callUpstream({
      endpoint: { host: '127.0.0.1', port },
      agent,
      newConnectionAgent,
      mayResend: () => false,
      method: body === undefined ? 'GET' : 'POST',
      path,
      headers: ['Host', 'upstream', ...(body === undefined ? [] : ['Content-Length', String(body.length)])],
      body,
      connectTimeout: 1000
    }, {
      onHead () {},
      onData (chunk) { text += chunk.toString() },
      onEnd () { resolve(`complete: ${text}`) },
      onFailure () { resolve('failed') }
    })
  })
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
      const part = framing === 'chunked' ? `${BODY.length.toString(16)}\r\n${BODY}\r\n` : BODY
      socket.write(`HTTP/1.1 200 OK\r\n${HEADS[framing]}${closes ? 'Connection: close\r\n' : ''}\r\n${part}`)
      if (delay === 0) socket.resetAndDestroy()
      else setTimeout(() => { socket.resetAndDestroy() }, delay)
    }
    if (isKept) {
      expect(await call('/first')).toBe('complete: ok')
      await new Promise((resolve) => { setTimeout(resolve, 20) })
    }
    expect(await call('/x', upload === 0 ? undefined : Buffer.alloc(upload, 'x'))).toBe('failed')
    expect(sockets).toHaveLength(1)
  })
})
