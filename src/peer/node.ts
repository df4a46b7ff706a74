/**
 * Node of the peer mesh: accepts and opens connections, and reconnects with jittered backoff. The caller sends
 * heartbeats as ordinary messages, and closes the connections of a suspected peer with `drop` so that they are reopened.
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

/** Maximum number of simultaneous incoming connections; a data centre has far fewer instances. */
const MAXIMUM_INCOMING_CONNECTIONS = 1024

/**
 * Maximum number of connections to one peer: one opened by each side. A further connection replaces the one that has
 * been silent longest.
 */
const MAXIMUM_CONNECTIONS_PER_PEER = 2

/** Identity of a peer as stated in its greeting. */
export interface PeerIdentity {
  instance: string
  incarnation: Incarnation
  dataCentre: string
  /** Address at which the peer accepts connections. */
  endpoint: Endpoint
}

export interface PeerNodeOptions {
  /** Identity of this instance. With port 0 the system chooses a port, and the greeting contains the chosen one. */
  self: PeerIdentity
  onMessage: (peer: PeerIdentity, message: Exclude<PeerMessage, Greeting>) => void
  /** Called when the first connection to a peer incarnation is ready. */
  onConnected: (peer: PeerIdentity) => void
  /** Called when the last connection to a peer incarnation has closed; `error` is the reason if this side closed it. */
  onDisconnected: (peer: PeerIdentity, error: RouterError | undefined) => void
  /** Called when a connection was closed for invalid data from the peer, also before its greeting. @default ignored */
  onProtocolError?: (error: RouterError, address: string) => void
  /** Random source for the jitter of the backoff. @default Math.random */
  random?: RandomSource
  /** Shortest delay before reconnecting in milliseconds. @default 100 */
  reconnectMinimum?: number
  /** Longest delay before reconnecting in milliseconds. @default 5000 */
  reconnectMaximum?: number
  /** Timeout in milliseconds for opening a connection and, separately, for receiving the greeting. @default 2000 */
  connectTimeout?: number
  /** Maximum size of a connection's send queue in bytes. @default 4194304 */
  sendLimit?: number
}

export interface PeerNode {
  /** Address at which this node accepts connections. */
  endpoint: Endpoint
  /** Connects, and reconnects until `disconnect` is called. Ignores the node's own and already added endpoints. */
  connect: (endpoint: Endpoint) => void
  /** Stops reconnecting to the endpoint and closes the connection that this node opened to it. */
  disconnect: (endpoint: Endpoint) => void
  /**
   * Sends a message to one peer. Returns false if the peer is not connected or reads too slowly; the message is then
   * discarded.
   * @throws PeerProtocolError when the message exceeds the frame limit; long key lists must be split
   */
  send: (instance: string, message: PeerMessage) => boolean
  /**
   * Sends a message to all peers that match the filter, by default to all. Returns the number of peers for which it was
   * queued.
   * @throws PeerProtocolError when the message exceeds the frame limit
   */
  broadcast: (message: PeerMessage, filter?: (peer: PeerIdentity) => boolean) => number
  /** Closes all connections to a peer, for example after missed heartbeats. Those opened by this node are reopened. */
  drop: (instance: string) => void
  peers: () => readonly PeerIdentity[]
  /** Stops listening and closes all connections, without calling `onDisconnected`. */
  close: () => Promise<void>
}

interface PeerEntry {
  identity: PeerIdentity
  connections: Set<PeerConnection>
}

/** Starts listening and resolves with the node. Rejects with the system's error if the port is in use. */
export async function createPeerNode (options: PeerNodeOptions): Promise<PeerNode> {
  const { self, connectTimeout = 2000, sendLimit = 4_194_304 } = options
  const peers = new Map<string, PeerEntry>()
  const openConnections = new Set<PeerConnection>()
  const dialers = new Map<string, Dialer>()
  let closed = false

  const server = createServer((socket) => { accept(socket) })
  server.maxConnections = MAXIMUM_INCOMING_CONNECTIONS
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(self.endpoint.port, self.endpoint.host, resolve)
  })
  // Failures to accept a single connection, for example for lack of file descriptors, must not end the process.
  server.on('error', () => undefined)
  const endpoint: Endpoint = { host: self.endpoint.host, port: (server.address() as AddressInfo).port }
  const greeting: Greeting = { kind: 'greeting', protocol: PEER_PROTOCOL_VERSION, ...self, endpoint }

  function register (connection: PeerConnection, peer: Greeting): void {
    if (peer.instance === self.instance) throw new PeerProtocolError('instance connected to itself')
    const existing = peers.get(peer.instance)
    if (existing !== undefined && existing.identity.incarnation > peer.incarnation) {
      throw new PeerProtocolError(`incarnation ${peer.incarnation} of ${peer.instance} has ended`)
    }
    if (existing !== undefined && existing.identity.incarnation === peer.incarnation) {
      existing.connections.add(connection)
      if (existing.connections.size <= MAXIMUM_CONNECTIONS_PER_PEER) return
      const [leastRecent] = [...existing.connections]
        .sort((left, right) => left.lastReceivedSequence() - right.lastReceivedSequence())
      leastRecent?.close()
      return
    }
    for (const replaced of existing?.connections ?? []) replaced.close()
    const { instance, incarnation, dataCentre } = peer
    const identity: PeerIdentity = { instance, incarnation, dataCentre, endpoint: peer.endpoint }
    peers.set(instance, { identity, connections: new Set([connection]) })
    options.onConnected(identity)
  }

  function unregister (connection: PeerConnection, error: RouterError | undefined): void {
    openConnections.delete(connection)
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
    openConnections.add(connection)
    return connection
  }

  /** Returns the connection that received a message most recently, because it is the most likely to work. */
  function mostRecentConnection (entry: PeerEntry): PeerConnection | undefined {
    let mostRecent: PeerConnection | undefined
    for (const connection of entry.connections) {
      if (
        mostRecent === undefined || connection.lastReceivedSequence() > mostRecent.lastReceivedSequence()
      ) mostRecent = connection
    }
    return mostRecent
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
        minimumDelay: options.reconnectMinimum ?? 100,
        maximumDelay: options.reconnectMaximum ?? 5000,
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
      return entry === undefined ? false : mostRecentConnection(entry)?.send(encodeFrame(message)) ?? false
    },
    broadcast (message, filter = () => true) {
      const frame = encodeFrame(message)
      let queued = 0
      for (const entry of [...peers.values()]) {
        if (filter(entry.identity) && mostRecentConnection(entry)?.send(frame) === true) queued++
      }
      return queued
    },
    drop (instance) {
      for (const connection of [...peers.get(instance)?.connections ?? []]) connection.close()
    },
    peers: () => [...peers.values()].map((entry) => entry.identity),
    async close () {
      closed = true
      for (const dialer of dialers.values()) dialer.stop()
      const serverClosed = new Promise<void>((resolve) => server.close(() => resolve()))
      for (const connection of [...openConnections]) connection.close()
      await serverClosed
    }
  }
}
