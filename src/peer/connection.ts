/** One TCP connection to a peer: greeting, checked frames in, bounded queue out. */
import type { Socket } from 'node:net'
import { InternalError, OverloadedError, PeerProtocolError, RouterError } from '../errors'
import { createFrameReader, encodeFrame } from './frames'
import { PEER_PROTOCOL_VERSION } from './messages'
import type { Greeting, PeerMessage } from './messages'

export interface PeerConnectionOptions {
  socket: Socket
  greeting: Greeting
  /** Milliseconds within which the peer must send its greeting. */
  greetingTimeout: number
  /** Bytes that may wait to be sent; a peer that reads more slowly is disconnected. */
  sendLimit: number
  /** The peer's greeting has come and fits. Throw to refuse the peer. */
  onGreeting: (greeting: Greeting) => void
  onMessage: (message: PeerMessage) => void
  /** Called once; `error` is undefined when the peer or `close` ended the connection. */
  onClosed: (error: RouterError | undefined) => void
}

export interface PeerConnection {
  /** The peer's greeting; undefined until it has come. */
  peer: () => Greeting | undefined
  /** Queues an encoded frame. Returns false when the connection is closed or the peer is too slow. */
  send: (frame: Buffer) => boolean
  /** Number of frames received so far; a node prefers the connection that received last. */
  lastReceived: () => number
  close: (error?: RouterError) => void
}

/** Orders the receptions of all connections of this process. */
let receptions = 0

/** Takes over a connected socket and sends the greeting. */
export function openPeerConnection (options: PeerConnectionOptions): PeerConnection {
  const { socket, greeting, sendLimit } = options
  const reader = createFrameReader()
  let peer: Greeting | undefined
  let lastReceived = 0
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

  function takeMessage (message: PeerMessage): void {
    lastReceived = ++receptions
    if (peer !== undefined) {
      if (message.kind === 'greeting') throw new PeerProtocolError('second greeting')
      options.onMessage(message)
      return
    }
    if (message.kind !== 'greeting') throw new PeerProtocolError(`${message.kind} came before the greeting`)
    if (message.protocol !== PEER_PROTOCOL_VERSION) {
      throw new PeerProtocolError(`peer speaks protocol ${message.protocol}, expected ${PEER_PROTOCOL_VERSION}`)
    }
    peer = message
    clearTimeout(greetingTimer)
    options.onGreeting(message)
  }

  const greetingTimer = setTimeout(() => close(new PeerProtocolError('no greeting')), options.greetingTimeout)
  socket.setNoDelay(true)
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const message of reader.push(bytes)) {
        if (closed) return
        takeMessage(message)
      }
    } catch (error) {
      // A fault in a handler must not end the process when a peer can trigger it.
      close(error instanceof RouterError ? error : new InternalError('peer message handler failed', { cause: error }))
    }
  })
  socket.on('error', () => close())
  socket.on('close', () => close())
  socket.write(encodeFrame(greeting))

  return { peer: () => peer, send, lastReceived: () => lastReceived, close }
}
