/** TCP connection to a peer: exchanges greetings, validates incoming frames and bounds the send queue. */
import type { Socket } from 'node:net'
import { InternalError, OverloadedError, PeerProtocolError, RouterError } from '../errors'
import { createFrameReader, encodeFrame } from './frames'
import { PEER_PROTOCOL_VERSION } from './messages'
import type { Greeting, PeerMessage } from './messages'

export interface PeerConnectionOptions {
  socket: Socket
  greeting: Greeting
  /** Timeout in milliseconds for the peer's greeting. */
  greetingTimeout: number
  /** Maximum size of the send queue in bytes; a peer that reads too slowly and would exceed it is disconnected. */
  sendLimit: number
  /** Called when a greeting with the expected protocol version was received. Throw an error to reject the peer. */
  onGreeting: (greeting: Greeting) => void
  onMessage: (message: PeerMessage) => void
  /** Called once; `error` is undefined when the peer or a call of `close` without an error ended the connection. */
  onClosed: (error: RouterError | undefined) => void
}

export interface PeerConnection {
  /** Returns the peer's greeting, or undefined until it has been received. */
  peer: () => Greeting | undefined
  /** Queues an encoded frame. Returns false when the connection is closed or the peer is too slow. */
  send: (frame: Buffer) => boolean
  /**
   * Returns the process-wide sequence number of the last message received on this connection. A node prefers the
   * connection with the highest number.
   */
  lastReceivedSequence: () => number
  close: (error?: RouterError) => void
}

/** Number of messages received on all connections of this process; orders them across connections. */
let receivedMessages = 0

/** Takes ownership of a connected socket and sends the greeting. */
export function openPeerConnection (options: PeerConnectionOptions): PeerConnection {
  const { socket, greeting, sendLimit } = options
  const reader = createFrameReader()
  let peer: Greeting | undefined
  let lastReceivedSequence = 0
  let closed = false

  function close (error?: RouterError): void {
    if (closed) return
    closed = true
    clearTimeout(greetingTimer)
    socket.destroy()
    options.onClosed(error)
  }

  function send (frame: Buffer): boolean {
    if (closed) return false
    if (socket.writableLength + frame.length > sendLimit) {
      close(new OverloadedError(`peer ${peer?.instance ?? 'without greeting'} reads too slowly`))
      return false
    }
    socket.write(frame)
    return true
  }

  function handleMessage (message: PeerMessage): void {
    lastReceivedSequence = ++receivedMessages
    if (peer !== undefined) {
      if (message.kind === 'greeting') throw new PeerProtocolError('received a second greeting')
      options.onMessage(message)
      return
    }
    if (message.kind !== 'greeting') throw new PeerProtocolError(`received ${message.kind} before the greeting`)
    if (message.protocol !== PEER_PROTOCOL_VERSION) {
      throw new PeerProtocolError(`peer uses protocol version ${message.protocol}, expected ${PEER_PROTOCOL_VERSION}`)
    }
    peer = message
    clearTimeout(greetingTimer)
    options.onGreeting(message)
  }

  const greetingTimer = setTimeout(() => close(new PeerProtocolError('no greeting received')), options.greetingTimeout)
  socket.setNoDelay(true)
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const message of reader.push(bytes)) {
        if (closed) return
        handleMessage(message)
      }
    } catch (error) {
      // A peer may be able to trigger a bug in a handler; this must not end the process.
      close(error instanceof RouterError ? error : new InternalError('peer message handler failed', { cause: error }))
    }
  })
  socket.on('error', () => close())
  socket.on('close', () => close())
  socket.write(encodeFrame(greeting))

  return { peer: () => peer, send, lastReceivedSequence: () => lastReceivedSequence, close }
}
