/** TCP relay between two processes that can be cut, silenced or delayed. */
import { connect, createServer } from 'node:net'
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

/** Starts a relay on 127.0.0.1. */
export async function startRelay (options: RelayOptions): Promise<Relay> {
  const faults: RelayFaults = { cut: false, silence: 'off', delay: 0 }
  const pairs = new Set<Pair>()

  function forward (pair: Pair, from: Socket, to: Socket): void {
    from.on('data', (data) => {
      const write = (): void => {
        if (pair.silent || to.destroyed) return
        if (!to.write(data)) {
          from.pause()
          to.once('drain', () => from.resume())
        }
      }
      if (faults.delay > 0) setTimeout(write, faults.delay)
      else write()
    })
    // A silent pair stays open: the loss of a side is not forwarded either.
    from.on('end', () => {
      const end = (): void => { if (!pair.silent) to.end() }
      if (faults.delay > 0) setTimeout(end, faults.delay)
      else end()
    })
    from.on('error', () => undefined)
    from.on('close', () => {
      if (pair.silent) return
      pairs.delete(pair)
      if (faults.delay > 0) setTimeout(() => to.destroy(), faults.delay)
      else if (!to.writableEnded) to.destroy()
    })
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
