/** Guards against requests on kept connections that their upstream has ended, which get no answer. */
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { callUpstream } from '../upstreamCall'

/** Longer than a whole answer takes. */
const TIMEOUT_MS = 1000
const RESPONSES = {
  withLength: 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  noContent: 'HTTP/1.1 204 No Content\r\n\r\n',
  notModified: 'HTTP/1.1 304 Not Modified\r\n\r\n'
} as const

let server: Server
let response: string
let agent: Agent
const sockets: Socket[] = []

beforeEach(async () => {
  agent = new Agent({ keepAlive: true })
  server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => { if (socket.writable && bytes.toString().startsWith('GET')) socket.write(response) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
})

afterEach(() => {
  agent.destroy()
  server.close()
  for (const socket of sockets.splice(0)) socket.destroy()
})

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

async function call (): Promise<string> {
  return await new Promise((resolve) => {
    const upstreamCall = callUpstream({
      endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
      agent,
      newConnectionAgent: agent,
      mayResend: () => false,
      method: 'GET',
      path: '/',
      headers: ['Host', 'shop.example'],
      body: undefined,
      connectTimeout: TIMEOUT_MS
    }, {
      onHead () {},
      onData () {},
      onEnd () { resolve(upstreamCall.isConnectionReused() ? 'answered on a kept connection' : 'answered') },
      onFailure: resolve
    })
    setTimeout(() => { resolve('no answer') }, TIMEOUT_MS)
  })
}

describe('a kept connection', () => {
  it.each([
    ['with a length', RESPONSES.withLength],
    ['204 without a length', RESPONSES.noContent],
    ['304 without a length', RESPONSES.notModified]
  ])('is not used again once its upstream has ended it after a response %s', async (_title, text) => {
    response = text
    expect(await call()).toBe('answered')
    await pause(20)
    expect(await call()).toBe('answered on a kept connection')
    await pause(20)
    sockets[0]!.end()
    await pause(50)
    expect(await call()).toBe('answered')
  })
})
