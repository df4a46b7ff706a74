/** Requests between instances: one connection per peer, responses matched by number, a timeout for each request. */
import { connect, createServer, type Socket } from 'node:net'
import { OverloadedError, PeerProtocolError, PlatformUnavailableError } from '../errors'
import { formatEndpoint } from '../http/endpoint'
import { createValueReader, decodeValue, encodeValue } from '../peer/framing'
import type { Endpoint } from '../types'
import { EdgeEvent, errorMessage, type EdgeLog } from './events'
import { openListener } from './listener'

/** Milliseconds for which a peer is not used after it failed; doubles up to the longest pause. */
const FIRST_PAUSE_MS = 500
const MAX_PAUSE_MS = 8000
/** Milliseconds without any response after which a connection is considered dead. */
const SILENCE_TIMEOUT_MS = 500
/** Maximum number of accepted connections; a data centre has far fewer instances. */
const MAX_INCOMING_CONNECTIONS = 512
/**
 * Milliseconds without a request after which an accepted connection is closed; its peer may have vanished without
 * closing it.
 */
const IDLE_TIMEOUT_MS = 60_000
/** Maximum number of bytes that may be buffered for sending on one connection. */
const MAX_SEND_BUFFER_BYTES = 2_097_152

export const PeerRequestKind = {
  /** Changes in a table of the store. */
  changes: 'changes',
  /** Transfer of quota units of a customer. */
  tokens: 'tokens',
  /** Notification of the progress of a weights rollout. */
  weightsProgress: 'weightsProgress',
  /** Notification of an unreachable upstream. */
  failures: 'failures',
  /** Notification of crashes of upstreams, and of what requests they are attributed to. */
  crashes: 'crashes',
  /** Crashes and convictions that an instance has missed. */
  crashSync: 'missedCrashes',
  /** Notification of an upstream that announced that it is leaving. */
  leaving: 'leaving',
  /** Notification of the request limit of an upstream. */
  requestLimits: 'limits',
  /** Permit to send a request to an upstream that has named a limit. */
  sendPermits: 'permits',
  /** Permit to send a request that may crash upstreams. */
  trialPermits: 'trials',
  /** Prompt tokens that instances have sent to engines. */
  engineLoads: 'engineLoads',
  /** Notification of a service rollout to a new version. */
  serviceRollouts: 'moves',
  /** Counts of an instance for both versions of a service during a rollout. */
  rolloutCounts: 'moveCounts'
} as const
export type PeerRequestKind = typeof PeerRequestKind[keyof typeof PeerRequestKind]

export type PeerValue = Readonly<Record<string, unknown>>

/** Handles a request of a peer. Rejects with a reason that is sent to the peer. */
export type HandlePeerRequest = (request: PeerValue) => Promise<PeerValue>

export interface PeerLinksOptions {
  listen: Endpoint
  handleRequest: HandlePeerRequest
  log: EdgeLog
  /** Called with the milliseconds until the response. */
  onResponse: (request: PeerValue, milliseconds: number) => void
  /** Monotonic clock in milliseconds. */
  now: () => number
  /** Milliseconds without a request after which an accepted connection is closed. @default 60000 */
  idleTimeout?: number
}

export interface PeerLinks {
  /**
   * Rejects with `PlatformUnavailableError` when no response arrived within `timeout` milliseconds, the peer rejected
   * the request, or the request or the response is too long for a message.
   */
  request: (peer: Endpoint, request: PeerValue, timeout: number) => Promise<PeerValue>
  /** Sends a notification, which gets no response and may be lost. */
  notify: (peer: Endpoint, notification: PeerValue) => void
  /** False while the peer is not used because it failed. */
  isUsable: (peer: Endpoint) => boolean
  close: () => void
}

/**
 * Resolves to undefined when the peer gives no response; the links log the loss of a peer. Rejects with faults of the
 * program.
 */
export async function requestIfReachable (
  links: Pick<PeerLinks, 'request'>, peer: Endpoint, request: PeerValue, timeout: number
): Promise<PeerValue | undefined> {
  try {
    return await links.request(peer, request, timeout)
  } catch (error) {
    if (error instanceof PlatformUnavailableError) return undefined
    throw error
  }
}

