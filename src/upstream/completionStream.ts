/**
 * Streams one completion: sends the request, validates the chunks and their order, and yields them with backpressure.
 */
import { z } from 'zod'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../constants'
import { RouterError, StreamIntegrityError } from '../errors'
import type { HttpConnections } from '../http/connections'
import type { Endpoint } from '../types'
import { connectionError, executionError, integrityError } from './attempt'
import { startExchange } from './exchange'
import type { UpstreamExchange } from './exchange'
import { checkEcho, ERROR_RESPONSE_LIMIT, parseJson, readBody, throwIfRejected, validateResponse } from './response'
import { createServerSentEventParser } from './serverSentEvents'
import type { ServerSentEvent } from './serverSentEvents'
import type { AttemptTimeouts, CompletionChunk, EngineCompletionRequest, SilenceHandler } from './types'

/** Bytes buffered ahead of the consumer. A small buffer propagates backpressure to the engine quickly. */
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

const errorEventSchema = z.object({ code: z.string(), message: z.string().optional() })

/**
 * Yields the chunks of a completion. The connection is closed unless the final chunk was received; the engine treats a
 * closed connection as a cancellation.
 *
 * @throws `StreamIntegrityError` when a chunk belongs to another request or attempt, or its index is out of sequence.
 * @throws `UpstreamTimeoutError` when a time limit is exceeded.
 * @throws `UpstreamFailedError` on any other failure.
 */
export async function * streamCompletion (
  connections: HttpConnections,
  endpoint: Endpoint,
  request: EngineCompletionRequest,
  timeouts: AttemptTimeouts,
  signal: AbortSignal,
  onSilence?: SilenceHandler
): AsyncGenerator<CompletionChunk, void, undefined> {
  const exchange = await startExchange(connections, {
    endpoint,
    method: 'POST',
    path: '/completions',
    headers: {
      'content-type': 'application/json',
      accept: 'text/event-stream',
      [REQUEST_IDENTIFIER_HEADER]: request.requestIdentifier,
      [ATTEMPT_HEADER]: String(request.attempt)
    },
    // As a text it would be held twice until it has been sent.
    body: Buffer.from(JSON.stringify(request)),
    highWaterMark: READ_AHEAD_BYTES
  }, timeouts, signal, onSilence)
  const reader = createChunkReader(request)
  try {
    await checkResponseHead(exchange, request)
    for (let bytes = await exchange.read(); bytes !== undefined; bytes = await exchange.read()) {
      const { chunks, error } = reader.push(bytes)
      if (chunks.length > 0) exchange.markStarted()
      for (const chunk of chunks) yield chunk
      if (error !== undefined) throw error
      if (reader.state() !== 'open') return
    }
    throw connectionError('stream ended before the final chunk', 'started')
  } catch (error) {
    if (error instanceof StreamIntegrityError) exchange.abandonConnections()
    throw error
  } finally {
    exchange.finish(reader.state() === 'complete')
    if (reader.state() === 'overrun') exchange.abandonConnections()
  }
}

async function checkResponseHead (exchange: UpstreamExchange, request: EngineCompletionRequest): Promise<void> {
  await throwIfRejected(exchange)
  const { statusCode } = exchange.response
  if (statusCode !== 200) {
    const content = Buffer.from(await readBody(exchange, ERROR_RESPONSE_LIMIT)).toString('utf8')
    throw executionError(`status ${statusCode}: ${content.slice(0, 200)}`)
  }
  checkEcho(exchange, request.requestIdentifier, request.attempt, true)
}

interface ChunkReader {
  /** Parses bytes of the body. Returns the chunks up to the first error, and that error. */
  push: (bytes: Uint8Array) => { chunks: readonly CompletionChunk[], error: RouterError | undefined }
  /** `overrun`: another event followed the final chunk. The completion is valid, but the connection is not reusable. */
  state: () => 'open' | 'complete' | 'overrun'
}

/** Creates a reader that parses and validates the chunks of a response body. */
function createChunkReader (request: EngineCompletionRequest): ChunkReader {
  const parser = createServerSentEventParser()
  let expectedIndex = request.resumeFrom
  let state: ReturnType<ChunkReader['state']> = 'open'

  function parseEvent (event: ServerSentEvent): CompletionChunk {
    if (event.type === 'error') throw reportedError(event.data)
    const chunk = validateResponse(chunkSchema, parseJson(event.data), 'a completion chunk') as CompletionChunk
    checkChunk(chunk, request, expectedIndex)
    expectedIndex++
    return chunk
  }

  return {
    state: () => state,
    push (bytes) {
      const chunks: CompletionChunk[] = []
      const events = parser.push(bytes)
      if (events === 'tooLong') return { chunks, error: integrityError('event exceeds the size limit') }
      for (const event of events) {
        if (state !== 'open') {
          state = 'overrun'
          break
        }
        try {
          const chunk = parseEvent(event)
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

function checkChunk (chunk: CompletionChunk, request: EngineCompletionRequest, expectedIndex: number): void {
  if (chunk.requestIdentifier !== request.requestIdentifier || chunk.attempt !== request.attempt) {
    throw integrityError(
      `received chunk of ${chunk.requestIdentifier}/${chunk.attempt} for ${request.requestIdentifier}/${request.attempt}`)
  }
  if (chunk.index !== expectedIndex) throw integrityError(`received chunk ${chunk.index}, expected ${expectedIndex}`)
}

function reportedError (data: string): RouterError {
  const result = errorEventSchema.safeParse(parseJson(data))
  return executionError(result.success ? `${result.data.code}: ${result.data.message ?? ''}` : 'malformed error event')
}
