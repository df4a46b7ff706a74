/** One attempt of a request at an upstream. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Endpoint } from '../types'

/**
 * An answer without a length ends with its connection, and only a reset tells that it is not whole. A reset that arrives
 * together with the last bytes is reported as an ordinary end by the event loop, but shows in the next write.
 */
const EMPTY_LINE = '\r\n'
/** Interim answers before the final one; servers send one or two, an upstream in trouble may send them without end. */
const MOST_INTERIM_ANSWERS = 16

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
  let connection: Socket | undefined
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
  function end (): void {
    if (!finish()) return
    // The rest of a body that the upstream did not wait for must not be taken for the next request.
    if (!outgoing.writableFinished) outgoing.destroy()
    events.onEnd()
  }
  function fail (reason: string): void {
    if (!finish()) return
    outgoing.destroy()
    events.onFailure(reason, connected)
  }

  /** Writes an empty line, which servers ignore, when the connection ends: after a reset the write fails. */
  function probeAtEnd (socket: Socket): void {
    socket.allowHalfOpen = true
    socket.prependOnceListener('end', () => { socket.write(EMPTY_LINE) })
  }

  outgoing.on('socket', (socket) => {
    connection = socket
    function onConnected (): void {
      connected = true
      clearTimeout(connectTimer)
    }
    if (socket.connecting) socket.once('connect', onConnected)
    else onConnected()
  })
  let interimAnswers = 0
  outgoing.on('information', () => {
    interimAnswers += 1
    if (interimAnswers > MOST_INTERIM_ANSWERS) fail('too many interim answers')
  })
  outgoing.on('error', (error) => { fail(error.message) })
  outgoing.on('close', () => { if (response === undefined) fail('the connection closed without an answer') })
  outgoing.on('response', (incoming) => {
    if (ended) return
    response = incoming
    const isFramed = incoming.headers['content-length'] !== undefined ||
      incoming.headers['transfer-encoding'] !== undefined
    if (!isFramed && connection !== undefined) probeAtEnd(connection)
    incoming.on('data', (chunk: Buffer) => { if (!ended) events.onData(chunk) })
    incoming.on('error', (error) => { fail(error.message) })
    incoming.on('close', () => { if (!incoming.readableEnded) fail('the answer broke off') })
    incoming.on('end', () => {
      if (!incoming.complete) return
      if (isFramed) return end()
      setImmediate(() => {
        if (connection?.errored == null) end()
        else fail('the connection was reset within an answer without a length')
      })
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
