/** Guards against callers that keep `serve` busy or make it hold bytes without a bound. */
import { connect, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { createMemoryAccount } from '../../http/memoryAccount/account'
import type { Endpoint } from '../../types'
import { createCallerServer, type CallerServer } from '../callerServer'
import { createCompletionHandler } from '../completionHandler'
import type { CompletionExecutor } from '../completionTypes'

const BODY_LIMIT = 100_000
const UNREAD_LIMIT_MS = 200
const MB = 1024 * 1024

let server: CallerServer | undefined
let socket: Socket | undefined

afterEach(async () => {
  socket?.destroy()
  await server?.close()
})

async function serve (execute: CompletionExecutor, bound = 16 * MB): Promise<Endpoint> {
  const handler = createCompletionHandler({
    style: 'plain',
    execute,
    authenticate: () => ({ customer: 'c', keyHash: 'h' }),
    watch: (_, signal) => ({ signal, release () {} }),
    wallClock: () => 1000,
    maximumBodyBytes: BODY_LIMIT,
    unreadLimit: UNREAD_LIMIT_MS
  })
  server = createCallerServer({
    createIdentifier: () => 'r', route: () => handler, reportFault: () => {}, account: createMemoryAccount({ bound })
  })
  return await server.listen({ host: '127.0.0.1', port: 0 })
}

function open ({ host, port }: Endpoint): { socket: Socket, text: () => string, isClosed: () => boolean } {
  const opened = connect(port, host)
  let text = ''
  let isClosed = false
  opened.on('data', (chunk) => { text += chunk.toString('latin1') })
  opened.on('error', () => {})
  opened.on('close', () => { isClosed = true })
  socket = opened
  return { socket: opened, text: () => text, isClosed: () => isClosed }
}

function request (body: string): string {
  return `POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

const STREAM = request(JSON.stringify({ model: 'm', prompt: 'p', stream: true }))
const PLAIN = request(JSON.stringify({ model: 'm', prompt: 'p' }))
const usage = { promptTokens: 1, completionTokens: 2, cachedTokens: 0 }

describe('a caller that', () => {
  it('does not read a stream is given up after the limit', async () => {
    let isEnded = false
    const endpoint = await serve(async function * () {
      try {
        for (;;) yield { text: 'x'.repeat(65_536) }
      } finally {
        isEnded = true
      }
    })
    const caller = open(endpoint)
    caller.socket.pause()
    caller.socket.write(STREAM)
    await expect.poll(() => isEnded, { timeout: 5000 }).toBe(true)
    await expect.poll(() => server!.openRequests(), { timeout: 5000 }).toBe(0)
  })

  it('sends many requests ahead has few of them in progress, and all are answered', async () => {
    const requests = 2000
    let running = 0
    let most = 0
    const endpoint = await serve(async function * () {
      running += 1
      most = Math.max(most, running)
      await delay(2)
      running -= 1
      yield { text: 'one', end: { finishReason: 'stop', usage } }
    })
    const caller = open(endpoint)
    caller.socket.write(PLAIN.repeat(requests))
    await expect.poll(() => caller.text().split('HTTP/1.1 200').length - 1, { timeout: 15_000 }).toBe(requests)
    expect(most).toBeLessThan(150)
  }, 20_000)

  it('sends too long a body behind a response in progress is read no further than its limit', async () => {
    let release = (): void => {}
    const endpoint = await serve(async function * () {
      await new Promise<void>((resolve) => { release = resolve })
      yield { text: 'one', end: { finishReason: 'stop', usage } }
    })
    const caller = open(endpoint)
    caller.socket.write(`${PLAIN}POST /v1/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n`)
    const chunk = Buffer.from(`10000\r\n${'x'.repeat(65_536)}\r\n`)
    for (let count = 0; count < 480; count += 1) caller.socket.write(chunk)
    let unsent = -1
    // Bytes are sent until the socket buffers of the operating system are full.
    while (unsent !== caller.socket.writableLength) {
      unsent = caller.socket.writableLength
      await delay(500)
    }
    expect(unsent).toBeGreaterThan(10 * MB)
    release()
    await expect.poll(caller.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 200[^]*HTTP\/1.1 413/)
    await expect.poll(caller.isClosed, { timeout: 5000 }).toBe(true)
  }, 20_000)

  it('sends a body for which no memory is left is refused, and may come again', async () => {
    const endpoint = await serve(async function * () {
      yield { text: 'one', end: { finishReason: 'stop', usage } }
    }, 50_000)
    const caller = open(endpoint)
    caller.socket.write(`POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 99000\r\n\r\n${'x'.repeat(90_000)}`)
    await expect.poll(caller.isClosed, { timeout: 5000 }).toBe(true)
    expect(caller.text()).toMatch(/^HTTP\/1.1 503[^]*retry-after: 1\r\n[^]*"execution":"not_run"/i)
    const other = open(endpoint)
    other.socket.write(PLAIN)
    await expect.poll(other.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 200/)
  })
})
