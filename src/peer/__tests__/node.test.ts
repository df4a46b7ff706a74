/** Tests peer nodes with real sockets in one process. */
import { connect } from 'node:net'
import { afterEach, expect, it, vi } from 'vitest'
import { startRelay } from '../../../standins/relay/server'
import { backoffDelay } from '../dialer'
import { encodeFrame } from '../frames'
import type { PeerMessage } from '../messages'
import { createPeerNode } from '../node'
import type { PeerNode, PeerNodeOptions } from '../node'

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map(async (close) => await close()))
})

interface TestNode extends PeerNode {
  log: string[]
  received: PeerMessage[]
}

async function createNode (
  instance: string, overrides: Partial<PeerNodeOptions> = {}, incarnation: number = 1
): Promise<TestNode> {
  const log: string[] = []
  const received: PeerMessage[] = []
  const node = await createPeerNode({
    self: { instance, incarnation, dataCentre: 'a', endpoint: { host: '127.0.0.1', port: 0 } },
    onMessage: (peer, message) => { received.push(message) },
    onConnected: (peer) => { log.push(`connected ${peer.instance} ${peer.incarnation}`) },
    onDisconnected: (peer, error) => { log.push(`disconnected ${peer.instance} ${error?.code ?? ''}`.trim()) },
    onProtocolError: (error) => { log.push(`error ${error.message}`) },
    reconnectMinimum: 10,
    reconnectMaximum: 50,
    ...overrides
  })
  cleanups.push(node.close)
  return { ...node, log, received }
}

function heartbeat (revision: number, work: Record<string, number> = { e1: 3 }): PeerMessage {
  return { kind: 'heartbeat', state: 'live', revision, keyVersion: 0, work, clock: '' }
}
function greeting (instance: string, protocol: number): Buffer {
  const endpoint = { host: '127.0.0.1', port: 1 }
  return encodeFrame({ kind: 'greeting', protocol, instance, incarnation: 1, dataCentre: 'a', endpoint })
}
async function waitUntil (condition: () => void): Promise<void> {
  await vi.waitFor(condition, { timeout: 5000, interval: 5 })
}

async function createPair (): Promise<[TestNode, TestNode]> {
  const [first, second] = [await createNode('r1'), await createNode('r2')]
  first.connect(second.endpoint)
  second.connect(first.endpoint)
  await waitUntil(() => {
    expect(first.peers()).toHaveLength(1)
    expect(second.peers()).toHaveLength(1)
  })
  return [first, second]
}

it('lists the peer once and delivers each message once when both sides connect', async () => {
  const [first, second] = await createPair()
  expect(first.send('r2', heartbeat(7))).toBe(true)
  expect(second.broadcast(heartbeat(8))).toBe(1)
  await waitUntil(() => { expect([first.received, second.received]).toEqual([[heartbeat(8)], [heartbeat(7)]]) })
  expect([first.log, second.log]).toEqual([['connected r2 1'], ['connected r1 1']])
  expect(first.send('r9', heartbeat(1))).toBe(false)
})

it.each<[string, Buffer]>([
  ['a frame that is not CBOR', Buffer.from([0, 0, 0, 2, 0xff, 0xff])],
  ['a length above the limit', Buffer.from([0xff, 0xff, 0xff, 0xff])],
  ['a message before the greeting', encodeFrame(heartbeat(1))],
  ['another protocol version', greeting('x', 99)]
])('%s closes only the connection on which it was received', async (_, bytes) => {
  const [first, second] = await createPair()
  const faultySocket = connect(first.endpoint)
  faultySocket.on('error', () => undefined)
  const closed = new Promise((resolve) => faultySocket.once('close', resolve))
  faultySocket.resume()
  faultySocket.write(bytes)
  await closed
  await waitUntil(() => { expect(first.log.at(-1)).toMatch(/^error/) })
  expect(first.log.filter((line) => line.startsWith('disconnected'))).toEqual([])
  second.send('r1', heartbeat(5))
  await waitUntil(() => { expect(first.received).toEqual([heartbeat(5)]) })
})

