import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { randomUUID } from 'node:crypto'
import { withdrawKey } from '../../src/customer/keyStore'
import { readJournal, setFaults, waitFor } from '../client'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(2) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

function post (path: string, body: string, headers: Record<string, string> = { authorization: `Bearer ${test.key}` }) {
  return fetch(test.routers[0]!.callerUrl + path, { method: 'POST', headers, body })
}

const request = (model: string): string => JSON.stringify({ model, messages: [{ role: 'user', content: 'a' }] })

describe('a router process', () => {
  it.each([
    ['bad JSON', () => '{"model":', undefined, 400, 'invalid_request'],
    ['a body over the limit', () => 'x'.repeat(9 * 1024 * 1024), undefined, 413, 'request_too_large'],
    ['an unknown model', () => request('none'), undefined, 404, 'model_not_found'],
    ['no key', () => request('chat'), {}, 401, 'invalid_key'],
    ['a wrong key', () => request('chat'), { authorization: 'Bearer wws_wrong' }, 401, 'invalid_key']
  ])('refuses %s as not run', async (_, body, headers, status, code) => {
    const response = await post('/v1/chat/completions', body(), headers as Record<string, string> | undefined)
    expect([response.status, await response.json()]).toMatchObject([status, { error: { code, execution: 'not_run' } }])
  })

  // Guards against an order that is placed twice because the answer to the first attempt was lost.
  it('runs a call that must not be repeated once when its answer is lost', async () => {
    await setFaults(test.service.url, { lostAnswers: 1 })
    const response = await post('/orders/7', 'two loaves')
    expect([response.status, await response.json()]).toMatchObject([502, { error: { execution: 'unknown' } }])
    const ran = (await readJournal(test.service.url)).filter((entry) => entry.path === '/orders/7')
    expect(ran).toHaveLength(1)
  })

  // Guards against a caller's key that reaches an upstream.
  it('keeps the key from every upstream', async () => {
    await test.complete(test.routers[0]!, 'a prompt')
    const cookie = `size=2; api_key=${test.key}`
    await post(`/orders/8?api_key=${test.key}&size=3`, 'rolls', { cookie, authorization: `Bearer ${test.key}` })
    const journals = await Promise.all([test.service, ...test.engines].map(async ({ url }) => await readJournal(url)))
    expect(journals.flat().length).toBeGreaterThan(2)
    expect(JSON.stringify(journals)).toContain('size=3')
    expect(JSON.stringify(journals)).not.toContain(test.key)
  })

  // Guards against a withdrawn key that keeps a running stream or still opens new ones at other instances.
  it('ends a running stream and refuses new requests within seconds after a withdrawal', async () => {
    const [first, second] = test.routers as [typeof test.routers[0], typeof test.routers[0]]
    let withdrawn: Promise<unknown> | undefined
    const begun = performance.now()
    const prompt = 'a long answer. '.repeat(50)
    await setFaults(test.engines[0].url, { slowFactor: 20 })
    await setFaults(test.engines[1].url, { slowFactor: 20 })
    const answer = await test.complete(first!, prompt, {
      onText () { withdrawn ??= withdrawKey(test.fleet.platform, test.keyHash, randomUUID(), Date.now()) }
    })
    await withdrawn
    expect(answer).toMatchObject({ status: 200, complete: false, error: { code: 'key_withdrawn' } })
    const refused = await waitFor('withdrawal at the other router', async () => {
      const next = await test.complete(second!, 'after')
      return next.status === 401 ? next : undefined
    }, 5000)
    expect(refused.error?.code).toBe('invalid_key')
    expect(performance.now() - begun).toBeLessThan(6000)
  })
})
