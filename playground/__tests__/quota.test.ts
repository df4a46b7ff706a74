import { randomBytes, randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { applyConfiguration } from '../../src/configuration/apply'
import { readFleetConfiguration } from '../../src/configuration/fleetConfiguration'
import { grantKey } from '../../src/customer/keyStore'
import { controlStandin } from '../../standins/process'
import { readJournal, streamCompletion } from '../client'
import type { Router } from '../fleet'
import { CONFIGURATION, startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

const RATE = 400
const BURST = 1200
const OUTPUT_TOKENS = 16
const SECONDS = 16
/**
 * A request begins at an engine after it was admitted; on a busy machine it may wait this long in between, and then
 * counts in a later window than the one that admitted it.
 */
const LONGEST_START_DELAY_MS = 1000

let test: TestFleet
let key: string
beforeAll(async () => {
  test = await startTestFleet(3)
  const { platform } = test.fleet
  const text = `${CONFIGURATION}[customer small]\nrate = ${RATE}\nburst = ${BURST}\n`
  await applyConfiguration(platform, readFleetConfiguration('fleet.ini', text), 1, randomUUID(), Date.now())
  key = (await grantKey(platform, 'small', randomBytes(32), randomUUID(), Date.now())).key
  await delay(3000)
}, 60_000)
afterAll(async () => { await test?.fleet.stop() })

/** Sends requests without pause until the time is over; returns the cost of each answered one by its identifier. */
async function flood (router: Router, until: number, costs: Map<string, number>): Promise<void> {
  while (performance.now() < until) {
    const call = { url: router.callerUrl, key, prompt: 'loaf', maximumOutputTokens: OUTPUT_TOKENS }
    const answer = await streamCompletion({ ...call, signal: AbortSignal.timeout(8000) }).catch(() => undefined)
    if (answer?.usage === undefined) await delay(20)
    else costs.set(answer.requestIdentifier, answer.usage.prompt_tokens + OUTPUT_TOKENS)
  }
}

describe('rate and burst over three routers', () => {
  // Guards against admission beyond the limit by a router that wakes up, or by all of them while the platform is away.
  it('hold in every window while a router is frozen and the platform goes away, and admission goes on', async () => {
    const until = performance.now() + SECONDS * 1000
    const costs = new Map<string, number>()
    const callers = test.routers.flatMap((router) => {
      return Array.from({ length: 6 }, async () => { await flood(router, until, costs) })
    })
    const [first] = test.routers as [Router]
    await delay(3000)
    first.program.signal('SIGSTOP')
    await delay(2000)
    await controlStandin(test.fleet.platformUrl, 'PUT', 'faults', { outage: true })
    await delay(3000)
    first.program.signal('SIGCONT')
    await delay(4000)
    await controlStandin(test.fleet.platformUrl, 'PUT', 'faults', { outage: false })
    await Promise.all(callers)

    const journals = await Promise.all(test.engines.map(async ({ url }) => await readJournal(url)))
    const starts = journals.flat()
      .filter(({ requestIdentifier, attempt }) => attempt === 1 && costs.has(requestIdentifier))
      .map(({ requestIdentifier, began }) => ({ at: Number(began), cost: costs.get(requestIdentifier)! }))
      .sort((left, right) => left.at - right.at)
    expect(starts.length).toBeGreaterThan(50)
    const excess = starts.map((start, from) => {
      let admitted = 0
      return Math.max(...starts.slice(from).map(({ at, cost }) => {
        admitted += cost
        return admitted - BURST - RATE * (at - start.at + LONGEST_START_DELAY_MS) / 1000
      }))
    })
    expect(Math.max(...excess)).toBeLessThanOrEqual(0)
    // Admission goes on throughout: no gap of more than 3 s, and half of the rate is used.
    const gaps = starts.slice(1).map(({ at }, index) => at - starts[index]!.at)
    expect(Math.max(...gaps)).toBeLessThan(3000)
    const total = starts.reduce((sum, { cost }) => sum + cost, 0)
    expect(total).toBeGreaterThan(RATE * SECONDS / 2)
  }, 60_000)
})
