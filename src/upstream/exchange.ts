/** One HTTP exchange with an upstream under the four time limits of an attempt. */
import type { HttpConnections, ExchangeRequest, ExchangeResponse, ExchangeTrace } from '../http/connections'
import type { RouterError } from '../errors'
import type { AttemptProgress, AttemptTimeouts } from './types'
import { abortedError, connectionError, timeoutError } from './attempt'

export interface UpstreamExchange {
  response: ExchangeResponse
  /** Next bytes of the body, or undefined at its end. The time limit is `firstByte` until `markStarted`. */
  read: () => Promise<Uint8Array | undefined>
  /** The first chunk has come: from now on the limit between chunks applies. */
  markStarted: () => void
  /**
   * Ends the exchange: lets a fully read connection be used again and closes any other. With `drain`, the end of the
   * body is awaited in the background for a short time, and the connection is closed when more content comes.
   */
  finish: (drain?: boolean) => void
  /**
   * Gives up the idle connections to the endpoint. Needed after an answer that belongs to another request: when all of it
   * has arrived, the connection is back in the pool, where `finish` cannot close it.
   */
  distrust: () => void
}

/** Milliseconds for which the end of a complete body is awaited before its connection is closed. */
const DRAIN_MS = 250

export type UpstreamExchangeRequest = Omit<ExchangeRequest, 'signal' | 'trace'>

/**
 * Sends a request and waits for the head of the response. Rejects with `UpstreamTimeoutError`, `UpstreamFailedError` or
 * the caller's own reason when `signal` is aborted. After a time limit the pool of the endpoint is abandoned, because
 * its other idle connections may have gone silent as well.
 */
export async function startExchange (
  connections: HttpConnections, request: UpstreamExchangeRequest, timeouts: AttemptTimeouts, signal?: AbortSignal
): Promise<UpstreamExchange> {
  const aborter = new AbortController()
  const trace: ExchangeTrace = { sent: false }
  let limitPassed: string | undefined
  let started = false
  let ended = false
  let stepTimer: NodeJS.Timeout | undefined
  let step = 0

  const progress = (): AttemptProgress => !trace.sent ? 'notSent' : started ? 'started' : 'maybeStarted'
  function expire (limit: string): void {
    limitPassed ??= limit
    aborter.abort()
  }
  function endStep (): void {
    step++
    clearTimeout(stepTimer)
  }
  function startStep (limit: string, milliseconds: number): void {
    endStep()
    const own = step
    // After a pause of this process the timer runs before the bytes that came meanwhile are read. The second look comes
    // after one reading of the sockets.
    stepTimer = setTimeout(() => {
      setImmediate(() => { if (step === own) expire(limit) })
    }, milliseconds)
  }
  const onAbort = (): void => aborter.abort()
  function release (): void {
    endStep()
    clearTimeout(wholeTimer)
    signal?.removeEventListener('abort', onAbort)
  }
  function failure (detail: string, cause: unknown): RouterError {
    release()
    if (limitPassed !== undefined) {
      connections.abandon(request.endpoint)
      return timeoutError(limitPassed, progress())
    }
    return signal?.aborted === true ? abortedError(signal, progress()) : connectionError(detail, progress(), cause)
  }

  if (signal?.aborted === true) throw abortedError(signal, 'notSent')
  const wholeTimer = setTimeout(() => expire('whole'), timeouts.whole)
  signal?.addEventListener('abort', onAbort, { once: true })
  startStep('connect', timeouts.connect)
  trace.onSent = () => startStep('first byte', timeouts.firstByte)

  let response: ExchangeResponse
  try {
    response = await connections.exchange({ ...request, signal: aborter.signal, trace })
  } catch (error) {
    throw failure(trace.sent ? 'connection lost' : 'connection failed', error)
  }

  return {
    response,
    markStarted () {
      if (started) return
      started = true
      endStep()
    },
    async read () {
      // Only the time spent waiting for the upstream counts, not the time that a slow consumer takes.
      if (started) startStep('between chunks', timeouts.betweenChunks)
      try {
        const bytes = await response.body.read()
        if (started) endStep()
        ended = bytes === undefined
        return bytes
      } catch (error) {
        throw failure('connection lost', error)
      }
    },
    finish (drain = false) {
      release()
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
    distrust: () => connections.abandon(request.endpoint)
  }
}
