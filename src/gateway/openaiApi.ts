/** The OpenAI-style interface: parses completion requests and renders completions. */
import { z } from 'zod'
import { InvalidRequestError } from '../errors'
import { ExecutionStatus } from '../types'

/**
 * Separators of messages in the canonical prompt. They are control characters that are removed from the content, so that
 * content cannot pass for another message. No length is written before the content, since two messages that share their
 * beginning must share their first blocks.
 */
const MESSAGE_START = '\u001e'
const CONTENT_START = '\u001f'

/** Largest `max_tokens` that is taken as meant. */
const LARGEST_OUTPUT_TOKENS = 1_000_000

const textPart = z.object({ type: z.literal('text'), text: z.string() })

const commonFields = {
  model: z.string().min(1).max(200),
  adapter: z.string().max(200).default(''),
  stream: z.boolean().nullish(),
  n: z.literal(1).nullish(),
  max_tokens: z.int().min(1).max(LARGEST_OUTPUT_TOKENS).nullish(),
  max_completion_tokens: z.int().min(1).max(LARGEST_OUTPUT_TOKENS).nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish()
}

const chatBody = z.object({
  ...commonFields,
  messages: z.array(z.object({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(textPart)]).nullish()
  })).min(1).max(10_000)
})

const plainBody = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)])
})

export const CompletionStyle = { chat: 'chat', plain: 'plain' } as const
export type CompletionStyle = typeof CompletionStyle[keyof typeof CompletionStyle]

/** A completion as a caller asked for it. */
export interface CompletionRequest {
  style: CompletionStyle
  model: string
  adapter: string
  prompt: string
  /** Undefined when the caller left it to the model's configuration. */
  maximumOutputTokens: number | undefined
  stream: boolean
  /** True when a streamed answer must end with a usage chunk. */
  includeUsage: boolean
}

/** What a completion consumed, in tokens. */
export interface CompletionUsage {
  promptTokens: number
  completionTokens: number
  cachedTokens: number
}

/**
 * Parses the body of a chat or plain completion.
 * @throws InvalidRequestError that names the first offending fields.
 */
export function parseCompletionRequest (style: CompletionStyle, body: Uint8Array): CompletionRequest {
  const value = parseJson(body)
  if (style === CompletionStyle.chat) {
    const fields = check(chatBody, value)
    return { ...commonRequest(style, fields), prompt: canonicalPrompt(fields.messages) }
  }
  const fields = check(plainBody, value)
  return { ...commonRequest(style, fields), prompt: typeof fields.prompt === 'string' ? fields.prompt : fields.prompt.join('') }
}

type ChatMessages = z.infer<typeof chatBody>['messages']

/** Joins messages into one text; equal leading messages give equal leading bytes. */
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
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body))
  } catch (cause) {
    throw new InvalidRequestError('the body is not valid JSON', { execution: ExecutionStatus.notRun, cause })
  }
}

function check<Schema extends z.ZodType> (schema: Schema, value: unknown): z.infer<Schema> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const findings = result.error.issues.slice(0, 5).map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new InvalidRequestError(findings.join('; '), { execution: ExecutionStatus.notRun })
}

/** What every rendered object of one completion has in common. */
export interface CompletionHead {
  identifier: string
  model: string
  style: CompletionStyle
  /** Seconds since the Unix epoch. */
  created: number
}

const OBJECT_NAMES = {
  chat: { whole: 'chat.completion', chunk: 'chat.completion.chunk' },
  plain: { whole: 'text_completion', chunk: 'text_completion' }
} as const

/** Last data of a complete stream. */
export const STREAM_END = 'data: [DONE]\n\n'

/** Renders one SSE event with a piece of the text; `finishReason` is set on the last piece. */
export type ChunkRenderer = (text: string, finishReason: string | undefined) => string

/** Only text and finish reason differ between the chunks of one completion; the rest is rendered once. */
export function createChunkRenderer (head: CompletionHead): ChunkRenderer {
  const fields = JSON.stringify(renderHead(head, OBJECT_NAMES[head.style].chunk)).slice(0, -1)
  const start = `data: ${fields},"choices":[{"index":0,`
  const isChat = head.style === CompletionStyle.chat
  return (text, finishReason) => {
    const quoted = JSON.stringify(text)
    const content = isChat ? `"delta":${text === '' ? '{}' : `{"content":${quoted}}`}` : `"text":${quoted}`
    return `${start}${content},"finish_reason":${JSON.stringify(finishReason ?? null)}}]}\n\n`
  }
}

/** SSE event with the usage, sent before the end on request. */
export function renderUsageChunk (head: CompletionHead, usage: CompletionUsage): string {
  return sseData({ ...renderHead(head, OBJECT_NAMES[head.style].chunk), choices: [], usage: renderUsage(usage) })
}

/** A completion as one JSON object. */
export function renderWhole (
  head: CompletionHead, text: string, finishReason: string, usage: CompletionUsage
): string {
  const content = head.style === CompletionStyle.chat ? { message: { role: 'assistant', content: text } } : { text }
  return JSON.stringify({
    ...renderHead(head, OBJECT_NAMES[head.style].whole),
    choices: [{ index: 0, ...content, finish_reason: finishReason }],
    usage: renderUsage(usage)
  })
}

function renderHead (head: CompletionHead, object: string): object {
  return { id: head.identifier, object, created: head.created, model: head.model }
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
