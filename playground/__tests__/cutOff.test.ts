import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { applyConfiguration } from '../../src/configuration/apply'
import { readFleetConfiguration } from '../../src/configuration/fleetConfiguration'
import { controlStandin } from '../../standins/process'
import { waitFor, waitReady } from '../client'
import type { Router } from '../fleet'
import { runProgram } from '../processes'
import { CONFIGURATION, startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

const BINARY = fileURLToPath(new URL('../../dist/waxwingspoke', import.meta.url))

let test: TestFleet
let router: Router
let relay: { url: string, controlUrl: string }
beforeAll(async () => {
  test = await startTestFleet(0)
  relay = await test.fleet.startRelay()
  router = await test.startRouter('router-1', { platformUrl: relay.url })
  await waitReady(router.callerUrl)
  await waitFor('an answer', async () => (await test.complete(router, 'warm')).complete ? true : undefined, 20_000)
}, 60_000)
afterAll(async () => { await test?.fleet.stop() })

async function readStatus (): Promise<{ revision: number, platformError?: string }> {
  return await (await fetch(`${router.controlUrl}/control/status`)).json() as { revision: number, platformError?: string }
}

describe('a data centre whose connections to the platform go silent', () => {
  // Guards against a data centre that stops serving because it cannot reach the platform.
  it('goes on serving with the quota, keys and upstreams that it knows', async () => {
    await controlStandin(relay.controlUrl, 'PUT', 'faults', { silence: 'all' })
    const end = performance.now() + 8000
    let answers = 0
    while (performance.now() < end) {
      expect(await test.complete(router, `question ${answers}`, { tokens: 4 })).toMatchObject({ complete: true })
      answers += 1
      await delay(50)
    }
    expect(answers).toBeGreaterThan(20)
    expect((await readStatus()).platformError).toBeDefined()
  }, 30_000)

  // Guards against a withdrawn key that works on where the platform cannot tell of the withdrawal.
  it('takes a withdrawal that is handed to an instance directly', async () => {
    const { code, output } = await runProgram(
      BINARY, ['keys', 'withdraw', test.keyHash, '--instance', router.controlAddress, '--json'])
    expect(code, output).toBe(0)
    expect(await test.complete(router, 'question')).toMatchObject({ status: 401, error: { execution: 'not_run' } })
  }, 30_000)

  // Guards against an instance that does not notice that the platform is back.
  it('takes in the configuration that was applied meanwhile when the connections work again', async () => {
    const text = CONFIGURATION.replace('burst = 400000', 'burst = 500000')
    await applyConfiguration(test.fleet.platform, readFleetConfiguration('next.ini', text), 1, randomUUID(), Date.now())
    expect((await readStatus()).revision).toBe(1)
    await controlStandin(relay.controlUrl, 'PUT', 'faults', { silence: 'off' })
    await waitFor('the new revision', async () => (await readStatus()).revision === 2 ? true : undefined, 15_000)
    await waitFor('no error', async () => (await readStatus()).platformError === undefined ? true : undefined, 15_000)
  }, 40_000)
})
