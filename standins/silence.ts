/** Fault that makes open connections go silent for good while new ones work. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { StandinHandler, StandinServer } from './http'

export type SilenceMode = 'off' | 'existing' | 'all'

export interface Silence {
  /** Silences connections that are open now; with `all`, also requests on new ones. */
  set: (mode: SilenceMode, server: StandinServer, requestedBy: IncomingMessage) => void
  /** Keeps a request unanswered while everything is silent. */
  guard: (handler: StandinHandler) => StandinHandler
  /** Exempts a control connection. */
  exempt: (request: IncomingMessage) => void
}

/** Creates the fault in the state `off`. */
export function createSilence (): Silence {
  const exempted = new WeakSet<Socket>()
  const silent = new WeakSet<Socket>()
  let mode: SilenceMode = 'off'

  /** Answers vanish, requests are ignored, and the connection stays open. */
  function silence (socket: Socket): void {
    if (exempted.has(socket)) return
    silent.add(socket)
    socket.write = () => true
    socket.end = () => socket
    socket.destroySoon = () => undefined
  }

  return {
    set (next, server, requestedBy) {
      mode = next
      exempted.add(requestedBy.socket)
      if (mode !== 'off') server.sockets().forEach(silence)
    },
    guard: (handler) => async (exchange) => {
      const { socket } = exchange.request
      if (mode === 'all') silence(socket)
      if (!silent.has(socket)) await handler(exchange)
    },
    exempt (request) { exempted.add(request.socket) }
  }
}
