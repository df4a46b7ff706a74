/** What a load run sends its requests to: the router's caller API, or one engine directly. */
import type { Agent } from 'undici'
import { ATTEMPT_HEADER, REQUEST_IDENTIFIER_HEADER } from '../../src/constants'
import { createServerSentEventParser } from '../../src/upstream/serverSentEvents'
import type { CompletionChunk, EngineCompletionRequest } from '../../src/upstream/types'
import { generateText } from '../engine/text'
import type { PlannedRequest } from './plan'
import { chainBlockKeys } from './plan'

export type LoadMode = 'router' | 'engine'

export interface TargetOptions {
  url: string
  mode: LoadMode
  /** Caller's key; router mode only. */
  key: string
  model: string
  /** Version to ask for; engine mode only. */
  version: string
  outputTokens: number
  /** Milliseconds after which a request is given up. */
  timeout: number
}

export interface LoadOutcome {
  /** Undefined when the answer is whole; otherwise the type of the error. */
  error: string | undefined
  tokens: number
  cachedTokens: number
  promptTokens: number
}

/** Sends one request; `onToken` is called for each token as it comes. Never rejects. */
export type LoadTarget = (request: PlannedRequest, onToken: () => void) => Promise<LoadOutcome>

/** State of reading one answer. */
interface AnswerReader {
  /** Takes in the data of one event. */
  take: (data: string, type: string) => void
  finish: () => LoadOutcome
}

/** Creates the target; connections are those of the agent. */
export function createTarget (agent: Agent, options: TargetOptions): LoadTarget {
  const forMode = options.mode === 'router' ? routerRequest : engineRequest
  return async (request, onToken) => {
    const { path, headers, body, reader } = forMode(options, request, onToken)
    try {
      const response = await agent.request({
        origin: options.url,
        path,
        method: 'POST',
        headers: { 'content-type': 'application/json', ...headers },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(options.timeout)
      })
      if (response.statusCode !== 200) {
        const answer: unknown = await response.body.json().catch(() => undefined)
        return failed(`http_${response.statusCode}${errorCode(answer)}`)
      }
      const parser = createServerSentEventParser()
      for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
        const events = parser.push(bytes)
        if (events === 'tooLong') return failed('event_too_long')
        for (const event of events) reader.take(event.data, event.type)
      }
      return reader.finish()
    } catch (error) {
      const { name, code } = error as { name?: string, code?: string }
      return failed(name === 'TimeoutError' ? 'timeout' : `connection_${code ?? name ?? 'unknown'}`)
    }
  }
}

function failed (error: string): LoadOutcome {
  return { error, tokens: 0, cachedTokens: 0, promptTokens: 0 }
}

/** Codes of an error answer in both API forms, as a suffix. */
function errorCode (answer: unknown): string {
  const body = answer as { code?: string, error?: { code?: string, execution?: string } } | undefined
  const parts = [body?.error?.code ?? body?.code, body?.error?.execution].filter((part) => part !== undefined)
  return parts.length === 0 ? '' : `_${parts.join('_')}`
}

interface PreparedRequest {
  path: string
  headers: Record<string, string>
  body: unknown
  reader: AnswerReader
}

function routerRequest (options: TargetOptions, request: PlannedRequest, onToken: () => void): PreparedRequest {
  let tokens = 0
  let finished = false
  let done = false
  let error: string | undefined
  const reader: AnswerReader = {
    take (data) {
      if (data === '[DONE]') {
        done = true
        return
      }
      const chunk = parse<{
        error?: { code?: string }
        choices?: Array<{ delta?: { content?: string }, text?: string, finish_reason?: string | null }>
      }>(data)
      if (chunk?.error !== undefined) error ??= `stream_${chunk.error.code ?? 'error'}`
      const choice = chunk?.choices?.[0]
      if ((choice?.delta?.content ?? choice?.text ?? '') !== '') {
        tokens++
        onToken()
      }
      if (typeof choice?.finish_reason === 'string') finished = true
    },
    finish () {
      const incomplete = finished && done ? undefined : 'incomplete'
      return { error: error ?? incomplete, tokens, cachedTokens: 0, promptTokens: 0 }
    }
  }
  return {
    path: '/v1/chat/completions',
    headers: options.key === '' ? {} : { authorization: `Bearer ${options.key}` },
    body: {
      model: options.model,
      stream: true,
      max_tokens: options.outputTokens,
      messages: [{ role: 'user', content: request.prompt }]
    },
    reader
  }
}

function engineRequest (options: TargetOptions, request: PlannedRequest, onToken: () => void): PreparedRequest {
  const expected = generateText(options.model, options.version, request.prompt)
  let index = 0
  let final: CompletionChunk | undefined
  let error: string | undefined
  const reader: AnswerReader = {
    take (data, type) {
      const chunk = parse<CompletionChunk>(data)
      if (type === 'error' || chunk === undefined) {
        error ??= 'stream_error'
        return
      }
      if (chunk.requestIdentifier !== request.requestIdentifier) error ??= 'wrong_echo'
      if (chunk.index !== index) error ??= 'wrong_index'
      if (chunk.final) {
        final = chunk
        return
      }
      if (chunk.text !== expected.token(index)) error ??= 'wrong_text'
      index++
      onToken()
    },
    finish: () => ({
      error: error ?? (final === undefined ? 'incomplete' : undefined),
      tokens: index,
      cachedTokens: final?.cachedTokens ?? 0,
      promptTokens: final?.promptTokens ?? 0
    })
  }
  const order: EngineCompletionRequest = {
    requestIdentifier: request.requestIdentifier,
    attempt: 1,
    model: options.model,
    version: options.version,
    adapter: '',
    prompt: request.prompt,
    maximumOutputTokens: options.outputTokens,
    priority: 0,
    blockKeys: chainBlockKeys(request.prompt),
    cacheSalt: 'load',
    resumeFrom: 0,
    resumeText: ''
  }
  return {
    path: '/completions',
    headers: { [REQUEST_IDENTIFIER_HEADER]: request.requestIdentifier, [ATTEMPT_HEADER]: '1' },
    body: order,
    reader
  }
}

function parse<Value> (text: string): Value | undefined {
  try {
    return JSON.parse(text) as Value
  } catch {
    return undefined
  }
}