/** Message number of notifications, which get no response. */
const NOTIFICATION_NUMBER = 0

/**
 * A request has a number and a content; a response repeats the number and has a content or the reason of a rejection.
 */
interface Envelope {
  number: number
  content: PeerValue | undefined
  refusal: string | undefined
}

interface PendingRequest {
  request: PeerValue
  sentAt: number
  resolve: (response: PeerValue) => void
  reject: (error: Error) => void
  timer: NodeJS.Timeout
}

interface Connection {
  socket: Socket
  pending: Map<number, PendingRequest>
  isOpen: boolean
  /** When a request was sent after which no response has arrived; undefined after any response. */
  unansweredSince: number | undefined
}

function isPeerValue (value: unknown): value is PeerValue {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function decodeEnvelope (body: Uint8Array): Envelope {
  const value = decodeValue(body)
  if (!isPeerValue(value) || typeof value.number !== 'number') throw new PeerProtocolError('peer message has no number')
  const { number, content, refusal } = value
  if (isPeerValue(content)) return { number, content, refusal: undefined }
  if (typeof refusal === 'string') return { number, content: undefined, refusal }
  throw new PeerProtocolError('peer message has neither content nor refusal')
}

/** Passes each message to `onEnvelope`; a frame that cannot be decoded closes the connection. */
function readEnvelopes (socket: Socket, onEnvelope: (envelope: Envelope) => void): void {
  const reader = createValueReader(decodeEnvelope)
  socket.setNoDelay(true)
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const envelope of reader.push(bytes)) onEnvelope(envelope)
    } catch (error) {
      socket.destroy(error instanceof Error ? error : undefined)
    }
  })
}

