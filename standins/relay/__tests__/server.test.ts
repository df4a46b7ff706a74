/** Relay: bytes keep their order and their end, whatever the delay does. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { startRelay } from '../server'
import type { Relay } from '../server'

const closers: Array<() => Promise<void>> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map(async (close) => await close()))
})

const wait = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** A server that sends back what it receives, and a relay before it. */
async function startEcho (): Promise<Relay> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined)
    socket.pipe(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const relay = await startRelay({ target: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } })
  closers.push(relay.close, async () => { server.close() })
  return relay
}

function open (relay: Relay): { socket: Socket, received: () => string, closed: Promise<boolean> } {
  const socket = connect(relay.endpoint.port, '127.0.0.1')
  let text = ''
  socket.setEncoding('utf8').on('data', (data: string) => { text += data })
  socket.on('error', () => undefined)
  closers.push(async () => { socket.destroy() })
  return { socket, received: () => text, closed: new Promise((resolve) => socket.once('close', () => resolve(true))) }
}

it('keeps the order of bytes when the delay shrinks, and forwards the end after them', async () => {
  const relay = await startEcho()
  const { socket, received, closed } = open(relay)
  let sent = ''
  for (const [index, delay] of [80, 5, 40, 0, 0, 20, 0].entries()) {
    relay.setFaults({ delay })
    socket.write(`${index};`)
    sent += `${index};`
    await wait(7)
  }
  socket.end()
  expect(await closed).toBe(true)
  expect(received()).toBe(sent)
})

it('passes a megabyte in both directions unchanged', async () => {
  const relay = await startEcho()
  const { socket, received, closed } = open(relay)
  const text = Array.from({ length: 150_000 }, (_, index) => index).join(' ')
  socket.end(text)
  await closed
  expect(received() === text).toBe(true)
})

it('cut ends open connections and refuses new ones until it is off', async () => {
  const relay = await startEcho()
  const first = open(relay)
  first.socket.write('a')
  await wait(50)
  relay.setFaults({ cut: true })
  expect(await first.closed).toBe(true)
  expect(await open(relay).closed).toBe(true)
  relay.setFaults({ cut: false })
  const second = open(relay)
  second.socket.write('b')
  await wait(50)
  expect(second.received()).toBe('b')
})

it('a connection that was silenced stays silent and open for good', async () => {
  const relay = await startEcho()
  const { socket, received, closed } = open(relay)
  socket.write('a')
  await wait(50)
  relay.setFaults({ silence: 'existing' })
  socket.write('b')
  relay.setFaults({ silence: 'off' })
  socket.write('c')
  expect(await Promise.race([closed, wait(100)])).toBeUndefined()
  expect(received()).toBe('a')
})
