/** A port for a process that starts later. */
import { createServer } from 'node:net'
import type { Endpoint } from '../src/types'

/**
 * Below the ports that the system gives to outgoing connections and to servers that ask for any port, so that nobody
 * takes the port before the process starts, or while it restarts.
 */
const FIRST_PORT = 12_000
const LAST_PORT = 30_000
/** Number of ports of one worker of the test runner: workers must not hand out the same port at the same time. */
const PORTS_PER_WORKER = 1500

/** Ports given to processes that may not listen yet. */
const handedOut = new Set<number>()

function portRange (): { first: number, count: number } {
  const worker = Number(process.env.VITEST_POOL_ID)
  if (!Number.isInteger(worker)) return { first: FIRST_PORT, count: LAST_PORT - FIRST_PORT }
  const ranges = (LAST_PORT - FIRST_PORT) / PORTS_PER_WORKER
  return { first: FIRST_PORT + (worker % ranges) * PORTS_PER_WORKER, count: PORTS_PER_WORKER }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}

export async function freeEndpoint (): Promise<Endpoint> {
  const { first, count } = portRange()
  for (;;) {
    const port = first + Math.floor(Math.random() * count)
    if (handedOut.has(port)) continue
    handedOut.add(port)
    if (await isFree(port)) return { host: '127.0.0.1', port }
  }
}
