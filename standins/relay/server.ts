/** TCP relay between two processes that can be cut, silenced or delayed. */
import { connect, createServer } from 'node:net'
import { performance } from 'node:perf_hooks'
import type { AddressInfo, Socket } from 'node:net'
import type { Endpoint } from '../../src/types'
import { startStandinServer } from '../http'
import type { StandinServer } from '../http'

export interface RelayFaults {
  /** Open connections are destroyed and new ones refused. */
  cut: boolean
  /** `existing`: connections open now forward nothing for good; `all`: new ones forward nothing either. */
  silence: 'off' | 'existing' | 'all'
  /** Milliseconds by which bytes are held back in each direction. */
  delay: number
}

export interface RelayOptions {
  /** @default 0 */
  port?: number
  /** Port of the control server. @default 0 */
  controlPort?: number
  target: Endpoint
}

export interface Relay {
  endpoint: Endpoint
  control: StandinServer
  setFaults: (change: Partial<RelayFaults>) => RelayFaults
  connections: () => number
  close: () => Promise<void>
}

interface Pair {
  sockets: readonly [Socket, Socket]
  silent: boolean
}

interface DelayLine {
  push: (action: () => void) => void
}

/** Runs actions after the delay in force when they came, in their order also when the delay shrinks. */
function createDelayLine (delay: () => number): DelayLine {
  const queue: Array<{ at: number, action: () => void }> = []
  function run (): void {
    while (queue[0] !== undefined && queue[0].at <= performance.now()) queue.shift()?.action()
    if (queue[0] !== undefined) setTimeout(run, Math.max(1, queue[0].at - performance.now()))
  }
  return {
    push (action) {
      if (queue.length === 0 && delay() <= 0) {
        action()
        return
      }
      queue.push({ at: performance.now() + delay(), action })
      if (queue.length === 1) setTimeout(run, Math.max(1, delay()))
    }
  }
}

/** Starts a relay on 127.0.0.1. */
export async function startRelay (options: RelayOptions): Promise<Relay> {
  const faults: RelayFaults = { cut: false, silence: 'off', delay: 0 }
  const pairs = new Set<Pair>()

  function forward (pair: Pair, from: Socket, to: Socket): void {
    const line = createDelayLine(() => faults.delay)
    from.on('data', (data) => {
      line.push(() => {
        if (pair.silent || to.destroyed) return
        if (!to.write(data)) {
          from.pause()
          to.once('drain', () => from.resume())
        }
      })
    })
    // A silent pair stays open: the loss of a side is not forwarded either.
    from.on('end', () => line.push(() => { if (!pair.silent) to.end() }))
    from.on('error', () => undefined)
    from.on('close', () => line.push(() => {
      if (pair.silent) return
      pairs.delete(pair)
      if (!to.writableEnded) to.destroy()
    }))
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    if (faults.cut) {
      incoming.resetAndDestroy()
      return
    }
    incoming.setNoDelay(true)
    const outgoing = connect({ ...options.target, allowHalfOpen: true, noDelay: true })
    const pair: Pair = { sockets: [incoming, outgoing], silent: faults.silence === 'all' }
    pairs.add(pair)
    forward(pair, incoming, outgoing)
    forward(pair, outgoing, incoming)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port ?? 0, '127.0.0.1', resolve)
  })

  function destroyPairs (): void {
    for (const pair of pairs) for (const socket of pair.sockets) socket.resetAndDestroy()
    pairs.clear()
  }

  function setFaults (change: Partial<RelayFaults>): RelayFaults {
    Object.assign(faults, change)
    if (change.cut === true) destroyPairs()
    if (change.silence !== undefined && change.silence !== 'off') for (const pair of pairs) pair.silent = true
    return faults
  }

  const control = await startStandinServer({
    ...(options.controlPort === undefined ? {} : { port: options.controlPort }),
    routes: {
      '* /control': async ({ method, segments, readJson, sendJson }) => {
        if (segments[0] !== 'faults') return sendJson(404, { code: 'not_found', message: 'no such control' })
        sendJson(200, method === 'PUT' ? setFaults(await readJson<Partial<RelayFaults>>()) : faults)
      }
    }
  })

  return {
    endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    control,
    setFaults,
    connections: () => pairs.size,
    async close () {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()))
      destroyPairs()
      await Promise.all([closed, control.close()])
    }
  }
}
