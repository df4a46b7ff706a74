import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { readJournal, waitFor } from '../client'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(1) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

async function request (path: string, body?: object): Promise<{ status: number, content: Record<string, unknown> }> {
  const response = await fetch(`${test.routers[0]!.callerUrl}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${test.key}` },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  return { status: response.status, content: await response.json() as Record<string, unknown> }
}

describe('callers of a router process', () => {
  // Guards against interfaces that only work in process.
  it.each([
    ['plain completion', '/v1/completions', { model: 'chat', prompt: 'loaf', max_tokens: 4 }, { object: 'text_completion' }],
    ['chat completion', '/v1/chat/completions',
      { model: 'chat', messages: [{ role: 'user', content: 'loaf' }], max_tokens: 4 }, { object: 'chat.completion' }],
    ['list of models', '/v1/models', undefined, { object: 'list', data: [expect.objectContaining({ id: 'chat' })] }]
  ])('get a whole %s', async (_, path, body, expected) => {
    expect(await request(path, body)).toMatchObject({ status: 200, content: expected })
  })

  // Guards against engines that go on computing for a caller who has gone.
  it('who leave in mid-stream cancel the work of the engine', async () => {
    const leave = new AbortController()
    const call = test.complete(test.routers[0]!, 'a long story', {
      onText: () => { leave.abort() }, signal: leave.signal
    }).catch(() => undefined)
    const outcome = await waitFor('the end of the work', async () => {
      const journals = await Promise.all(test.engines.map(async ({ url }) => await readJournal(url)))
      return journals.flat().find((entry) => entry.outcome === 'cancelled')
    })
    await call
    expect(outcome).toMatchObject({ attempt: 1 })
  })
})
