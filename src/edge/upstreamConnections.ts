/** Connections to upstreams: keep-alive connections for requests that may be repeated, new ones for all others. */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Upstream } from './upstreamDirectory'

/** Time in milliseconds for which an idle connection may be reused; upstreams may close idle ones without notice. */
const MAX_IDLE_MS = 3000
/** Maximum number of idle connections to one upstream. */
const MAX_IDLE_CONNECTIONS = 8

/** Closes an idle connection that receives bytes, because they do not belong to any request. */
function onIdleData (this: Socket): void {
  this.destroy()
}

/** Agent that keeps connections alive and tracks how long they have been idle. */
class KeepAliveAgent extends Agent {
  private readonly idleSince = new Map<Socket, number>()

  constructor (private readonly now: () => number, options: AgentOptions) {
    super(options)
  }

  // Node's types omit the result, which states whether the connection is kept alive.
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

  /** Closes connections that have been idle for at least this number of milliseconds. */
  closeIdle (minimumIdleMs: number): void {
    const idleBefore = this.now() - minimumIdleMs
    for (const [socket, since] of this.idleSince) {
      if (since > idleBefore && !socket.destroyed) continue
      this.idleSince.delete(socket)
      socket.destroy()
    }
  }
}

export interface UpstreamConnections {
  /** Returns the agent for one attempt; its connection is not reused if `singleUse` is set. */
  agentFor: (upstream: Upstream, singleUse: boolean) => Agent
  /** Closes the idle connections to an upstream, after one of its connections failed. */
  closeIdle: (upstream: Upstream) => void
  /** Removes an upstream that no longer exists. */
  remove: (upstream: Upstream) => void
  /** Closes connections that have been idle for too long. */
  closeExpired: () => void
}

export function createUpstreamConnections (now: () => number): UpstreamConnections {
  const singleUseAgent = new Agent({ keepAlive: false })
  const keepAliveAgents = new Map<string, KeepAliveAgent>()
  return {
    agentFor (upstream, singleUse) {
      if (singleUse) return singleUseAgent
      const key = upstream.entry.identifier
      let agent = keepAliveAgents.get(key)
      if (agent === undefined) {
        agent = new KeepAliveAgent(now, { keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo' })
        keepAliveAgents.set(key, agent)
      }
      agent.closeIdle(MAX_IDLE_MS)
      return agent
    },
    closeIdle: (upstream) => { keepAliveAgents.get(upstream.entry.identifier)?.closeIdle(0) },
    remove (upstream) {
      keepAliveAgents.get(upstream.entry.identifier)?.closeIdle(0)
      keepAliveAgents.delete(upstream.entry.identifier)
    },
    closeExpired () {
      for (const agent of keepAliveAgents.values()) agent.closeIdle(MAX_IDLE_MS)
    }
  }
}
