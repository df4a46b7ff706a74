/** Guards against one customer whose requests use up the heap or the connections to upstreams of `serve`. */
import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { AuthenticationError } from '../../errors'
import { createMemoryAccount } from '../../http/memoryAccount/account'
import type { RequestBounds } from '../../http/memoryAccount/requestShares'
import type { Endpoint } from '../../types'
import { createCallerServer, type CallerServer } from '../callerServer'
import { createCompletionHandler } from '../completionHandler'

const MB = 1024 * 1024
const usage = { promptTokens: 1, completionTokens: 2, cachedTokens: 0 }

let server: CallerServer | undefined
let sockets: Socket[] = []
let refusals: string[]
/** Continues the requests in progress. */
let release: () => void

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  sockets = []
  await server?.close()
})

/** The header `x-customer` names the customer; a request without it has no valid key. */
async function serve (requestBounds: RequestBounds): Promise<Endpoint> {
  refusals = []
  const released = new Promise<void>((resolve) => { release = resolve })
  const handler = createCompletionHandler({
    style: 'plain',
    async * execute () {
      await released
      yield { text: 'one', end: { finishReason: 'stop', usage } }
    },
    authenticate ({ request }) {
      const customer = request.headers['x-customer']
      if (typeof customer !== 'string') throw new AuthenticationError('no key', { execution: 'not_run' })
      return { customer, keyHash: customer }
    },
    watch: (_, signal) => ({ signal, release () {} }),
    wallClock: () => 1000,
    maximumBodyBytes: MB,
    unreadLimit: 1000
  })
  server = createCallerServer({
    createIdentifier: () => 'r',
    route: () => handler,
    reportFault: () => {},
    onOverloaded ({ reason, message }) { refusals.push(`${reason}: ${message}`) },
    account: createMemoryAccount({ bound: 16 * MB, requestBounds })
  })
  return await server.listen({ host: '127.0.0.1', port: 0 })
}

function send ({ host, port }: Endpoint, text: string): { text: () => string, isClosed: () => boolean } {
  const socket = connect(port, host)
  let received = ''
  let isClosed = false
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { isClosed = true })
  socket.write(text, 'utf8')
  sockets.push(socket)
  return { text: () => received, isClosed: () => isClosed }
}

function request (customer: string, prompt = 'p', length?: number): string {
  const body = JSON.stringify({ model: 'm', prompt })
  return `POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-customer: ${customer}\r\ncontent-length: ${length ?? Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** Waits until so many requests are in progress. */
async function inProgress (count: number): Promise<void> {
  await expect.poll(() => server!.openRequests(), { timeout: 5000 }).toBe(count)
}

const REFUSED = /^HTTP\/1.1 503[^]*retry-after: 1\r\n[^]*"execution":"not_run"/i

describe('a customer that has two thirds of', () => {
  it('the connections to upstreams in use is refused more, and another customer is served', async () => {
    const endpoint = await serve({ objectBytes: Infinity, forwarded: 9 })
    for (let count = 1; count <= 6; count += 1) {
      send(endpoint, request('crowd'))
      await inProgress(count)
    }
    const refused = send(endpoint, request('crowd'))
    await expect.poll(refused.text, { timeout: 5000 }).toMatch(REFUSED)
    const other = send(endpoint, request('other'))
    await inProgress(7)
    release()
    await expect.poll(other.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 200/)
    const again = send(endpoint, request('crowd'))
    await expect.poll(again.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 200/)
    expect(refused.isClosed()).toBe(false)
    expect(refusals).toEqual(['share: too many requests of crowd are in progress'])
  })

  it.each([
    ['one byte', 'x'.repeat(500_000)],
    ['two bytes', `${'x'.repeat(249_999)}\u20ac`]
  ])('the heap in use is refused more, with prompts of %s a character', async (_, prompt) => {
    const endpoint = await serve({ objectBytes: 3_600_000, forwarded: 100 })
    const most = 4
    for (let count = 1; count <= most; count += 1) {
      send(endpoint, request('crowd', prompt))
      await inProgress(count)
    }
    const refused = send(endpoint, request('crowd', prompt))
    await expect.poll(refused.text, { timeout: 5000 }).toMatch(REFUSED)
    const other = send(endpoint, request('other'))
    await inProgress(most + 1)
    release()
    await expect.poll(other.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 200/)
  })
})

describe('a body that stops short', () => {
  it('is not waited for once its customer is refused', async () => {
    const endpoint = await serve({ objectBytes: 40_000, forwarded: 100 })
    for (let count = 1; count <= 3; count += 1) {
      send(endpoint, request('crowd', 'p', 1000))
      await inProgress(count)
    }
    const refused = send(endpoint, request('crowd', 'p', 1000))
    await expect.poll(refused.isClosed, { timeout: 5000 }).toBe(true)
    expect(refused.text()).toMatch(REFUSED)
  })

  it('is not waited for once many others without a valid key are', async () => {
    const endpoint = await serve({ objectBytes: 40_000, forwarded: 100 })
    const unknown = 'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nx'
    const callers = Array.from({ length: 8 }, () => send(endpoint, unknown))
    for (const caller of callers) await expect.poll(caller.text, { timeout: 5000 }).toMatch(/^HTTP\/1.1 401/)
    await expect.poll(() => callers.some((caller) => caller.isClosed()), { timeout: 5000 }).toBe(true)
    expect(callers.every((caller) => caller.isClosed())).toBe(false)
  })
})