it('an error thrown by the message handler closes the connection but does not end the process', async () => {
  const first = await createNode('r1', { onMessage: () => { throw new Error('fault') } })
  const second = await createNode('r2')
  second.connect(first.endpoint)
  await waitUntil(() => { expect(second.send('r1', heartbeat(1))).toBe(true) })
  await waitUntil(() => { expect(first.log).toContain('disconnected r2 internal') })
  await waitUntil(() => { expect(first.log.filter((line) => line === 'connected r2 1').length).toBeGreaterThan(1) })
})

it('reconnects after a restart of the peer and reports the new incarnation', async () => {
  const first = await createNode('r1')
  const second = await createNode('r2')
  first.connect(second.endpoint)
  await waitUntil(() => { expect(first.peers()).toHaveLength(1) })
  await second.close()
  await waitUntil(() => { expect(first.log).toEqual(['connected r2 1', 'disconnected r2']) })
  await createNode('r2', { self: { instance: 'r2', incarnation: 2, dataCentre: 'a', endpoint: second.endpoint } })
  await waitUntil(() => { expect(first.log.at(-1)).toBe('connected r2 2') })
})

it('rejects an older incarnation while a newer one is connected', async () => {
  const first = await createNode('r1')
  const newer = await createNode('r2', {}, 2)
  const older = await createNode('r2', {}, 1)
  newer.connect(first.endpoint)
  await waitUntil(() => { expect(first.peers()).toHaveLength(1) })
  older.connect(first.endpoint)
  await waitUntil(() => { expect(first.log.at(-1)).toMatch(/incarnation 1 of r2 has ended/) })
  expect(first.peers().map((peer) => peer.incarnation)).toEqual([2])
})

it('drop replaces a silent connection with a new one', async () => {
  const first = await createNode('r1')
  const second = await createNode('r2')
  const relay = await startRelay({ target: second.endpoint })
  cleanups.push(relay.close)
  first.connect(relay.endpoint)
  await waitUntil(() => { expect(first.peers()).toHaveLength(1) })
  relay.setFaults({ silence: 'existing' })
  first.send('r2', heartbeat(1))
  first.drop('r2')
  await waitUntil(() => { expect(first.send('r2', heartbeat(2))).toBe(true) })
  await waitUntil(() => { expect(second.received).toEqual([heartbeat(2)]) })
  // The other side still has the silent connection open, but responds on the one that received a message most recently.
  expect(second.send('r1', heartbeat(3))).toBe(true)
  await waitUntil(() => { expect(first.received).toEqual([heartbeat(3)]) })
})

it('disconnects a peer that does not read before its send queue exceeds the limit', async () => {
  const node = await createNode('r1', { sendLimit: 100_000 })
  const slowSocket = connect(node.endpoint)
  cleanups.push(async () => { slowSocket.destroy() })
  slowSocket.write(greeting('slow', 1))
  slowSocket.pause()
  await waitUntil(() => { expect(node.peers()).toHaveLength(1) })
  const largeHeartbeat = heartbeat(
    1, Object.fromEntries(Array.from({ length: 1000 }, (_, index) => [`engine-${index}`, index]))
  )
  let sent = 0
  while (node.send('slow', largeHeartbeat) && sent < 10_000) sent++
  expect(sent).toBeLessThan(10_000)
  expect(node.log.at(-1)).toBe('disconnected slow overloaded')
})

it('closes a connection that sends no greeting', async () => {
  const node = await createNode('r1', { connectTimeout: 50 })
  const silentSocket = connect(node.endpoint)
  await new Promise((resolve) => silentSocket.resume().once('close', resolve))
  expect(node.log).toEqual(['error no greeting received'])
})

it.each([[0, 0, 50], [0, 1, 100], [3, 0, 400], [30, 1, 5000], [1000, 0, 2500]])(
  'backoff after %i failures with random %d is %i ms', (failures, random, expected) => {
    expect(backoffDelay(failures, { minimumDelay: 100, maximumDelay: 5000, random: () => random })).toBe(expected)
  })
