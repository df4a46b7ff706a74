/** Sends one attempt of a request to an upstream. */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
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
  /** Agent for sending the request once more; its connections are new. */
  newConnectionAgent: Agent
  /**
   * Whether the request may be sent once more, after its upstream closed a kept connection without a byte of a response.
   * It may have done so before the request arrived.
   */
  mayResend: () => boolean
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
  /** Called when the connection is open and the request is sent; once more if it is sent on a new connection. */
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
  /** Whether a byte of the request may have been sent. */
  let isSent = false
  /** Whether the connection has ended while the request was being written. */
  let hasEndedWhileWriting = false
  let response: IncomingMessage | undefined
  let connectTimer: NodeJS.Timeout | undefined
  let upstreamRequest = send(options.agent)

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
    events.onFailure(reason, isSent)
  }

  /**
   * Writes an empty line, which servers ignore, when the connection ends; after a reset the write fails. While the
   * request is being written the line would wait behind it, so that nothing shows whether the response is complete.
   */
  function detectResetAtEnd (socket: Socket): void {
    socket.allowHalfOpen = true
    socket.prependOnceListener('end', () => {
      hasEndedWhileWriting = socket.writableLength > 0
      socket.write(PROBE_BYTES)
    })
  }

  function send (agent: Agent): ClientRequest {
    const outgoing = request({
      host: options.endpoint.host,
      port: options.endpoint.port,
      agent,
      method: options.method,
      path: options.path,
      headers: options.headers as unknown as Record<string, string>,
      setHost: false
    })
    let connection: Socket | undefined
    /** Bytes that a kept connection had received before this request. */
    let bytesBefore = 0
    let isConnected = false

    function failUnlessConnected (): void {
      if (!isConnected && outgoing === upstreamRequest) fail('the connection did not open in time')
    }
    /** Whether a kept connection has ended without a byte in response to the request. */
    function hasLostKeptConnection (error: NodeJS.ErrnoException): boolean {
      const isEnd = error.code === 'ECONNRESET' || error.code === 'EPIPE'
      return isEnd && outgoing.reusedSocket && connection?.bytesRead === bytesBefore
    }

    clearTimeout(connectTimer)
    // After the process was busy, timers come before the connections that have opened meanwhile; these are seen first.
    connectTimer = setTimeout(() => { setImmediate(failUnlessConnected) }, options.connectTimeout)
    outgoing.on('socket', (socket) => {
      connection = socket
      bytesBefore = socket.bytesRead
      function onConnected (): void {
        isConnected = true
        isSent = true
        clearTimeout(connectTimer)
        if (!isEnded) events.onConnected?.()
      }
      if (socket.connecting) socket.once('connect', onConnected)
      else onConnected()
    })
    let interimResponses = 0
    outgoing.on('information', () => {
      interimResponses += 1
      if (interimResponses > MAX_INTERIM_RESPONSES) fail('too many interim responses')
    })
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      // The request has been sent once more.
      if (outgoing !== upstreamRequest) return
      // A complete response may still wait to be read; what happens to its connection no longer changes it.
      if (response?.complete === true) return
      if (!isEnded && hasLostKeptConnection(error) && options.mayResend()) {
        upstreamRequest = send(options.newConnectionAgent)
        return
      }
      fail(error.message)
    })
    outgoing.on('close', () => {
      if (response === undefined && outgoing === upstreamRequest) fail('the connection closed without a response')
    })
    outgoing.on('response', (incoming) => {
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
          if (connection?.errored == null && !hasEndedWhileWriting) end()
          else fail('the connection was reset within a response without a length')
        })
      })
      events.onHead(incoming)
    })
    outgoing.end(options.body)
    return outgoing
  }

  return {
    isConnectionReused: () => upstreamRequest.reusedSocket,
    pause: () => { response?.pause() },
    resume: () => { response?.resume() },
    cancel () {
      if (finish()) upstreamRequest.destroy()
    }
  }
}
