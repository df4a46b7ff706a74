/** Handlers of `POST /v1/chat/completions` and `POST /v1/completions`. */
import type { ServerResponse } from 'node:http'
import { fingerprintOf } from '../request/fingerprint'
import { InternalError, UpstreamTimeoutError } from '../errors'
import type { CallerIdentity, CompletionExecutor, CompletionPiece } from './completionTypes'
import { errorEventOf } from './errorResponse'
import { readBody, sendResponse } from './exchange'
import type { Exchange, ExchangeHandler } from './exchange'
import {
  createChunkRenderer, parseCompletionRequest, renderUsageChunk, renderCompletion, STREAM_END
} from './openaiApi'
import type { ChunkRenderer, CompletionMetadata, CompletionRequest, CompletionStyle } from './openaiApi'
import { forwardShare, joinShare, recordText } from './requestShare'

export interface CompletionHandlerOptions {
  style: CompletionStyle
  execute: CompletionExecutor
  /** @throws AuthenticationError when the request has no valid key, NotReadyError before the first configuration. */
  authenticate: (exchange: Exchange) => CallerIdentity
  /**
   * Returns a signal that is aborted when the caller disconnects or its key is withdrawn, and a function that releases it.
   * If the caller is still connected, the abort reason is the error to send to it.
   */
  watch: (caller: CallerIdentity, signal: AbortSignal) => { signal: AbortSignal, release: () => void }
  wallClock: () => number
  maximumBodyBytes: number
  /** Timeout in milliseconds for a caller that does not read a streamed response. */
  unreadLimit: number
}

export function createCompletionHandler (options: CompletionHandlerOptions): ExchangeHandler {
  /** Reads a request. Its body is not needed afterwards, and would otherwise be kept until the response has been sent. */
  async function receive (
    exchange: Exchange, { customer }: CallerIdentity
  ): Promise<{ request: CompletionRequest, fingerprint: string }> {
    const body = await readBody(exchange, options.maximumBodyBytes)
    forwardShare(exchange, customer, body.length)
    const request = parseCompletionRequest(options.style, body)
    recordText(exchange, body.length, request.prompt)
    return { request, fingerprint: fingerprintOf(customer, exchange.path, body) }
  }

  return async (exchange) => {
    const caller = options.authenticate(exchange)
    joinShare(exchange, caller.customer)
    const { request, fingerprint } = await receive(exchange, caller)
    const { signal, release } = options.watch(caller, exchange.signal)
    const metadata: CompletionMetadata = {
      identifier: exchange.identifier,
      model: request.model,
      style: options.style,
      created: Math.floor(options.wallClock() / 1000)
    }
    const pieces = options.execute({
      identifier: exchange.identifier,
      caller,
      fingerprint,
      request,
      signal
    })
    try {
      if (request.stream) await sendStream(exchange, request, metadata, pieces, { signal, limit: options.unreadLimit })
      else await sendCollected(exchange, metadata, pieces)
    } finally {
      release()
    }
  }
}

async function sendCollected (
  exchange: Exchange, metadata: CompletionMetadata, pieces: AsyncIterable<CompletionPiece>
): Promise<void> {
  const texts: string[] = []
  for await (const piece of pieces) {
    texts.push(piece.text)
    if (piece.end === undefined) continue
    const body = renderCompletion(metadata, texts.join(''), piece.end.finishReason, piece.end.usage)
    sendResponse(exchange, 200, { 'content-type': 'application/json' }, body)
    return
  }
  throw new InternalError('the completion ended without its final piece')
}

/** Sends the header with the first piece, so that a failure before it can still be reported with its own status code. */
async function sendStream (
  exchange: Exchange, request: CompletionRequest, metadata: CompletionMetadata, pieces: AsyncIterable<CompletionPiece>,
  stall: { signal: AbortSignal, limit: number }
): Promise<void> {
  const { response } = exchange
  const renderChunk = createChunkRenderer(metadata)
  try {
    for await (const piece of pieces) {
      if (exchange.signal.aborted) return
      if (!response.headersSent) beginStream(exchange)
      const text = renderPiece(request, metadata, piece, renderChunk)
      if (piece.end !== undefined) {
        response.end(text)
        return
      }
      if (!response.write(text)) await waitForDrain(response, stall)
    }
    throw new InternalError('the completion ended without its final piece')
  } catch (error) {
    if (!response.headersSent) throw error
    // An error event would wait behind what the caller does not read.
    if (error instanceof UnreadResponseError) exchange.request.socket.destroy()
    else abortStream(exchange, error)
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
  request: CompletionRequest, metadata: CompletionMetadata, piece: CompletionPiece, renderChunk: ChunkRenderer
): string {
  if (piece.end === undefined) return renderChunk(piece.text, undefined)
  const usage = request.includeUsage ? renderUsageChunk(metadata, piece.end.usage) : ''
  return renderChunk(piece.text, piece.end.finishReason) + usage + STREAM_END
}

/** The caller does not read its response. */
class UnreadResponseError extends UpstreamTimeoutError {}

/**
 * Resolves when the response buffer has drained. The limit releases the resources of a caller that keeps its connection
 * open but never reads.
 * @throws UnreadResponseError if the limit passes
 */
async function waitForDrain (
  response: ServerResponse, { signal, limit }: { signal: AbortSignal, limit: number }
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    let timer: NodeJS.Timeout | undefined
    const release = (): void => {
      clearTimeout(timer)
      response.off('socket', startTimer)
      response.off('drain', finish)
      signal.removeEventListener('abort', finish)
    }
    const finish = (): void => {
      release()
      resolve()
    }
    const startTimer = (): void => {
      timer = setTimeout(() => {
        release()
        reject(new UnreadResponseError('the caller did not read the response in time'))
      }, limit)
    }
    // Before it has a socket, the response waits for those before it on its connection, not for the caller.
    if (response.socket === null) response.once('socket', startTimer)
    else startTimer()
    response.once('drain', finish)
    signal.addEventListener('abort', finish)
    if (signal.aborted) finish()
  })
}

/**
 * Sends an error event and closes the connection without ending the body, so that the caller can detect the truncation.
 * If the caller has sent further requests on the connection, the body is ended instead, as their responses would be lost
 * with the connection. The error event, and the missing end of the stream, then tell that it is incomplete.
 */
function abortStream ({ request, response, signal, hasFollowers }: Exchange, error: unknown): void {
  if (signal.aborted) return
  response.write(errorEventOf(error), () => {
    if (hasFollowers()) response.end()
    else request.socket.destroySoon()
  })
}
