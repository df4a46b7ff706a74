/** Keeps one outgoing peer connection open, with jittered exponential backoff between attempts. */
import { performance } from 'node:perf_hooks'
import type { Socket } from 'node:net'
import type { RandomSource } from '../types'
import type { PeerConnection } from './connection'

/** Time in milliseconds that a connection must stay open before the backoff is reset to its minimum. */
const STABLE_CONNECTION_MS = 5000

export interface DialerOptions {
  open: () => Socket
  /** Takes ownership of a connected socket. `onReady` is called once the peer has been accepted. */
  accept: (socket: Socket, onClosed: () => void, onReady: () => void) => PeerConnection
  /** Timeout in milliseconds for opening a connection. */
  connectTimeout: number
  /** Shortest backoff in milliseconds. */
  minimumDelay: number
  /** Longest backoff in milliseconds. */
  maximumDelay: number
  random: RandomSource
}

export interface Dialer {
  /** Closes the connection and does not reconnect. */
  stop: () => void
}

/**
 * Returns the delay in milliseconds before the next attempt. Its upper bound doubles with each failure up to the
 * maximum; the delay is chosen at random between half of the bound and the bound.
 */
export function backoffDelay (
  failures: number, options: Pick<DialerOptions, 'minimumDelay' | 'maximumDelay' | 'random'>
): number {
  const delayLimit = Math.min(options.maximumDelay, options.minimumDelay * 2 ** Math.min(failures, 30))
  return delayLimit * (0.5 + options.random() / 2)
}

/** Creates a dialer and starts the first attempt immediately. */
export function createDialer (options: DialerOptions): Dialer {
  let stopped = false
  let failures = 0
  let timer: NodeJS.Timeout | undefined
  let socket: Socket | undefined
  let connection: PeerConnection | undefined

  function scheduleNext (): void {
    if (stopped) return
    timer = setTimeout(dial, backoffDelay(failures, options))
    failures++
  }

  function dial (): void {
    const pendingSocket = options.open()
    socket = pendingSocket
    let readyAt: number | undefined
    const connectTimer = setTimeout(() => pendingSocket.destroy(), options.connectTimeout)
    const onFailed = (): void => {
      clearTimeout(connectTimer)
      scheduleNext()
    }
    pendingSocket.on('error', () => undefined)
    pendingSocket.once('close', onFailed)
    pendingSocket.once('connect', () => {
      clearTimeout(connectTimer)
      pendingSocket.off('close', onFailed)
      connection = options.accept(pendingSocket, () => {
        connection = undefined
        if (readyAt !== undefined && performance.now() - readyAt >= STABLE_CONNECTION_MS) failures = 0
        scheduleNext()
      }, () => { readyAt = performance.now() })
    })
  }

  dial()
  return {
    stop () {
      stopped = true
      clearTimeout(timer)
      connection?.close()
      socket?.destroy()
    }
  }
}