/** Resolves once the instance listens; waits for an address that is taken. */
export async function createPeerLinks (options: PeerLinksOptions): Promise<PeerLinks> {
  const { listen, handleRequest, log, now, idleTimeout = IDLE_TIMEOUT_MS } = options
  const connections = new Map<string, Connection>()
  const incomingSockets = new Set<Socket>()
  const backOffs = new Map<string, { until: number, length: number }>()
  let lastNumber = 0

  /** Returns why the message cannot be sent at all; undefined if it can. */
  function send (socket: Socket, message: Envelope): string | undefined {
    if (socket.writableLength > MAX_SEND_BUFFER_BYTES) {
      socket.destroy(new OverloadedError('peer reads too slowly: send buffer limit exceeded'))
      return undefined
    }
    try {
      socket.write(encodeValue(message, 'peer message'))
      return undefined
    } catch (error) {
      if (error instanceof PeerProtocolError) return error.message
      throw error
    }
  }

  function recordFailure (address: string, reason: string): void {
    const previous = backOffs.get(address)
    if (previous !== undefined && previous.until > now()) return
    const duration = Math.min(MAX_PAUSE_MS, previous === undefined ? FIRST_PAUSE_MS : previous.length * 2)
    backOffs.set(address, { until: now() + duration, length: duration })
    if (previous === undefined) log(EdgeEvent.peerLost, { peer: address, reason })
  }

  function recordResponse (address: string): void {
    if (backOffs.delete(address)) log(EdgeEvent.peerRegained, { peer: address })
  }

  function closeConnection (address: string, connection: Connection, reason: string): void {
    if (connections.get(address) === connection) connections.delete(address)
    connection.socket.destroy()
    for (const { reject, timer } of connection.pending.values()) {
      clearTimeout(timer)
      reject(new PlatformUnavailableError(`peer ${address}: ${reason}`))
    }
    connection.pending.clear()
  }

  function openConnection (address: string, peer: Endpoint): Connection {
    const connection: Connection = {
      socket: connect(peer.port, peer.host), pending: new Map(), isOpen: false, unansweredSince: undefined
    }
    connections.set(address, connection)
    readEnvelopes(connection.socket, ({ number, content, refusal }) => {
      connection.unansweredSince = undefined
      const pending = connection.pending.get(number)
      // The response to a request that has timed out.
      if (pending === undefined) return
      connection.pending.delete(number)
      clearTimeout(pending.timer)
      recordResponse(address)
      options.onResponse(pending.request, now() - pending.sentAt)
      if (content !== undefined) pending.resolve(content)
      else pending.reject(new PlatformUnavailableError(`peer ${address} rejected the request: ${refusal}`))
    })
    const onEnd = (reason: string): void => {
      if (connection.pending.size > 0 || !connection.isOpen) recordFailure(address, reason)
      closeConnection(address, connection, reason)
    }
    connection.socket.on('connect', () => { connection.isOpen = true })
    connection.socket.on('error', (error) => { onEnd(error.message) })
    connection.socket.on('close', () => { onEnd('the connection was closed') })
    return connection
  }

  const server = createServer((socket) => {
    if (incomingSockets.size >= MAX_INCOMING_CONNECTIONS) {
      socket.destroy()
      return
    }
    incomingSockets.add(socket)
    socket.setTimeout(idleTimeout, () => { socket.destroy() })
    // The peer detects the end of the connection itself and sends its request again.
    socket.on('error', (error) => { log(EdgeEvent.peerConnectionEnded, { reason: error.message }) })
    socket.on('close', () => { incomingSockets.delete(socket) })
    readEnvelopes(socket, ({ number, content }) => {
      if (content === undefined) throw new PeerProtocolError('peer request has no content')
      if (number === NOTIFICATION_NUMBER) {
        handleRequest(content).catch((error: unknown) => {
          log(EdgeEvent.peerNotificationRejected, { reason: errorMessage(error) })
        })
        return
      }
      const respond = (message: Omit<Envelope, 'number'>): void => {
        if (socket.destroyed) return
        const failure = send(socket, { number, ...message })
        if (failure !== undefined) send(socket, { number, content: undefined, refusal: failure })
      }
      handleRequest(content).then(
        (response) => { respond({ content: response, refusal: undefined }) },
        (error: unknown) => { respond({ content: undefined, refusal: errorMessage(error) }) }
      )
    })
  })
  const listener = openListener(server, { endpoint: listen, log })
  await listener.opened

  return {
    async request (peer, request, timeout) {
      const address = formatEndpoint(peer)
      const connection = connections.get(address) ?? openConnection(address, peer)
      lastNumber += 1
      const number = lastNumber
      return await new Promise((resolve, reject) => {
        function failUnlessAnswered (): void {
          if (!connection.pending.delete(number)) return
          recordFailure(address, `no answer in ${timeout} ms`)
          reject(new PlatformUnavailableError(`peer ${address}: no answer in ${timeout} ms`))
          const isConnectionSilent = connection.unansweredSince !== undefined &&
            now() - connection.unansweredSince >= SILENCE_TIMEOUT_MS
          if (isConnectionSilent) closeConnection(address, connection, 'the connection is silent')
        }
        // After the process was busy, timers come before the responses that have arrived meanwhile; these are read first.
        const timer = setTimeout(() => { setImmediate(failUnlessAnswered) }, timeout)
        connection.pending.set(number, { request, sentAt: now(), resolve, reject, timer })
        connection.unansweredSince ??= now()
        const failure = send(connection.socket, { number, content: request, refusal: undefined })
        if (failure === undefined) return
        connection.pending.delete(number)
        if (connection.pending.size === 0) connection.unansweredSince = undefined
        clearTimeout(timer)
        reject(new PlatformUnavailableError(`peer ${address}: ${failure}`))
      })
    },
    notify (peer, notification) {
      const address = formatEndpoint(peer)
      const connection = connections.get(address) ?? openConnection(address, peer)
      const failure = send(connection.socket, {
        number: NOTIFICATION_NUMBER, content: notification, refusal: undefined
      })
      if (failure !== undefined) log(EdgeEvent.peerNotificationRejected, { reason: failure })
    },
    isUsable: (peer) => (backOffs.get(formatEndpoint(peer))?.until ?? -Infinity) <= now(),
    close () {
      listener.close()
      for (const socket of incomingSockets) socket.destroy()
      for (const [address, connection] of connections) closeConnection(address, connection, 'this instance is stopping')
    }
  }
}
