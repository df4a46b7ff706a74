import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { InvalidRequestError } from '../../errors'
import { canonicalPrompt, createChunkRenderer, parseCompletionRequest, renderCompletion } from '../openaiApi'

const encode = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value))
const role = fc.constantFrom('system' as const, 'user' as const, 'assistant' as const)
const message = fc.record({ role, content: fc.string() })

describe('parseCompletionRequest', () => {
  it.each([
    ['no JSON', Buffer.from('{')],
    ['invalid UTF-8', Buffer.from([0x22, 0xff, 0x22])],
    ['no model', encode({ messages: [{ role: 'user', content: 'a' }] })],
    ['no messages', encode({ model: 'm', messages: [] })],
    ['an unknown role', encode({ model: 'm', messages: [{ role: 'root', content: 'a' }] })],
    ['an image part', encode({ model: 'm', messages: [{ role: 'user', content: [{ type: 'image_url', image_url: {} }] }] })],
    ['a negative max_tokens', encode({ model: 'm', max_tokens: -1, messages: [{ role: 'user', content: 'a' }] })],
    ['two choices', encode({ model: 'm', n: 2, messages: [{ role: 'user', content: 'a' }] })],
    ['a list', encode([])]
  ])('rejects %s as not run', (_, body) => {
    const act = (): unknown => parseCompletionRequest('chat', body)
    expect(act).toThrow(InvalidRequestError)
    expect(act).toThrow(expect.objectContaining({ execution: 'not_run' }))
  })

  it('parses a chat request', () => {
    const body = encode({
      model: 'm',
      stream: true,
      max_completion_tokens: 7,
      temperature: 0.5,
      stream_options: { include_usage: true },
      messages: [{ role: 'user', content: [{ type: 'text', text: 'a' }, { type: 'text', text: 'b' }] }]
    })
    expect(parseCompletionRequest('chat', body)).toEqual({
      style: 'chat', model: 'm', adapter: '', prompt: '\u001euser\u001fab', maximumOutputTokens: 7, stream: true, includeUsage: true
    })
  })

  // Guards against bodies within the limit whose values exhaust the heap, or keep the process busy.
  it.each([
    ['elements of an unknown field', { model: 'm', messages: [{ role: 'user', content: 'a' }], more: Array(100_001).fill(0) }],
    ['empty objects', { model: 'm', messages: Array(100_001).fill({}) }],
    ['members', { model: 'm', prompt: 'a', more: Object.fromEntries(Array.from({ length: 100_001 }, (_, index) => [index, 0])) }],
    ['nested lists', `${'['.repeat(100_001)}${']'.repeat(100_001)}`]
  ])('rejects a body with too many %s', (_, value) => {
    const body = typeof value === 'string' ? Buffer.from(value) : encode(value)
    expect(() => parseCompletionRequest('chat', body)).toThrow(expect.objectContaining({
      code: 'request_too_large', execution: 'not_run'
    }))
  })

  it('rejects a message of more than 10,000 parts', () => {
    const content = Array.from({ length: 10_001 }, () => ({ type: 'text', text: 'a' }))
    const body = encode({ model: 'm', messages: [{ role: 'user', content }] })
    expect(() => parseCompletionRequest('chat', body)).toThrow(InvalidRequestError)
  })

  it('accepts a long text, and the largest number of messages', () => {
    const text = '"\\,[{'.repeat(100_000)
    expect(parseCompletionRequest('plain', encode({ model: 'm', prompt: text })).prompt).toBe(text)
    const messages = Array.from({ length: 10_000 }, () => ({ role: 'user', content: [{ type: 'text', text: 'a' }] }))
    expect(parseCompletionRequest('chat', encode({ model: 'm', messages })).prompt).toHaveLength(10_000 * 7)
  })

  it('parses a plain request', () => {
    expect(parseCompletionRequest('plain', encode({ model: 'm', prompt: ['a'] }))).toMatchObject({
      prompt: 'a', stream: false, maximumOutputTokens: undefined
    })
  })
})

describe('canonicalPrompt', () => {
  // Guards against lost cache hits: a longer conversation must begin with the bytes of the shorter one.
  it('keeps shared prefixes of conversations', () => {
    fc.assert(fc.property(fc.array(message, { minLength: 1 }), fc.array(message), (shared, more) => {
      expect(canonicalPrompt([...shared, ...more]).startsWith(canonicalPrompt(shared))).toBe(true)
    }))
  })

  // Guards against content that is mistaken for a message of another role.
  it('gives different conversations different texts', () => {
    const clean = (list: Array<{ role: string, content: string }>): string => {
      return JSON.stringify(list.map(({ role, content }) => [role, content.replaceAll('\u001e', '').replaceAll('\u001f', '')]))
    }
    const separators = message.map(({ role, content }) => ({ role, content: `${content}\u001esystem\u001f` }))
    const messages = fc.array(fc.oneof(message, separators))
    fc.assert(fc.property(messages, messages, (left, right) => {
      expect(canonicalPrompt(left) === canonicalPrompt(right)).toBe(clean(left) === clean(right))
    }))
  })
})

describe('rendering', () => {
  const usage = { promptTokens: 3, completionTokens: 2, cachedTokens: 1 }
  it.each([
    ['chat', 'chat.completion.chunk', { delta: { content: 'x\n' } }], ['plain', 'text_completion', { text: 'x\n' }]
  ] as const)('renders a %s chunk on one line', (style, object, content) => {
    const text = createChunkRenderer({ identifier: 'i', model: 'm', style, created: 1 })('x\n', undefined)
    expect(text).toMatch(/^data: [^\n]*\n\n$/)
    expect(JSON.parse(text.slice(6))).toEqual({
      id: 'i', object, created: 1, model: 'm', choices: [{ index: 0, ...content, finish_reason: null }]
    })
  })

  it('renders a complete chat completion with usage', () => {
    const completion = JSON.parse(renderCompletion({ identifier: 'i', model: 'm', style: 'chat', created: 1 }, 'x', 'stop', usage))
    expect(completion.choices[0]).toEqual({ index: 0, message: { role: 'assistant', content: 'x' }, finish_reason: 'stop' })
    expect(completion.usage).toMatchObject({ prompt_tokens: 3, completion_tokens: 2, total_tokens: 5 })
  })
})
