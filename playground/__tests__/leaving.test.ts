import { setTimeout as delay } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { LEAVING_LIMIT_MS } from '../../src/constants'
import { controlStandin } from '../../standins/process'
import { readJournal } from '../client'
import type { Upstream } from '../fleet'
import { startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(2) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

async function markInList ({ name, url }: Upstream, state: 'live' | 'leaving'): Promise<void> {
  const port = Number(new URL(url).port)
  await controlStandin(test.fleet.platformUrl, 'PUT', 'instance', {
    name, kind: 'engine', dataCentre: 'north', endpoint: { host: '127.0.0.1', port }, state
  })
}

async function begunAfter (engine: Upstream, wallClock: number): Promise<number> {
  return (await readJournal(engine.url)).filter(({ began }) => Number(began) > wallClock).length
}

describe('a leaving engine', () => {
  // Guards against work that is lost with an engine that was told to go.
  it('gets no new work 3 s after the list says so, and callers notice nothing', async () => {
    const [leaving, staying] = test.engines
    const stop = new AbortController()
    const callers = Promise.all(Array.from({ length: 6 }, async (_, caller) => {
      for (let count = 0; !stop.signal.aborted && count < 2000; count++) {
        const router = test.routers[caller % 2]!
        expect(await test.complete(router, `${caller} asks ${count}`, { tokens: 4 })).toMatchObject({ complete: true })
      }
    }))
    await delay(1500)
    expect(await begunAfter(leaving, 0)).toBeGreaterThan(0)
    const marked = Date.now()
    await markInList(leaving, 'leaving')
    await delay(LEAVING_LIMIT_MS + 2000)
    stop.abort()
    await callers
    expect(await begunAfter(leaving, marked + LEAVING_LIMIT_MS)).toBe(0)
    expect(await begunAfter(staying, marked + LEAVING_LIMIT_MS)).toBeGreaterThan(0)
  }, 40_000)
})
