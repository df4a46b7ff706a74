/** OpenAI-compatible API: parses completion requests and renders completions. */
import { z } from 'zod'
import { InvalidRequestError, RequestTooLargeError } from '../errors'
import { ExecutionStatus } from '../types'
import { hasMoreJsonValues } from './jsonValues'

/**
 * Separators of messages in the canonical prompt. They are control characters that are stripped from the content, so that
 * content cannot be mistaken for another message. The content has no length prefix, because two messages with the same
 * beginning must share their first blocks.
 */
const MESSAGE_START = '\u001e'
const CONTENT_START = '\u001f'

/** Maximum accepted value of `max_tokens`. Larger values are rejected as invalid. */
const MAXIMUM_OUTPUT_TOKENS = 1_000_000

/** Maximum number of messages, and of parts of one message. */
const MAXIMUM_MESSAGES = 10_000
const MAXIMUM_PARTS = 10_000

/** Maximum number of array elements and object members of a body; 10,000 messages with one part each have 60,000. */
const MAXIMUM_VALUES = 100_000

const textPart = z.object({ type: z.literal('text'), text: z.string() })

const commonFields = {
  model: z.string().min(1).max(200),
  adapter: z.string().max(200).default(''),
  stream: z.boolean().nullish(),
  n: z.literal(1).nullish(),
  max_tokens: z.int().min(1).max(MAXIMUM_OUTPUT_TOKENS).nullish(),
  max_completion_tokens: z.int().min(1).max(MAXIMUM_OUTPUT_TOKENS).nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish()
}

const chatBody = z.object({
  ...commonFields,
  messages: z.array(z.object({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(textPart).max(MAXIMUM_PARTS)]).nullish()
  })).min(1).max(MAXIMUM_MESSAGES)
})

const plainBody = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)])
})

export const CompletionStyle = { chat: 'chat', plain: 'plain' } as const
export type CompletionStyle = typeof CompletionStyle[keyof typeof CompletionStyle]

/** Parsed completion request of a caller. */
export interface CompletionRequest {
  style: CompletionStyle
  model: string
  adapter: string
  prompt: string
  /** Undefined if the model's configuration applies. */
  maximumOutputTokens: number | undefined
  stream: boolean
  /** True if a streamed response must end with a usage chunk. */
  includeUsage: boolean
}

/** Token usage of a completion. */
export interface CompletionUsage {
  promptTokens: number
  completionTokens: number
  cachedTokens: number
}

/**
 * Parses the body of a chat or plain completion.
 * @throws InvalidRequestError with the first invalid fields, RequestTooLargeError if the body has too many values.
 */
export function parseCompletionRequest (style: CompletionStyle, body: Uint8Array): CompletionRequest {
  const value = parseJson(body)
  if (style === CompletionStyle.chat) {
    const fields = validate(chatBody, value)
    return { ...commonRequest(style, fields), prompt: canonicalPrompt(fields.messages) }
  }
  const fields = validate(plainBody, value)
  return { ...commonRequest(style, fields), prompt: typeof fields.prompt === 'string' ? fields.prompt : fields.prompt.join('') }
}

type ChatMessages = z.infer<typeof chatBody>['messages']

/** Joins messages into one string. Equal leading messages result in equal leading bytes. */
export function canonicalPrompt (messages: ChatMessages): string {
  return messages.map(({ role, content }) => {
    const text = typeof content === 'string' ? content : (content ?? []).map((part) => part.text).join('')
    return `${MESSAGE_START}${role}${CONTENT_START}${text.replaceAll(MESSAGE_START, '').replaceAll(CONTENT_START, '')}`
  }).join('')
}

function commonRequest (
  style: CompletionStyle, fields: Omit<z.infer<typeof plainBody>, 'prompt'>
): Omit<CompletionRequest, 'prompt'> {
  return {
    style,
    model: fields.model,
    adapter: fields.adapter,
    maximumOutputTokens: fields.max_completion_tokens ?? fields.max_tokens ?? undefined,
    stream: fields.stream ?? false,
    includeUsage: fields.stream_options?.include_usage ?? false
  }
}

function parseJson (body: Uint8Array): unknown {
  if (hasMoreJsonValues(body, MAXIMUM_VALUES)) {
    throw new RequestTooLargeError(`the body has more than ${MAXIMUM_VALUES} values`, { execution: ExecutionStatus.notRun })
  }
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body))
  } catch (cause) {
    throw new InvalidRequestError('the body is not valid JSON', { execution: ExecutionStatus.notRun, cause })
  }
}

function validate<Schema extends z.ZodType> (schema: Schema, value: unknown): z.infer<Schema> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const messages = result.error.issues.slice(0, 5).map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new InvalidRequestError(messages.join('; '), { execution: ExecutionStatus.notRun })
}

/** Fields shared by all rendered objects of a completion. */
export interface CompletionMetadata {
  identifier: string
  model: string
  style: CompletionStyle
  /** Seconds since the Unix epoch. */
  created: number
}

const OBJECT_NAMES = {
  chat: { complete: 'chat.completion', chunk: 'chat.completion.chunk' },
  plain: { complete: 'text_completion', chunk: 'text_completion' }
} as const

/** Final data of a complete stream. */
export const STREAM_END = 'data: [DONE]\n\n'

/** Renders an SSE event with a piece of the text. `finishReason` is set on the final piece. */
export type ChunkRenderer = (text: string, finishReason: string | undefined) => string

/** Pre-renders the parts of a chunk that are the same for the whole completion: all but the text and finish reason. */
export function createChunkRenderer (metadata: CompletionMetadata): ChunkRenderer {
  const fields = JSON.stringify(renderMetadata(metadata, OBJECT_NAMES[metadata.style].chunk)).slice(0, -1)
  const start = `data: ${fields},"choices":[{"index":0,`
  const isChat = metadata.style === CompletionStyle.chat
  return (text, finishReason) => {
    const quoted = JSON.stringify(text)
    const content = isChat ? `"delta":${text === '' ? '{}' : `{"content":${quoted}}`}` : `"text":${quoted}`
    return `${start}${content},"finish_reason":${JSON.stringify(finishReason ?? null)}}]}\n\n`
  }
}

/** Renders the SSE event with the usage, which is sent before the end of the stream if requested. */
export function renderUsageChunk (metadata: CompletionMetadata, usage: CompletionUsage): string {
  return sseData({
    ...renderMetadata(metadata, OBJECT_NAMES[metadata.style].chunk), choices: [], usage: renderUsage(usage)
  })
}

/** Renders a completion as a single JSON object. */
export function renderCompletion (
  metadata: CompletionMetadata, text: string, finishReason: string, usage: CompletionUsage
): string {
  const content = metadata.style === CompletionStyle.chat ? { message: { role: 'assistant', content: text } } : { text }
  return JSON.stringify({
    ...renderMetadata(metadata, OBJECT_NAMES[metadata.style].complete),
    choices: [{ index: 0, ...content, finish_reason: finishReason }],
    usage: renderUsage(usage)
  })
}

function renderMetadata (metadata: CompletionMetadata, object: string): object {
  return { id: metadata.identifier, object, created: metadata.created, model: metadata.model }
}

function renderUsage (usage: CompletionUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  }
}

function sseData (value: object): string {
  return `data: ${JSON.stringify(value)}\n\n`
}
