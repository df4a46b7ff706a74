/** Load generator: plan from a seed, latency from the planned arrival, and errors by type. */
import { Agent } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { startEngineServer } from '../../engine/server'
import { startStandinServer } from '../../http'
import { planLoad } from '../plan'
import { runLoad } from '../run'
import { createTarget } from '../targets'

const closers: Array<() => Promise<void>> = []
afterEach(async () => {
  await Promise.all(closers.splice(0).map(async (close) => await close()))
})

const planOptions = { rate: 100, seconds: 1, promptBytes: 5000, prefixes: 3, sharedPart: 0.9, seed: 7 }
const whole = { error: undefined, tokens: 1, cachedTokens: 0, promptTokens: 0 }
const wait = async (milliseconds: number): Promise<void> =>
  await new Promise((resolve) => setTimeout(resolve, milliseconds))

it('the same seed gives the same plan, at the asked rate and prompt length', () => {
  const plan = planLoad(planOptions)
  expect(planLoad(planOptions)).toEqual(plan)
  expect(planLoad({ ...planOptions, seed: 8 })).not.toEqual(plan)
  expect(plan.length).toBeGreaterThan(70)
  expect(plan.length).toBeLessThan(130)
  expect(new Set(plan.map((request) => request.prompt.length))).toEqual(new Set([5000]))
  expect(new Set(plan.map((request) => request.prompt)).size).toBe(plan.length)
  expect(new Set(plan.map((request) => request.prompt.slice(0, 4500))).size).toBe(3)
})

it('a stall of the target counts for every request that was due meanwhile', async () => {
  // With one stream the generator cannot send during the stall; measured from sending, only one request would be slow.
  let first = true
  const report = await runLoad(planLoad(planOptions), async (_, onToken) => {
    if (first) await wait(500)
    first = false
    onToken()
    return whole
  }, { streams: 1 })
  expect(report.complete).toBe(report.requests)
  expect(report.timeToFirstToken.p50).toBeGreaterThan(10)
  expect(report.timeToFirstToken.maximum).toBeGreaterThan(480)
})

it('does not wait for answers before sending the next request', async () => {
  const report = await runLoad(planLoad(planOptions), async () => {
    await wait(300)
    return whole
  })
  expect(report.mostOpen).toBeGreaterThan(15)
  expect(report.seconds).toBeLessThan(2)
})

it('counts truncated, crossed and refused answers of an engine by type', async () => {
  const engine = await startEngineServer({ prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1000 })
  const agent = new Agent()
  closers.push(engine.close, async () => await agent.destroy())
  const target = createTarget(agent, {
    url: `http://127.0.0.1:${engine.endpoint.port}`,
    mode: 'engine',
    key: '',
    model: 'model',
    version: 'v1',
    outputTokens: 8,
    timeout: 2000
  })
  const plan = planLoad({ ...planOptions, rate: 40, seconds: 0.5 })
  const run = async () => await runLoad(plan, target)
  expect(await run()).toMatchObject({ complete: plan.length, errors: {}, tokens: plan.length * 8 })
  engine.core.faults.truncatedStreams = 1
  expect((await run()).errors).toEqual({ incomplete: plan.length })
  engine.core.faults.truncatedStreams = 0
  engine.core.faults.crossedAnswers = 1
  expect((await run()).errors).toEqual({ wrong_echo: plan.length })
  engine.core.leaving = true
  expect((await run()).errors).toEqual({ http_503_leaving: plan.length })
})

const content = 'data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}\n\n'
const finish = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n'
it.each([
  ['a whole stream', 200, `${content}${content}${finish}data: [DONE]\n\n`, undefined],
  ['no end marker', 200, `${content}${finish}`, 'incomplete'],
  ['no finish reason', 200, `${content}data: [DONE]\n\n`, 'incomplete'],
  ['an error in the stream', 200, `${content}data: {"error":{"code":"upstream_failed"}}\n\n`, 'stream_upstream_failed'],
  ['a refusal', 503, '{"error":{"code":"overloaded","execution":"not_run"}}', 'http_503_overloaded_not_run']
])('router mode judges %s', async (_, status, answer, error) => {
  let authorization: string | undefined
  const router = await startStandinServer({
    routes: {
      'POST /v1': ({ request, response }) => {
        authorization = request.headers.authorization
        response.writeHead(status).end(answer)
      }
    }
  })
  const agent = new Agent()
  closers.push(router.close, async () => await agent.destroy())
  const target = createTarget(agent, {
    url: `http://127.0.0.1:${router.endpoint.port}`,
    mode: 'router',
    key: 'secret',
    model: 'model',
    version: '',
    outputTokens: 2,
    timeout: 2000
  })
  expect((await target({ arrival: 0, requestIdentifier: 'r', prompt: 'p' }, () => undefined)).error).toBe(error)
  expect(authorization).toBe('Bearer secret')
})
