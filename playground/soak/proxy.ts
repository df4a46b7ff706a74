/** A loopback proxy of TCP connections that delays them, resets them, silences them or cuts one direction. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { Endpoint } from '../../src/types'

export const LinkFault = {
  none: 'none',
  /** Bytes arrive late. */
  delay: 'delay',
  /** Present connections are reset; new ones work. */
  reset: 'reset',
  /** Bytes of present connections vanish; new ones work. */
  silence: 'silence',
  /** Bytes to the server arrive when the fault ends, as they are sent again then. */
  cutRequests: 'cutRequests',
  /** Bytes from the server arrive when the fault ends. */
  cutAnswers: 'cutAnswers'
} as const
export type LinkFault = typeof LinkFault[keyof typeof LinkFault]

/** Milliseconds of a delayed piece. */
const DELAY_MS = 120

interface Pair {
  near: Socket
  far: Socket
  silent: boolean
}

export interface FaultProxy {
  endpoint: Endpoint
  setFault: (fault: LinkFault) => void
  close: () => void
}

export async function startFaultProxy (target: Endpoint): Promise<FaultProxy> {
  const pairs = new Set<Pair>()
  /** Deliver what a cut held back. */
  const held = new Set<() => void>()
  let fault: LinkFault = LinkFault.none

  function pass (pair: Pair, from: Socket, to: Socket, cut: LinkFault): void {
    /** Pieces that wait, the end included; later ones wait behind them. */
    const late: Array<{ deliver: () => void, isDue: boolean }> = []
    const flush = (): void => {
      if (pair.silent) late.length = 0
      while (late[0]?.isDue === true) {
        if (fault === cut) return
        late.shift()!.deliver()
      }
    }
    const take = (deliver: () => void): void => {
      if (pair.silent) return
      const piece = { deliver, isDue: fault !== LinkFault.delay }
      late.push(piece)
      flush()
      if (piece.isDue) return
      setTimeout(() => {
        piece.isDue = true
        flush()
      }, DELAY_MS)
    }
    held.add(flush)
    from.on('data', (bytes: Buffer) => { take(() => { to.write(bytes) }) })
    from.on('end', () => { take(() => { to.end() }) })
    // A reset of one side is passed on to the other; half-open connections are a fault of their own.
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => { pairs.delete(pair) })
    to.on('close', () => { held.delete(flush) })
  }

  const server = createServer({ allowHalfOpen: true }, (near) => {
    const pair: Pair = { near, far: connect(target.port, target.host), silent: false }
    pairs.add(pair)
    near.setNoDelay(true)
    pair.far.setNoDelay(true)
    pass(pair, near, pair.far, LinkFault.cutRequests)
    pass(pair, pair.far, near, LinkFault.cutAnswers)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  return {
    endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    setFault (next) {
      fault = next
      for (const flush of [...held]) flush()
      for (const pair of pairs) {
        if (next === LinkFault.silence) pair.silent = true
        if (next !== LinkFault.reset) continue
        pair.near.resetAndDestroy()
        pair.far.resetAndDestroy()
      }
    },
    close () {
      server.close()
      for (const { near, far } of pairs) {
        near.destroy()
        far.destroy()
      }
    }
  }
}
