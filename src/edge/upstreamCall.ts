/** One attempt of a request at an upstream. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import type { Endpoint } from '../types'

export interface UpstreamCallOptions {
  endpoint: Endpoint
  agent: Agent
  method: string
  path: string
  /** Raw headers (name, value, name, value). */
  headers: string[]
  body: Buffer | undefined
  /** Milliseconds to open a connection. */
  connectTimeout: number
}

/** Exactly one of `onEnd` and `onFailure` is called, and nothing after it or after `cancel`. */
export interface UpstreamCallEvents {
  onHead: (response: IncomingMessage) => void
  onData: (chunk: Buffer) => void
  /** The answer is complete. */
  onEnd: () => void
  /** `sent` is false when no byte of the request can have left. */
  onFailure: (reason: string, sent: boolean) => void
}

export interface UpstreamCall {
  pause: () => void
  resume: () => void
  /** Ends the attempt and closes its connection. */
  cancel: () => void
}

export function callUpstream (options: UpstreamCallOptions, events: UpstreamCallEvents): UpstreamCall {
  let ended = false
  let connected = false
  let response: IncomingMessage | undefined
  const outgoing = request({
    host: options.endpoint.host,
    port: options.endpoint.port,
    agent: options.agent,
    method: options.method,
    path: options.path,
    headers: options.headers as unknown as Record<string, string>,
    setHost: false
  })
  const connectTimer = setTimeout(() => { fail('the connection did not open in time') }, options.connectTimeout)

  function finish (): boolean {
    if (ended) return false
    ended = true
    clearTimeout(connectTimer)
    return true
  }
  function fail (reason: string): void {
    if (!finish()) return
    outgoing.destroy()
    events.onFailure(reason, connected)
  }

  outgoing.on('socket', (socket) => {
    function onConnected (): void {
      connected = true
      clearTimeout(connectTimer)
    }
    if (socket.connecting) socket.once('connect', onConnected)
    else onConnected()
  })
  outgoing.on('error', (error) => { fail(error.message) })
  outgoing.on('close', () => { fail('the connection closed without an answer') })
  outgoing.on('response', (incoming) => {
    if (ended) return
    response = incoming
    incoming.on('data', (chunk: Buffer) => { if (!ended) events.onData(chunk) })
    incoming.on('error', (error) => { fail(error.message) })
    incoming.on('close', () => { fail('the answer broke off') })
    incoming.on('end', () => {
      if (!incoming.complete || !finish()) return
      // The rest of a body that the upstream did not wait for must not be taken for the next request.
      if (!outgoing.writableFinished) outgoing.destroy()
      events.onEnd()
    })
    events.onHead(incoming)
  })
  outgoing.end(options.body)

  return {
    pause: () => { response?.pause() },
    resume: () => { response?.resume() },
    cancel () {
      if (finish()) outgoing.destroy()
    }
  }
}
