/** Guards against whole answers that count as broken off because their connection is reset before they are read. */
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { callUpstream, type UpstreamCall } from '../upstreamCall'

const CHUNKS = Array.from({ length: 20 }, (_, index) => `data: event ${index}\n\n`)
const BODY = CHUNKS.join('')
/** When the connection is reset, and when the answer is read on, in milliseconds. */
const RESET_AFTER_MS = 20
const PAUSE_MS = 60

type Respond = (socket: Socket) => void

const head = (...lines: string[]): string => ['HTTP/1.1 200 OK', ...lines, '', ''].join('\r\n')
const encodedChunks = CHUNKS.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')

function resetLater (socket: Socket): void {
  setTimeout(() => { socket.resetAndDestroy() }, RESET_AFTER_MS)
}

const RESPONSES = {
  chunkedReset (socket) {
    socket.write(`${head('Transfer-Encoding: chunked')}${encodedChunks}0\r\n\r\n`)
    resetLater(socket)
  },
  lengthReset (socket) {
    socket.write(`${head(`Content-Length: ${BODY.length}`)}${BODY}`)
    resetLater(socket)
  },
  /** The upstream replies with a reset to whatever arrives after its answer. */
  closed (socket) {
    socket.end(`${head('Connection: close')}${BODY}`)
    socket.destroySoon()
  },
  endedReset (socket) {
    socket.end(`${head('Connection: close')}${BODY}`)
    resetLater(socket)
  },
  chunkedIncomplete (socket) {
    socket.write(`${head('Transfer-Encoding: chunked')}${encodedChunks}`)
    resetLater(socket)
  },
  withoutLengthReset (socket) {
    socket.write(`${head('Connection: close')}${BODY}`)
    resetLater(socket)
  },
  withoutLengthResetAtOnce (socket) {
    socket.write(`${head('Connection: close')}${BODY}`)
    socket.resetAndDestroy()
  }
} as const satisfies Record<string, Respond>

const servers: Server[] = []

afterEach(() => { for (const server of servers.splice(0)) server.close() })

/** Calls an upstream, and stops reading for a time from the given callback on. */
async function callAndPause (respond: Respond, pauseAt: 'head' | 'data' | undefined): Promise<{ isWhole: boolean, body: string }> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  servers.push(server)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return await new Promise((resolve) => {
    let body = ''
    let hasPaused = false
    function pauseOnce (): void {
      if (hasPaused) return
      hasPaused = true
      call.pause()
      setTimeout(() => { call.resume() }, PAUSE_MS)
    }
    const call: UpstreamCall = callUpstream({
      endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
      agent: new Agent(),
      newConnectionAgent: new Agent(),
      mayResend: () => false,
      method: 'GET',
      path: '/',
      headers: ['Host', 'shop.example'],
      body: undefined,
      connectTimeout: 5000
    }, {
      onHead () { if (pauseAt === 'head') pauseOnce() },
      onData (chunk) {
        body += chunk.toString()
        if (pauseAt === 'data') pauseOnce()
      },
      onEnd () { resolve({ isWhole: true, body }) },
      onFailure () { resolve({ isWhole: false, body }) }
    })
  })
}

describe.each([[undefined], ['head'], ['data']] as const)('an answer that is read slowly from its %s on', (pauseAt) => {
  it.each([
    ['whole, with chunks, then reset', RESPONSES.chunkedReset],
    ['whole, with a length, then reset', RESPONSES.lengthReset],
    ['whole, ended with its connection, then closed', RESPONSES.closed],
    ['whole, ended with its connection, then reset', RESPONSES.endedReset]
  ])('is whole: %s', async (_title, respond) => {
    expect(await callAndPause(respond, pauseAt)).toEqual({ isWhole: true, body: BODY })
  })

  it.each([
    ['reset before its last chunk', RESPONSES.chunkedIncomplete],
    ['without a length, and reset', RESPONSES.withoutLengthReset],
    ['without a length, and reset together with its last bytes', RESPONSES.withoutLengthResetAtOnce]
  ])('is not whole: %s', async (_title, respond) => {
    expect((await callAndPause(respond, pauseAt)).isWhole).toBe(false)
  })
})
