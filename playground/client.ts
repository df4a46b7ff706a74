/** A caller of the router for the demonstration and the end-to-end cases. */
import { InternalError } from '../src/errors'

export interface StreamedAnswer {
  status: number
  text: string
  /** True when the stream ended with its final marker. */
  complete: boolean
  usage: { prompt_tokens: number, completion_tokens: number, cachedTokens: number } | undefined
  requestIdentifier: string
  /** Body of an error answer or data of an error event. */
  error: { code: string, execution: string, message: string } | undefined
  retryAfter: string | null
  /** Milliseconds until the first piece of text. */
  firstText: number
}

export interface CompletionCall {
  url: string
  key?: string
  model?: string
  prompt: string
  maximumOutputTokens?: number
  /** Called for each piece of text. */
  onText?: (text: string) => void
  signal?: AbortSignal
}

/** Streams one chat completion. A connection that breaks off shows as an answer that is not complete. */
export async function streamCompletion (call: CompletionCall): Promise<StreamedAnswer> {
  const begun = performance.now()
  const response = await fetch(`${call.url}/v1/chat/completions`, {
    method: 'POST',
    headers: call.key === undefined ? {} : { authorization: `Bearer ${call.key}` },
    body: JSON.stringify({
      model: call.model ?? 'chat',
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: call.maximumOutputTokens ?? 16,
      messages: [{ role: 'user', content: call.prompt }]
    }),
    ...(call.signal === undefined ? {} : { signal: call.signal })
  })
  const answer: StreamedAnswer = {
    status: response.status,
    text: '',
    complete: false,
    usage: undefined,
    requestIdentifier: response.headers.get('x-request-id') ?? '',
    error: undefined,
    retryAfter: response.headers.get('retry-after'),
    firstText: 0
  }
  if (response.status !== 200) {
    answer.error = (await response.json() as { error: StreamedAnswer['error'] }).error
    return answer
  }
  await readEvents(response, (type, data) => {
    if (type === 'error') answer.error = (JSON.parse(data) as { error: StreamedAnswer['error'] }).error
    else if (data === '[DONE]') answer.complete = true
    else {
      const text = takeChunk(answer, JSON.parse(data) as StreamChunk)
      if (text === '') return
      if (answer.firstText === 0) answer.firstText = performance.now() - begun
      call.onText?.(text)
    }
  })
  return answer
}

interface StreamChunk {
  choices: Array<{ delta: { content?: string } }>
  usage?: { prompt_tokens: number, completion_tokens: number, prompt_tokens_details: { cached_tokens: number } }
}

function takeChunk (answer: StreamedAnswer, chunk: StreamChunk): string {
  const text = chunk.choices[0]?.delta.content ?? ''
  answer.text += text
  if (chunk.usage !== undefined) {
    const { prompt_tokens_details: details, ...usage } = chunk.usage
    answer.usage = { ...usage, cachedTokens: details.cached_tokens }
  }
  return text
}

/** Reads server-sent events; a broken connection ends the reading without an error. */
async function readEvents (response: Response, take: (type: string, data: string) => void): Promise<void> {
  if (response.body === null) throw new InternalError('the answer has no body')
  const decoder = new TextDecoder()
  let buffered = ''
  try {
    for await (const part of response.body as unknown as AsyncIterable<Uint8Array>) {
      buffered += decoder.decode(part, { stream: true })
      const events = buffered.split('\n\n')
      buffered = events.pop() ?? ''
      for (const event of events) takeEvent(event, take)
    }
  } catch {
    // The caller sees from the missing final marker that the answer is incomplete.
  }
}

function takeEvent (event: string, take: (type: string, data: string) => void): void {
  let type = 'message'
  let data = ''
  for (const line of event.split('\n')) {
    if (line.startsWith('event: ')) type = line.slice(7)
    if (line.startsWith('data: ')) data += line.slice(6)
  }
  take(type, data)
}

export interface JournalEntry {
  requestIdentifier: string
  attempt: number
  [field: string]: unknown
}

/** Journal of an upstream stand-in: what it ran. */
export async function readJournal (url: string): Promise<readonly JournalEntry[]> {
  const response = await fetch(`${url}/control/journal`)
  return (await response.json() as { entries: JournalEntry[] }).entries
}

/** Sets faults of a stand-in. */
export async function setFaults (url: string, faults: object): Promise<void> {
  const response = await fetch(`${url}/control/faults`, { method: 'PUT', body: JSON.stringify(faults) })
  if (!response.ok) throw new InternalError(`the stand-in at ${url} answered ${response.status}`)
}

/** Repeats until the check gives a result other than undefined. */
export async function waitFor<Value> (
  what: string, check: () => Promise<Value | undefined> | Value | undefined, limit = 10_000
): Promise<Value> {
  const end = performance.now() + limit
  while (performance.now() < end) {
    const value = await check()
    if (value !== undefined) return value
    await new Promise((resolve) => { setTimeout(resolve, 25) })
  }
  throw new InternalError(`timed out: ${what}`)
}

/** Waits until a router reports that it can serve. */
export async function waitReady (url: string): Promise<void> {
  await waitFor(`${url} ready`, async () => (await fetch(`${url}/readyz`)).status === 200 ? true : undefined)
}
