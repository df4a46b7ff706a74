import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { readCurrentConfiguration } from '../../src/configuration/apply'
import { RolloutState } from '../../src/rollout/report'
import type { RolloutReport } from '../../src/rollout/report'
import { readJournal, setFaults, waitFor } from '../client'
import { runProgram } from '../processes'
import { CONFIGURATION, startTestFleet } from './testFleet'
import type { TestFleet } from './testFleet'

const BINARY = fileURLToPath(new URL('../../dist/waxwingspoke', import.meta.url))

let test: TestFleet
beforeAll(async () => { test = await startTestFleet(2) }, 60_000)
afterAll(async () => { await test?.fleet.stop() })

async function command (...parameters: string[]): Promise<{ code: number | NodeJS.Signals, output: string }> {
  return await runProgram(BINARY, [...parameters, '--platform', test.fleet.platformUrl])
}

function writeConfiguration (name: string, text: string): string {
  const file = join(test.fleet.directory, name)
  writeFileSync(file, text)
  return file
}

async function rollout (): Promise<RolloutReport | undefined> {
  const { output } = await command('moves', '--json')
  return (JSON.parse(output) as RolloutReport[]).find(({ model }) => model === 'chat')
}

describe('operators', () => {
  // Guards against two operators who both believe that their change is in force.
  it('racing to apply: one wins, the other is told of the conflict, and the winner is in force everywhere', async () => {
    const files = ['first', 'second'].map((name, index) => writeConfiguration(
      `${name}.ini`, CONFIGURATION.replace('burst = 400000', `burst = ${500_000 + index}`)))
    const results = await Promise.all(files.map(async (file) => await command('apply', file, '--expect', '1')))
    expect(results.map(({ code }) => code).sort()).toEqual([0, 3])
    const winner = results.findIndex(({ code }) => code === 0)
    const current = await readCurrentConfiguration(test.fleet.platform)
    expect(current?.revision).toBe(2)
    for (const { controlUrl } of test.routers) {
      const status = await (await fetch(`${controlUrl}/control/status`)).json()
      expect(status).toMatchObject({ revision: 2 })
    }
    expect(current?.configuration.customers).toMatchObject([{ name: 'bakery', burst: 500_000 + winner }])
  }, 30_000)

  // Guards against a bad version that takes traffic, and against a report that hides it.
  it('see a failing version rolled back with its reason, while every caller gets a whole answer', async () => {
    for (const { url } of test.engines) await setFaults(url, { failVersions: { v2: { fraction: 1 } } })
    const file = writeConfiguration('next.ini', CONFIGURATION.replace('version = v1', 'version = v2'))
    expect((await command('apply', file)).code).toBe(0)
    let requests = 0
    const stop = new AbortController()
    const traffic = Promise.all(Array.from({ length: 8 }, async (_, caller) => {
      while (!stop.signal.aborted && requests < 6000) {
        requests++
        const answer = await test.complete(test.routers[caller % 2]!, `question ${requests}`, { tokens: 2 })
        expect(answer).toMatchObject({ complete: true })
      }
    }))
    const report = await waitFor('the rollback', async () => {
      const state = await rollout()
      return state?.state === RolloutState.rolledBack ? state : undefined
    }, 60_000)
    stop.abort()
    await traffic
    expect(report).toMatchObject({ toVersion: 'v2', fromVersion: 'v1', reason: 'failures' })
    const journals = await Promise.all(test.engines.map(async ({ url }) => await readJournal(url)))
    const onBadVersion = journals.flat().filter(({ version }) => version === 'v2').length
    expect(onBadVersion).toBeGreaterThan(0)
    expect(onBadVersion / requests).toBeLessThan(0.02)
  }, 90_000)
})
