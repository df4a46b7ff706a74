import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { controlStandin } from '../../standins/process'
import { readJournal, setFaults, waitFor, waitReady } from '../client'
import type { Router, Upstream } from '../fleet'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
let whole: string
const PROMPT = 'Tell the story of the bread. '.repeat(40)

beforeAll(async () => {
  test = await startTestFleet(3)
  whole = (await test.complete(test.routers[0]!, PROMPT)).text
}, 60_000)
afterAll(async () => { await test?.fleet.stop() })

/** The engine that runs a request with more than a few tokens now. */
async function runningEngine (): Promise<Upstream> {
  return await waitFor('a running request', async () => {
    for (const engine of test.engines) {
      const journal = await readJournal(engine.url)
      if (journal.some((entry) => entry.finished === undefined)) return engine
    }
    return undefined
  })
}

/** Number of the last attempt that an engine began; 2 shows that the fault hit the running request. */
async function lastAttempt (requestIdentifier: string): Promise<number> {
  const journals = await Promise.all(test.engines.map(async ({ url }) => await readJournal(url).catch(() => [])))
  const attempts = journals.flat().filter((entry) => entry.requestIdentifier === requestIdentifier)
  return Math.max(...attempts.map(({ attempt }) => attempt))
}

describe('failures', () => {
  // Guards against open connections that go silent for good while new ones work.
  it('gives the whole text when the connection to the engine goes silent', async () => {
    let silenced: Promise<void> | undefined
    const answer = await test.complete(test.routers[0]!, PROMPT, {
      onText () { silenced ??= runningEngine().then(async ({ url }) => { await setFaults(url, { silence: 'existing' }) }) }
    })
    await silenced
    for (const { url } of test.engines) await setFaults(url, { silence: 'off' })
    expect(answer).toMatchObject({ complete: true, text: whole })
    expect(await lastAttempt(answer.requestIdentifier)).toBe(2)
  })

  it('gives the whole text when the engine is killed in mid-stream', async () => {
    let killed: Promise<void> | undefined
    const answer = await test.complete(test.routers[0]!, PROMPT, {
      onText () { killed ??= runningEngine().then(async ({ program }) => { await program.stop() }) }
    })
    await killed
    expect(answer).toMatchObject({ complete: true, text: whole })
    expect(await lastAttempt(answer.requestIdentifier)).toBe(2)
  })

  // Guards against an instance that needs the platform to start serving again.
  it('serves again after a kill and a restart while the platform is away', async () => {
    const [, , third] = test.routers as [Router, Router, Router]
    await third.program.stop()
    const { platformUrl } = test.fleet
    await controlStandin(platformUrl, 'PUT', 'faults', { outage: true })
    const restarted = await test.startRouter('router-3', { replaces: third })
    const begun = performance.now()
    await waitReady(restarted.callerUrl)
    expect(performance.now() - begun).toBeLessThan(3000)
    const answer = await waitFor('an answer', async () => {
      const next = await test.complete(restarted, PROMPT)
      return next.complete ? next : undefined
    }, 8000)
    expect(answer.text).toBe(whole)
    await controlStandin(platformUrl, 'PUT', 'faults', { outage: false })
  }, 40_000)

  // Guards against a frozen instance that holds up the others, or that cannot serve after it wakes up.
  it('serves through other routers while one is frozen, and through it again afterwards', async () => {
    const [first, second] = test.routers as [Router, Router, Router]
    first.program.signal('SIGSTOP')
    const answers = await Promise.all([1, 2, 3, 4].map(async () => await test.complete(second, PROMPT)))
    first.program.signal('SIGCONT')
    for (const answer of answers) expect(answer).toMatchObject({ complete: true, text: whole })
    expect(await test.complete(first, PROMPT)).toMatchObject({ complete: true, text: whole })
  })
})
