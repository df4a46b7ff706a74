import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { waitFor, waitReady } from '../client'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(2) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

interface Status { quota: Array<{ customer: string, rate: number }> }

/** Most of a third of the customer's rate of 200,000 tokens/s. Without traffic no loan adds to it. */
const EXPECTED_RATE = 55_000

describe('a router that starts beside others', () => {
  // Guards against a new instance that lives on loans until the others renew their grants, up to 10 s later.
  it('has its own part of the quota within 5 s', async () => {
    const router = await test.startRouter('router-3')
    await waitReady(router.callerUrl)
    const begun = performance.now()
    await waitFor('an own grant', async () => {
      const status = await (await fetch(`${router.controlUrl}/control/status`)).json() as Status
      return (status.quota[0]?.rate ?? 0) > EXPECTED_RATE ? true : undefined
    }, 15_000)
    expect(performance.now() - begun).toBeLessThan(5000)
  }, 40_000)
})
