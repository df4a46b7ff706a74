import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { setFaults } from '../client'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

const PROMPT = 'Tell the story of the bread. '.repeat(40)
const STREAMS = 12
/** Time in milliseconds for which the engines are slowed. Longer than a step at the usual pace, so that one begins. */
const HOLD_MS = 400

/** Limits that are much shorter than the silence. */
const SETTINGS = `
[attempt]
between_chunks = 300ms
first_byte = 300ms
`

let test: TestFleet
let whole: string

beforeAll(async () => {
  test = await startTestFleet(1, SETTINGS)
  whole = (await test.complete(test.routers[0]!, PROMPT)).text
}, 60_000)
afterAll(async () => { await test?.fleet.stop() })

/** Makes all engines silent for the duration of the step that they have begun, about 2.4 s. */
async function silenceAll (): Promise<void> {
  for (const slowFactor of [200, 1]) {
    await Promise.all(test.engines.map(async ({ url }) => { await setFaults(url, { slowFactor }) }))
    await delay(HOLD_MS)
  }
}

describe('streams at engines that are all silent for a while and go on', () => {
  // Guards against streams that are cut because each engine in turn is given up at the limit between chunks.
  it('are whole', async () => {
    const startedAt = performance.now()
    let silenced: Promise<void> | undefined
    const answers = await Promise.all(Array.from({ length: STREAMS }, async () => await test.complete(
      test.routers[0]!, PROMPT, { onText () { silenced ??= silenceAll() } }
    )))
    await silenced
    // Shows that the silence took place: without it, the streams take about 0.7 s.
    expect(performance.now() - startedAt).toBeGreaterThan(2000)
    for (const answer of answers) expect(answer).toMatchObject({ complete: true, text: whole })
  }, 30_000)
})
