import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { AuthenticationError, OverloadedError, UpstreamFailedError } from '../../errors'
import type { Endpoint } from '../../types'
import { createCallerServer } from '../callerServer'
import type { CallerServer } from '../callerServer'
import { createCompletionHandler } from '../completionHandler'
import type { CompletionExecutor } from '../completionTypes'
import { createControlServer } from '../controlServer'

const servers: CallerServer[] = []
afterEach(async () => { await Promise.all(servers.splice(0).map(async (server) => { await server.close() })) })

const BODY_LIMIT = 10_000
const KEY_HEADER: Record<string, string> = { authorization: 'Bearer k' }

async function serve (execute: CompletionExecutor): Promise<{ endpoint: Endpoint, url: string, server: CallerServer }> {
  let count = 0
  const handler = createCompletionHandler({
    style: 'plain',
    execute,
    authenticate ({ request }) {
      if (request.headers.authorization === undefined) throw new AuthenticationError('no key', { execution: 'not_run' })
      return { customer: 'c', keyHash: 'h' }
    },
    watch: (_, signal) => ({ signal, release () {} }),
    wallClock: () => 1000,
    maximumBodyBytes: BODY_LIMIT,
    unreadLimit: 5000
  })
  const server = createCallerServer({
    createIdentifier: () => `r${count++}`, route: () => handler, reportFault: () => {}, maximumHeaderBytes: 4096
  })
  servers.push(server)
  const endpoint = await server.listen({ host: '127.0.0.1', port: 0 })
  return { endpoint, url: `http://127.0.0.1:${endpoint.port}/v1/completions`, server }
}

const usage = { promptTokens: 1, completionTokens: 2, cachedTokens: 0 }
const respond: CompletionExecutor = async function * () {
  yield { text: 'one ' }
  yield { text: 'two', end: { finishReason: 'stop', usage } }
}

function post (url: string, body: unknown, headers = KEY_HEADER) {
  return fetch(url, { method: 'POST', headers, body: typeof body === 'string' ? body : JSON.stringify(body) })
}

