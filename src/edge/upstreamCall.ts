/** Sends one attempt of a request to an upstream. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Endpoint } from '../types'

/**
 * Written to a connection at its end to detect a reset. A response without a length ends with its connection, and only a
 * reset shows that it is incomplete. A reset that arrives together with the last bytes is reported as a regular end by
 * the event loop, but makes the next write fail.
 */
const PROBE_BYTES = '\r\n'
/** Maximum number of interim responses; servers send one or two, but a faulty upstream may send them endlessly. */
const MAX_INTERIM_RESPONSES = 16

export interface UpstreamCallOptions {
  endpoint: Endpoint
  agent: Agent
  method: string
  path: string
  /** Raw headers (name, value, name, value). */
  headers: string[]
  body: Buffer | undefined
  /** Connect timeout in milliseconds. */
  connectTimeout: number
}

/** Exactly one of `onEnd` and `onFailure` is called. No callback is called after it or after `cancel`. */
export interface UpstreamCallEvents {
  /** Called when the connection is open and the request is sent. */
  onConnected?: () => void
  onHead: (response: IncomingMessage) => void
  onData: (chunk: Buffer) => void
  /** Called when the response is complete. */
  onEnd: () => void
  /** Called when the attempt failed; `sent` is false if no byte of the request can have been sent. */
  onFailure: (reason: string, sent: boolean) => void
}

export interface UpstreamCall {
  /** Whether the connection has carried other requests before. */
  isConnectionReused: () => boolean
  pause: () => void
  resume: () => void
  /** Cancels the attempt and closes its connection. */
  cancel: () => void
}

/** Statuses of responses that have no body (RFC 9112, section 6.3). */
const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304])

/** Whether the end of a response can be told from its framing; otherwise it ends with its connection. */
export function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined ||
    BODILESS_STATUSES.has(statusCode)
}

export function callUpstream (options: UpstreamCallOptions, events: UpstreamCallEvents): UpstreamCall {
  let isEnded = false
  let isConnected = false
  let response: IncomingMessage | undefined
  let connection: Socket | undefined
  const upstreamRequest = request({
    host: options.endpoint.host,
    port: options.endpoint.port,
    agent: options.agent,
    method: options.method,
    path: options.path,
    headers: options.headers as unknown as Record<string, string>,
    setHost: false
  })
  // After the process was busy, timers come before the connections that have opened meanwhile; these are seen first.
  const connectTimer = setTimeout(() => { setImmediate(failUnlessConnected) }, options.connectTimeout)

  function finish (): boolean {
    if (isEnded) return false
    isEnded = true
    clearTimeout(connectTimer)
    return true
  }
  function end (): void {
    if (!finish()) return
    // If the upstream responded early, the rest of the request body must not be parsed as the next request.
    if (!upstreamRequest.writableFinished) upstreamRequest.destroy()
    events.onEnd()
  }
  function fail (reason: string): void {
    if (!finish()) return
    upstreamRequest.destroy()
    events.onFailure(reason, isConnected)
  }

  function failUnlessConnected (): void {
    if (!isConnected) fail('the connection did not open in time')
  }

  /** Writes an empty line, which servers ignore, when the connection ends; after a reset the write fails. */
  function detectResetAtEnd (socket: Socket): void {
    socket.allowHalfOpen = true
    socket.prependOnceListener('end', () => { socket.write(PROBE_BYTES) })
  }

  upstreamRequest.on('socket', (socket) => {
    connection = socket
    function onConnected (): void {
      isConnected = true
      clearTimeout(connectTimer)
      if (!isEnded) events.onConnected?.()
    }
    if (socket.connecting) socket.once('connect', onConnected)
    else onConnected()
  })
  let interimResponses = 0
  upstreamRequest.on('information', () => {
    interimResponses += 1
    if (interimResponses > MAX_INTERIM_RESPONSES) fail('too many interim responses')
  })
  upstreamRequest.on('error', (error) => {
    // A complete response may still wait to be read; what happens to its connection no longer changes it.
    if (response?.complete !== true) fail(error.message)
  })
  upstreamRequest.on('close', () => { if (response === undefined) fail('the connection closed without a response') })
  upstreamRequest.on('response', (incoming) => {
    if (isEnded) return
    response = incoming
    const hasFraming = isFramed(incoming)
    if (!hasFraming && connection !== undefined) detectResetAtEnd(connection)
    incoming.on('data', (chunk: Buffer) => { if (!isEnded) events.onData(chunk) })
    incoming.on('error', (error) => { fail(error.message) })
    incoming.on('close', () => { if (!incoming.readableEnded) fail('the answer broke off') })
    incoming.on('end', () => {
      if (!incoming.complete) return
      if (hasFraming) return end()
      setImmediate(() => {
        if (connection?.errored == null) end()
        else fail('the connection was reset within a response without a length')
      })
    })
    events.onHead(incoming)
  })
  upstreamRequest.end(options.body)

  return {
    isConnectionReused: () => upstreamRequest.reusedSocket,
    pause: () => { response?.pause() },
    resume: () => { response?.resume() },
    cancel () {
      if (finish()) upstreamRequest.destroy()
    }
  }
}
