import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { setFaults, waitFor } from '../client'
import type { Upstream } from '../fleet'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

const CRASHING = 'CRASH THE ENGINE'

let test: TestFleet
let engines: Upstream[]
beforeAll(async () => {
  test = await startTestFleet(3)
  engines = [...test.engines, await test.startEngine('engine-3'), await test.startEngine('engine-4')]
  for (const { url } of engines) await setFaults(url, { crashOnText: [CRASHING] })
  await waitFor('all engines are in use', async () => {
    const status = await (await fetch(`${test.routers[0]!.controlUrl}/control/status`)).json() as { upstreams: unknown[] }
    return status.upstreams.length >= 5 ? true : undefined
  })
}, 60_000)
afterAll(async () => { await test?.fleet.stop() })

async function liveEngines (): Promise<number> {
  const answers = await Promise.all(engines.map(async ({ url }) => await fetch(`${url}/control/state`).catch(() => undefined)))
  return answers.filter((answer) => answer?.ok).length
}

describe('a request that crashes each engine that runs it', () => {
  // Guards against one caller who takes down the whole fleet by sending its request again.
  it('brings down at most two engines, also when it is sent again to every router', async () => {
    const first = await test.complete(test.routers[0]!, CRASHING)
    expect(first.complete).toBe(false)
    expect(first.error?.code).toBe('crashing_request')
    for (const router of [...test.routers, ...test.routers]) {
      const begun = performance.now()
      const repeat = await test.complete(router, CRASHING)
      expect(repeat).toMatchObject({ complete: false, error: { code: 'crashing_request', execution: 'not_run' } })
      expect(Number(repeat.retryAfter)).toBeGreaterThan(0)
      // The final answer comes at once and is not held back to discourage repeats.
      expect(performance.now() - begun).toBeLessThan(1000)
    }
    expect(await liveEngines()).toBeGreaterThanOrEqual(2)
    for (const router of test.routers) expect(await test.complete(router, 'a harmless question')).toMatchObject({ complete: true })
  }, 60_000)
})
