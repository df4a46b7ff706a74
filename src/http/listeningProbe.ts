/** Tells whether anything listens at an endpoint. */
import { connect } from 'node:net'
import type { Endpoint } from '../types'

/** Milliseconds without an answer after which the endpoint counts as unreachable, which does not mean refused. */
const PROBE_TIMEOUT_MS = 400

/** Resolves to true if the endpoint refuses connections, and to false if it accepts one or does not respond in time. */
export async function isConnectionRefused ({ host, port }: Endpoint): Promise<boolean> {
  return await new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS })
    function finish (isRefused: boolean): void {
      socket.destroy()
      resolve(isRefused)
    }
    socket.once('connect', () => { finish(false) })
    socket.once('timeout', () => { finish(false) })
    socket.once('error', (error: NodeJS.ErrnoException) => { finish(error.code === 'ECONNREFUSED') })
  })
}
