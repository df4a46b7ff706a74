/** Stream of one completion: sends the order, checks echo and order of the chunks, yields them at the consumer's pace. */
import { z } from 'zod'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import type { RouterError } from '../errors'
import type { HttpConnections } from '../http/connections'
import type { Endpoint } from '../types'
import { checkEcho, ERROR_ANSWER_LIMIT, parseJson, readWhole, throwIfRefused, validateAnswer } from './answer'
import { connectionError, executionError, integrityError } from './attempt'
import { startExchange } from './exchange'
import type { UpstreamExchange } from './exchange'
import { createServerSentEventParser } from './serverSentEvents'
import type { AttemptTimeouts, CompletionChunk, CompletionOrder } from './types'

/** Bytes buffered ahead of the consumer; small, so that the engine notices a slow consumer soon. */
const READ_AHEAD_BYTES = 16_384

const chunkSchema = z.object({
  requestIdentifier: z.string(),
  attempt: z.number(),
  index: z.number().int(),
  text: z.string(),
  final: z.boolean(),
  finishReason: z.enum(['stop', 'length']).optional(),
  cachedTokens: z.number().optional(),
  promptTokens: z.number().optional()
})

const errorSchema = z.object({ code: z.string(), message: z.string().optional() })

/**
 * Yields the chunks of a completion. Throws `StreamIntegrityError` on a wrong echo or index, `UpstreamTimeoutError` when
 * a time limit passes, and `UpstreamFailedError` otherwise. The connection is closed unless the final chunk was reached;
 * the engine takes a closed connection as a cancellation.
 */
export async function * streamCompletion (
  connections: HttpConnections,
  endpoint: Endpoint,
  order: CompletionOrder,
  timeouts: AttemptTimeouts,
  signal: AbortSignal
): AsyncGenerator<CompletionChunk, void, undefined> {
  const exchange = await startExchange(connections, {
    endpoint,
    method: 'POST',
    path: '/completions',
    headers: {
      'content-type': 'application/json',
      accept: 'text/event-stream',
      [REQUEST_IDENTIFIER_HEADER]: order.requestIdentifier,
      [ATTEMPT_HEADER]: String(order.attempt)
    },
    body: JSON.stringify(order),
    highWaterMark: READ_AHEAD_BYTES
  }, timeouts, signal)
  const state = { complete: false }
  try {
    await checkHead(exchange, order)
    yield * readChunks(exchange, order, state)
  } finally {
    exchange.finish(state.complete)
  }
}

async function checkHead (exchange: UpstreamExchange, order: CompletionOrder): Promise<void> {
  await throwIfRefused(exchange)
  const { statusCode } = exchange.response
  if (statusCode !== 200) {
    const content = Buffer.from(await readWhole(exchange, ERROR_ANSWER_LIMIT)).toString('utf8')
    throw executionError(`status ${statusCode}: ${content.slice(0, 200)}`)
  }
  checkEcho(exchange, order.requestIdentifier, order.attempt, true)
}

async function * readChunks (
  exchange: UpstreamExchange, order: CompletionOrder, state: { complete: boolean }
): AsyncGenerator<CompletionChunk, void, undefined> {
  const parser = createServerSentEventParser()
  let expected = order.resumeFrom
  for (let bytes = await exchange.read(); bytes !== undefined; bytes = await exchange.read()) {
    const events = parser.push(bytes)
    if (events === 'tooLong') throw integrityError('event exceeds the limit')
    if (events.length > 0) exchange.markStarted()
    for (const [position, event] of events.entries()) {
      if (event.type === 'error') throw reportedError(event.data)
      const chunk = validateAnswer(chunkSchema, parseJson(event.data), 'a completion chunk') as CompletionChunk
      checkChunk(chunk, order, expected)
      expected++
      // Anything after the final chunk belongs to another answer: the connection is not used again.
      state.complete = chunk.final && position === events.length - 1
      yield chunk
      if (chunk.final) return
    }
  }
  throw connectionError('stream ended without its final chunk', 'started')
}

function checkChunk (chunk: CompletionChunk, order: CompletionOrder, expected: number): void {
  if (chunk.requestIdentifier !== order.requestIdentifier || chunk.attempt !== order.attempt) {
    throw integrityError(
      `chunk of ${chunk.requestIdentifier}/${chunk.attempt} came for ${order.requestIdentifier}/${order.attempt}`)
  }
  if (chunk.index !== expected) throw integrityError(`chunk ${chunk.index} came in place of ${expected}`)
}

function reportedError (data: string): RouterError {
  const result = errorSchema.safeParse(parseJson(data))
  return executionError(result.success ? `${result.data.code}: ${result.data.message ?? ''}` : 'malformed error event')
}
