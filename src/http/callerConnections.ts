/** Connections of callers to an HTTP server. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

export interface CallerConnections {
  /** Whether responses wait in the process, because their callers read slowly. */
  hasUnsentBytes: () => boolean
  /** Closes idle connections, or none while a response waits to be sent. */
  closeIdle: () => void
}

export function trackCallerConnections (server: Server): CallerConnections {
  const connections = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    connections.add(socket)
    socket.on('close', () => { connections.delete(socket) })
  })

  function hasUnsentBytes (): boolean {
    return [...connections].some(({ writableLength }) => writableLength > 0)
  }

  return {
    hasUnsentBytes,
    closeIdle () {
      // Node.js counts connections as idle although their last response has not been sent, and would cut it off.
      if (!hasUnsentBytes()) server.closeIdleConnections()
    }
  }
}
