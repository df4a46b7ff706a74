/** Failures of the connection to the platform, and what the client says about the write. */
import { afterEach, expect, it } from 'vitest'
import { startStandinServer } from '../../../standins/http'
import { startPlatformServer } from '../../../standins/platform/server'
import type { OutageMode, PlatformServer } from '../../../standins/platform/server'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../errors'
import { createHttpPlatformClient } from '../httpPlatformClient'
import type { PlatformClient } from '../types'

const transaction = { identifier: 't', conditions: [], writes: [{ table: 't', key: 'k', value: 1 }] }
let server: PlatformServer
let client: PlatformClient

afterEach(async () => {
  await client.close()
  await server.close()
})

async function start (): Promise<void> {
  server = await startPlatformServer()
  client = createHttpPlatformClient({ endpoint: server.endpoint, wholeTimeout: 1000 })
}

it.each<[OutageMode, typeof OutcomeUnknownError | typeof PlatformUnavailableError]>([
  ['refuse', PlatformUnavailableError],
  ['cut', OutcomeUnknownError],
  ['silence', OutcomeUnknownError]
])('outage by %s: a write that was sent is only called undone when the platform says so', async (outageMode, expected) => {
  await start()
  Object.assign(server.faults, { outage: true, outageMode })
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(expected)
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('a refused connection is reported as certainly not written', async () => {
  await start()
  await server.close()
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('a slow answer to a write passes the time limit and leaves the outcome unknown', async () => {
  await start()
  server.faults.latency = 1300
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(OutcomeUnknownError)
})

it('after a silent connection the next call uses a new one', async () => {
  await start()
  await client.commit(transaction)
  Object.assign(server.faults, { outage: true, outageMode: 'silence' })
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
  server.faults.outage = false
  expect((await client.readRow('t', 'k'))?.value).toBe(1)
})

it('beyond its limit of running exchanges the client refuses at once, and recovers', async () => {
  await start()
  await client.close()
  client = createHttpPlatformClient({ endpoint: server.endpoint, maximumConcurrent: 2 })
  server.faults.latency = 100
  const calls = await Promise.allSettled([1, 2, 3].map(async () => await client.commit(transaction)))
  expect(calls.map((call) => call.status)).toEqual(['fulfilled', 'fulfilled', 'rejected'])
  expect(calls[2]).toMatchObject({ reason: expect.any(PlatformUnavailableError) })
  await client.commit(transaction)
})

it.each([['no JSON', 'oops'], ['another form', '{"ok":true}']])(
  'an answer with %s leaves the outcome of a write unknown and fails a read', async (_, text) => {
    await start()
    await server.close()
    const broken = await startStandinServer({
      port: server.endpoint.port, routes: {}, fallback: ({ response }) => { response.end(text) }
    })
    await expect(client.commit(transaction)).rejects.toBeInstanceOf(OutcomeUnknownError)
    await expect(client.listInstances()).rejects.toBeInstanceOf(PlatformUnavailableError)
    await broken.close()
  })
