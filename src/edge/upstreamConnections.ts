/** Connections to upstreams: kept ones for requests that may be repeated, new ones for all others. */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Upstream } from './upstreamDirectory'

/** Milliseconds for which an idle connection is used again; upstreams may drop idle ones without notice. */
const REUSE_LIMIT_MS = 3000
/** Idle connections kept to one upstream. */
const IDLE_CONNECTIONS = 8

/** Closes an idle connection on which bytes arrive: they belong to no request. */
function onIdleData (this: Socket): void {
  this.destroy()
}

/** Keeps idle connections and remembers since when they are idle. */
class KeptConnections extends Agent {
  private readonly idleSince = new Map<Socket, number>()

  constructor (private readonly now: () => number, options: AgentOptions) {
    super(options)
  }

  // Node's types leave out the result, which tells whether the connection is kept.
  override keepSocketAlive (socket: Socket): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept) return false
    this.idleSince.set(socket, this.now())
    socket.on('data', onIdleData)
    return true
  }

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    this.idleSince.delete(socket)
    socket.removeListener('data', onIdleData)
    super.reuseSocket(socket, request)
  }

  /** Closes connections that have been idle for `limit` milliseconds or longer. */
  closeIdle (limit: number): void {
    const before = this.now() - limit
    for (const [socket, since] of this.idleSince) {
      if (since > before && !socket.destroyed) continue
      this.idleSince.delete(socket)
      socket.destroy()
    }
  }
}

export interface UpstreamConnections {
  /** Connection source for one attempt; `fresh` ones are never used again. */
  agentFor: (upstream: Upstream, fresh: boolean) => Agent
  /** Stops using the idle connections of an upstream, after one of its connections broke. */
  abandon: (upstream: Upstream) => void
  /** Forgets an upstream that is gone. */
  forget: (upstream: Upstream) => void
  /** Closes connections that were idle too long. */
  prune: () => void
}

export function createUpstreamConnections (now: () => number): UpstreamConnections {
  const fresh = new Agent({ keepAlive: false })
  const kept = new Map<string, KeptConnections>()
  return {
    agentFor (upstream, isFresh) {
      if (isFresh) return fresh
      const key = upstream.entry.identifier
      let agent = kept.get(key)
      if (agent === undefined) {
        agent = new KeptConnections(now, { keepAlive: true, maxFreeSockets: IDLE_CONNECTIONS, scheduling: 'lifo' })
        kept.set(key, agent)
      }
      agent.closeIdle(REUSE_LIMIT_MS)
      return agent
    },
    abandon: (upstream) => { kept.get(upstream.entry.identifier)?.closeIdle(0) },
    forget (upstream) {
      kept.get(upstream.entry.identifier)?.closeIdle(0)
      kept.delete(upstream.entry.identifier)
    },
    prune () {
      for (const agent of kept.values()) agent.closeIdle(REUSE_LIMIT_MS)
    }
  }
}
