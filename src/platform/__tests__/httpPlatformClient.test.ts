/** Tests failures of the platform connection, and whether the client reports the outcome of a write correctly. */
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
  client = createHttpPlatformClient({ endpoint: server.endpoint, totalTimeout: 1000 })
}

it.each<[OutageMode, typeof OutcomeUnknownError | typeof PlatformUnavailableError]>([
  ['refuse', PlatformUnavailableError],
  ['cut', OutcomeUnknownError],
  ['silence', OutcomeUnknownError]
])('outage by %s: a sent write is reported as not executed only if the platform says so', async (outageMode, expected) => {
  await start()
  Object.assign(server.faults, { outage: true, outageMode })
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(expected)
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('reports a write as not executed when the connection is refused', async () => {
  await start()
  await server.close()
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(PlatformUnavailableError)
})

it('reports an unknown outcome when the response to a write times out', async () => {
  await start()
  server.faults.latency = 1300
  await expect(client.commit(transaction)).rejects.toBeInstanceOf(OutcomeUnknownError)
})

it('opens a new connection after one that stopped responding', async () => {
  await start()
  await client.commit(transaction)
  Object.assign(server.faults, { outage: true, outageMode: 'silence' })
  await expect(client.readRow('t', 'k')).rejects.toBeInstanceOf(PlatformUnavailableError)
  server.faults.outage = false
  expect((await client.readRow('t', 'k'))?.value).toBe(1)
})

it('rejects requests above the concurrency limit immediately, and recovers', async () => {
  await start()
  await client.close()
  client = createHttpPlatformClient({ endpoint: server.endpoint, maximumConcurrent: 2 })
  server.faults.latency = 100
  const calls = await Promise.allSettled([1, 2, 3].map(async () => await client.commit(transaction)))
  expect(calls.map((call) => call.status)).toEqual(['fulfilled', 'fulfilled', 'rejected'])
  expect(calls[2]).toMatchObject({ reason: expect.any(PlatformUnavailableError) })
  await client.commit(transaction)
})

it.each([['invalid JSON', 'oops'], ['an unexpected structure', '{"ok":true}']])(
  'a response with %s leaves the outcome of a write unknown and fails a read', async (_, text) => {
    await start()
    await server.close()
    const broken = await startStandinServer({
      port: server.endpoint.port, routes: {}, fallback: ({ response }) => { response.end(text) }
    })
    await expect(client.commit(transaction)).rejects.toBeInstanceOf(OutcomeUnknownError)
    await expect(client.listInstances()).rejects.toBeInstanceOf(PlatformUnavailableError)
    await broken.close()
  })
