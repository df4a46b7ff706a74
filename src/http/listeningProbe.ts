/** Tells whether anything listens at an endpoint. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Endpoint } from '../types'

/** Milliseconds without an answer after which it is not known whether anything listens. */
const CONNECT_TIMEOUT_MS = 400
/**
 * Milliseconds for which an accepted connection must stay open. The system may close the connections of a process that
 * has crashed before its listener, which then still accepts connections and resets them.
 */
const STAYS_OPEN_MS = 150
/** Interval in milliseconds between probes that were accepted and reset. */
const RESET_INTERVAL_MS = 20
/** Milliseconds after which no further probe is made. */
const MAX_PROBING_MS = 1000

export const ListenerState = {
  open: 'open',
  closed: 'closed',
  /** The endpoint does not respond, or keeps resetting connections. */
  unknown: 'unknown'
} as const
export type ListenerState = typeof ListenerState[keyof typeof ListenerState]

/** Makes a single probe; resolves to undefined if the connection was reset. */
async function probeOnce ({ host, port }: Endpoint): Promise<ListenerState | undefined> {
  return await new Promise((resolve) => {
    const socket = connect({ host, port })
    let timer = setTimeout(() => { finish(ListenerState.unknown) }, CONNECT_TIMEOUT_MS)
    function finish (state: ListenerState | undefined): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(state)
    }
    socket.once('connect', () => {
      clearTimeout(timer)
      timer = setTimeout(() => { finish(ListenerState.open) }, STAYS_OPEN_MS)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? ListenerState.closed : undefined)
    })
    socket.once('close', () => { finish(undefined) })
    // Reads, so that the end of the connection is noticed.
    socket.resume()
  })
}

/** Probes an endpoint until its state is known, for about a second at most. */
export async function probeListener (endpoint: Endpoint): Promise<ListenerState> {
  const end = performance.now() + MAX_PROBING_MS
  while (true) {
    const state = await probeOnce(endpoint)
    if (state !== undefined) return state
    if (performance.now() + RESET_INTERVAL_MS > end) return ListenerState.unknown
    await sleep(RESET_INTERVAL_MS)
  }
}