describe('caller server', () => {
  it('sends complete and streamed responses', async () => {
    const { url } = await serve(respond)
    expect(await (await post(url, { model: 'm', prompt: 'p' })).json()).toMatchObject({ choices: [{ text: 'one two' }] })
    const text = await (await post(url, { model: 'm', prompt: 'p', stream: true })).text()
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
    expect(text.match(/"text":"[^"]+"/g)).toEqual(['"text":"one "', '"text":"two"'])
  })

  it.each([
    ['bad JSON', '{', { authorization: 'Bearer k' }, 400, 'invalid_request'],
    ['no key', { model: 'm', prompt: 'p' }, {}, 401, 'invalid_key'],
    ['a huge body', { model: 'm', prompt: 'p'.repeat(BODY_LIMIT) }, { authorization: 'Bearer k' }, 413, 'request_too_large'],
    ['a rejection by the executor', { model: 'm', prompt: 'p' }, { authorization: 'Bearer k' }, 503, 'overloaded']
  ])('rejects %s', async (_, body, headers, status, code) => {
    const { url } = await serve(async function * () {
      throw new OverloadedError('full', { execution: 'not_run', retryAfterSeconds: 1.2 })
    })
    const response = await post(url, body, headers as Record<string, string>)
    expect(response.status).toBe(status)
    expect(await response.json()).toMatchObject({ error: { code, execution: 'not_run' } })
    if (status === 503) expect(response.headers.get('retry-after')).toBe('2')
  })

  // Guards against accepting a huge body of unknown length, and against a sender that never receives the rejection.
  it('rejects a huge chunked body', async () => {
    const { endpoint } = await serve(respond)
    const socket = connect(endpoint.port, endpoint.host)
    socket.on('error', () => {})
    socket.write('POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\n' +
      'transfer-encoding: chunked\r\n\r\n')
    for (let part = 0; part < 20; part++) socket.write(`1000\r\n${'x'.repeat(4096)}\r\n`)
    const [data] = await once(socket, 'data')
    expect(String(data)).toContain('413')
    socket.destroy()
  })

  it('rejects an oversized header with a JSON error', async () => {
    const { endpoint } = await serve(respond)
    const socket = connect(endpoint.port, endpoint.host)
    socket.write(`GET / HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(8000)}\r\n\r\n`)
    const [data] = await once(socket, 'data')
    expect(String(data)).toMatch(/^HTTP\/1\.1 431[^]*"execution":"not_run"/)
    socket.destroy()
  })

  // Guards against a truncated response that looks complete.
  it('ends a broken stream with an error event and without the end of the body', async () => {
    const { url } = await serve(async function * () {
      yield { text: 'one ' }
      throw new UpstreamFailedError('gone', { execution: 'unknown' })
    })
    const response = await post(url, { model: 'm', prompt: 'p', stream: true })
    let text = ''
    const read = async (): Promise<void> => {
      const parts = response.body as unknown as AsyncIterable<Uint8Array>
      for await (const part of parts) text += Buffer.from(part).toString()
    }
    await expect(read()).rejects.toThrow()
    expect(text).toContain('event: error\ndata: {"error":{"message":"gone"')
    expect(text).not.toContain('[DONE]')
  })

  // Guards against reading from the upstream faster than the caller reads, which would buffer the response in memory.
  it('applies backpressure and cancels when the caller disconnects', async () => {
    let pulled = 0
    let cancelled = false
    const { endpoint } = await serve(async function * () {
      try {
        while (true) {
          pulled++
          yield { text: 'x'.repeat(65_536) }
        }
      } finally {
        cancelled = true
      }
    })
    const body = JSON.stringify({ model: 'm', prompt: 'p', stream: true })
    const socket = connect(endpoint.port, endpoint.host)
    socket.pause()
    socket.write('POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\n' +
      `content-length: ${body.length}\r\n\r\n${body}`)
    await expect.poll(() => pulled).toBeGreaterThan(0)
    let before = -1
    // Pieces are pulled until the kernel's socket buffers are full.
    for (let round = 0; round < 50 && before !== pulled; round++) {
      before = pulled
      await delay(100)
    }
    expect(pulled).toBe(before)
    expect(pulled).toBeLessThan(500)
    socket.destroy()
    await expect.poll(() => cancelled).toBe(true)
  })

  it('closes after the last running request', async () => {
    let finish = (): void => {}
    const gate = new Promise<void>((resolve) => { finish = resolve })
    const { url, server } = await serve(async function * () {
      yield { text: 'one ' }
      await gate
      yield { text: 'two', end: { finishReason: 'stop', usage } }
    })
    const response = await post(url, { model: 'm', prompt: 'p', stream: true })
    const closed = server.close()
    finish()
    expect(await response.text()).toContain('[DONE]')
    await closed
    expect(server.openRequests()).toBe(0)
  })
})

describe('control server', () => {
  it('returns the status and accepts keys', async () => {
    const acceptedKeys: unknown[] = []
    const server = createControlServer({
      createIdentifier: () => 'r',
      status: () => ({ instance: 'a' }),
      acceptKeys: (records) => {
        acceptedKeys.push(...records)
        return { instance: 'a' }
      },
      reportFault: () => {}
    })
    servers.push(server)
    const { port } = await server.listen({ host: '127.0.0.1', port: 0 })
    const url = `http://127.0.0.1:${port}/control`
    expect(await (await fetch(`${url}/status`)).json()).toEqual({ instance: 'a' })
    const record = { hash: 'a'.repeat(64), customer: 'c', state: 'withdrawn', version: 3 }
    expect((await post(`${url}/keys`, [record])).status).toBe(200)
    expect((await post(`${url}/keys`, [{ ...record, hash: 'x' }])).status).toBe(400)
    expect(acceptedKeys).toEqual([record])
    expect((await fetch(`${url}/keys`)).status).toBe(405)
  })
})
