/**
 * Demonstration: starts a small fleet on loopback, sends it requests of each kind and prints what happened to each.
 * Ends with 0 when everything came out as expected.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import Table from 'cli-table3'
import { BLOCK_BYTES } from '../../src/constants'
import { readTimeline } from '../../src/observability/timeline'
import { renderTimelinePage } from '../../src/observability/timelinePage'
import { readJournal, streamCompletion, waitFor, waitReady } from '../client'
import { startFleet } from '../fleet'
import type { Fleet, Router, Upstream } from '../fleet'

const CONFIGURATION = `
[data-centre north]
weight = 1
[data-centre south]
weight = 1
[customer bakery]
rate = 20000
burst = 60000
[customer books]
rate = 40
burst = 400
[model chat]
version = v1
maximum_output_tokens = 64
[route orders]
path = /orders
service = ordering
methods = GET, POST
idempotent_methods = GET
`

/** About 8,000 tokens. */
const LONG_PROMPT = 'The bakery opens at four and the first bread is sold at five. '.repeat(520)
const FULL_BLOCKS = Math.floor(LONG_PROMPT.length / BLOCK_BYTES)

interface Step {
  request: string
  result: string
  good: boolean
}

interface Scene {
  fleet: Fleet
  routers: readonly Router[]
  engines: readonly Upstream[]
  service: Upstream
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

async function build (fleet: Fleet): Promise<Scene> {
  const parameters = ['--loaded', 'chat@v1']
  const engines = await Promise.all([
    fleet.startEngine({ name: 'engine-north-1', dataCentre: 'north', parameters }),
    fleet.startEngine({ name: 'engine-north-2', dataCentre: 'north', parameters }),
    fleet.startEngine({ name: 'engine-south-1', dataCentre: 'south', parameters })
  ])
  const service = await fleet.startService({ name: 'ordering-1', dataCentre: 'north', service: 'ordering' })
  const routers = []
  for (const [name, dataCentre] of [['router-1', 'north'], ['router-2', 'north'], ['router-3', 'south']] as const) {
    routers.push(await fleet.startRouter({ name, dataCentre }))
  }
  print((await fleet.apply(CONFIGURATION)).trim())
  await Promise.all(routers.map(async (router) => { await waitReady(router.callerUrl) }))
  return { fleet, routers, engines, service }
}

async function engineOf (scene: Scene, requestIdentifier: string): Promise<string> {
  for (const engine of scene.engines) {
    const journal = await readJournal(engine.url)
    if (journal.some((entry) => entry.requestIdentifier === requestIdentifier)) return engine.name
  }
  return 'none'
}

async function runSteps (scene: Scene): Promise<Step[]> {
  const { fleet, routers: [first, second, third], service } = scene as Scene & { routers: [Router, Router, Router] }
  const bakery = await fleet.grantKey('bakery')
  const books = await fleet.grantKey('books')
  // Keys and quota reach the instances within seconds.
  await waitFor('keys and quota in force', async () => {
    for (const router of [first, second, third]) {
      const answer = await streamCompletion({ url: router.callerUrl, key: bakery.key, prompt: 'warm up', maximumOutputTokens: 1 })
      if (!answer.complete) return undefined
    }
    return true
  }, 20_000)
  const steps: Step[] = []

  const cold = await streamCompletion({ url: first.callerUrl, key: bakery.key, prompt: LONG_PROMPT })
  const coldEngine = await engineOf(scene, cold.requestIdentifier)
  steps.push({
    request: 'streamed completion, long prompt, router-1',
    result: `${cold.text.length} characters from ${coldEngine}, ${cold.usage?.cachedTokens ?? 0} of ${cold.usage?.prompt_tokens ?? 0} prompt tokens cached, first text after ${cold.firstText.toFixed(0)} ms`,
    good: cold.complete && cold.usage?.cachedTokens === 0
  })

  // The other router learns of the stored blocks from the engine's event stream.
  await waitFor('cache events', async () => {
    const response = await fetch(`${second.controlUrl}/control/status`)
    const { indexEntries = 0 } = await response.json() as { indexEntries?: number }
    return indexEntries >= FULL_BLOCKS ? true : undefined
  })
  const warm = await streamCompletion({ url: second.callerUrl, key: bakery.key, prompt: LONG_PROMPT })
  const warmEngine = await engineOf(scene, warm.requestIdentifier)
  steps.push({
    request: 'same prompt, router-2',
    result: `from ${warmEngine}, ${warm.usage?.cachedTokens ?? 0} of ${warm.usage?.prompt_tokens ?? 0} prompt tokens cached, first text after ${warm.firstText.toFixed(0)} ms`,
    good: warm.complete && warmEngine === coldEngine && (warm.usage?.cachedTokens ?? 0) > 0 && warm.text === cold.text
  })

  const call = await fetch(`${third.callerUrl}/orders/12?api_key=${bakery.key}`, {
    method: 'POST', headers: { 'idempotency-key': 'order-12' }, body: '{"bread":2}'
  })
  const repeat = await fetch(`${first.callerUrl}/orders/12`, {
    method: 'POST', headers: { 'idempotency-key': 'order-12', authorization: `Bearer ${bakery.key}` }, body: '{"bread":2}'
  })
  const journal = JSON.stringify(await readJournal(service.url))
  const ran = (await readJournal(service.url)).length
  steps.push({
    request: 'order, and the same order again through another router',
    result: `${call.status} and ${repeat.status}, ran ${ran} time(s), key seen by the service: ${journal.includes(bakery.key) ? 'yes' : 'no'}`,
    good: call.status === 200 && repeat.status === 200 && ran === 1 && !journal.includes(bakery.key)
  })

  const refusals = await Promise.all(Array.from({ length: 12 }, async () => {
    return await streamCompletion({ url: second.callerUrl, key: books.key, prompt: 'A list of books. '.repeat(20), maximumOutputTokens: 16 })
  }))
  const refused = refusals.filter((answer) => answer.status === 429)
  steps.push({
    request: '12 completions at once of a customer with a small rate',
    result: `${refusals.length - refused.length} answered, ${refused.length} refused with 429, execution ${refused[0]?.error?.execution ?? '-'}, Retry-After ${refused[0]?.retryAfter ?? '-'} s`,
    good: refused.length > 0 && refused.every((answer) => answer.error?.execution === 'not_run' && answer.retryAfter !== null)
  })

  const withdrawal = await fleet.command('keys', 'withdraw', bakery.hash)
  const withdrawn = await waitFor('withdrawal in force', async () => {
    const answer = await streamCompletion({ url: third.callerUrl, key: bakery.key, prompt: 'after', maximumOutputTokens: 1 })
    return answer.status === 401 ? answer : undefined
  }, 5000)
  steps.push({
    request: 'withdrawn key, router-3',
    result: `${withdrawn.status} ${withdrawn.error?.code ?? ''}, withdraw command ended with ${withdrawal.code}`,
    good: withdrawal.code === 0 && withdrawn.error?.code === 'invalid_key'
  })
  return steps
}

async function main (): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'waxwingspoke-demo-'))
  const fleet = await startFleet({ programs: dirname(fileURLToPath(import.meta.url)), directory })
  try {
    const steps = await runSteps(await build(fleet))
    const table = new Table({ head: ['request', 'result', ''], colWidths: [38, 66, 7], wordWrap: true, style: { head: [], border: [] } })
    for (const { request, result, good } of steps) table.push([request, result, good ? 'ok' : 'WRONG'])
    print(table.toString())
    const page = join(directory, 'timeline.html')
    writeFileSync(page, renderTimelinePage(await readTimeline(fleet.logFiles())))
    print(`timeline: ${page}`)
    if (steps.some(({ good }) => !good)) process.exitCode = 1
  } finally {
    await fleet.stop()
  }
}

await main()
