/** Opens listening sockets, at addresses that may still be taken. */
import type { Server } from 'node:net'
import { formatEndpoint } from '../http/endpoint'
import type { Endpoint } from '../types'
import { EdgeEvent, type EdgeLog } from './events'

/** Milliseconds until the next attempt to listen at an address that is taken. */
const LISTEN_RETRY_MS = 100

/**
 * Errors that pass: the process before this one may still hold the address, a connection of another process may have got
 * the port for a while, and the machine may not have the address yet.
 */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

export interface ListenerOptions {
  endpoint: Endpoint
  /** Maximum length of the queue of connections that wait to be accepted. */
  backlog?: number
  log: EdgeLog
}

export interface Listener {
  /** Resolves once the server listens. Rejects with an error that does not pass. */
  opened: Promise<void>
  /** Stops listening, or waiting for the address. */
  close: () => void
}

export function openListener (server: Server, { endpoint, backlog, log }: ListenerOptions): Listener {
  const { host, port } = endpoint
  let retryTimer: NodeJS.Timeout | undefined
  let isWaiting = false

  function listen (): void {
    server.listen({ host, port, ...(backlog === undefined ? {} : { backlog }) })
  }

  const opened = new Promise<void>((resolve, reject) => {
    server.once('listening', resolve)
    server.on('error', (error: NodeJS.ErrnoException) => {
      const fields = { address: formatEndpoint(endpoint), reason: error.message }
      // A connection could not be accepted; others still can.
      if (server.listening) return log(EdgeEvent.listenerFailed, fields)
      if (!PASSING_ERRORS.has(error.code)) return reject(error)
      if (!isWaiting) log(EdgeEvent.listenerWaiting, fields)
      isWaiting = true
      retryTimer = setTimeout(listen, LISTEN_RETRY_MS)
    })
  })
  listen()
  return {
    opened,
    close () {
      clearTimeout(retryTimer)
      server.close()
    }
  }
}
