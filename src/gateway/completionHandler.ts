/** `POST /v1/chat/completions` and `POST /v1/completions`. */
import type { ServerResponse } from 'node:http'
import { fingerprintOf } from '../request/fingerprint'
import { InternalError, UpstreamTimeoutError } from '../errors'
import type { CallerIdentity, CompletionExecutor, CompletionPiece } from './completionTypes'
import { errorEventOf } from './errorResponse'
import { readBody, sendWhole } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'
import {
  createChunkRenderer, parseCompletionRequest, renderUsageChunk, renderWhole, STREAM_END
} from './openaiApi'
import type { ChunkRenderer, CompletionHead, CompletionRequest, CompletionStyle } from './openaiApi'

export interface CompletionHandlerOptions {
  style: CompletionStyle
  execute: CompletionExecutor
  /** @throws AuthenticationError when the request has no valid key, NotReadyError before the first configuration. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /**
   * Signal that ends when the caller leaves or its key is withdrawn, and its release. The reason is the error for the
   * caller when it has not left.
   */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
  wallClock: () => number
  maximumBodyBytes: number
  /** Milliseconds for which a caller may leave a streamed answer unread. */
  unreadLimit: number
}

export function createCompletionHandler (options: CompletionHandlerOptions): ExchangeHandler {
  return async (exchange) => {
    const caller = options.authenticate(exchange)
    const body = await readBody(exchange, options.maximumBodyBytes)
    const request = parseCompletionRequest(options.style, body)
    const { signal, release } = options.watch(caller, exchange.signal)
    const head: CompletionHead = {
      identifier: exchange.identifier,
      model: request.model,
      style: options.style,
      created: Math.floor(options.wallClock() / 1000)
    }
    const pieces = options.execute({
      identifier: exchange.identifier,
      caller,
      fingerprint: fingerprintOf(caller.customer, exchange.path, body),
      request,
      signal
    })
    try {
      if (request.stream) await sendStream(exchange, request, head, pieces, { signal, limit: options.unreadLimit })
      else await sendCollected(exchange, head, pieces)
    } finally {
      release()
    }
  }
}

async function sendCollected (
  exchange: Exchange, head: CompletionHead, pieces: AsyncIterable<CompletionPiece>
): Promise<void> {
  const texts: string[] = []
  for await (const piece of pieces) {
    texts.push(piece.text)
    if (piece.end === undefined) continue
    const whole = renderWhole(head, texts.join(''), piece.end.finishReason, piece.end.usage)
    sendWhole(exchange, 200, { 'content-type': 'application/json' }, whole)
    return
  }
  throw new InternalError('the completion ended without its last piece')
}

/** The header goes out with the first piece, so that a failure before it still has its own status code. */
async function sendStream (
  exchange: Exchange, request: CompletionRequest, head: CompletionHead, pieces: AsyncIterable<CompletionPiece>,
  pause: { signal: AbortSignal, limit: number }
): Promise<void> {
  const { response } = exchange
  const renderChunk = createChunkRenderer(head)
  try {
    for await (const piece of pieces) {
      if (exchange.signal.aborted) return
      if (!response.headersSent) beginStream(exchange)
      const text = renderPiece(request, head, piece, renderChunk)
      if (piece.end !== undefined) {
        response.end(text)
        return
      }
      if (!response.write(text)) await drained(response, pause)
    }
    throw new InternalError('the completion ended without its last piece')
  } catch (error) {
    if (!response.headersSent) throw error
    breakStream(exchange, error)
  }
}

function beginStream (exchange: Exchange): void {
  exchange.response.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
    'x-request-id': exchange.identifier
  })
}

function renderPiece (
  request: CompletionRequest, head: CompletionHead, piece: CompletionPiece, renderChunk: ChunkRenderer
): string {
  if (piece.end === undefined) return renderChunk(piece.text, undefined)
  const usage = request.includeUsage ? renderUsageChunk(head, piece.end.usage) : ''
  return renderChunk(piece.text, piece.end.finishReason) + usage + STREAM_END
}

/** Resolves when the caller has read on. The limit frees what a caller holds that keeps its connection but never reads. */
async function drained (
  response: ServerResponse, { signal, limit }: { signal: AbortSignal, limit: number }
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const finish = (): void => {
      clearTimeout(timer)
      response.off('drain', finish)
      signal.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(() => {
      finish()
      reject(new UpstreamTimeoutError('the answer was not read in time'))
    }, limit)
    response.once('drain', finish)
    signal.addEventListener('abort', finish)
    if (signal.aborted) finish()
  })
}

/** Sends the error and closes the connection without the end of the body, so that the answer shows as incomplete. */
function breakStream ({ response, signal }: Exchange, error: unknown): void {
  const { socket } = response
  if (signal.aborted || socket === null) return
  response.write(errorEventOf(error), () => { socket.destroySoon() })
}
