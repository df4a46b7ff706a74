import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import type { Router } from '../fleet'
import type { StreamedAnswer } from '../client'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(1) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

const REQUESTS = 40

describe('SIGTERM', () => {
  // Guards against a rollout of the router itself that cuts its callers' streams.
  it('under load cuts no running and no queued request and ends with 0', async () => {
    const [router] = test.routers as [Router]
    const prompt = 'A recipe for rye bread. '.repeat(30)
    const running = Array.from({ length: REQUESTS }, async () => await test.complete(router, prompt))
    await delay(200)
    router.program.signal('SIGTERM')
    const late: Array<Promise<StreamedAnswer | undefined>> = []
    for (let round = 0; round < 5; round++) {
      await delay(100)
      late.push(test.complete(router, prompt).catch(() => undefined))
    }
    const ready = await fetch(`${router.callerUrl}/readyz`)
    expect(ready.status).toBe(503)
    const answers = await Promise.all(running)
    // Shows what happened to each request that was not answered in full.
    expect(answers.filter(({ complete }) => !complete)).toEqual([])
    // Within the grace period new requests are still served.
    for (const answer of await Promise.all(late)) expect(answer).toMatchObject({ complete: true })
    expect(await router.program.exited).toBe(0)
  }, 40_000)
})
