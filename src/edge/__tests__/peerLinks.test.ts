import { connect, createServer, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { PlatformUnavailableError } from '../../errors'
import { encodeValue } from '../../peer/framing'
import type { Endpoint } from '../../types'
import { createPeerLinks, type HandlePeerRequest, type PeerLinks } from '../peerLinks'

const cleanups: Array<() => void> = []
afterEach(() => { for (const close of cleanups.splice(0)) close() })

async function listen (onConnection: (socket: Socket) => void): Promise<Endpoint> {
  const server: Server = createServer(onConnection)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  cleanups.push(() => { server.close() })
  return { host: '127.0.0.1', port: (server.address() as { port: number }).port }
}

async function freePort (): Promise<Endpoint> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise((resolve) => { server.close(resolve) })
  return { host: '127.0.0.1', port }
}

interface Started { links: PeerLinks, endpoint: Endpoint, events: string[] }

async function startLinks (
  handleRequest: HandlePeerRequest = async () => ({}), idleTimeout = 60_000
): Promise<Started> {
  const endpoint = await freePort()
  const events: string[] = []
  const links = await createPeerLinks({
    listen: endpoint,
    handleRequest,
    log: (event) => { events.push(event) },
    onResponse: () => {},
    now: () => performance.now(),
    idleTimeout
  })
  cleanups.push(links.close)
  return { links, endpoint, events }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

describe('a message that is too long', () => {
  const LONG_TEXT = 'x'.repeat(1_100_000)

  it.each<[string, number, number]>([
    ['request', 1_100_000, 0],
    ['response', 0, 1_100_000]
  ])('fails its request, and no other one: %s', async (_title, requestLength, responseLength) => {
    const { endpoint } = await startLinks(async ({ length }) => ({ text: LONG_TEXT.slice(0, length as number) }))
    const { links } = await startLinks()
    const request = { text: LONG_TEXT.slice(0, requestLength), length: responseLength }
    const [long, short] = await Promise.allSettled([
      links.request(endpoint, request, 1000), links.request(endpoint, { length: 1 }, 1000)
    ])
    expect(long).toMatchObject({ status: 'rejected', reason: expect.any(PlatformUnavailableError) as unknown })
    expect(short).toMatchObject({ status: 'fulfilled', value: { text: 'x' } })
  })

  it('is logged if it is a notification', async () => {
    const { endpoint } = await startLinks()
    const { links, events } = await startLinks()
    links.notify(endpoint, { text: LONG_TEXT })
    expect(events).toEqual(['peer.word_refused'])
  })
})

describe('requests between instances', () => {
  it('are matched to responses by number, regardless of their order', async () => {
    const { endpoint } = await startLinks(async ({ delay, text }) => {
      await sleep(delay as number)
      return { text, bytes: Buffer.from('ü') }
    })
    const { links } = await startLinks()
    const responses = await Promise.all([
      links.request(endpoint, { delay: 40, text: 'a' }, 1000), links.request(endpoint, { delay: 1, text: 'b' }, 1000)
    ])
    expect(responses.map(({ text }) => text)).toEqual(['a', 'b'])
    expect(Buffer.from(responses[0]!.bytes as Uint8Array).toString()).toBe('ü')
  })

  it('are rejected with a reason, and the peer stays usable', async () => {
    const { endpoint } = await startLinks(async () => { throw new PlatformUnavailableError('not known here') })
    const { links } = await startLinks()
    await expect(links.request(endpoint, {}, 1000)).rejects.toThrow('not known here')
    expect(links.isUsable(endpoint)).toBe(true)
  })

  it.each([
    { name: 'the port is closed', peer: async () => await freePort() },
    { name: 'the peer resets', peer: async () => await listen((socket) => { socket.resetAndDestroy() }) },
    { name: 'the peer is silent', peer: async () => await listen(() => {}) },
    {
      name: 'the peer sends another protocol',
      peer: async () => await listen((socket) => {
        socket.on('error', () => {})
        socket.write('HTTP/1.1 400 Bad Request\r\n\r\n')
      })
    },
    {
      name: 'the peer responds without content',
      peer: async () => await listen((socket) => {
        socket.on('error', () => {})
        socket.write(encodeValue({ number: 1 }, 'answer'))
      })
    }
  ])('fail within their timeout when $name, and the peer becomes unusable', async ({ peer }) => {
    const endpoint = await peer()
    const { links, events } = await startLinks()
    const begun = performance.now()
    await expect(links.request(endpoint, {}, 200)).rejects.toBeInstanceOf(PlatformUnavailableError)
    expect(performance.now() - begun).toBeLessThan(1000)
    expect(links.isUsable(endpoint)).toBe(false)
    expect(events).toContain('peer.lost')
  })

  it('use a new connection once the old one is considered dead', async () => {
    let connections = 0
    const endpoint = await listen((socket) => {
      connections += 1
      socket.on('error', () => {})
      if (connections === 1) return
      const response = encodeValue({ number: 3, content: { text: 'hello' } }, 'answer')
      socket.on('data', () => { socket.write(response) })
    })
    const { links, events } = await startLinks()
    await expect(links.request(endpoint, {}, 300)).rejects.toThrow('no answer')
    await expect(links.request(endpoint, {}, 300)).rejects.toThrow('no answer')
    expect(await links.request(endpoint, {}, 300)).toEqual({ text: 'hello' })
    expect(connections).toBe(2)
    expect(events).toContain('peer.regained')
  })

  it('open a new connection after an idle one was closed', async () => {
    const { endpoint } = await startLinks(async () => ({ ok: true }), 50)
    const { links, events } = await startLinks()
    for (let attempt = 0; attempt < 2; attempt += 1) {
      expect(await links.request(endpoint, {}, 1000)).toEqual({ ok: true })
      await sleep(150)
    }
    expect(events).toEqual([])
  })

  it('that cannot be decoded close only their connection', async () => {
    const { endpoint, links } = await startLinks(async () => ({ ok: true }))
    const socket = connect(endpoint.port, endpoint.host)
    socket.on('error', () => {})
    const closed = new Promise((resolve) => { socket.on('close', resolve) })
    socket.write(encodeValue({ number: 'one' }, 'question'))
    await closed
    expect(await (await startLinks()).links.request(endpoint, {}, 1000)).toEqual({ ok: true })
    expect(links.isUsable(endpoint)).toBe(true)
  })
})

describe('notifications', () => {
  it('arrive, and leave no request pending', async () => {
    const notifications: unknown[] = []
    const { endpoint } = await startLinks(async (notification) => {
      notifications.push(notification)
      return {}
    })
    const asker = await startLinks()
    asker.links.notify(endpoint, { text: 'a load' })
    await sleep(100)
    expect(notifications).toEqual([{ text: 'a load' }])
    expect(asker.links.isUsable(endpoint)).toBe(true)
  })

  it('to a closed port make the peer unusable, like requests', async () => {
    const asker = await startLinks()
    const closed = await freePort()
    asker.links.notify(closed, { text: 'a load' })
    await sleep(100)
    expect(asker.links.isUsable(closed)).toBe(false)
  })

  it('that are rejected are logged by the receiver', async () => {
    const { endpoint, events } = await startLinks(async () => { throw new PlatformUnavailableError('cannot be read') })
    const asker = await startLinks()
    asker.links.notify(endpoint, {})
    await sleep(100)
    expect(events).toContain('peer.word_refused')
  })
})
