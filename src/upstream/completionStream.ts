/** Stream of one completion: sends the order, checks echo and order of the chunks, yields them at the consumer's pace. */
import { z } from 'zod'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { RouterError, StreamIntegrityError } from '../errors'
import type { HttpConnections } from '../http/connections'
import type { Endpoint } from '../types'
import { checkEcho, ERROR_ANSWER_LIMIT, parseJson, readWhole, throwIfRefused, validateAnswer } from './answer'
import { connectionError, executionError, integrityError } from './attempt'
import { startExchange } from './exchange'
import type { UpstreamExchange } from './exchange'
import { createServerSentEventParser } from './serverSentEvents'
import type { ServerSentEvent } from './serverSentEvents'
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
  const reader = createChunkReader(order)
  try {
    await checkHead(exchange, order)
    for (let bytes = await exchange.read(); bytes !== undefined; bytes = await exchange.read()) {
      const { chunks, error } = reader.take(bytes)
      if (chunks.length > 0) exchange.markStarted()
      for (const chunk of chunks) yield chunk
      if (error !== undefined) throw error
      if (reader.state() !== 'open') return
    }
    throw connectionError('stream ended without its final chunk', 'started')
  } catch (error) {
    if (error instanceof StreamIntegrityError) exchange.distrust()
    throw error
  } finally {
    exchange.finish(reader.state() === 'complete')
    if (reader.state() === 'overrun') exchange.distrust()
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

interface ChunkReader {
  /** Returns the chunks in these bytes up to the first fault, and the fault. */
  take: (bytes: Uint8Array) => { chunks: readonly CompletionChunk[], error: RouterError | undefined }
  /** `overrun` when bytes of another answer followed the final chunk: the answer is whole, the connection is not usable. */
  state: () => 'open' | 'complete' | 'overrun'
}

/** Turns the bytes of a body into checked chunks. */
function createChunkReader (order: CompletionOrder): ChunkReader {
  const parser = createServerSentEventParser()
  let expected = order.resumeFrom
  let state: ReturnType<ChunkReader['state']> = 'open'

  function takeEvent (event: ServerSentEvent): CompletionChunk {
    if (event.type === 'error') throw reportedError(event.data)
    const chunk = validateAnswer(chunkSchema, parseJson(event.data), 'a completion chunk') as CompletionChunk
    checkChunk(chunk, order, expected)
    expected++
    return chunk
  }

  return {
    state: () => state,
    take (bytes) {
      const chunks: CompletionChunk[] = []
      const events = parser.push(bytes)
      if (events === 'tooLong') return { chunks, error: integrityError('event exceeds the limit') }
      for (const event of events) {
        if (state !== 'open') {
          state = 'overrun'
          break
        }
        try {
          const chunk = takeEvent(event)
          chunks.push(chunk)
          if (chunk.final) state = 'complete'
        } catch (error) {
          if (error instanceof RouterError) return { chunks, error }
          throw error
        }
      }
      return { chunks, error: undefined }
    }
  }
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
