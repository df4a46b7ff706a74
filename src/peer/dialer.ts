/** Keeps one outgoing peer connection open, with jittered exponential backoff between attempts. */
import { performance } from 'node:perf_hooks'
import type { Socket } from 'node:net'
import type { RandomSource } from '../types'
import type { PeerConnection } from './connection'

/** Milliseconds that a connection must last before the backoff starts from its minimum again. */
const STABLE_MS = 5000

export interface DialerOptions {
  open: () => Socket
  /** Takes over a connected socket. */
  accept: (socket: Socket, onClosed: () => void, onReady: () => void) => PeerConnection
  connectTimeout: number
  minimum: number
  maximum: number
  random: RandomSource
}

export interface Dialer {
  /** Closes the connection and does not reconnect. */
  stop: () => void
}

/** Wait before the next attempt: doubles with each failure up to the maximum, of which half is random. */
export function backoffDelay (
  failures: number, options: Pick<DialerOptions, 'minimum' | 'maximum' | 'random'>
): number {
  const longest = Math.min(options.maximum, options.minimum * 2 ** Math.min(failures, 30))
  return longest * (0.5 + options.random() / 2)
}

/** Starts dialling at once. */
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
    const opening = options.open()
    socket = opening
    let readyAt: number | undefined
    const connectTimer = setTimeout(() => opening.destroy(), options.connectTimeout)
    const onFailed = (): void => {
      clearTimeout(connectTimer)
      scheduleNext()
    }
    opening.on('error', () => undefined)
    opening.once('close', onFailed)
    opening.once('connect', () => {
      clearTimeout(connectTimer)
      opening.off('close', onFailed)
      connection = options.accept(opening, () => {
        connection = undefined
        if (readyAt !== undefined && performance.now() - readyAt >= STABLE_MS) failures = 0
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
