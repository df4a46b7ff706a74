/**
 * Node of the peer mesh: accepts and opens connections and keeps them open with jittered backoff. Heartbeats are sent by
 * the caller as messages; a peer that the caller suspects is dropped with `drop` and connected anew.
 */
import { connect as connectSocket, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { PeerProtocolError } from '../errors'
import type { RouterError } from '../errors'
import { formatEndpoint } from '../http/endpoint'
import type { Endpoint, Incarnation, RandomSource } from '../types'
import { openPeerConnection } from './connection'
import type { PeerConnection } from './connection'
import { createDialer } from './dialer'
import type { Dialer } from './dialer'
import { encodeFrame } from './frames'
import { PEER_PROTOCOL_VERSION } from './messages'
import type { Greeting, PeerMessage } from './messages'

/** Connections accepted at the same time; a data centre has far fewer instances. */
const MAXIMUM_INCOMING = 1024

/** Connections kept to one peer: one for each side that dialled. Another one replaces the one that was silent longest. */
const CONNECTIONS_PER_PEER = 2

/** What a peer says about itself in its greeting. */
export interface PeerIdentity {
  instance: string
  incarnation: Incarnation
  dataCentre: string
  /** Where the peer accepts connections. */
  endpoint: Endpoint
}

export interface PeerNodeOptions {
  /** This instance. Port 0 lets the system choose; the greeting then carries the chosen port. */
  self: PeerIdentity
  onMessage: (peer: PeerIdentity, message: Exclude<PeerMessage, Greeting>) => void
  /** The first connection to a peer incarnation is ready. */
  onConnected: (peer: PeerIdentity) => void
  /** The last connection to a peer incarnation is gone; `error` tells why when this side closed it. */
  onDisconnected: (peer: PeerIdentity, error: RouterError | undefined) => void
  /** A connection was closed because of what the peer sent, also before its greeting. @default ignored */
  onProtocolError?: (error: RouterError, address: string) => void
  /** Jitter of the backoff. @default Math.random */
  random?: RandomSource
  /** Shortest wait before reconnecting in milliseconds. @default 100 */
  reconnectMinimum?: number
  /** Longest wait before reconnecting in milliseconds. @default 5000 */
  reconnectMaximum?: number
  /** Milliseconds to open a connection and, again, to get the greeting. @default 2000 */
  connectTimeout?: number
  /** Bytes that may wait to be sent on one connection. @default 4194304 */
  sendLimit?: number
}

export interface PeerNode {
  /** Where this node accepts connections. */
  endpoint: Endpoint
  /** Connects and keeps reconnecting until `disconnect`. No effect for a known endpoint and for the node's own. */
  connect: (endpoint: Endpoint) => void
  /** Stops reconnecting and closes the connection that this node opened to the endpoint. */
  disconnect: (endpoint: Endpoint) => void
  /**
   * Sends to one peer. Returns false when it is not connected or too slow; the message is then not sent later.
   * Throws `PeerProtocolError` when the message exceeds the frame limit: long key lists go in several messages.
   */
  send: (instance: string, message: PeerMessage) => boolean
  /** Sends to all peers, or to those that the filter selects. Returns for how many it was queued. Throws as `send`. */
  broadcast: (message: PeerMessage, filter?: (peer: PeerIdentity) => boolean) => number
  /** Closes all connections to a peer, for example after missed heartbeats; opened ones are opened again. */
  drop: (instance: string) => void
  peers: () => readonly PeerIdentity[]
  /** Stops listening and closes all connections. `onDisconnected` is not called any more. */
  close: () => Promise<void>
}

interface PeerEntry {
  identity: PeerIdentity
  connections: Set<PeerConnection>
}

/** Starts listening and resolves with the node. Rejects with the system's error when the port is taken. */
export async function createPeerNode (options: PeerNodeOptions): Promise<PeerNode> {
  const { self, connectTimeout = 2000, sendLimit = 4_194_304 } = options
  const peers = new Map<string, PeerEntry>()
  const open = new Set<PeerConnection>()
  const dialers = new Map<string, Dialer>()
  let closed = false

  const server = createServer((socket) => { accept(socket) })
  server.maxConnections = MAXIMUM_INCOMING
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(self.endpoint.port, self.endpoint.host, resolve)
  })
  // Errors of single accepts, for example for lack of descriptors, must not end the process.
  server.on('error', () => undefined)
  const endpoint: Endpoint = { host: self.endpoint.host, port: (server.address() as AddressInfo).port }
  const greeting: Greeting = { kind: 'greeting', protocol: PEER_PROTOCOL_VERSION, ...self, endpoint }

  function register (connection: PeerConnection, peer: Greeting): void {
    if (peer.instance === self.instance) throw new PeerProtocolError('connected to itself')
    const known = peers.get(peer.instance)
    if (known !== undefined && known.identity.incarnation > peer.incarnation) {
      throw new PeerProtocolError(`incarnation ${peer.incarnation} of ${peer.instance} has ended`)
    }
    if (known !== undefined && known.identity.incarnation === peer.incarnation) {
      known.connections.add(connection)
      if (known.connections.size <= CONNECTIONS_PER_PEER) return
      const [oldest] = [...known.connections].sort((left, right) => left.lastReceived() - right.lastReceived())
      oldest?.close()
      return
    }
    for (const old of known?.connections ?? []) old.close()
    const { instance, incarnation, dataCentre } = peer
    const identity: PeerIdentity = { instance, incarnation, dataCentre, endpoint: peer.endpoint }
    peers.set(instance, { identity, connections: new Set([connection]) })
    options.onConnected(identity)
  }

  function unregister (connection: PeerConnection, error: RouterError | undefined): void {
    open.delete(connection)
    const instance = connection.peer()?.instance
    const entry = instance === undefined ? undefined : peers.get(instance)
    if (instance === undefined || entry === undefined || !entry.connections.delete(connection)) return
    if (entry.connections.size > 0) return
    peers.delete(instance)
    if (!closed) options.onDisconnected(entry.identity, error)
  }

  function accept (socket: Socket, onClosed?: () => void, onReady?: () => void): PeerConnection {
    const address = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`
    const connection = openPeerConnection({
      socket,
      greeting,
      greetingTimeout: connectTimeout,
      sendLimit,
      onGreeting (peer) {
        register(connection, peer)
        onReady?.()
      },
      onMessage (message) {
        const instance = connection.peer()?.instance
        const entry = instance === undefined ? undefined : peers.get(instance)
        if (entry !== undefined && message.kind !== 'greeting') options.onMessage(entry.identity, message)
      },
      onClosed (error) {
        unregister(connection, error)
        if (error instanceof PeerProtocolError && !closed) options.onProtocolError?.(error, address)
        onClosed?.()
      }
    })
    open.add(connection)
    return connection
  }

  /** The connection that received last is the one most likely to work. */
  function bestConnection (entry: PeerEntry): PeerConnection | undefined {
    let best: PeerConnection | undefined
    for (const connection of entry.connections) {
      if (best === undefined || connection.lastReceived() > best.lastReceived()) best = connection
    }
    return best
  }

  return {
    endpoint,
    connect (target) {
      const key = formatEndpoint(target)
      if (closed || dialers.has(key) || key === formatEndpoint(endpoint)) return
      dialers.set(key, createDialer({
        open: () => connectSocket({ host: target.host, port: target.port, noDelay: true }),
        accept,
        connectTimeout,
        minimum: options.reconnectMinimum ?? 100,
        maximum: options.reconnectMaximum ?? 5000,
        random: options.random ?? Math.random
      }))
    },
    disconnect (target) {
      const key = formatEndpoint(target)
      dialers.get(key)?.stop()
      dialers.delete(key)
    },
    send (instance, message) {
      const entry = peers.get(instance)
      return entry === undefined ? false : bestConnection(entry)?.send(encodeFrame(message)) ?? false
    },
    broadcast (message, filter = () => true) {
      const frame = encodeFrame(message)
      let sent = 0
      for (const entry of [...peers.values()]) {
        if (filter(entry.identity) && bestConnection(entry)?.send(frame) === true) sent++
      }
      return sent
    },
    drop (instance) {
      for (const connection of [...peers.get(instance)?.connections ?? []]) connection.close()
    },
    peers: () => [...peers.values()].map((entry) => entry.identity),
    async close () {
      closed = true
      for (const dialer of dialers.values()) dialer.stop()
      const ended = new Promise<void>((resolve) => server.close(() => resolve()))
      for (const connection of [...open]) connection.close()
      await ended
    }
  }
}
