/** HTTP exchange with an upstream, subject to the four time limits of an attempt. */
import type { HttpConnections, ExchangeRequest, ExchangeResponse, ExchangeTrace } from '../http/connections'
import type { RouterError } from '../errors'
import { SilenceLimit } from './types'
import type { AttemptProgress, AttemptTimeouts, SilenceHandler } from './types'
import { abortedError, connectionError, timeoutError } from './attempt'

export interface UpstreamExchange {
  response: ExchangeResponse
  /** Aborted when a time limit is exceeded, or together with the request; `read` then rejects with the reason. */
  signal: AbortSignal
  /**
   * Reads the next bytes of the body; undefined at its end. The `firstByte` limit applies until `markStarted` is
   * called, then `betweenChunks`.
   */
  read: () => Promise<Uint8Array | undefined>
  /** Marks the first chunk as received: from then on the `betweenChunks` limit applies. */
  markStarted: () => void
  /**
   * Ends the exchange. The connection is reused when the body was read to its end, and closed otherwise. With `drain`,
   * the end of the body is awaited in the background for a short time, and the connection is closed when more data
   * arrives.
   */
  finish: (drain?: boolean) => void
  /**
   * Discards the pooled connections to the endpoint. Required after a response that belongs to another request: once it
   * was received completely, the connection is back in the pool, where `finish` cannot close it.
   */
  abandonConnections: () => void
}

/** Time to wait for the end of the body before the connection is closed, in milliseconds. */
const DRAIN_MS = 250

export type UpstreamExchangeRequest = Omit<ExchangeRequest, 'signal' | 'trace'>

/**
 * Sends a request and resolves with the response once its headers have arrived. When a time limit is exceeded, the
 * pooled connections to the endpoint are discarded, because the other idle ones may be unresponsive as well. `onSilence`
 * may let the exchange go on after `firstByte` or `betweenChunks`.
 *
 * @throws `UpstreamTimeoutError` when a time limit is exceeded.
 * @throws `UpstreamFailedError` on any other failure.
 * @throws the reason of `signal` when it is aborted with a `RouterError`.
 */
export async function startExchange (
  connections: HttpConnections, request: UpstreamExchangeRequest, timeouts: AttemptTimeouts, signal?: AbortSignal,
  onSilence: SilenceHandler = () => false
): Promise<UpstreamExchange> {
  const abortController = new AbortController()
  const trace: ExchangeTrace = { sent: false }
  let exceededLimit: string | undefined
  let started = false
  let ended = false
  let phaseTimer: NodeJS.Timeout | undefined
  let phase = 0

  const progress = (): AttemptProgress => !trace.sent ? 'notSent' : started ? 'started' : 'maybeStarted'
  function abortOnTimeout (limit: string): void {
    exceededLimit ??= limit
    abortController.abort()
  }
  function endPhase (): void {
    phase++
    clearTimeout(phaseTimer)
  }
  function endOnSilence (limit: SilenceLimit): void {
    if (onSilence(limit)) connections.abandon(request.endpoint)
    else abortOnTimeout(limit)
  }
  function startPhase<Limit extends string> (
    limit: Limit, milliseconds: number, onExceeded: (limit: Limit) => void
  ): void {
    endPhase()
    const scheduledPhase = phase
    // When this process was suspended, the timer fires before the bytes received meanwhile are read. `setImmediate`
    // defers the check until the sockets have been polled once.
    phaseTimer = setTimeout(() => {
      setImmediate(() => { if (phase === scheduledPhase) onExceeded(limit) })
    }, milliseconds)
  }
  const onAbort = (): void => abortController.abort()
  function cleanUp (): void {
    endPhase()
    clearTimeout(totalTimer)
    signal?.removeEventListener('abort', onAbort)
  }
  function toError (detail: string, cause: unknown): RouterError {
    cleanUp()
    if (exceededLimit !== undefined) {
      connections.abandon(request.endpoint)
      return timeoutError(exceededLimit, progress())
    }
    return signal?.aborted === true ? abortedError(signal, progress()) : connectionError(detail, progress(), cause)
  }

  if (signal?.aborted === true) throw abortedError(signal, 'notSent')
  const totalTimer = setTimeout(() => abortOnTimeout('total'), timeouts.whole)
  signal?.addEventListener('abort', onAbort, { once: true })
  startPhase('connect', timeouts.connect, abortOnTimeout)
  trace.onSent = () => startPhase(SilenceLimit.firstByte, timeouts.firstByte, endOnSilence)

  let response: ExchangeResponse
  try {
    response = await connections.exchange({ ...request, signal: abortController.signal, trace })
  } catch (error) {
    throw toError(trace.sent ? 'connection lost' : 'connection failed', error)
  }

  return {
    response,
    signal: abortController.signal,
    markStarted () {
      if (started) return
      started = true
      endPhase()
    },
    async read () {
      // The limit covers only the time spent waiting for the upstream, not the time that a slow consumer takes.
      if (started) startPhase(SilenceLimit.betweenChunks, timeouts.betweenChunks, endOnSilence)
      try {
        const bytes = await response.body.read()
        if (started) endPhase()
        ended = bytes === undefined
        return bytes
      } catch (error) {
        throw toError('connection lost', error)
      }
    },
    finish (drain = false) {
      cleanUp()
      if (ended) return
      if (!drain) {
        response.body.destroy()
        return
      }
      const timer = setTimeout(() => response.body.destroy(), DRAIN_MS)
      response.body.read()
        .then((bytes) => { if (bytes !== undefined) response.body.destroy() }, () => undefined)
        .finally(() => clearTimeout(timer))
    },
    abandonConnections: () => connections.abandon(request.endpoint)
  }
}
